"""State updates that hosts send each other in datagrams."""

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
from wardstair.state.catalog import Catalog
from wardstair.state.contact import StoreContact
from wardstair.state.entries import UpstreamEntry, UpstreamPhase
from wardstair.state.exchange import StateExchange
from wardstair.state.local_state import LocalState
from wardstair.state.roles import Roles

TIMING = timing_for(2.5, 4.0)


class _Host:
    """The state of a host and its exchange with other hosts."""

    def __init__(self) -> None:
        self.local_state = LocalState(Clock(), Catalog(Clock()))
        contact = StoreContact(self.local_state.clock, Random(1))
        self.exchange = StateExchange(
            self.local_state,
            contact,
            1,
            Roles(),
            'z',
            lambda: TIMING,
        )

    def list_upstreams(self, number: int, *entries: UpstreamEntry) -> None:
        self.local_state.catalog.replace_all(
            entries,
            at(number),
            store_was_away=False,
        )

    def change(self, number: int, entry: UpstreamEntry) -> None:
        changed = replace(entry, revision=at(number))
        self.local_state.catalog.apply(
            [changed],
            [],
            at(number),
            store_was_away=False,
        )

    def uses(self, name: str) -> bool:
        known = self.local_state.catalog.of_service('views')
        return any(upstream.name == name for upstream in known)


def run(test: Callable[[], None]) -> None:
    """Run a test in an event loop, which HTTP clients require."""

    async def main() -> None:
        test()

    asyncio.run(main())


@pytest.mark.parametrize(
    ('known', 'is_merged'),
    [
        pytest.param(5, True, id='has the previous revision'),
        pytest.param(4, False, id='has missed a change'),
        pytest.param(9, False, id='is ahead'),
    ],
)
def test_a_datagram_is_merged_if_it_leaves_no_gap(
    known: int,
    *,
    is_merged: bool,
) -> None:
    def test() -> None:
        sender, receiver = _Host(), _Host()
        sender.list_upstreams(5, ENTRY)
        sender.exchange.take_update()
        receiver.list_upstreams(known, ENTRY)
        sender.change(6, replace(ENTRY, phase=UpstreamPhase.draining))
        update = sender.exchange.take_update()
        assert update is not None
        assert update.state is not None
        assert receiver.exchange.receive_datagram(update.state)
        assert receiver.uses(ENTRY.name) is not is_merged

    run(test)


def test_an_evacuation_is_sent_in_a_datagram() -> None:
    def test() -> None:
        sender, receiver = _Host(), _Host()
        sender.local_state.set_evacuated(['z1'], at(7), 'watch')
        update = sender.exchange.take_update()
        assert update is not None
        assert update.state is not None
        assert receiver.exchange.receive_datagram(update.state)
        assert receiver.local_state.evacuated == {'z1'}

    run(test)


def test_an_update_too_large_for_a_datagram_has_no_state() -> None:
    def test() -> None:
        sender = _Host()
        many = [replace(ENTRY, name=f'i-{number}') for number in range(100)]
        sender.list_upstreams(5, *many)
        update = sender.exchange.take_update()
        assert update is not None
        assert update.state is None

    run(test)


def test_unchanged_state_makes_no_update() -> None:
    def test() -> None:
        sender = _Host()
        sender.list_upstreams(5, ENTRY)
        assert sender.exchange.take_update() is not None
        assert sender.exchange.take_update() is None

    run(test)


@pytest.mark.parametrize('datagram', [b'', b'\x80', b'not state'])
def test_a_datagram_without_state_is_rejected(datagram: bytes) -> None:
    def test() -> None:
        assert not _Host().exchange.receive_datagram(datagram)

    run(test)


def test_waiting_for_unanswered_fetches_starts_no_tasks() -> None:
    async def measure() -> int:
        host = _Host()
        exchange = host.exchange
        exchange.ask = lambda _request: asyncio.Future()
        ahead = Versions(configuration=2)
        for name in ('a', 'b'):
            exchange.on_heartbeat(beat_of(peer_of(name), versions=ahead))
            await asyncio.sleep(TIMING.near_hedge * 2)
        # The first host is already queried, and both comparison slots are
        # occupied.
        exchange.on_heartbeat(beat_of(peer_of('a'), number=2, versions=ahead))
        exchange.on_heartbeat(
            beat_of(peer_of('c'), versions=Versions(limits=5))
        )
        await asyncio.sleep(0)
        started = 0
        for _ in range(20):
            before = asyncio.all_tasks()
            await asyncio.sleep(0)
            started += len(asyncio.all_tasks() - before)
        exchange.close()
        return started

    assert asyncio.run(measure()) == 0
