"""The UDP socket on which a host exchanges datagrams with the others."""

import asyncio
from typing import cast


class DatagramSocket(asyncio.DatagramProtocol):
    """A socket on the port that all hosts use for one kind of datagram.

    Attributes:
        sent: Number of datagrams sent.
    """

    def __init__(self, port: int) -> None:
        """Create the protocol; `start` opens the socket.

        Args:
            port: UDP port of all hosts.
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
        """Store the transport."""
        # asyncio's datagram transport is not a subclass of the documented type,
        # so an isinstance check would fail.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def error_received(self, exc: Exception) -> None:
        """Ignore an undeliverable datagram; later ones replace it."""

    def _send_bytes(self, address: str, datagram: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self.sent += 1
            self._transport.sendto(datagram, (address, self._port))
