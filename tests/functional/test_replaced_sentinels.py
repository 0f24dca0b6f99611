"""Hosts that take over as sentinels, which watch the store for their peers."""

import asyncio

from lib.news_player import NewsPlay, layout_of, without_clients
from lib.news_troubles import BOUNDS
from lib.virtual_time import run_virtual


async def _refreshes_after_replacement() -> int:
    with without_clients():
        play = NewsPlay(layout_of(3, 2, 2), BOUNDS, 4, seed=1)
        await play.start_all()
        await asyncio.sleep(12.0)
        for name in play.sentinels:
            await play.kill(name)
        # Until other hosts have replaced them and all know the new roles.
        await asyncio.sleep(3.0)
        before = _refreshes(play)
        await asyncio.sleep(10.0)
        refreshes = _refreshes(play) - before
        await play.close()
    return refreshes


def _refreshes(play: NewsPlay) -> int:
    return sum(host.refresher.asked for host in play.hosts)


def test_no_host_needs_to_refresh_its_state_after_sentinels_were_replaced() -> (
    None
):
    assert not run_virtual(_refreshes_after_replacement)
