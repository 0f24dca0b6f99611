"""Upstreams of a host that starts alone after a restore of the store.

A restored store may list an outdated entry of an upstream that has since
restarted. The tests guard against overloading such an upstream while it is
cold.
"""

from dataclasses import replace

import pytest
from lib.revisions import at
from lib.upstreams import ENTRY, Clock

from wardstair.state.catalog import REREGISTRATION_SECONDS, Catalog
from wardstair.state.restoration import Restoration

LISTED = replace(ENTRY, revision=at(4, era=3), born=100)


def catalog_of(clock: Clock, reported_era: int, *, is_alone: bool) -> Catalog:
    """Return the catalog of a host after its first listing of the store."""
    catalog = Catalog(clock)
    catalog.restoration.note_complete_era(reported_era)
    catalog.restoration.enter(3)
    if is_alone:
        catalog.restoration.assume_recent()
    catalog.replace_all([LISTED], at(7, era=3), store_was_away=False)
    return catalog


@pytest.mark.parametrize(
    ('reported_era', 'is_alone', 'is_cold'),
    [
        (0, True, True),
        (2, True, True),
        (3, True, False),
        (0, False, False),
    ],
)
def test_listed_upstreams_are_cold_while_the_store_may_be_incomplete(
    reported_era: int,
    *,
    is_alone: bool,
    is_cold: bool,
) -> None:
    clock = Clock()
    catalog = catalog_of(clock, reported_era, is_alone=is_alone)
    (upstream,) = catalog.of_service('views')
    assert upstream.is_cold(clock.now) is is_cold
    clock.now += REREGISTRATION_SECONDS
    assert not upstream.is_cold(clock.now)


def test_a_restarted_upstream_is_cold_as_long_as_its_entry_says() -> None:
    clock = Clock()
    catalog = catalog_of(clock, 0, is_alone=True)
    restarted = replace(
        LISTED, revision=at(9, era=3), born=200, cold_seconds=8.0
    )
    catalog.apply([restarted], [], at(9, era=3), store_was_away=False)
    (upstream,) = catalog.of_service('views')
    clock.now += REREGISTRATION_SECONDS
    assert upstream.is_cold(clock.now)


@pytest.mark.parametrize('is_alone', [False, True])
def test_the_first_era_is_not_a_recent_restore(*, is_alone: bool) -> None:
    restoration = Restoration(Clock())
    restoration.enter(1)
    if is_alone:
        restoration.assume_recent()
    assert not restoration.is_recent
    assert restoration.complete_era == 1


def test_a_restored_store_is_complete_after_the_period() -> None:
    clock = Clock()
    restoration = Restoration(clock, lambda: 6.0)
    restoration.enter(1)
    restoration.enter(2)
    assert restoration.complete_era == 0
    clock.now += 6.0
    assert restoration.complete_era == 2
