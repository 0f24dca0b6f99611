"""When other hosts are told that this one has learned something."""

import asyncio

import pytest

from wardstair.gateway.announcing import ANNOUNCE_DELAY_SECONDS, ChangeAnnouncer


@pytest.mark.parametrize(
    ('least_seconds', 'tellings'),
    [
        pytest.param(0.0, 2, id='as soon as there is more'),
        pytest.param(60.0, 1, id='not before the pause is over'),
    ],
)
def test_news_of_one_moment_are_told_once(
    least_seconds: float,
    tellings: int,
) -> None:
    async def test() -> None:
        told: list[None] = []
        is_told = asyncio.Event()

        def tell() -> None:
            told.append(None)
            is_told.set()

        teller = ChangeAnnouncer(tell, least_seconds)
        for _ in range(5):
            teller.note()
        await asyncio.wait_for(is_told.wait(), 10)
        is_told.clear()
        for _ in range(5):
            teller.note()
        if tellings > 1:
            await asyncio.wait_for(is_told.wait(), 10)
        else:
            await asyncio.sleep(3 * ANNOUNCE_DELAY_SECONDS)
        teller.close()
        assert len(told) == tellings

    asyncio.run(test())


def test_nothing_is_told_after_the_end() -> None:
    async def test() -> None:
        told: list[None] = []
        teller = ChangeAnnouncer(lambda: told.append(None))
        teller.note()
        teller.close()
        await asyncio.sleep(2 * ANNOUNCE_DELAY_SECONDS)
        assert not told

    asyncio.run(test())
