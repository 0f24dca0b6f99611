"""Announces changes of this host's state to other hosts after a short delay."""

import asyncio
from collections.abc import Callable

# Time during which further changes are collected before an announcement. The
# requests of an upstream that exits fail together, and overloaded upstreams
# report limits in quick succession.
ANNOUNCE_DELAY_SECONDS = 0.1


class ChangeAnnouncer:
    """Sends heartbeats to all hosts shortly after a change."""

    def __init__(
        self,
        announce: Callable[[], None],
        min_interval_seconds: float = 0.0,
    ) -> None:
        """Create an announcer without a pending announcement.

        Args:
            announce: Sends heartbeats to all hosts that should get one.
            min_interval_seconds: Minimum time between two announcements.
        """
        self.announce = announce
        self._min_interval_seconds = min_interval_seconds
        self._announced_at = float('-inf')
        self._timer: asyncio.TimerHandle | None = None

    def schedule(self) -> None:
        """Schedule an announcement unless one is pending."""
        if self._timer is not None:
            return
        loop = asyncio.get_running_loop()
        due = max(
            loop.time() + ANNOUNCE_DELAY_SECONDS,
            self._announced_at + self._min_interval_seconds,
        )
        self._timer = loop.call_at(due, self._announce)

    def close(self) -> None:
        """Cancel the pending announcement."""
        if self._timer is not None:
            self._timer.cancel()

    def _announce(self) -> None:
        self._timer = None
        self._announced_at = asyncio.get_running_loop().time()
        self.announce()
