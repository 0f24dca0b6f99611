"""The UDP socket on which a host exchanges datagrams with the others."""

import asyncio
from typing import cast


class DatagramSocket(asyncio.DatagramProtocol):
    """A socket bound to the port that all hosts use for one purpose.

    Attributes:
        sent: Datagrams sent.
    """

    def __init__(self, port: int) -> None:
        """Prepare without a socket.

        Args:
            port: Port of all hosts.
        """
        self.sent = 0
        self._port = port
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, address: str) -> None:
        """Open the socket.

        Args:
            address: IP address of this host.
        """
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=(address, self._port),
        )

    def stop(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        # asyncio's own datagram transport is not a subclass of the type that
        # it documents, so an isinstance check would fail here.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def error_received(self, exc: Exception) -> None:
        """Ignore a datagram that could not be delivered; the next may be."""

    def _send_bytes(self, address: str, datagram: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self.sent += 1
            self._transport.sendto(datagram, (address, self._port))
