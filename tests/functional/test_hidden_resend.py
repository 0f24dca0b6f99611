"""libcurl sends a request again by itself if a reused connection closes early.

The server here answers the first request of a connection and closes it at the
second without sending a byte, which causes the resend.
"""

import asyncio

import pytest

from wardstair.connection.client import close_client, make_client
from wardstair.connection.exchange import Exchange, Outgoing
from wardstair.decisions.attempts import Answered

ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


class ClosingServer:
    """Closes each connection when its second request arrives."""

    def __init__(self) -> None:
        self.received: list[bytes] = []

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        for turn in range(2):
            try:
                head = await reader.readuntil(b'\r\n\r\n')
            except asyncio.IncompleteReadError:
                break
            self.received.append(head.split(b' ', 2)[1])
            if turn == 0:
                writer.write(ANSWER)
        writer.close()


async def send(port: int, path: str, *, is_once: bool) -> Answered | object:
    """Send one request with the shared client."""
    outgoing = Outgoing(
        f'http://127.0.0.1:{port}{path}',
        'GET',
        (),
        'id',
        is_once=is_once,
        body_length=None,
        seconds=5,
    )
    return await Exchange(CLIENTS[-1], outgoing, None).run()


CLIENTS: list = []  # type: ignore[type-arg]


@pytest.mark.parametrize(('is_once', 'times'), [(True, 1), (False, 2)])
def test_a_once_request_is_received_once(is_once: bool, times: int) -> None:
    server = ClosingServer()

    async def test() -> None:
        CLIENTS.append(make_client(10, 1000))
        listener = await asyncio.start_server(server.serve, '127.0.0.1', 0)
        port = listener.sockets[0].getsockname()[1]
        await send(port, '/first', is_once=False)
        outcome = await send(port, '/print-1', is_once=is_once)
        assert outcome == Answered(200)
        close_client(CLIENTS[-1])
        listener.close()

    asyncio.run(test())
    # The repeatable request shows that libcurl does send again. A request that
    # may not be repeated therefore opens its own connection.
    assert server.received.count(b'/print-1') == times
