"""Upstreams of which a restored store is behind the truth.

Without that hosts send to an upstream that has left, or that drains, since the
copy lists it as ready; and drop one that lives, since the copy lacks it.
"""

from dataclasses import dataclass, replace

import pytest
from lib.revisions import at
from lib.upstreams import ENTRY, Clock

from wardstair.fleet.sharing import SharedState, StateEncoder, decode_state
from wardstair.state.catalog import RETURN_SECONDS, Catalog
from wardstair.state.entries import UpstreamEntry, UpstreamPhase

PERIOD = 6.0
READY = replace(ENTRY, revision=at(20), born=100)
OTHER = replace(ENTRY, name='i-2', revision=at(21), born=100)
DRAINING = replace(READY, revision=at(30), phase=UpstreamPhase.draining)
# As the restored store lists and issues them.
COPIED = replace(READY, revision=at(4, era=2))
OTHER_COPIED = replace(OTHER, revision=at(5, era=2))
AGAIN = replace(READY, revision=at(9, era=2))
RESTORED = at(7, era=2)


@dataclass
class Host:
    """A catalog that knows two upstreams, one of which may have left."""

    clock: Clock
    catalog: Catalog

    @property
    def used(self) -> bool:
        names = [one.name for one in self.catalog.of_service('views')]
        assert OTHER.name in names
        return ENTRY.name in names

    def wait(self, seconds: float) -> None:
        self.clock.now += seconds
        self.catalog.expire_missing()

    def list_copy(self, *entries: UpstreamEntry) -> None:
        self.catalog.replace_all(
            [*entries, OTHER_COPIED],
            RESTORED,
            store_was_away=False,
        )


def host_of(known: str, clock: Clock | None = None) -> Host:
    """Return a host that knows the upstream as ready, draining or gone."""
    clock = clock or Clock()
    catalog = Catalog(clock)
    catalog.restoration.period = lambda: PERIOD
    catalog.replace_all([READY, OTHER], at(21), store_was_away=False)
    if known == 'draining':
        catalog.apply([DRAINING], [], at(30), store_was_away=False)
    if known == 'gone':
        catalog.apply([], [READY.name], at(31), store_was_away=False)
        catalog.expire_missing()
    return Host(clock, catalog)


def hand_on(source: Catalog, target: Catalog) -> None:
    """Hand changes on as they travel, with the age of the restore."""
    age = source.restoration.age
    if age is not None:
        target.restoration.merge_peer_report(source.restoration.era, age)
    changes = source.changes_since(target.revision)
    state = StateEncoder().encode(SharedState(upstreams=changes))
    decoded = decode_state(state)
    assert decoded is not None
    assert decoded.upstreams is not None
    assert target.merge_peer_changes(decoded.upstreams)


@pytest.mark.parametrize('known', ['draining', 'gone'])
def test_one_that_had_left_is_not_used_while_the_restore_is_recent(
    known: str,
) -> None:
    host = host_of(known)
    host.list_copy(COPIED)
    assert not host.used
    # Listed once more, as when the store forgets its history.
    host.list_copy(COPIED)
    host.wait(PERIOD - 1)
    assert not host.used
    # The store has not noticed its silence by now: it lives.
    host.wait(1)
    assert host.used


@pytest.mark.parametrize('known', ['draining', 'gone'])
@pytest.mark.parametrize('is_listed', [False, True])
def test_one_that_writes_again_is_used_at_once(
    known: str,
    *,
    is_listed: bool,
) -> None:
    host = host_of(known)
    host.list_copy(COPIED)
    if is_listed:
        host.list_copy(AGAIN)
    else:
        host.catalog.apply([AGAIN], [], at(9, era=2), store_was_away=False)
    assert host.used
    host.wait(PERIOD)
    assert host.used


@pytest.mark.parametrize('known', ['draining', 'gone'])
def test_one_that_the_store_drops_stays_out(known: str) -> None:
    host = host_of(known)
    host.list_copy(COPIED)
    host.catalog.apply([], [READY.name], at(9, era=2), store_was_away=True)
    host.wait(PERIOD)
    assert not host.used


@pytest.mark.parametrize('known', ['draining', 'gone'])
def test_another_life_of_that_name_is_used(known: str) -> None:
    host = host_of(known)
    host.list_copy(replace(COPIED, born=200))
    assert host.used


def test_two_restores_in_a_row_bring_nothing_back() -> None:
    host = host_of('gone')
    host.list_copy(COPIED)
    host.wait(1)
    third = replace(COPIED, revision=at(4, era=3))
    other = replace(OTHER, revision=at(5, era=3))
    host.catalog.replace_all([third, other], at(7, era=3), store_was_away=False)
    host.wait(PERIOD - 1)
    assert not host.used


@pytest.mark.parametrize('known', ['ready', 'draining', 'gone', 'nothing'])
def test_another_host_does_not_use_it_either(known: str) -> None:
    clock = Clock()
    informed = host_of('gone', clock)
    informed.list_copy(COPIED)
    other = host_of(known, clock)
    if known == 'nothing':
        other.catalog = Catalog(clock)
        other.catalog.restoration.period = lambda: PERIOD
    hand_on(informed.catalog, other.catalog)
    assert not other.used
    informed.wait(PERIOD)
    other.wait(0)
    assert informed.used
    assert other.used


def test_one_that_the_copy_lacks_is_used_until_it_should_be_back() -> None:
    host = host_of('ready')
    host.list_copy()
    assert host.used
    host.wait(RETURN_SECONDS)
    assert not host.used
    host.catalog.apply([AGAIN], [], at(9, era=2), store_was_away=False)
    assert host.used


def test_one_that_the_copy_lacks_is_not_kept_by_a_host_that_is_late() -> None:
    clock = Clock()
    early, late = host_of('ready', clock), host_of('ready', clock)
    early.list_copy()
    early.wait(RETURN_SECONDS)
    hand_on(early.catalog, late.catalog)
    assert not late.used
