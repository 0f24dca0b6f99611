"""Tells other hosts soon that this one has learned something."""

import asyncio
from collections.abc import Callable

# How long a host waits for more before it tells: requests that end an upstream
# are broken off together, and upstreams in need come in series.
ANNOUNCE_DELAY_SECONDS = 0.1


class ChangeAnnouncer:
    """Sends heartbeats to everybody a moment after there are news."""

    def __init__(
        self,
        announce: Callable[[], None],
        least_seconds: float = 0.0,
    ) -> None:
        """Prepare with nothing to tell.

        Args:
            announce: Sends heartbeats to everybody who should have one.
            least_seconds: The least time from one telling to the next.
        """
        self.announce = announce
        self._least_seconds = least_seconds
        self._told_at = float('-inf')
        self._telling: asyncio.TimerHandle | None = None

    def note(self) -> None:
        """Note that there are news."""
        if self._telling is not None:
            return
        loop = asyncio.get_running_loop()
        due = max(
            loop.time() + ANNOUNCE_DELAY_SECONDS,
            self._told_at + self._least_seconds,
        )
        self._telling = loop.call_at(due, self._tell)

    def close(self) -> None:
        """Tell nothing more."""
        if self._telling is not None:
            self._telling.cancel()

    def _tell(self) -> None:
        self._telling = None
        self._told_at = asyncio.get_running_loop().time()
        self.announce()
