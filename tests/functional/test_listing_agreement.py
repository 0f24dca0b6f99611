"""Hosts that list other upstreams than their peers at the same revision."""

import asyncio
from collections.abc import Callable, Iterable

import pytest
from lib.news_player import SERVICE, NewsPlay, layout_of, without_clients
from lib.news_troubles import BOUNDS
from lib.virtual_time import run_virtual

from wardstair.decisions.timing import MAX_BOUND_SHARE
from wardstair.gateway.host import GatewayHost

LEFT = 'i-0'
SETTLE_SECONDS = 6.0


def a_sentinel(play: NewsPlay) -> Iterable[GatewayHost]:
    return [host for host in play.hosts if host.is_sentinel][:1]


def a_relay(play: NewsPlay) -> Iterable[GatewayHost]:
    relays = [host for host in play.hosts if host.members.is_relay]
    return [host for host in relays if not host.is_sentinel][:1]


def a_host_without_a_role(play: NewsPlay) -> Iterable[GatewayHost]:
    return [host for host in play.hosts if not host.members.is_relay][:1]


def half_of_the_hosts(play: NewsPlay) -> Iterable[GatewayHost]:
    return play.hosts[::2]


def all_but_one(play: NewsPlay) -> Iterable[GatewayHost]:
    return play.hosts[1:]


def hosts_that_use(play: NewsPlay) -> list[str]:
    return [
        host.settings.name
        for host in play.hosts
        if any(
            one.name == LEFT
            for one in host.local_state.catalog.of_service(SERVICE)
        )
    ]


@pytest.mark.parametrize(
    'choose',
    [
        a_sentinel,
        a_relay,
        a_host_without_a_role,
        half_of_the_hosts,
        all_but_one,
    ],
)
def test_hosts_that_have_missed_a_removal_notice_it_by_their_peers(
    choose: Callable[[NewsPlay], Iterable[GatewayHost]],
) -> None:
    async def test() -> None:
        play = NewsPlay(layout_of(2, 1, 4), BOUNDS, 6, seed=1)
        with without_clients():
            await play.start_all()
            await asyncio.sleep(SETTLE_SECONDS)
            chosen = list(choose(play))
            assert chosen
            catalogs = [host.local_state.catalog for host in chosen]
            entries = [catalog.upstreams[LEFT].entry for catalog in catalogs]
            play.remove_upstream(LEFT)
            await asyncio.sleep(1)
            assert not hosts_that_use(play)
            for catalog, entry in zip(catalogs, entries, strict=True):
                catalog.apply(
                    [entry], [], catalog.revision, store_was_away=False
                )
            assert len(hosts_that_use(play)) == len(chosen)
            calls = play.store_calls
            await asyncio.sleep(BOUNDS.drain_seconds * MAX_BOUND_SHARE)
            assert not hosts_that_use(play)
            listings = sum(host.agreement.differences for host in play.hosts)
            assert 0 < listings <= len(play.hosts)
            assert play.store_calls - calls < 4 * len(play.hosts)
            await play.close()

    run_virtual(test)
