"""Socket options that end connections on which the other side is silent."""

import asyncio
import socket
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import pytest
from lib.rig import Rig
from lib.upstream_standin import UpstreamStandin

from wardstair.connection.silence import (
    PROBE_SECONDS,
    UNACKNOWLEDGED_SECONDS,
    notice_silence_of,
)

EXPECTED_OPTIONS = {
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT): UNACKNOWLEDGED_SECONDS
    * 1000,
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE): 1,
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE): PROBE_SECONDS,
}


def options(checked: Any) -> dict[tuple[int, int], float]:
    """Return the options of a socket."""
    return {name: checked.getsockopt(*name) for name in EXPECTED_OPTIONS}


@contextmanager
def curl_sockets(monkeypatch: pytest.MonkeyPatch) -> Iterator[list[int]]:
    """Collect the descriptors that the store client configures."""
    seen: list[int] = []

    def note(descriptor: int) -> None:
        notice_silence_of(descriptor)
        seen.append(descriptor)

    monkeypatch.setattr('wardstair.platform.store.notice_silence_of', note)
    yield seen


def test_connections_to_upstreams_detect_silence() -> None:
    upstream = UpstreamStandin('i-1')

    async def main() -> None:
        async with Rig(upstream) as rig, asyncio.timeout(25):
            await rig.ask()
            connection = rig.gateway.pool.borrow('i-1', is_once=False)
            assert connection is not None
            assert connection._transport is not None
            connection_socket = connection._transport.get_extra_info('socket')
            assert options(connection_socket) == EXPECTED_OPTIONS
            connection.close()

    asyncio.run(main())


def test_connections_to_the_store_detect_silence(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> None:
        async with Rig(UpstreamStandin('i-1')):
            for descriptor in seen[-2:]:
                borrowed = socket.socket(fileno=descriptor)
                try:
                    assert options(borrowed) == EXPECTED_OPTIONS
                finally:
                    borrowed.detach()

    with curl_sockets(monkeypatch) as seen:
        asyncio.run(main())
    assert seen


def test_setting_options_leaves_the_descriptor_open() -> None:
    with socket.socket() as own:
        notice_silence_of(own.fileno())
        assert options(own) == EXPECTED_OPTIONS
