"""Upstreams that leave while a part of the way of that news fails."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

import pytest
from lib.news import (
    NewsFleet,
    bounds_of,
    lose_share,
    running_news_fleet,
    seconds_until,
    uses,
)
from lib.specs import configuration_spec
from soak.proxy import Mode
from tornado.httpclient import HTTPRequest, HTTPResponse

from wardstair.decisions.timing import timing_for
from wardstair.gateway.host import GatewayHost


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
            lambda: not any(uses(one, 'i-1') for one in fleet.hosts)
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
            seconds = await seconds_until(lambda: not uses(late, 'i-1'))
            assert not silent.done()
            return seconds

    run(measure)


def stand_still(fleet: NewsFleet) -> None:
    """Have nothing come from both sentinels any more."""
    for host in fleet.sentinels:
        host.radio.stop()
    cut_off_sentinels(fleet)


def lose_datagrams(fleet: NewsFleet) -> None:
    """Lose a third of all datagrams."""
    for number, host in enumerate(fleet.hosts):
        lose_share(host.radio, Random(number), 1 / 3)


def forget_history(fleet: NewsFleet) -> None:
    """Have watches hear nothing for a second, and end then."""
    fleet.store.silence_watches()
    asyncio.get_running_loop().call_later(1.0, _end_watches, fleet)


def _end_watches(fleet: NewsFleet) -> None:
    for kind in tuple(fleet.store.kinds):
        fleet.store.compact(kind)
    for proxy in fleet.proxies:
        proxy.reset_all()


def leave(fleet: NewsFleet) -> None:
    fleet.let_leave('i-1')


def evacuate(fleet: NewsFleet) -> None:
    fleet.store.put('evacuations', 'north-b', {})


def configure(fleet: NewsFleet) -> None:
    fleet.store.put('config', 'main', configuration_spec(2))


@pytest.mark.parametrize(
    ('harm', 'write', 'is_known'),
    [
        pytest.param(harm, write, is_known, id=f'{failure}, {news}')
        for failure, harm in (
            ('silent watches', silence_all),
            ('sentinels that stand still', stand_still),
            ('lost datagrams', lose_datagrams),
            ('a store that forgets', forget_history),
        )
        for news, write, is_known in (
            ('leaving', leave, lambda host: not uses(host, 'i-1')),
            (
                'evacuation',
                evacuate,
                lambda host: 'north-b' in host.local_state.evacuated,
            ),
            (
                'configuration',
                configure,
                lambda host: host.local_state.versions.configuration == 2,
            ),
        )
    ],
)
def test_news_is_known_in_time_though_a_part_of_its_way_fails(
    harm: Callable[[NewsFleet], None],
    write: Callable[[NewsFleet], None],
    is_known: Callable[[GatewayHost], bool],
) -> None:
    bound = 2.5

    async def measure() -> float:
        async with running_news_fleet(bounds_of(bound)) as fleet:
            await fleet.begin_watches()
            excused = fleet.sentinels if harm is stand_still else []
            harm(fleet)
            write(fleet)
            held = [one for one in fleet.hosts if one not in excused]
            return await seconds_until(lambda: all(map(is_known, held)))

    assert run(measure) < bound


def test_clocks_renew_no_watch_in_whose_kind_nothing_changes() -> None:
    async def measure() -> float:
        async with running_news_fleet(bounds_of(1.5)) as fleet:
            await fleet.begin_watches()
            period = timing_for(1.5, 2.0).second_watch
            # A watch that is young is renewed by the clock after.
            await asyncio.sleep(2 * period)
            begun = watches_of(fleet, 'servers')
            await asyncio.sleep(4 * period)
            return watches_of(fleet, 'servers') - begun

    assert not run(measure)


def watches_of(fleet: NewsFleet, kind: str) -> int:
    """Return how many watches of a kind have begun."""
    return sum(f'{kind}?watch' in call for call in fleet.store.calls)
