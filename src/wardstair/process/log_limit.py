"""Limits warnings about what others have written or sent."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field

from wardstair.process.log import log_warning

# Warnings of one event per period. A list may hold thousands of odd entries.
MAX_WARNINGS = 100
PERIOD_SECONDS = 600.0
# Characters of each part of a key that are kept.
_MAX_PART_LENGTH = 256


@dataclass(slots=True)
class WarningLimit:
    """Admits an event to the log once per key and period, for some keys.

    Attributes:
        event: Name of the event.
        clock: Monotonic time in seconds.
        count: Number of times that there was something to log.
    """

    event: str
    clock: Callable[[], float] = time.monotonic
    count: int = 0
    _keys: set[str] = field(default_factory=set)
    _since: float = float('-inf')

    def admits(self, *parts: str) -> bool:
        """Count an event, and return whether to log it.

        Args:
            parts: What the event is about, with the reason.
        """
        self.count += 1
        now = self.clock()
        if now - self._since >= PERIOD_SECONDS:
            self._since = now
            self._keys.clear()
        key = ' '.join(part[:_MAX_PART_LENGTH] for part in parts)
        if key in self._keys or len(self._keys) > MAX_WARNINGS:
            return False
        self._keys.add(key)
        if len(self._keys) <= MAX_WARNINGS:
            return True
        log_warning(
            'warnings-limited', limited=self.event, seconds=PERIOD_SECONDS
        )
        return False
