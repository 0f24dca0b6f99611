"""Requests whose bytes come in any pieces, alone or one behind another."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

import pytest
from lib.rig import Caller, Rig
from lib.upstream_standin import Seen, UpstreamStandin, whole_answer

# Longer than what a connection holds for requests sent ahead of their turn.
LONG = 90_000
SEEDS = range(6)
# Time after which the rest of a request follows, in seconds.
PAUSE_SECONDS = 0.02
SLOW_SECONDS = 0.2


async def answer_slowly(
    _upstream: UpstreamStandin, seen: Seen, writer: asyncio.StreamWriter
) -> None:
    await asyncio.sleep(SLOW_SECONDS)
    body = b'%d' % len(seen.body)
    healthy = 'Wardstair-Server-Seal: s.1\r\nWardstair-Instance-Id: i-1\r\n'
    writer.write(whole_answer(seen.request_id, body, extra=healthy))
    await writer.drain()


def chunked(name: str, body: bytes, sizes: list[int]) -> bytes:
    """Return a request whose body comes in chunks of these sizes in turn."""
    raw = (
        f'POST /read/x HTTP/1.1\r\nHost: music.example\r\n'
        f'Wardstair-Attempt-Id: {name}\r\nWardstair-Deadline-Ms: 9000\r\n'
        'Transfer-Encoding: chunked\r\n\r\n'
    ).encode()
    start = number = 0
    while start < len(body):
        piece = body[start : start + sizes[number % len(sizes)]]
        raw += b'%x\r\n%b\r\n' % (len(piece), piece)
        start += len(piece)
        number += 1
    return raw + b'0\r\n\r\n'


def run(test: Callable[[Rig], Awaitable[None]]) -> None:
    async def main() -> None:
        upstream = UpstreamStandin('i-1', answer_slowly)
        async with Rig(upstream) as rig, asyncio.timeout(25):
            await test(rig)

    asyncio.run(main())


async def send_cut(caller: Caller, raw: bytes, cuts: list[int]) -> None:
    """Send bytes in pieces that end at these places."""
    for start, end in zip([0, *cuts], [*cuts, len(raw)], strict=True):
        caller.writer.write(raw[start:end])
        await caller.writer.drain()
        await asyncio.sleep(PAUSE_SECONDS)


@pytest.mark.parametrize('end_bytes', [2, 5, 7, 9])
def test_a_chunked_request_sent_ahead_is_answered(end_bytes: int) -> None:
    """What came while the connection was full was waited for once more."""
    names = [f'r{number}' for number in range(5)]

    async def test(rig: Rig) -> None:
        caller = await Caller.connect(rig)
        for name in names:
            raw = chunked(name, b'q' * LONG, [LONG])
            await send_cut(caller, raw, [len(raw) - end_bytes])
        answers = [await caller.answer() for _ in names]
        assert [one.status for one in answers] == [200] * len(names)
        assert {one.body for one in answers} == {b'%d' % LONG}
        caller.close()

    run(test)


@pytest.mark.parametrize('seed', SEEDS)
def test_requests_cut_anywhere_are_answered_alike(seed: int) -> None:
    random = Random(seed)
    lengths = [random.choice([1, 100, 5000, LONG]) for _ in range(6)]
    sizes = [random.choice([1, 60, 70, 4096, LONG]) for _ in range(3)]
    sizes = [size if size > 1 else 61 for size in sizes]

    async def test(rig: Rig) -> None:
        caller = await Caller.connect(rig)
        raw = b''.join(
            chunked(f'r{number}', b'q' * length, sizes)
            for number, length in enumerate(lengths)
        )
        cuts = sorted(random.sample(range(1, len(raw)), 40))
        sending = asyncio.ensure_future(send_cut(caller, raw, cuts))
        for length in lengths:
            answer = await caller.answer()
            assert (answer.status, answer.body) == (200, b'%d' % length)
        await sending
        caller.close()

    run(test)


@pytest.mark.parametrize('sent', [b'', b'5\r\nbo', b'4\r\nbody\r\n'])
def test_a_request_that_is_never_completed_ends_with_its_time(
    sent: bytes,
) -> None:
    """Its connection and memory were held until the caller closed."""

    async def test(rig: Rig) -> None:
        caller = await Caller.connect(rig)
        head = chunked('r1', b'', [1]).removesuffix(b'0\r\n\r\n')
        caller.writer.write(head.replace(b': 9000', b': 400') + sent)
        answer = await caller.answer()
        assert answer.status == 408
        assert answer.headers['connection'] == 'close'
        caller.close()
        await rig.until(lambda: not rig.gateway.callers.open_count)
        assert not rig.gateway.callers.bodies.held_bytes
        assert not [one for one in rig.upstreams[0].seen if one.request_id]

    run(test)
