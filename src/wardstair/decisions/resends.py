"""The fleet's resend budget, divided among hosts without communication.

Resends to a service are limited over the fleet: in any window, to a ratio of
the first sends plus a fixed number. Each host applies the ratio to its own
first sends and takes a part of the fixed number, so no partition makes the sum
exceed the limit. A host that restarts has lost its counts and may have made all
of its resends just before. Until it has run for a window, it uses a share of
the limit that no host uses after that.
"""

from collections import deque
from dataclasses import dataclass, field

# Shares of the limit for hosts that have run for a window.
RATIO_USED = 0.8
EXTRA_USED = 0.6
# Shares for hosts that have not. What is left over covers resends that arrive
# late.
STARTING_RATIO_USED = 0.15
STARTING_EXTRA_USED = 0.3
# Age in seconds from which sends are dropped. Configured windows are 10 s long.
LONGEST_WINDOW = 60.0


@dataclass(frozen=True, slots=True)
class ResendLimit:
    """A limit on resends in any window.

    Attributes:
        ratio: Resends allowed for each first send.
        extra: Resends allowed in a window in addition to the ratio.
        window: Length of the window in seconds.
    """

    ratio: float
    extra: float
    window: float

    def allowed(self, firsts: int) -> float:
        """Return the resends allowed in a window.

        Args:
            firsts: First sends in the window.
        """
        return self.ratio * firsts + self.extra


def host_limit(
    limit: ResendLimit,
    hosts: int,
    running: float,
) -> ResendLimit:
    """Return a host's part of the fleet's limit.

    Args:
        limit: The fleet's limit.
        hosts: Number of hosts in the fleet, including those that look dead: a
            host that is cut off continues to use its part.
        running: Seconds since the host started.
    """
    part = limit.extra / max(hosts, 1)
    if running >= limit.window:
        return ResendLimit(
            limit.ratio * RATIO_USED, part * EXTRA_USED, limit.window
        )
    # Grows with time, so that several short lives get no more than one.
    elapsed = running / limit.window
    return ResendLimit(
        limit.ratio * STARTING_RATIO_USED,
        part * STARTING_EXTRA_USED * elapsed,
        limit.window,
    )


@dataclass(slots=True)
class ResendBudget:
    """First sends and resends of one host to one service."""

    _firsts: deque[float] = field(default_factory=deque)
    _resends: deque[float] = field(default_factory=deque)

    @property
    def size(self) -> int:
        """Number of sends that are stored."""
        return len(self._firsts) + len(self._resends)

    def note_first(self, now: float) -> None:
        """Count a request's first send."""
        self._forget(now - LONGEST_WINDOW)
        self._firsts.append(now)

    def drop_first(self) -> None:
        """Take back the last first send, if it is still counted."""
        if self._firsts:
            self._firsts.pop()

    def take(self, limit: ResendLimit, now: float) -> bool:
        """Use one resend of the budget; return False if none is left.

        Args:
            limit: This host's part of the limit.
            now: Monotonic time in seconds.
        """
        firsts, resends = self.counts(limit.window, now)
        if resends + 1 > limit.allowed(firsts):
            return False
        self._resends.append(now)
        return True

    def counts(self, window: float, now: float) -> tuple[int, int]:
        """Return the first sends and the resends of a window that ends now.

        Args:
            window: Length of the window in seconds.
            now: Monotonic time in seconds.
        """
        self._forget(now - window)
        return len(self._firsts), len(self._resends)

    def _forget(self, before: float) -> None:
        for times in (self._firsts, self._resends):
            while times and times[0] < before:
                times.popleft()
