"""Hosts that never answer the state queries of a peer."""

import asyncio
from collections.abc import Awaitable
from dataclasses import dataclass, field, replace
from urllib.parse import urlsplit

import pytest
from lib.news_player import NewsPlay, layout_of, without_clients
from lib.news_troubles import BOUNDS, CALM_SECONDS
from lib.virtual_time import run_virtual
from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse

from wardstair.decisions.timing import MAX_BOUND_SHARE
from wardstair.fleet.heartbeats import Versions
from wardstair.gateway.host import GatewayHost

OBSERVED_SECONDS = 5.0
# Upstreams that leave at once: the update is too large for a datagram.
LEAVING = 40
# Shorter than the pause after a change, in which changes are coalesced.
COALESCED_SECONDS = 0.06


@dataclass
class _QueryRecorder:
    """Records the queries of a host, and leaves some of them unanswered.

    Attributes:
        host: The host that sends the queries.
        stuck: Number of peers that never answer: those queried first.
        silent: Addresses of other peers that do not answer either.
        hosts: Queried addresses, in the order of the first query.
        open: Addresses of the open queries.
        max_open: Most queries that were open to one peer at the same time.
        queries: Number of queries sent.
    """

    host: GatewayHost
    stuck: int
    silent: set[str] = field(default_factory=set)
    hosts: list[str] = field(default_factory=list)
    open: list[str] = field(default_factory=list)
    max_open: int = 0
    queries: int = 0

    def __post_init__(self) -> None:
        self._forward_query = self.host.exchange.ask
        self.host.exchange.ask = self._ask

    def _ask(self, request: HTTPRequest) -> Awaitable[HTTPResponse]:
        return self._answer(request, str(urlsplit(request.url).hostname))

    async def _answer(self, request: HTTPRequest, host: str) -> HTTPResponse:
        if host not in self.hosts:
            self.hosts.append(host)
        self.open.append(host)
        self.queries += 1
        self.max_open = max(self.max_open, self.open.count(host))
        try:
            if host not in self.silent.union(self.hosts[: self.stuck]):
                return await self._forward_query(request)
            await asyncio.sleep(request.request_timeout or 0)
            raise HTTPClientError(599, 'timeout')
        finally:
            self.open.remove(host)


@dataclass(frozen=True)
class _Result:
    """Result of a simulated run.

    Attributes:
        seconds: Most seconds from an acknowledgement to the last use.
        max_open: Most queries that were open to one peer at the same time.
        queried: Number of peers that were queried.
        queries: Number of queries that they received.
    """

    seconds: float
    max_open: int
    queried: int
    queries: int


def play_stuck(stuck: int, seed: int, *, differs: bool) -> _Result:
    """Have upstreams leave while peers do not answer the queries of a host.

    Args:
        stuck: Number of peers that do not answer.
        seed: Seed of all random draws.
        differs: Whether one more peer does not answer, which is queried
            earlier because its digest of suspect requests differs.
    """

    async def main() -> _Result:
        with without_clients():
            play = NewsPlay(layout_of(2, 1, 5), BOUNDS, 48, seed)
            await play.start_all()
            polling = asyncio.ensure_future(play.look())
            await asyncio.sleep(CALM_SECONDS)
            result = await _measure(play, stuck, differs=differs)
            polling.cancel()
            await play.close()
            return result

    return run_virtual(main)


async def _measure(play: NewsPlay, stuck: int, *, differs: bool) -> _Result:
    first, second = play.sentinels[:2]
    late, reporter = [
        name
        for name, place in play.places.items()
        if place.settings.zone == play.places[first].settings.zone
        and name not in {first, second}
    ][:2]
    # This host learns from peers only.
    place = play.places[late]
    place.is_cut_from_store = True
    play.silence_watches([place])
    assert place.host is not None
    recorder = _QueryRecorder(place.host, stuck)
    # Sentinels coalesce the following changes with this one, and report all of
    # them later.
    play.let_leave('i-47')
    await asyncio.sleep(COALESCED_SECONDS)
    for number in range(LEAVING):
        play.let_leave(f'i-{number}')
    if differs:
        await asyncio.sleep(COALESCED_SECONDS)
        recorder.silent.add(play.places[reporter].settings.address)
        _report_changed_digest(play, reporter)
    await asyncio.sleep(OBSERVED_SECONDS)
    seconds = max(
        left.used_until.get(late, left.at) - left.at for left in play.leaving
    )
    return _Result(
        seconds,
        recorder.max_open,
        len(recorder.hosts),
        recorder.queries,
    )


def _report_changed_digest(play: NewsPlay, reporter: str) -> None:
    host = play.places[reporter].host
    assert host is not None
    versions = host.heartbeat_endpoint._versions

    def changed() -> Versions:
        return replace(versions(), suspects=12345)

    host.heartbeat_endpoint._versions = changed
    host.heartbeat_endpoint.send_heartbeats()


@pytest.mark.parametrize('seed', [1, 2])
@pytest.mark.parametrize('stuck', [1, 2, 3])
def test_peers_that_never_answer_do_not_delay_updates(
    stuck: int,
    seed: int,
) -> None:
    result = play_stuck(stuck, seed, differs=False)
    assert result.seconds <= BOUNDS.drain_seconds * MAX_BOUND_SHARE
    assert result.queried > stuck
    assert result.max_open == 1


@pytest.mark.parametrize('seed', [1, 2])
def test_an_unanswered_query_for_a_digest_does_not_delay_updates(
    seed: int,
) -> None:
    result = play_stuck(0, seed, differs=True)
    assert result.seconds <= BOUNDS.drain_seconds * MAX_BOUND_SHARE
    assert result.max_open == 1


@pytest.mark.parametrize('seed', [1, 2])
def test_no_query_is_repeated_while_all_peers_answer(seed: int) -> None:
    result = play_stuck(0, seed, differs=False)
    # The first change is an update of its own.
    assert result.queries <= 2
