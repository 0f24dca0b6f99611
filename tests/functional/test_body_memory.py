"""Memory that the bodies of requests and answers take up."""

import asyncio
import gc
from collections.abc import Awaitable, Callable

import pytest
from lib.rig import Caller, Rig
from lib.upstream_standin import Seen, UpstreamStandin, whole_answer

from wardstair.connection.upstream import RawAnswer
from wardstair.gateway.messages import Inbound, Reply

BODY_BYTES = 400_000
SECONDS = 25


def run(
    test: Callable[[Rig], Awaitable[None]], *upstreams: UpstreamStandin
) -> None:
    """Run a test against a gateway with these upstreams."""

    async def main() -> None:
        async with Rig(*upstreams) as rig, asyncio.timeout(SECONDS):
            await test(rig)

    asyncio.run(main())


async def answer_long(
    upstream: UpstreamStandin, seen: Seen, writer: asyncio.StreamWriter
) -> None:
    """Answer with a long body; keep no request."""
    upstream.seen.clear()
    writer.write(whole_answer(seen.request_id, b'a' * BODY_BYTES))
    await writer.drain()


async def reset(
    upstream: UpstreamStandin, _seen: Seen, writer: asyncio.StreamWriter
) -> None:
    """Reset the connection in place of an answer."""
    upstream.seen.clear()
    writer.transport.abort()


@pytest.mark.parametrize(
    ('script', 'status'), [(answer_long, 200), (reset, 502)]
)
def test_bodies_are_freed_without_a_garbage_collection(
    script: Callable[..., Awaitable[None]], status: int
) -> None:
    """A cycle with the parser kept each body until the next collection."""

    async def test(rig: Rig) -> None:
        gc.collect()
        gc.disable()
        try:
            caller = await Caller.connect(rig)
            for number in range(3):
                body = b'x' * BODY_BYTES
                answer = await caller.ask('/send/x', 'POST', body, f'r{number}')
                assert answer.status == status
            caller.close()
            await rig.until(lambda: not rig.gateway.callers.open_count)
            await asyncio.sleep(0)
            kept = [
                one
                for one in gc.get_objects()
                if isinstance(one, Inbound | RawAnswer)
                or (isinstance(one, Reply) and len(one.body) >= BODY_BYTES)
            ]
            assert not kept
        finally:
            gc.enable()

    run(test, UpstreamStandin('i-1', script))
