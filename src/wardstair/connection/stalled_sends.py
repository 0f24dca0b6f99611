"""Keeps a connection whose upstream is slow, and ends one that is cut.

`TCP_USER_TIMEOUT` ends a connection whose data is not acknowledged in time. It
also ends one whose peer answers each probe but has no room, such as an upstream
that pauses before it reads a body or reads a little now and then, and one that
has lost a single keepalive probe while its upstream works. So the timeout is
off during a longer exchange, and the state of the connection tells whether the
peer still acknowledges anything.
"""

import asyncio
import contextlib
import socket
import struct
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from wardstair.connection.silence import (
    PROBE_SECONDS,
    UNACKNOWLEDGED_SECONDS,
    set_user_timeout,
)

# Interval between two looks at a connection; several fit into the timeout.
CHECK_SECONDS = 0.4
# Probes without an answer after which a peer may be silent; a single one may
# have been lost.
MIN_UNANSWERED_PROBES = 2
# Time for the answer to a segment, which a round trip between regions and its
# queues take.
_ROUND_TRIP_SECONDS = 0.3
# Time after which that many keepalive probes are overdue.
_PROBED_SECONDS = MIN_UNANSWERED_PROBES * PROBE_SECONDS + _ROUND_TRIP_SECONDS
_MILLISECONDS = 1000
# Fields of `struct tcp_info` (linux/tcp.h) by their offset.
_INFO_BYTES = 148
_PROBES = struct.Struct('3xB')
_UNACKNOWLEDGED = struct.Struct('24xI')
_LAST_SENT = struct.Struct('44xI')
_LAST_ACKNOWLEDGED = struct.Struct('56xI')
_NOT_SENT = struct.Struct('144xI')


class SendState(StrEnum):
    """State of what a connection has to send."""

    # All is sent and acknowledged.
    done = 'done'
    # Data is under way, or waits until the peer has room.
    sending = 'sending'
    # The peer does not acknowledge.
    silent = 'silent'


@dataclass(frozen=True, slots=True)
class TcpState:
    """What the kernel tells of a connection.

    Attributes:
        unanswered_probes: Probes that the peer has not acknowledged, for room
            or while nothing is sent.
        unacknowledged: Segments that the peer has not acknowledged.
        not_sent: Bytes that are not sent yet.
        seconds_since_acknowledged: Seconds since the peer's last segment that
            acknowledged anything.
        seconds_since_sent: Seconds since data was last sent or sent again.
    """

    unanswered_probes: int
    unacknowledged: int
    not_sent: int
    seconds_since_acknowledged: float
    seconds_since_sent: float

    @property
    def tells_times(self) -> bool:
        """Whether the kernel is known to fill in the times."""
        return bool(self.seconds_since_acknowledged or self.seconds_since_sent)

    @property
    def is_without_room(self) -> bool:
        """Whether the peer has acknowledged all that it has room for."""
        return bool(self.not_sent and not self.unacknowledged)

    @property
    def is_unanswered(self) -> bool:
        """Whether the peer owes an acknowledgement.

        A peer without room acknowledges what is sent again, but does not
        accept it.
        """
        if not self.unacknowledged:
            return self.unanswered_probes >= MIN_UNANSWERED_PROBES
        since_sent = self.seconds_since_sent
        return (
            _ROUND_TRIP_SECONDS
            <= since_sent
            < (self.seconds_since_acknowledged)
        )


def classify(state: TcpState, waiting_seconds: float) -> SendState:
    """Return the state of a send.

    Args:
        state: What the kernel tells of the connection.
        waiting_seconds: Time for which something was to be acknowledged, as
            observed, in seconds.
    """
    since_acknowledged = state.seconds_since_acknowledged
    silent_seconds = min(waiting_seconds, since_acknowledged)
    is_overdue = silent_seconds >= UNACKNOWLEDGED_SECONDS
    if not state.unacknowledged:
        is_overdue = is_overdue or since_acknowledged >= _PROBED_SECONDS
    if state.is_unanswered and is_overdue:
        return SendState.silent
    if state.unacknowledged or state.not_sent:
        return SendState.sending
    return SendState.done


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
        seconds_since_sent=_LAST_SENT.unpack_from(info)[0] / _MILLISECONDS,
    )


class StallWatch:
    """Watches the connection of one exchange."""

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
        self._is_answered = False
        self._is_closed = False
        self._tells_times = False
        self._is_timeout_off = False
        # Monotonic time since which something was to be acknowledged.
        self._waiting_since: float | None = time.monotonic()
        self._schedule()

    @property
    def is_sending(self) -> bool:
        """Whether the peer has not acknowledged all of the request."""
        if self._is_closed:
            return False
        state = tcp_state(self._socket)
        return self._has_unsent() or (
            state is not None and classify(state, 0) is not SendState.done
        )

    def note_answered(self) -> None:
        """Stop watching once the peer has acknowledged all of the request."""
        self._is_answered = True
        if not self.is_sending:
            self.close()

    def close(self) -> None:
        """Stop watching."""
        if self._is_closed:
            return
        self._is_closed = True
        self._timer.cancel()
        self._set_timeout_off(is_off=False)

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(CHECK_SECONDS, self._check)

    def _check(self) -> None:
        state = tcp_state(self._socket)
        if state is None:
            return
        self._tells_times = self._tells_times or state.tells_times
        # A kernel that does not tell the times has to notice a cut itself.
        self._set_timeout_off(is_off=self._tells_times or state.is_without_room)
        found = classify(state, self._note_waiting(state))
        if found is SendState.silent:
            self._on_silent()
        elif self._is_answered and not self.is_sending:
            self.close()
        else:
            self._schedule()

    def _set_timeout_off(self, *, is_off: bool) -> None:
        if is_off != self._is_timeout_off:
            self._is_timeout_off = is_off
            seconds = 0 if is_off else UNACKNOWLEDGED_SECONDS
            # A socket whose connection has failed may take no option.
            with contextlib.suppress(OSError):
                set_user_timeout(self._socket, seconds)

    def _note_waiting(self, state: TcpState) -> float:
        """Return for how long something was to be acknowledged, in seconds."""
        if not (state.unacknowledged or state.unanswered_probes):
            self._waiting_since = None
            return 0
        now = time.monotonic()
        if self._waiting_since is None:
            self._waiting_since = now
        return now - self._waiting_since
