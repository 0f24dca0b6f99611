"""Ends requests of a connection whose bodies are not complete in time."""

import asyncio
import time
from collections.abc import Callable


class ExpiryTimer:
    """One timer for all requests of a connection, one after the other.

    It is not stopped when a request is complete, as most are at once; when it
    fires, its owner looks at the request that is being received then.
    """

    __slots__ = ('_handle', '_on_expired')

    def __init__(self, on_expired: Callable[[], None]) -> None:
        """Create a timer that is not set.

        Args:
            on_expired: Called at a time that was set.
        """
        self._on_expired = on_expired
        self._handle: asyncio.TimerHandle | None = None

    def limit(self, end: float) -> None:
        """Fire at a time, unless the timer is set to an earlier one.

        Args:
            end: Monotonic time in seconds.
        """
        loop = asyncio.get_running_loop()
        at = loop.time() + max(end - time.monotonic(), 0)
        if self._handle is not None:
            if self._handle.when() <= at:
                return
            self._handle.cancel()
        self._handle = loop.call_at(at, self._fire)

    def cancel(self) -> None:
        """Stop the timer."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _fire(self) -> None:
        self._handle = None
        self._on_expired()
