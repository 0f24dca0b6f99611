"""Hosts that watch the store for others from now on."""

import asyncio

from lib.news_player import NewsPlay, layout_of, without_clients
from lib.news_troubles import BOUNDS
from lib.virtual_time import run_virtual


async def _asked_after_replacement() -> int:
    with without_clients():
        play = NewsPlay(layout_of(3, 2, 2), BOUNDS, 4, seed=1)
        await play.start_all()
        await asyncio.sleep(12.0)
        for name in play.sentinels:
            await play.kill(name)
        # Others have replaced them, and all know each other's roles.
        await asyncio.sleep(3.0)
        before = _asked(play)
        await asyncio.sleep(10.0)
        asked = _asked(play) - before
        await play.close()
    return asked


def _asked(play: NewsPlay) -> int:
    return sum(host.refresher.asked for host in play.hosts)


def test_no_state_grows_old_after_sentinels_were_replaced() -> None:
    assert not run_virtual(_asked_after_replacement)
