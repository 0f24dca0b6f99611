"""An entry that an upstream writes after a restore of the store is taken in.

Its number is lower than that of the entry which the host knew: an upstream that
began to drain kept its work.
"""

from dataclasses import replace

from lib.revisions import at
from lib.upstreams import ENTRY, Clock

from wardstair.state.catalog import Catalog
from wardstair.state.entries import UpstreamPhase


def test_an_upstream_that_drains_after_a_restore_gets_nothing() -> None:
    catalog = Catalog(Clock())
    known = replace(ENTRY, revision=at(40), born=100)
    catalog.replace_all([known], at(40), store_was_away=False)
    listed = replace(known, revision=at(5, era=2))
    catalog.replace_all([listed], at(8, era=2), store_was_away=True)
    draining = UpstreamPhase.draining
    drains = replace(known, revision=at(9, era=2), phase=draining)
    catalog.apply([drains], [], at(9, era=2), store_was_away=True)
    assert catalog.of_service('views') == []
