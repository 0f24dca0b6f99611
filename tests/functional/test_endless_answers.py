"""Upstreams that send bytes without an end in place of an answer."""

import asyncio
import json
import os
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
from lib.logs import logged
from lib.rig import Answer, Caller, Rig
from lib.upstream_standin import (
    Script,
    Seen,
    UpstreamStandin,
    whole_answer,
)

from wardstair.connection.upstream import MAX_HEAD_BYTES, BreakReason

STATUS = b'HTTP/1.1 200 OK\r\n'
PIECE = b'x' * 65536
# Upstreams that send slowly do so once in this time, in seconds.
PAUSE_SECONDS = 0.01
# Capacity of a small host, and memory apart from it in which a test may run.
CAPACITY_BYTES = 4194304
OTHER_BYTES = 50331648
CALLERS = 48
# Pieces of an answer that the buffers of the kernel can't hold.
LARGE_PIECES = 256
LARGE_CAPACITY_BYTES = 67108864


def endless(begin: bytes, piece: bytes, pause: float = 0.0) -> Script:
    """Return the script of an upstream that repeats a piece.

    Args:
        begin: First bytes; the request id stands for `%s`.
        piece: What follows again and again.
        pause: Seconds between two pieces.
    """

    async def answer(
        upstream: UpstreamStandin,
        seen: Seen,
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(begin.replace(b'%s', seen.request_id.encode()))
        try:
            while True:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(pause)
        finally:
            # Only the gateway ends it, by closing the connection.
            upstream.closed_by_peer.set()

    return answer


OWN = STATUS + b'Wardstair-Attempt-Id: %s\r\nWardstair-Server-Seal: s.1\r\n'
CHUNKED = OWN + b'Transfer-Encoding: chunked\r\n\r\n'
FAST = {
    'header line': endless(STATUS + b'Name: ', PIECE),
    'header fields': endless(STATUS, b'Name: text\r\n' * 100),
    'interim answers': endless(b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 100),
    'chunk extension': endless(CHUNKED + b'1;', PIECE),
    'trailers': endless(CHUNKED + b'0\r\n', b'Name: text\r\n' * 100),
    'body with length': endless(
        OWN + b'Content-Length: 99999999999\r\n\r\n', PIECE
    ),
    'chunked body': endless(CHUNKED, b'10000\r\n' + PIECE + b'\r\n'),
    'body until close': endless(OWN + b'\r\n', PIECE),
    'no HTTP': endless(b'', b'\0' * 1000),
}
SLOW = {
    'header line': endless(STATUS + b'Name: ', b'x', PAUSE_SECONDS),
    'interim answers': endless(
        b'', b'HTTP/1.1 100 Continue\r\n\r\n', PAUSE_SECONDS
    ),
    'body': endless(OWN + b'\r\n', b'x', PAUSE_SECONDS),
}


def run(
    test: Callable[[Rig], Awaitable[None]],
    *upstreams: UpstreamStandin,
) -> None:
    """Run a test on one gateway with little capacity for answers."""

    async def main() -> None:
        async with Rig(*upstreams) as rig, asyncio.timeout(20):
            rig.gateway.callers.bodies.max_bytes = CAPACITY_BYTES
            await test(rig)
            await rig.until(lambda: not rig.gateway.callers.bodies.held_bytes)

    asyncio.run(main())


@pytest.mark.parametrize('name', FAST)
def test_a_repeatable_request_is_answered_by_another_upstream(
    name: str,
) -> None:
    broken = UpstreamStandin('i-1', FAST[name])

    async def test(rig: Rig) -> None:
        number = 0
        while not broken.seen:
            number += 1
            with logged() as lines:
                answer = await rig.ask(request_id=f'r{number}', key=str(number))
            assert (answer.status, answer.body) == (200, b'i-2')
        await broken.closed_by_peer.wait()
        (reason,) = rig.gateway.sender.broken
        assert any(
            f'event=exchange-broken request=r{number} ' in line
            and f' upstream=i-1 reason={reason} ' in line
            for line in lines
        )
        assert reason in {
            BreakReason.endless,
            BreakReason.no_memory,
            BreakReason.malformed,
        }
        assert rig.gateway.local_state.catalog.upstreams['i-1'].failures

    run(test, broken, UpstreamStandin('i-2'))


@pytest.mark.parametrize('name', FAST)
def test_a_request_that_may_run_once_ends_truthfully(name: str) -> None:
    broken = UpstreamStandin('i-1', FAST[name])

    async def test(rig: Rig) -> None:
        answer = await rig.ask('/order/x', 'POST', b'order')
        assert answer.status == 502
        assert json.loads(answer.body)['kind'] == 'outcome-unknown'
        assert len(broken.seen) == 1
        await broken.closed_by_peer.wait()

    run(test, broken)


@pytest.mark.parametrize('name', SLOW)
@pytest.mark.parametrize('target', ['/read/x', '/order/x'])
def test_an_answer_without_an_end_ends_with_the_time_of_its_request(
    name: str,
    target: str,
) -> None:
    upstreams = [UpstreamStandin(f'i-{one}', SLOW[name]) for one in range(2)]

    async def test(rig: Rig) -> None:
        answer = await rig.ask(target, 'POST', b'order')
        assert answer.status == 504
        for upstream in upstreams:
            if upstream.seen:
                await upstream.closed_by_peer.wait()

    run(test, *upstreams)


def test_a_hedge_ends_the_answer_without_an_end_beside_it() -> None:
    broken = UpstreamStandin('i-1', SLOW['body'])

    async def test(rig: Rig) -> None:
        number = 0
        while not broken.seen:
            number += 1
            answer = await rig.ask(request_id=f'r{number}', key=str(number))
            assert (answer.status, answer.body) == (200, b'i-2')
        await broken.closed_by_peer.wait()

    run(test, broken, UpstreamStandin('i-2'))


def resident_bytes() -> int:
    """Return the memory of this process."""
    pages = int(Path('/proc/self/statm').read_text().split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE')


@pytest.mark.parametrize('name', ['header fields', 'chunked body', 'no length'])
def test_many_answers_without_an_end_take_a_bounded_memory(name: str) -> None:
    scripts = {**FAST, 'no length': FAST['body until close']}
    broken = UpstreamStandin('i-1', scripts[name])
    peak = 0

    async def watch(rig: Rig) -> None:
        nonlocal peak
        while True:
            bodies = rig.gateway.callers.bodies
            assert bodies.held_bytes <= bodies.max_bytes
            peak = max(peak, resident_bytes())
            await asyncio.sleep(PAUSE_SECONDS)

    async def ask(rig: Rig, number: int) -> Answer:
        caller = await Caller.connect(rig)
        try:
            return await caller.ask(
                '/order/x', 'POST', b'order', f'r{number}', key=str(number)
            )
        finally:
            caller.close()

    async def test(rig: Rig) -> None:
        catalog = rig.gateway.local_state.catalog
        known = catalog.upstreams['i-1']
        before = resident_bytes()
        watching = asyncio.ensure_future(watch(rig))
        for _ in range(4):
            known.reset_failures()
            answers = await asyncio.gather(
                *(ask(rig, number) for number in range(CALLERS))
            )
            assert {one.status for one in answers} <= {502, 503, 504}
        assert not watching.done()
        watching.cancel()
        assert rig.gateway.sender.broken
        most = CAPACITY_BYTES + CALLERS * MAX_HEAD_BYTES
        assert peak - before <= most + OTHER_BYTES

    run(test, broken)


async def answer_large(
    _upstream: UpstreamStandin,
    seen: Seen,
    writer: asyncio.StreamWriter,
) -> None:
    """Answer with more than the buffers of a connection hold."""
    writer.write(whole_answer(seen.request_id, PIECE * LARGE_PIECES))
    await writer.drain()


def test_capacity_is_free_again_when_a_caller_leaves_its_answer_unread() -> (
    None
):
    async def test(rig: Rig) -> None:
        bodies = rig.gateway.callers.bodies
        bodies.max_bytes = LARGE_CAPACITY_BYTES
        caller = await Caller.connect(rig)
        transport = caller.writer.transport
        assert isinstance(transport, asyncio.Transport)
        transport.pause_reading()
        receiver = caller.writer.get_extra_info('socket')
        receiver.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        await caller.send('/read/x')
        await rig.until(lambda: bodies.held_bytes > len(PIECE) * LARGE_PIECES)
        # The upstream has answered; the caller has not read the answer.
        upstream = rig.gateway.local_state.catalog.upstreams['i-1']
        await rig.until(lambda: not upstream.in_flight)
        assert rig.gateway.callers.open_count == 1
        assert bodies.held_bytes > len(PIECE) * LARGE_PIECES
        caller.close()
        await rig.until(lambda: not rig.gateway.callers.open_count)
        await rig.until(lambda: not bodies.held_bytes)

    run(test, UpstreamStandin('i-1', answer_large))


def test_capacity_is_free_again_once_answers_are_passed_on() -> None:
    async def test(rig: Rig) -> None:
        bodies = rig.gateway.callers.bodies
        for number in range(8):
            answer = await rig.ask(request_id=f'r{number}')
            assert answer.status == 200
        await rig.until(lambda: not bodies.held_bytes)

    run(test, UpstreamStandin('i-1'))
