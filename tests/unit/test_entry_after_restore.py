"""Entries written after a restore of the store replace the known ones.

Their revision numbers are lower than those of the known entries. A comparison
of the numbers alone ignored an upstream that had started to drain.
"""

from dataclasses import replace

from lib.revisions import at
from lib.upstreams import ENTRY, Clock

from wardstair.state.catalog import Catalog
from wardstair.state.entries import UpstreamPhase


def test_an_upstream_that_drains_after_a_restore_receives_no_requests() -> None:
    catalog = Catalog(Clock())
    known = replace(ENTRY, revision=at(40), born=100)
    catalog.replace_all([known], at(40), store_was_away=False)
    listed = replace(known, revision=at(5, era=2))
    catalog.replace_all([listed], at(8, era=2), store_was_away=True)
    draining = UpstreamPhase.draining
    drains = replace(known, revision=at(9, era=2), phase=draining)
    catalog.apply([drains], [], at(9, era=2), store_was_away=True)
    assert catalog.of_service('views') == []
