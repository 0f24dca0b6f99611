"""Detects connections whose peer has become silent without a reset.

After a power failure of the peer, or on a path that drops the packets of one
connection, the connection stays open. Only unacknowledged data and keepalive
probes reveal it. A request that may run only once is lost if it is sent on such
a connection. During a longer exchange `stalled_sends` watches instead.
"""

import socket
from typing import Protocol

# Time after which unacknowledged data ends the connection. The round trip
# between regions takes 40 to 110 ms, and a lost packet is retransmitted after
# about 0.2 s and 0.6 s.
UNACKNOWLEDGED_SECONDS = 1.5
# Idle time before the first keepalive probe, and interval between probes. A
# silent connection is thus detected before most requests would reuse it.
PROBE_SECONDS = 1
# Unanswered probes after which the connection ends.
MAX_PROBES = 2
_MILLISECONDS = 1000


class _Options(Protocol):
    def setsockopt(self, level: int, name: int, option: int, /) -> None:
        """Set an option."""


def notice_silence(connected: _Options) -> None:
    """Make a socket fail when its peer stops acknowledging data.

    Args:
        connected: A TCP socket.
    """
    tcp = socket.IPPROTO_TCP
    set_user_timeout(connected, UNACKNOWLEDGED_SECONDS)
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connected.setsockopt(tcp, socket.TCP_KEEPIDLE, PROBE_SECONDS)
    connected.setsockopt(tcp, socket.TCP_KEEPINTVL, PROBE_SECONDS)
    connected.setsockopt(tcp, socket.TCP_KEEPCNT, MAX_PROBES)


def set_user_timeout(connected: _Options, seconds: float) -> None:
    """Set the time after which unacknowledged data ends a connection.

    Args:
        connected: A TCP socket.
        seconds: The time in seconds; 0 for the default of the system.
    """
    milliseconds = round(seconds * _MILLISECONDS)
    tcp = socket.IPPROTO_TCP
    connected.setsockopt(tcp, socket.TCP_USER_TIMEOUT, milliseconds)


def notice_silence_of(descriptor: int) -> None:
    """Do the same for a socket that a library owns.

    Args:
        descriptor: File descriptor of the socket; it stays open.
    """
    borrowed = socket.socket(fileno=descriptor)
    try:
        notice_silence(borrowed)
    finally:
        borrowed.detach()
