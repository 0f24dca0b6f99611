"""What the troubles of played fleets do."""

import asyncio

from lib.news_player import NewsPlay, layout_of, without_clients
from lib.news_troubles import BOUNDS
from lib.virtual_time import run_virtual


async def _still_host() -> tuple[bool, bool, bool]:
    with without_clients():
        play = NewsPlay(layout_of(2, 1, 1), BOUNDS, 2, seed=1)
        await play.start_all()
        await asyncio.sleep(4.0)
        name, other = play.places
        still = asyncio.ensure_future(play.stand_still(name, 2.0))
        await asyncio.sleep(0.1)
        play.let_leave('i-0')
        await asyncio.sleep(1.8)
        during = _knows(play, name)
        others = _knows(play, other)
        await still
        await asyncio.sleep(0.05)
        after = _knows(play, name)
        await play.close()
        return during, others, after


def _knows(play: NewsPlay, name: str) -> bool:
    host = play.places[name].host
    assert host is not None
    return host.local_state.versions.upstreams.number >= play.store.revision


def test_still_host_learns_afterwards() -> None:
    during, others, after = run_virtual(_still_host)
    assert not during
    assert others
    assert after
