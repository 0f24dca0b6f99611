"""Hosts that never answer the question of another for what it lacks."""

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

AFTER_SECONDS = 5.0
# What they say is too large for a datagram.
LEAVING = 40
# Less than the pause after a change.
JOINED_SECONDS = 0.06


@dataclass
class _Asking:
    """Has the hosts that are asked first never answer.

    Attributes:
        stuck: How many.
        silent: Addresses of others that do not answer either.
        hosts: Addresses asked, in the order of the first question.
        open: Addresses of questions that are not answered.
        most: The most questions that were open at once to one host.
        questions: Questions that were asked.
    """

    host: GatewayHost
    stuck: int
    silent: set[str] = field(default_factory=set)
    hosts: list[str] = field(default_factory=list)
    open: list[str] = field(default_factory=list)
    most: int = 0
    questions: int = 0

    def __post_init__(self) -> None:
        self._passed_on = self.host.exchange.ask
        self.host.exchange.ask = self._ask

    def _ask(self, request: HTTPRequest) -> Awaitable[HTTPResponse]:
        return self._answer(request, str(urlsplit(request.url).hostname))

    async def _answer(self, request: HTTPRequest, host: str) -> HTTPResponse:
        if host not in self.hosts:
            self.hosts.append(host)
        self.open.append(host)
        self.questions += 1
        self.most = max(self.most, self.open.count(host))
        try:
            if host not in self.silent.union(self.hosts[: self.stuck]):
                return await self._passed_on(request)
            await asyncio.sleep(request.request_timeout or 0)
            raise HTTPClientError(599, 'timeout')
        finally:
            self.open.remove(host)


@dataclass(frozen=True)
class _Shown:
    """What a play has shown.

    Attributes:
        seconds: From the acknowledgement to the last use.
        most: The most questions that were open at once to one host.
        asked: How many hosts were asked.
        questions: How many questions they were asked.
    """

    seconds: float
    most: int
    asked: int
    questions: int


def play_stuck(stuck: int, seed: int, *, differs: bool) -> _Shown:
    """Have upstreams leave while hosts do not answer another.

    Args:
        stuck: Number of hosts that do not.
        seed: Of all draws.
        differs: Whether one more does not that is asked before, as what it
            tells of requests that end upstreams differs.
    """

    async def main() -> _Shown:
        with without_clients():
            play = NewsPlay(layout_of(2, 1, 5), BOUNDS, 48, seed)
            await play.start_all()
            looking = asyncio.ensure_future(play.look())
            await asyncio.sleep(CALM_SECONDS)
            shown = await _shown(play, stuck, differs=differs)
            looking.cancel()
            await play.close()
            return shown

    return run_virtual(main)


async def _shown(play: NewsPlay, stuck: int, *, differs: bool) -> _Shown:
    first, second = play.sentinels[:2]
    late, teller = [
        name
        for name, place in play.places.items()
        if place.settings.zone == play.places[first].settings.zone
        and name not in {first, second}
    ][:2]
    # It learns from others only.
    place = play.places[late]
    place.is_cut_from_store = True
    play.silence_watches([place])
    assert place.host is not None
    asking = _Asking(place.host, stuck)
    # Sentinels join what follows with it, and tell of both later.
    play.let_leave('i-47')
    await asyncio.sleep(JOINED_SECONDS)
    for number in range(LEAVING):
        play.let_leave(f'i-{number}')
    if differs:
        await asyncio.sleep(JOINED_SECONDS)
        asking.silent.add(play.places[teller].settings.address)
        _tell_of_another_digest(play, teller)
    await asyncio.sleep(AFTER_SECONDS)
    seconds = max(
        left.used_until.get(late, left.at) - left.at for left in play.leaving
    )
    return _Shown(
        seconds,
        asking.most,
        len(asking.hosts),
        asking.questions,
    )


def _tell_of_another_digest(play: NewsPlay, teller: str) -> None:
    host = play.places[teller].host
    assert host is not None
    tell = host.radio._versions

    def told() -> Versions:
        return replace(tell(), suspects=12345)

    host.radio._versions = told
    host.radio.send_heartbeats()


@pytest.mark.parametrize('seed', [1, 2])
@pytest.mark.parametrize('stuck', [1, 2, 3])
def test_hosts_that_never_answer_do_not_make_news_late(
    stuck: int,
    seed: int,
) -> None:
    shown = play_stuck(stuck, seed, differs=False)
    assert shown.seconds <= BOUNDS.drain_seconds * MAX_BOUND_SHARE
    assert shown.asked > stuck
    assert shown.most == 1


@pytest.mark.parametrize('seed', [1, 2])
def test_a_digest_that_nobody_answers_for_does_not_make_news_late(
    seed: int,
) -> None:
    shown = play_stuck(0, seed, differs=True)
    assert shown.seconds <= BOUNDS.drain_seconds * MAX_BOUND_SHARE
    assert shown.most == 1


@pytest.mark.parametrize('seed', [1, 2])
def test_nobody_is_asked_twice_for_news_where_all_answer(seed: int) -> None:
    shown = play_stuck(0, seed, differs=False)
    # The change before is news of its own.
    assert shown.questions <= 2
