"""Notices connections that have gone silent without a reset.

A peer without power, or a path that drops one connection's packets, leaves a
connection open that carries nothing; only unacknowledged bytes or probes show
it. What is sent on one, and may run only once, is lost.
"""

import socket
from typing import Protocol

# Bytes that stay unacknowledged for this long end the connection. Between
# regions an answer to a packet takes 40 to 110 ms, and a lost packet is sent
# again after some 0.2 s and 0.6 s.
UNACKNOWLEDGED_SECONDS = 1.5
# A connection that rests for this long is probed, and again each second: it is
# known to be silent before most requests would use it.
PROBE_SECONDS = 1
# Probes without an answer that end a connection.
MOST_PROBES = 2
_MILLISECONDS = 1000


class _Options(Protocol):
    def setsockopt(self, level: int, name: int, option: int, /) -> None:
        """Set an option."""


def notice_silence(connected: _Options) -> None:
    """Make a socket end by itself once its peer acknowledges nothing.

    Args:
        connected: A TCP socket.
    """
    tcp = socket.IPPROTO_TCP
    unacknowledged = round(UNACKNOWLEDGED_SECONDS * _MILLISECONDS)
    connected.setsockopt(tcp, socket.TCP_USER_TIMEOUT, unacknowledged)
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connected.setsockopt(tcp, socket.TCP_KEEPIDLE, PROBE_SECONDS)
    connected.setsockopt(tcp, socket.TCP_KEEPINTVL, PROBE_SECONDS)
    connected.setsockopt(tcp, socket.TCP_KEEPCNT, MOST_PROBES)


def notice_silence_of(descriptor: int) -> None:
    """Do the same for a socket that a library holds.

    Args:
        descriptor: Its file descriptor; it stays open.
    """
    borrowed = socket.socket(fileno=descriptor)
    try:
        notice_silence(borrowed)
    finally:
        borrowed.detach()
