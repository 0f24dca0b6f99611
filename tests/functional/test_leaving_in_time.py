"""Upstreams that leave while a part of the way of that news fails."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from lib.news import NewsFleet, bounds_of, running_news_fleet, seconds_until
from soak.proxy import Mode
from tornado.httpclient import HTTPRequest, HTTPResponse


def run(measure: Callable[[], Awaitable[float]]) -> float:
    """Return what a test measures within a bound of time."""

    async def main() -> float:
        async with asyncio.timeout(60):
            return await measure()

    return asyncio.run(main())


def silence_all(fleet: NewsFleet) -> None:
    """Have each waiting watch hear nothing; new connections work."""
    for proxy in fleet.proxies:
        proxy.silence_open()


def silence_one_sentinel(fleet: NewsFleet) -> None:
    """Have the waiting watches of one sentinel hear nothing."""
    for proxy in fleet.proxies_of(fleet.sentinels[:1]):
        proxy.silence_open()


def cut_off_sentinels(fleet: NewsFleet) -> None:
    """Have nothing arrive any more on the ways of both sentinels."""
    for proxy in fleet.proxies_of(fleet.sentinels):
        proxy.set_mode(Mode.silence)


@pytest.mark.parametrize('bound', [1.5, 2.5])
def test_a_leaving_upstream_is_known_in_time_when_all_watches_fall_silent(
    bound: float,
) -> None:
    assert run(lambda: _seconds_to_leave(silence_all, bound)) < bound


def test_a_sentinel_whose_watches_fall_silent_learns_from_others() -> None:
    bound = 1.5
    assert run(lambda: _seconds_to_leave(silence_one_sentinel, bound)) < bound


def test_sentinels_that_lose_their_way_to_the_store_learn_from_others() -> None:
    bound = 2.5
    assert run(lambda: _seconds_to_leave(cut_off_sentinels, bound)) < bound


async def _seconds_to_leave(
    harm: Callable[[NewsFleet], None],
    bound: float,
) -> float:
    async with running_news_fleet(bounds_of(bound)) as fleet:
        await fleet.begin_watches()
        harm(fleet)
        fleet.let_leave('i-1')
        return await seconds_until(
            lambda: not any(fleet.uses(one, 'i-1') for one in fleet.hosts)
        )


def test_another_host_is_asked_while_one_does_not_answer() -> None:
    async def measure() -> float:
        async with running_news_fleet(bounds_of(2.5)) as fleet:
            late = next(one for one in fleet.hosts if not one.is_sentinel)
            silent: asyncio.Future[HTTPResponse] = asyncio.Future()
            asked: list[HTTPRequest] = []
            answer = late.exchange.ask

            def ask(request: HTTPRequest) -> Awaitable[HTTPResponse]:
                asked.append(request)
                return answer(request) if len(asked) > 1 else silent

            late.exchange.ask = ask
            fleet.let_leave('i-1')
            seconds = await seconds_until(lambda: not fleet.uses(late, 'i-1'))
            assert not silent.done()
            return seconds

    run(measure)
