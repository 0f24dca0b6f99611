"""Ends connections that are idle for too long."""

import asyncio
import time
from collections.abc import Callable


class IdleTimer:
    """Runs while a connection is idle.

    It is not reset for each request: when it fires, it is started again for the
    time that is left.
    """

    __slots__ = ('_handle', '_is_idle', '_on_expired', '_seconds', '_since')

    def __init__(
        self,
        seconds: float,
        is_idle: Callable[[], bool],
        on_expired: Callable[[], None],
    ) -> None:
        """Create a timer that is not started.

        Args:
            seconds: Longest time for which the connection may be idle.
            is_idle: Tells whether it is idle now.
            on_expired: Called once it has been idle for longer.
        """
        self._seconds = seconds
        self._is_idle = is_idle
        self._on_expired = on_expired
        self._since = time.monotonic()
        self._handle: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start the timer."""
        self._since = time.monotonic()
        self._check()

    def note_activity(self) -> None:
        """Count the idle time from now on."""
        self._since = time.monotonic()

    def set_limit(self, seconds: float) -> None:
        """Change the longest idle time.

        A shorter one counts from now on: the caller may have begun to rest
        under the longer one.

        Args:
            seconds: Longest time for which the connection may be idle.
        """
        is_shorter = seconds < self._seconds
        self._seconds = seconds
        if is_shorter and self._handle is not None:
            self._handle.cancel()
            self.note_activity()
            self._check()

    def cancel(self) -> None:
        """Stop the timer."""
        if self._handle is not None:
            self._handle.cancel()

    def _check(self) -> None:
        left = self._seconds
        if self._is_idle():
            left += self._since - time.monotonic()
            if left <= 0:
                self._on_expired()
                return
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(left, self._check)
