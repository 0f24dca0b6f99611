"""When changes of a host's state are announced to other hosts."""

import asyncio

import pytest

from wardstair.gateway.announcing import ANNOUNCE_DELAY_SECONDS, ChangeAnnouncer


@pytest.mark.parametrize(
    ('min_interval_seconds', 'announcements'),
    [
        pytest.param(0.0, 2, id='without a minimum interval'),
        pytest.param(60.0, 1, id='within the minimum interval'),
    ],
)
def test_changes_of_one_moment_are_announced_once(
    min_interval_seconds: float,
    announcements: int,
) -> None:
    async def test() -> None:
        announced: list[None] = []
        is_announced = asyncio.Event()

        def announce() -> None:
            announced.append(None)
            is_announced.set()

        announcer = ChangeAnnouncer(announce, min_interval_seconds)
        for _ in range(5):
            announcer.schedule()
        await asyncio.wait_for(is_announced.wait(), 10)
        is_announced.clear()
        for _ in range(5):
            announcer.schedule()
        if announcements > 1:
            await asyncio.wait_for(is_announced.wait(), 10)
        else:
            await asyncio.sleep(3 * ANNOUNCE_DELAY_SECONDS)
        announcer.close()
        assert len(announced) == announcements

    asyncio.run(test())


def test_nothing_is_announced_after_close() -> None:
    async def test() -> None:
        announced: list[None] = []
        announcer = ChangeAnnouncer(lambda: announced.append(None))
        announcer.schedule()
        announcer.close()
        await asyncio.sleep(2 * ANNOUNCE_DELAY_SECONDS)
        assert not announced

    asyncio.run(test())
