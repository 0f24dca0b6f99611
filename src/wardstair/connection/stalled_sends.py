"""Keeps a connection whose upstream reads late, and ends one that is cut.

`TCP_USER_TIMEOUT` ends a connection whose data is not acknowledged in time. It
also ends one whose peer acknowledges everything but has no room, such as an
upstream that pauses before it reads a long body. While a long body is sent, the
state of the connection tells the two apart.
"""

import asyncio
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from wardstair.connection.silence import (
    UNACKNOWLEDGED_SECONDS,
    set_user_timeout,
)

# Interval between two looks at a connection; several fit into the timeout.
CHECK_SECONDS = 0.4
# Bodies that fit into the buffers of any upstream cannot stall.
MIN_STALLING_BYTES = 16384
_MILLISECONDS = 1000
# Fields of `struct tcp_info` (linux/tcp.h) by their offset.
_INFO_BYTES = 148
_PROBES = struct.Struct('3xB')
_UNACKNOWLEDGED = struct.Struct('24xI')
_LAST_ACKNOWLEDGED = struct.Struct('56xI')
_NOT_SENT = struct.Struct('144xI')


class SendState(StrEnum):
    """State of what a connection has to send."""

    # All is sent and acknowledged.
    done = 'done'
    # Data is under way; the user timeout applies.
    sending = 'sending'
    # The peer acknowledges, but has no room.
    stalled = 'stalled'
    # The peer does not acknowledge.
    silent = 'silent'


@dataclass(frozen=True, slots=True)
class TcpState:
    """What the kernel tells of a connection.

    Attributes:
        unanswered_probes: Probes for room that the peer has not acknowledged.
        unacknowledged: Segments that the peer has not acknowledged.
        not_sent: Bytes that are not sent yet.
        seconds_since_acknowledged: Seconds since the peer's last segment that
            acknowledged anything.
    """

    unanswered_probes: int
    unacknowledged: int
    not_sent: int
    seconds_since_acknowledged: float


def classify(state: TcpState, silent_seconds: float) -> SendState:
    """Return the state of a send.

    Args:
        state: What the kernel tells of the connection.
        silent_seconds: Time without an answer to a probe, as observed, in
            seconds.
    """
    if state.unacknowledged:
        return SendState.sending
    if not state.not_sent:
        return SendState.done
    is_silent = (
        state.unanswered_probes
        and min(silent_seconds, state.seconds_since_acknowledged)
        >= UNACKNOWLEDGED_SECONDS
    )
    return SendState.silent if is_silent else SendState.stalled


def tcp_state(connected: socket.socket) -> TcpState | None:
    """Return what the kernel tells of a connection; None if it does not."""
    try:
        info = connected.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _INFO_BYTES
        )
    except OSError:
        return None
    if len(info) < _INFO_BYTES:
        return None
    return TcpState(
        unanswered_probes=_PROBES.unpack_from(info)[0],
        unacknowledged=_UNACKNOWLEDGED.unpack_from(info)[0],
        not_sent=_NOT_SENT.unpack_from(info)[0],
        seconds_since_acknowledged=(
            _LAST_ACKNOWLEDGED.unpack_from(info)[0] / _MILLISECONDS
        ),
    )


class StallWatch:
    """Watches the sending of one long body."""

    def __init__(
        self,
        connected: socket.socket,
        has_unsent: Callable[[], bool],
        on_silent: Callable[[], None],
    ) -> None:
        """Start watching.

        Args:
            connected: Socket of the connection.
            has_unsent: Whether the kernel has not been given all bytes.
            on_silent: Called if the peer has become silent.
        """
        self._socket = connected
        self._has_unsent = has_unsent
        self._on_silent = on_silent
        self._is_suspended = False
        self._silent_seconds = 0.0
        self._schedule()

    def close(self) -> None:
        """Stop watching."""
        self._timer.cancel()
        self._suspend(is_suspended=False)

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(CHECK_SECONDS, self._check)

    def _check(self) -> None:
        state = tcp_state(self._socket)
        if state is None:
            return
        self._silent_seconds = (
            self._silent_seconds + CHECK_SECONDS
            if state.unanswered_probes
            else 0
        )
        match classify(state, self._silent_seconds):
            case SendState.silent:
                self._on_silent()
                return
            case SendState.stalled:
                self._suspend(is_suspended=True)
            case SendState.sending:
                self._suspend(is_suspended=False)
            case SendState.done if not self._has_unsent():
                self._suspend(is_suspended=False)
                return
        self._schedule()

    def _suspend(self, *, is_suspended: bool) -> None:
        if is_suspended != self._is_suspended:
            self._is_suspended = is_suspended
            seconds = 0 if is_suspended else UNACKNOWLEDGED_SECONDS
            set_user_timeout(self._socket, seconds)
