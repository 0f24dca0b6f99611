"""The UDP socket on which a host exchanges datagrams with the others."""

import asyncio
import socket
from functools import lru_cache
from typing import cast

from wardstair.fleet.fields import is_ip
from wardstair.process.log import log_warning
from wardstair.process.log_limit import WarningLimit

# Datagrams that are dropped at most when an endpoint starts, which is more than
# the buffer of a socket holds.
MAX_STALE = 10000
_LARGEST_DATAGRAM = 65536
# More addresses than a fleet has hosts.
_MAX_KNOWN_ADDRESSES = 4096
_is_ip = lru_cache(_MAX_KNOWN_ADDRESSES)(is_ip)


class DatagramSocket(asyncio.DatagramProtocol):
    """A socket on the port that all hosts use for one kind of datagram.

    Attributes:
        sent: Number of datagrams sent.
        unreadable: Admits warnings of datagrams that cannot be decoded.
    """

    def __init__(self, port: int) -> None:
        """Create the protocol; `start` opens the socket.

        Args:
            port: UDP port of all hosts.
        """
        self.sent = 0
        self.unreadable = WarningLimit('datagram-unreadable')
        self._undeliverable = WarningLimit('host-address-unusable')
        self._port = port
        self._socket: socket.socket | None = None
        self._transport: asyncio.DatagramTransport | None = None

    @property
    def port(self) -> int:
        """UDP port of all hosts."""
        return self._port

    @property
    def is_bound(self) -> bool:
        """Whether the port is held."""
        return self._socket is not None or self._transport is not None

    def bind(self, address: str) -> None:
        """Take the port; `start` then receives from it.

        Args:
            address: IP address of this host.

        Raises:
            OSError: The port cannot be taken.
        """
        opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        opened.setblocking(False)
        try:
            opened.bind((address, self._port))
        except OSError:
            opened.close()
            raise
        self._socket = opened

    async def start(self, address: str) -> None:
        """Receive datagrams, at a new socket unless the port is bound.

        Args:
            address: IP address of this host.
        """
        if self._socket is None:
            self.bind(address)
        opened = cast(socket.socket, self._socket)
        _drop_stale(opened)
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, sock=opened)

    def stop(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
        elif self._socket is not None:
            self._socket.close()
        self._socket = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        # asyncio's datagram transport is not a subclass of the documented type,
        # so an isinstance check would fail.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def error_received(self, exc: Exception) -> None:
        """Ignore an undeliverable datagram; later ones replace it."""

    def _send_bytes(self, address: str, datagram: bytes) -> None:
        if not _is_ip(address):
            # A name would be resolved meanwhile, and asyncio closes a socket
            # that is to send to what is no address.
            if self._undeliverable.admits(address):
                log_warning('host-address-unusable', address=address)
            return
        if self._transport is not None and not self._transport.is_closing():
            self.sent += 1
            self._transport.sendto(datagram, (address, self._port))


def _drop_stale(opened: socket.socket) -> None:
    """Drop what arrived while the host waited to start.

    Such news may be seconds old, and receivers take them for fresh.
    """
    for _ in range(MAX_STALE):
        try:
            opened.recv(_LARGEST_DATAGRAM)
        except OSError:
            return
