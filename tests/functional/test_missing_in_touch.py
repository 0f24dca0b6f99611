"""A removed upstream that a reconnected peer reports as possibly expired.

A host whose contact with the store was not interrupted knows that the entry was
removed. Otherwise it would ignore the removal that it reads itself and use the
upstream for two more seconds.
"""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from random import Random

import pytest
from lib.revisions import at
from lib.specs import ADDRESS, upstream_spec
from lib.upstreams import ENTRY, Clock
from result import Ok, Result

from wardstair.decisions.timing import timing_for
from wardstair.platform.objects import Metadata, StoredObject
from wardstair.platform.store import Store
from wardstair.platform.store_answers import Change, Changes
from wardstair.state.catalog import RETURN_SECONDS, Catalog
from wardstair.state.contact import StoreContact
from wardstair.state.local_state import LocalState
from wardstair.state.roles import Roles
from wardstair.state.sync import StoreSync

HARMLESS_SECONDS = 3.0
KNOWN = replace(ENTRY, revision=at(3))
OTHER = replace(ENTRY, name='i-2', revision=at(4))
DELETED = Change(
    StoredObject(
        metadata=Metadata(name=ENTRY.name, revision=12),
        spec=upstream_spec(80),
        era=1,
    ),
    is_deleted=True,
)


@dataclass
class Host:
    """State of a host that knows two upstreams up to revision 9."""

    clock: Clock
    store: Store
    contact: StoreContact
    catalog: Catalog
    sync: StoreSync

    @property
    def used(self) -> list[str]:
        """Names of the upstreams in use."""
        return [one.name for one in self.catalog.of_service('views')]

    def hold_contact(self, seconds: float) -> None:
        """Have the store answer once a second."""
        for _ in range(int(seconds)):
            self.contact.note_success()
            self.clock.now += 1
        self.contact.note_success()

    def lose_contact(self, seconds: float) -> None:
        """Make the store unavailable for a time, then have it answer again."""
        self.contact.note_failure('test')
        self.clock.now += seconds
        self.contact.note_success()


@contextmanager
def running_host(clock: Clock) -> Iterator[Host]:
    """Prepare a host with uninterrupted contact to the store for 10 s."""
    store = Store(f'{ADDRESS}:1')
    catalog = Catalog(clock)
    catalog.replace_all([KNOWN, OTHER], at(9), store_was_away=False)
    contact = StoreContact(clock, Random(1))
    contact.tolerated_outage_seconds = lambda: HARMLESS_SECONDS
    timing = timing_for(2.5, 4.0)
    local_state = LocalState(clock, catalog)
    sync = StoreSync(store, contact, local_state, Roles(), lambda: timing)
    sync.upstreams.skip_to(at(9))
    host = Host(clock, store, contact, catalog, sync)
    host.hold_contact(10)
    yield host
    store.close()


def report_missing(host: Host) -> None:
    """Have a reconnected peer report a removed upstream as missing."""
    peer = Catalog(host.clock)
    peer.replace_all([KNOWN, OTHER], at(9), store_was_away=False)
    peer.apply([], [ENTRY.name], at(12), store_was_away=True)
    changes = peer.changes_since(host.catalog.revision)
    assert ENTRY.name in changes.missing
    assert host.catalog.merge_peer_changes(changes)


async def read_removal(host: Host, monkeypatch: pytest.MonkeyPatch) -> None:
    """Have the host read the removal itself, at the reported revision."""

    async def poll_changes(*_arguments: object) -> Result[Changes, str]:
        return Ok(Changes((DELETED,), at(12)))

    monkeypatch.setattr(host.store, 'poll_changes', poll_changes)
    await host.sync.upstreams.check()


def test_a_host_in_contact_treats_a_reported_missing_entry_as_removed() -> None:
    async def test() -> None:
        with running_host(Clock()) as host:
            report_missing(host)
            assert host.used == ['i-2']
            # It reports the removal to peers that are behind.
            assert host.catalog.changes_since(at(9)).removed == (ENTRY.name,)

    asyncio.run(test())


@pytest.mark.parametrize(
    'away_seconds',
    [
        pytest.param(HARMLESS_SECONDS + 1, id='an outage that it noticed'),
        pytest.param(None, id='answers too far apart'),
    ],
)
def test_an_entry_that_may_have_expired_is_kept(
    away_seconds: float | None,
) -> None:
    async def test() -> None:
        with running_host(Clock()) as host:
            if away_seconds is None:
                host.clock.now += HARMLESS_SECONDS + 1
                host.contact.note_success()
            else:
                host.lose_contact(away_seconds)
            report_missing(host)
            assert host.used == ['i-1', 'i-2']
            host.clock.now += RETURN_SECONDS
            host.catalog.expire_missing()
            assert host.used == ['i-2']

    asyncio.run(test())


def test_an_entry_that_a_peer_misses_after_a_restore_is_kept() -> None:
    async def test() -> None:
        with running_host(Clock()) as host:
            peer = Catalog(host.clock)
            peer.replace_all([KNOWN, OTHER], at(9), store_was_away=False)
            copied = replace(OTHER, revision=at(4, era=2))
            peer.replace_all([copied], at(7, era=2), store_was_away=False)
            assert host.catalog.merge_peer_changes(peer.changes_since(at(9)))
            assert host.used == ['i-1', 'i-2']

    asyncio.run(test())


@pytest.mark.parametrize('was_away', [False, True])
def test_a_removal_read_from_the_store_overrides_a_report_of_expiry(
    monkeypatch: pytest.MonkeyPatch,
    *,
    was_away: bool,
) -> None:
    async def test() -> None:
        with running_host(Clock()) as host:
            # Contact is too recent to rule out expiry on a peer report.
            host.lose_contact(HARMLESS_SECONDS + 1 if was_away else 0.5)
            report_missing(host)
            assert host.used == ['i-1', 'i-2']
            await read_removal(host, monkeypatch)
            assert host.used == (['i-1', 'i-2'] if was_away else ['i-2'])

    asyncio.run(test())


@pytest.mark.parametrize(
    'told',
    [
        pytest.param([], id='incomplete changes'),
        pytest.param([ENTRY.name], id='complete changes'),
    ],
)
def test_a_removal_read_from_the_store_overrides_a_peer_that_lacks_it(
    monkeypatch: pytest.MonkeyPatch,
    told: list[str],
) -> None:
    async def test() -> None:
        with running_host(Clock()) as host:
            host.catalog.apply([], told, at(12), store_was_away=False)
            await read_removal(host, monkeypatch)
            assert host.used == ['i-2']
            assert host.catalog.changes_since(at(9)).removed == (ENTRY.name,)

    asyncio.run(test())
