"""Listings that are answered late.

A late listing must not replace newer state that other hosts have sent in the
meantime, from a restored store or from the same one. Pages of two eras must not
be accepted as one listing.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from random import Random

import pytest
from lib.revisions import at
from lib.rig import until
from lib.specs import ADDRESS, upstream_spec
from lib.upstreams import ENTRY, Clock
from result import Err, Ok, Result
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from wardstair.decisions.timing import timing_for
from wardstair.errors import PlatformError
from wardstair.platform.objects import Metadata, StoredObject
from wardstair.platform.store import Store
from wardstair.platform.store_answers import Listing
from wardstair.state.catalog import Catalog
from wardstair.state.contact import StoreContact
from wardstair.state.local_state import LocalState
from wardstair.state.revision import Revision
from wardstair.state.roles import Roles
from wardstair.state.sync import StoreSync
from wardstair.state.upstream import RunningSend


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test with a time limit."""

    async def main() -> None:
        async with asyncio.timeout(30):
            await test()

    asyncio.run(main())


@pytest.mark.parametrize(
    ('listed_era', 'is_adopted'),
    [
        pytest.param(1, False, id='of the era before'),
        pytest.param(2, True, id='of this era'),
    ],
)
def test_a_listing_of_the_previous_era_changes_nothing(
    monkeypatch: pytest.MonkeyPatch,
    listed_era: int,
    *,
    is_adopted: bool,
) -> None:
    listings = 0
    is_answer_due = asyncio.Event()
    is_watching = asyncio.Event()

    async def list_kind(_kind: str, **_how: bool) -> Result[Listing, str]:
        nonlocal listings
        listings += 1
        await is_answer_due.wait()
        return Ok(Listing((), at(40, listed_era)))

    async def watch_kind(*_arguments: object) -> None:
        is_watching.set()
        await asyncio.Event().wait()

    async def test() -> None:
        store = Store(f'{ADDRESS}:1')
        monkeypatch.setattr(store, 'list_kind', list_kind)
        monkeypatch.setattr(store, 'watch_kind', watch_kind)
        clock = Clock()
        local_state = LocalState(clock, Catalog(clock))
        roles = Roles()
        timing = timing_for(2.5, 4.0)
        contact = StoreContact(clock, Random(1))
        sync = StoreSync(store, contact, local_state, roles, lambda: timing)
        task = asyncio.ensure_future(sync.upstreams.run())
        await until(lambda: listings == 1)
        # Another host sends the state of the restored store before the answer
        # arrives.
        local_state.catalog.replace_all([ENTRY], at(9, 2), store_was_away=False)
        is_answer_due.set()
        await is_watching.wait()
        known = local_state.catalog.revision
        assert known == (at(40, 2) if is_adopted else at(9, 2))
        assert bool(local_state.catalog.of_service('views')) is not is_adopted
        task.cancel()
        store.close()

    run(test)


LISTED = StoredObject(
    metadata=Metadata(name=ENTRY.name, revision=3),
    spec=upstream_spec(80),
    era=1,
)


@dataclass
class ListingHost:
    """A host that waits for a listing, and its calls afterwards.

    Attributes:
        sync: Watches the store.
        catalog: The upstreams of the host; it has two before the answer.
        watched: Revisions at which watches began.
        updates: How often the host announced an update.
    """

    sync: StoreSync
    catalog: Catalog
    watched: list[Revision] = field(default_factory=list)
    updates: int = 0

    def count_update(self) -> None:
        """Count an announced update."""
        self.updates += 1


async def receive_listing(
    monkeypatch: pytest.MonkeyPatch,
    listing: Listing,
    meanwhile: Callable[[Catalog], None],
) -> ListingHost:
    """List upstreams and apply updates of other hosts before the answer."""
    is_requested = asyncio.Event()
    is_answer_due = asyncio.Event()
    is_watching = asyncio.Event()
    store = Store(f'{ADDRESS}:1')
    clock = Clock()
    local_state = LocalState(clock, Catalog(clock))
    timing = timing_for(2.5, 4.0)
    contact = StoreContact(clock, Random(1))
    sync = StoreSync(store, contact, local_state, Roles(), lambda: timing)
    host = ListingHost(sync, local_state.catalog)
    sync.on_update = host.count_update

    async def list_kind(_kind: str, **_how: bool) -> Result[Listing, str]:
        is_requested.set()
        await is_answer_due.wait()
        return Ok(listing)

    async def watch_kind(_kind: str, since: Revision, _seconds: float) -> None:
        host.watched.append(since)
        is_watching.set()
        await asyncio.Event().wait()

    monkeypatch.setattr(store, 'list_kind', list_kind)
    monkeypatch.setattr(store, 'watch_kind', watch_kind)
    task = asyncio.ensure_future(sync.upstreams.run())
    await is_requested.wait()
    entry = replace(ENTRY, revision=at(3))
    other = replace(ENTRY, name='i-2', revision=at(4))
    local_state.catalog.replace_all([entry, other], at(9), store_was_away=False)
    meanwhile(local_state.catalog)
    is_answer_due.set()
    await is_watching.wait()
    task.cancel()
    store.close()
    return host


def test_a_listing_older_than_updates_of_peers_restores_no_upstream(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def remove(catalog: Catalog) -> None:
        # The upstream still works on a request of this host.
        catalog.upstreams[ENTRY.name].running[1] = RunningSend(100.0, 1.0, 1.0)
        catalog.apply([], [ENTRY.name], at(12), store_was_away=False)

    async def test() -> None:
        listing = Listing((LISTED,), at(10))
        host = await receive_listing(monkeypatch, listing, remove)
        used = [one.name for one in host.catalog.of_service('views')]
        assert used == ['i-2']
        assert host.catalog.revision == at(12)
        # The host watches from its own revision and lists no more.
        assert host.watched == [at(12)]
        assert host.sync.upstreams.revision == at(12)
        assert host.sync.upstreams.has_listed
        assert host.updates == 0

    run(test)


@pytest.mark.parametrize(
    ('listed', 'updates'),
    [
        pytest.param(10, 1, id='newer'),
        pytest.param(9, 0, id='known'),
    ],
)
def test_changes_from_a_listing_are_announced_at_once(
    monkeypatch: pytest.MonkeyPatch,
    listed: int,
    updates: int,
) -> None:
    async def test() -> None:
        host = await receive_listing(
            monkeypatch,
            Listing((LISTED,), at(listed)),
            lambda _catalog: None,
        )
        used = [one.name for one in host.catalog.of_service('views')]
        assert used == [ENTRY.name]
        assert host.updates == updates

    run(test)


class _Pages(RequestHandler):
    """Serves two pages; the second may have another era or revision."""

    def initialize(self, second_era: str, second_revision: int = 9) -> None:
        self._second_era = second_era
        self._second_revision = second_revision

    def get(self) -> None:
        is_first = self.get_argument('after', None) is None
        self.set_header('Store-Era', '1' if is_first else self._second_era)
        name = 'i-1' if is_first else 'i-2'
        self.finish(
            {
                'items': [{'metadata': {'name': name, 'revision': 3}}],
                'truncated': is_first,
                'as_of': 9 if is_first else self._second_revision,
            }
        )


async def list_pages(**second: object) -> Result[Listing, PlatformError]:
    """List a kind that is served in two pages."""
    sockets = bind_sockets(0, ADDRESS)
    handler = ('/objects/servers', _Pages, second)
    server = HTTPServer(Application([handler]))
    server.add_sockets(sockets)
    store = Store(f'{ADDRESS}:{sockets[0].getsockname()[1]}')
    listed = await store.list_kind('servers')
    store.close()
    server.stop()
    return listed


@pytest.mark.parametrize('second_era', ['1', '2'])
def test_pages_of_two_eras_are_rejected(second_era: str) -> None:
    async def test() -> None:
        listed = await list_pages(second_era=second_era)
        assert isinstance(listed, Err) is (second_era == '2')

    run(test)


def test_a_change_of_the_first_page_beside_the_second_is_not_missed() -> None:
    async def test() -> None:
        listed = await list_pages(second_era='1', second_revision=12)
        assert listed.unwrap().revision == at(9)

    run(test)
