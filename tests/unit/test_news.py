"""News that hosts send each other in datagrams."""

import asyncio
from collections.abc import Callable
from dataclasses import replace
from random import Random

import pytest
from lib.beats import beat_of, peer_of
from lib.revisions import at
from lib.upstreams import ENTRY, Clock

from wardstair.decisions.timing import timing_for
from wardstair.fleet.heartbeats import Versions
from wardstair.state.belief import Belief
from wardstair.state.catalog import Catalog
from wardstair.state.contact import StoreContact
from wardstair.state.entries import UpstreamEntry, UpstreamPhase
from wardstair.state.exchange import StateExchange
from wardstair.state.roles import Roles

TIMING = timing_for(2.5, 4.0)


class _Host:
    """What a host believes, and how it tells others."""

    def __init__(self) -> None:
        self.belief = Belief(Clock(), Catalog(Clock()))
        contact = StoreContact(self.belief.clock, Random(1))
        self.exchange = StateExchange(
            self.belief,
            contact,
            1,
            Roles(),
            'z',
            lambda: TIMING,
        )

    def list_upstreams(self, number: int, *entries: UpstreamEntry) -> None:
        self.belief.catalog.replace_all(
            entries,
            at(number),
            store_was_away=False,
        )

    def change(self, number: int, entry: UpstreamEntry) -> None:
        changed = replace(entry, revision=at(number))
        self.belief.catalog.apply(
            [changed],
            [],
            at(number),
            store_was_away=False,
        )

    def uses(self, name: str) -> bool:
        known = self.belief.catalog.of_service('views')
        return any(upstream.name == name for upstream in known)


def run(test: Callable[[], None]) -> None:
    """Run a test where clients can be made."""

    async def main() -> None:
        test()

    asyncio.run(main())


@pytest.mark.parametrize(
    ('known', 'is_taken'),
    [
        pytest.param(5, True, id='knows what was before'),
        pytest.param(4, False, id='has missed a change'),
        pytest.param(9, False, id='knows more'),
    ],
)
def test_a_datagram_is_taken_where_it_leaves_no_gap(
    known: int,
    *,
    is_taken: bool,
) -> None:
    def test() -> None:
        teller, hearer = _Host(), _Host()
        teller.list_upstreams(5, ENTRY)
        teller.exchange.take_news()
        hearer.list_upstreams(known, ENTRY)
        teller.change(6, replace(ENTRY, phase=UpstreamPhase.draining))
        news = teller.exchange.take_news()
        assert news is not None
        assert news.state is not None
        assert hearer.exchange.take_datagram(news.state)
        assert hearer.uses(ENTRY.name) is not is_taken

    run(test)


def test_an_evacuation_is_told_in_a_datagram() -> None:
    def test() -> None:
        teller, hearer = _Host(), _Host()
        teller.belief.set_evacuated(['z1'], at(7), 'watch')
        news = teller.exchange.take_news()
        assert news is not None
        assert news.state is not None
        assert hearer.exchange.take_datagram(news.state)
        assert hearer.belief.evacuated == {'z1'}

    run(test)


def test_what_is_too_large_for_a_datagram_is_fetched() -> None:
    def test() -> None:
        teller = _Host()
        many = [replace(ENTRY, name=f'i-{number}') for number in range(100)]
        teller.list_upstreams(5, *many)
        news = teller.exchange.take_news()
        assert news is not None
        assert news.state is None

    run(test)


def test_nothing_new_is_no_news() -> None:
    def test() -> None:
        teller = _Host()
        teller.list_upstreams(5, ENTRY)
        assert teller.exchange.take_news() is not None
        assert teller.exchange.take_news() is None

    run(test)


@pytest.mark.parametrize('datagram', [b'', b'\x80', b'not state'])
def test_a_datagram_that_is_no_state_is_told_apart(datagram: bytes) -> None:
    def test() -> None:
        assert not _Host().exchange.take_datagram(datagram)

    run(test)


def test_hosts_that_do_not_answer_keep_no_task_busy() -> None:
    async def measure() -> int:
        host = _Host()
        exchange = host.exchange
        exchange.ask = lambda _request: asyncio.Future()
        ahead = Versions(configuration=2)
        for name in ('a', 'b'):
            exchange.on_beat(beat_of(peer_of(name), versions=ahead))
            await asyncio.sleep(TIMING.near_hedge * 2)
        # Being asked already, and with no place for a comparison.
        exchange.on_beat(beat_of(peer_of('a'), number=2, versions=ahead))
        exchange.on_beat(beat_of(peer_of('c'), versions=Versions(limits=5)))
        await asyncio.sleep(0)
        begun = 0
        for _ in range(20):
            before = asyncio.all_tasks()
            await asyncio.sleep(0)
            begun += len(asyncio.all_tasks() - before)
        exchange.close()
        return begun

    assert asyncio.run(measure()) == 0
