"""Upstreams with outdated or missing entries in a restored store.

The tests guard against two failures: hosts send to an upstream that has left or
drains because the backup lists it as ready, and they drop a running upstream
because the backup lacks it.
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
# The entries as listed by the restored store, and one that is written again.
BACKED_UP = replace(READY, revision=at(4, era=2))
OTHER_BACKED_UP = replace(OTHER, revision=at(5, era=2))
AGAIN = replace(READY, revision=at(9, era=2))
RESTORED = at(7, era=2)


@dataclass
class Host:
    """A catalog with two upstreams, one of which may have left."""

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

    def list_backup(self, *entries: UpstreamEntry) -> None:
        self.catalog.replace_all(
            [*entries, OTHER_BACKED_UP],
            RESTORED,
            store_was_away=False,
        )


def host_of(known: str, clock: Clock | None = None) -> Host:
    """Return a host whose upstream is ready, draining or gone."""
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


def send_changes(source: Catalog, target: Catalog) -> None:
    """Send encoded changes and the age of the restore."""
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
def test_a_stale_upstream_is_not_used_while_the_restore_is_recent(
    known: str,
) -> None:
    host = host_of(known)
    host.list_backup(BACKED_UP)
    assert not host.used
    # The kind is listed again when the store has dropped its history.
    host.list_backup(BACKED_UP)
    host.wait(PERIOD - 1)
    assert not host.used
    # The store has not expired the entry by now, so the upstream is running.
    host.wait(1)
    assert host.used


@pytest.mark.parametrize('known', ['draining', 'gone'])
@pytest.mark.parametrize('is_listed', [False, True])
def test_a_stale_upstream_that_registers_again_is_used_at_once(
    known: str,
    *,
    is_listed: bool,
) -> None:
    host = host_of(known)
    host.list_backup(BACKED_UP)
    if is_listed:
        host.list_backup(AGAIN)
    else:
        host.catalog.apply([AGAIN], [], at(9, era=2), store_was_away=False)
    assert host.used
    host.wait(PERIOD)
    assert host.used


@pytest.mark.parametrize('known', ['draining', 'gone'])
def test_a_stale_upstream_that_the_store_drops_is_not_used(known: str) -> None:
    host = host_of(known)
    host.list_backup(BACKED_UP)
    host.catalog.apply([], [READY.name], at(9, era=2), store_was_away=True)
    host.wait(PERIOD)
    assert not host.used


@pytest.mark.parametrize('known', ['draining', 'gone'])
def test_a_new_incarnation_of_a_stale_upstream_is_used(known: str) -> None:
    host = host_of(known)
    host.list_backup(replace(BACKED_UP, born=200))
    assert host.used


def test_a_stale_upstream_is_not_used_after_two_restores() -> None:
    host = host_of('gone')
    host.list_backup(BACKED_UP)
    host.wait(1)
    third = replace(BACKED_UP, revision=at(4, era=3))
    other = replace(OTHER, revision=at(5, era=3))
    host.catalog.replace_all([third, other], at(7, era=3), store_was_away=False)
    host.wait(PERIOD - 1)
    assert not host.used


@pytest.mark.parametrize('known', ['ready', 'draining', 'gone', 'nothing'])
def test_a_peer_does_not_use_a_stale_upstream(known: str) -> None:
    clock = Clock()
    informed = host_of('gone', clock)
    informed.list_backup(BACKED_UP)
    other = host_of(known, clock)
    if known == 'nothing':
        other.catalog = Catalog(clock)
        other.catalog.restoration.period = lambda: PERIOD
    send_changes(informed.catalog, other.catalog)
    assert not other.used
    informed.wait(PERIOD)
    other.wait(0)
    assert informed.used
    assert other.used


def test_an_upstream_missing_in_the_backup_is_used_for_the_return_time() -> (
    None
):
    host = host_of('ready')
    host.list_backup()
    assert host.used
    host.wait(RETURN_SECONDS)
    assert not host.used
    host.catalog.apply([AGAIN], [], at(9, era=2), store_was_away=False)
    assert host.used


def test_a_late_host_does_not_keep_an_upstream_missing_in_the_backup() -> None:
    clock = Clock()
    early, late = host_of('ready', clock), host_of('ready', clock)
    early.list_backup()
    early.wait(RETURN_SECONDS)
    send_changes(early.catalog, late.catalog)
    assert not late.used
