"""An upstream that a host just back takes for lapsed, and that was removed.

Hosts whose contact with the store is unbroken know better: without that they
drop their own word of the removal, and use the upstream for two seconds more.
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
    """A host that knows two upstreams up to revision 9."""

    clock: Clock
    store: Store
    contact: StoreContact
    catalog: Catalog
    sync: StoreSync

    @property
    def used(self) -> list[str]:
        """Names of the upstreams that it would use."""
        return [one.name for one in self.catalog.of_service('views')]

    def hold_contact(self, seconds: float) -> None:
        """Have the store answer each second."""
        for _ in range(int(seconds)):
            self.contact.note_success()
            self.clock.now += 1
        self.contact.note_success()

    def lose_contact(self, seconds: float) -> None:
        """Have the store be away, and then answer again."""
        self.contact.note_failure('test')
        self.clock.now += seconds
        self.contact.note_success()


@contextmanager
def running_host(clock: Clock) -> Iterator[Host]:
    """Prepare a host whose contact with the store has long been unbroken."""
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


def tell_missing(host: Host) -> None:
    """Have a host just back tell the removal of an upstream as a lapse."""
    back = Catalog(host.clock)
    back.replace_all([KNOWN, OTHER], at(9), store_was_away=False)
    back.apply([], [ENTRY.name], at(12), store_was_away=True)
    changes = back.changes_since(host.catalog.revision)
    assert ENTRY.name in changes.missing
    assert host.catalog.merge_peer_changes(changes)


async def read_removal(host: Host, monkeypatch: pytest.MonkeyPatch) -> None:
    """Have the host read the removal itself, at the revision it was told."""

    async def poll_changes(*_arguments: object) -> Result[Changes, str]:
        return Ok(Changes((DELETED,), at(12)))

    monkeypatch.setattr(host.store, 'poll_changes', poll_changes)
    await host.sync.upstreams.check()


def test_a_host_in_touch_takes_what_another_misses_for_removed() -> None:
    async def test() -> None:
        with running_host(Clock()) as host:
            tell_missing(host)
            assert host.used == ['i-2']
            # Others that are behind learn the same from it.
            assert host.catalog.changes_since(at(9)).removed == (ENTRY.name,)

    asyncio.run(test())


@pytest.mark.parametrize(
    'away_seconds',
    [
        pytest.param(HARMLESS_SECONDS + 1, id='an outage that it noticed'),
        pytest.param(None, id='answers too far apart'),
    ],
)
def test_what_may_have_lapsed_for_this_host_too_is_kept(
    away_seconds: float | None,
) -> None:
    async def test() -> None:
        with running_host(Clock()) as host:
            if away_seconds is None:
                host.clock.now += HARMLESS_SECONDS + 1
                host.contact.note_success()
            else:
                host.lose_contact(away_seconds)
            tell_missing(host)
            assert host.used == ['i-1', 'i-2']
            host.clock.now += RETURN_SECONDS
            host.catalog.expire_missing()
            assert host.used == ['i-2']

    asyncio.run(test())


def test_what_another_host_misses_after_a_restore_is_kept() -> None:
    async def test() -> None:
        with running_host(Clock()) as host:
            back = Catalog(host.clock)
            back.replace_all([KNOWN, OTHER], at(9), store_was_away=False)
            copied = replace(OTHER, revision=at(4, era=2))
            back.replace_all([copied], at(7, era=2), store_was_away=False)
            assert host.catalog.merge_peer_changes(back.changes_since(at(9)))
            assert host.used == ['i-1', 'i-2']

    asyncio.run(test())


@pytest.mark.parametrize('was_away', [False, True])
def test_own_word_of_a_removal_counts_where_another_told_of_a_lapse(
    monkeypatch: pytest.MonkeyPatch,
    *,
    was_away: bool,
) -> None:
    async def test() -> None:
        with running_host(Clock()) as host:
            # Back too short to know better second-hand.
            host.lose_contact(HARMLESS_SECONDS + 1 if was_away else 0.5)
            tell_missing(host)
            assert host.used == ['i-1', 'i-2']
            await read_removal(host, monkeypatch)
            assert host.used == (['i-1', 'i-2'] if was_away else ['i-2'])

    asyncio.run(test())
