"""Upstreams that begin a long body and read it late."""

import asyncio
import socket
from collections.abc import Awaitable, Callable

import pytest
from lib.rig import Caller, Rig
from lib.specs import ADDRESS, configuration_spec, route_spec
from lib.upstream_standin import UpstreamStandin, whole_answer

from wardstair.connection.silence import UNACKNOWLEDGED_SECONDS
from wardstair.connection.stalled_sends import CHECK_SECONDS

BODY_BYTES = 1_000_000
# Longer than the timeout, and within the deadline that callers state.
LATE_SECONDS = UNACKNOWLEDGED_SECONDS + 2 * CHECK_SECONDS
# Time of the route, in milliseconds.
ROUTE_MILLISECONDS = 8000
WINDOW_BYTES = 16384


class LateReader(UpstreamStandin):
    """An upstream that pauses between the head of an upload and its body.

    Attributes:
        broken: Number of uploads whose connection ended during the pause.
    """

    broken = 0

    async def start(self) -> None:
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        listening.bind((ADDRESS, 0))
        self.port = listening.getsockname()[1]
        self._server = await asyncio.start_server(
            self._read_late, sock=listening, limit=WINDOW_BYTES
        )

    async def _read_late(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode()
                fields = dict(
                    line.lower().split(': ', 1)
                    for line in head.split('\r\n')[1:]
                    if line
                )
                length = int(fields.get('content-length', 0))
                if length:
                    self.got_one.set()
                    await asyncio.sleep(LATE_SECONDS)
                body = await reader.readexactly(length)
                name = fields.get('wardstair-attempt-id', '')
                writer.write(whole_answer(name, b'%d' % len(body)))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            self.broken += 1
            writer.close()


def run(test: Callable[[Rig], Awaitable[None]], late: LateReader) -> None:
    async def main() -> None:
        async with Rig(late) as rig, asyncio.timeout(25):
            route = route_spec(
                '/send/', 'upload', timeout_ms=ROUTE_MILLISECONDS
            )
            rig.store.put('config', 'main', configuration_spec(2, send=route))
            state = rig.gateway.local_state
            await rig.until(
                lambda: (
                    state.steering is not None and state.steering.version == 2
                )
            )
            await test(rig)

    asyncio.run(main())


@pytest.mark.parametrize('is_stopping', [False, True])
def test_an_upload_to_a_late_reader_is_not_broken_off(
    is_stopping: bool,
) -> None:
    """The user timeout of the socket ended it while the peer had no room."""
    late = LateReader('i-1')

    async def test(rig: Rig) -> None:
        caller = await Caller.connect(rig)
        sending = asyncio.ensure_future(
            caller.send('/send/x', 'POST', b'x' * BODY_BYTES, 'r1')
        )
        await late.got_one.wait()
        stopping = None
        if is_stopping:
            stopping = asyncio.ensure_future(rig.gateway.stop())
        answer = await caller.answer()
        await sending
        assert (answer.status, answer.body) == (200, b'%d' % BODY_BYTES)
        caller.close()
        if stopping is not None:
            await stopping

    run(test, late)
