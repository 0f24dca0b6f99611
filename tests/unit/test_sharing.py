"""Encoding of a host's state and of its versions, and what hosts exchange."""

import asyncio
from collections.abc import Callable
from dataclasses import replace
from io import BytesIO
from random import Random

import pytest
from lib.beats import beat_of, peer_of
from lib.revisions import at
from lib.rollouts import (
    SERVICE,
    KnowingHost,
    entry_of,
    record_of,
    rollout_of,
)
from tornado.httpclient import HTTPRequest, HTTPResponse

from wardstair.decisions.rollouts import RolloutState
from wardstair.decisions.timing import timing_for
from wardstair.fleet.heartbeats import (
    Versions,
    decode_heartbeat,
    encode_heartbeat,
)
from wardstair.fleet.sharing import (
    SharedState,
    StateEncoder,
    decode_state,
    decode_versions,
    encode_versions,
)
from wardstair.state.catalog import Catalog, CatalogChanges
from wardstair.state.contact import StoreContact
from wardstair.state.exchange import StateExchange
from wardstair.state.local_state import LocalState
from wardstair.state.past_rollouts import KnownRecord
from wardstair.state.revision import NO_REVISION
from wardstair.state.roles import Roles
from wardstair.state.rollout_orders import ServiceVersion
from wardstair.state.rollouts import UnusableRollout, VersionRole
from wardstair.state.shared_rollouts import SharedRollouts

TIMING = timing_for(2.5, 4.0)
RECORD = record_of('v2', RolloutState.rolled_back, reserved=90)
SHARED = SharedRollouts(
    at(9, 2),
    (rollout_of('v2', at(8, 2), RECORD), rollout_of('v3', at(9, 2))),
    (
        UnusableRollout('duration_s', 'more', 'orders', 'v2', None, at(4)),
        UnusableRollout('spec', 'a table', 'others', '', RECORD, at(5)),
    ),
    (rollout_of('v4', at(7), record_of('v4', reserved=12)),),
    (KnownRecord(SERVICE, RECORD, at(8)),),
    (ServiceVersion(SERVICE, 'v5'),),
    (ServiceVersion(SERVICE, 'v1'), ServiceVersion('orders', 'v1')),
)


def test_versions_survive_encoding() -> None:
    versions = Versions(-1, at(2), at(3), 2**48 - 1, 2**48 - 2)
    assert decode_versions(encode_versions(versions)) == versions
    later = replace(versions, rollouts=at(7, 2), past_rollouts=2**32 - 1)
    assert decode_versions(encode_versions(later)) == later
    datagram = encode_heartbeat(beat_of(peer_of('a'), versions=later))
    beat = decode_heartbeat(datagram)
    assert beat is not None
    assert beat.versions == later


@pytest.mark.parametrize(
    'text',
    [
        '',
        '1',
        '1.2',
        '1.2.3',
        '1.2.3.4',
        '1.2.3.4.5.6',
        '1.2.3.4.x',
        '1.2.3.4.',
        '1,2,3,4,5',
    ],
)
def test_malformed_queries_are_rejected(text: str) -> None:
    assert decode_versions(text) is None


class _Host(KnowingHost):
    """A host with its exchange; it fetches from the host `asked`."""

    def __init__(self, *, is_in_use: bool = True) -> None:
        super().__init__()
        if not is_in_use:
            self.state = LocalState(self.clock, Catalog(self.clock))
            self.table = self.state.rollouts
        self.exchange = StateExchange(
            self.state,
            StoreContact(self.clock, Random(1)),
            1,
            Roles(),
            'z',
            lambda: TIMING,
        )
        self.exchange.ask = self._ask
        self.asked: _Host | None = None
        self.fetched = 0

    async def meet(self, other: '_Host') -> None:
        """Hear a heartbeat of another host and fetch what is missing."""
        self.asked = other
        beat = beat_of(peer_of('other'), versions=other.state.versions)
        self.exchange.on_heartbeat(beat)
        await asyncio.sleep(TIMING.near_hedge)

    async def _ask(self, request: HTTPRequest) -> HTTPResponse:
        assert self.asked is not None
        self.fetched += 1
        theirs = decode_versions(request.url.partition('have=')[2])
        assert theirs is not None
        body = BytesIO(self.asked.exchange.answer(theirs))
        return HTTPResponse(request, 200, buffer=body)


def run(test: Callable[[], None]) -> None:
    """Run a test in an event loop, which HTTP clients require."""

    async def main() -> None:
        test()

    asyncio.run(main())


def test_roll_outs_survive_encoding() -> None:
    state = SharedState(rollouts=SHARED)
    assert decode_state(StateEncoder().encode(state)) == state


def test_the_version_of_an_upstream_survives_encoding() -> None:
    changes = CatalogChanges(NO_REVISION, at(3), (entry_of('v2', 3),), ())
    decoded = decode_state(
        StateEncoder().encode(SharedState(upstreams=changes))
    )
    assert decoded is not None
    assert decoded.upstreams == changes


def test_a_host_answers_with_roll_outs_that_another_may_lack() -> None:
    def test() -> None:
        host = _Host()
        host.serve('v1', 'v2')
        host.read(at(12), rollout_of('v2', at(11), RECORD))
        own = host.state.versions

        def answered(theirs: Versions) -> SharedRollouts | None:
            state = decode_state(host.exchange.answer(theirs))
            assert state is not None
            return state.rollouts

        assert answered(own) is None
        assert answered(replace(own, rollouts=at(11))) == host.table.shared
        assert answered(replace(own, past_rollouts=5)) == host.table.shared
        unused = _Host(is_in_use=False)
        state = decode_state(unused.exchange.answer(own))
        assert state is not None
        assert state.rollouts is None

    run(test)


def test_a_roll_out_is_sent_in_a_datagram() -> None:
    def test() -> None:
        sender, receiver = _Host(), _Host()
        for host in (sender, receiver):
            host.serve('v1', 'v2')
            host.read(at(10))
        sender.exchange.take_update()
        sender.read(at(12), rollout_of('v2', at(11)))
        update = sender.exchange.take_update()
        assert update is not None
        assert update.state is not None
        assert receiver.exchange.receive_datagram(update.state)
        assert receiver.roles('v1', 'v2') == [
            VersionRole.old,
            VersionRole.new,
        ]
        assert sender.exchange.take_update() is None
        # A host on which roll-outs are not in use takes nothing of it.
        unused = _Host(is_in_use=False)
        assert unused.exchange.receive_datagram(update.state)
        assert unused.state.versions.rollouts == NO_REVISION

    run(test)


def test_a_host_that_is_behind_fetches_the_roll_outs() -> None:
    async def test() -> None:
        ahead, behind = _Host(), _Host()
        ahead.serve('v1', 'v2')
        ahead.read(at(12), rollout_of('v2', at(11)))
        await behind.meet(ahead)
        assert behind.fetched == 1
        assert behind.table.revision == at(12)
        assert behind.roles('v1', 'v2') == [VersionRole.old, VersionRole.new]
        await behind.meet(ahead)
        assert behind.fetched == 1

    asyncio.run(test())


def test_an_end_that_the_store_lacks_is_fetched() -> None:
    async def test() -> None:
        knowing, late = _Host(), _Host()
        for host in (knowing, late):
            host.serve('v1', 'v2')
        knowing.read(at(12), rollout_of('v2', at(11), RECORD))
        assert knowing.roles('v1') == [VersionRole.usual]
        for host in (knowing, late):
            host.read(at(5, 2))
        await late.meet(knowing)
        assert late.roles('v1', 'v2') == [
            VersionRole.usual,
            VersionRole.excluded,
        ]
        assert late.table.digest == knowing.table.digest

    asyncio.run(test())


def test_a_host_without_roll_outs_fetches_none() -> None:
    async def test() -> None:
        ahead, unused = _Host(), _Host(is_in_use=False)
        ahead.state = LocalState(
            ahead.clock, Catalog(ahead.clock), rollouts=ahead.table
        )
        ahead.read(at(12), rollout_of('v2', at(11), RECORD))
        await unused.meet(ahead)
        assert unused.fetched == 0

    asyncio.run(test())
