"""The fleet's budget of resends, divided among its hosts without talk.

What a service gets beyond the first send of each request is limited over the
fleet: a share of the requests and a fixed number beside it, in any window.
Each host keeps to that share of its own first sends and to its part of the
fixed number, so no partition or restart makes the sum exceed the limit.
"""

from collections import deque
from dataclasses import dataclass, field

# Part of the limit that is used; the rest is for hosts that restart and
# forget what they have spent.
RATIO_USED = 0.8
EXTRA_USED = 0.6
# Sends that are older than this many seconds count in no window. The users'
# windows are of 10 s.
LONGEST_WINDOW = 60.0


@dataclass(frozen=True, slots=True)
class ResendLimit:
    """The limit of one host.

    Attributes:
        ratio: Resends a first send.
        extra: Resends beside that ratio in one window.
        window: The window in seconds.
    """

    ratio: float
    extra: float
    window: float


def host_limit(limit: ResendLimit, hosts: int) -> ResendLimit:
    """Return a host's part of the fleet's limit.

    Args:
        limit: The fleet's limit.
        hosts: Hosts of the fleet, those included that look dead: one that is
            cut off goes on spending its part.
    """
    return ResendLimit(
        limit.ratio * RATIO_USED,
        limit.extra * EXTRA_USED / max(hosts, 1),
        limit.window,
    )


@dataclass(slots=True)
class ResendBudget:
    """First sends and resends of one host to one service."""

    _firsts: deque[float] = field(default_factory=deque)
    _resends: deque[float] = field(default_factory=deque)

    @property
    def size(self) -> int:
        """Sends that are remembered."""
        return len(self._firsts) + len(self._resends)

    def note_first(self, now: float) -> None:
        """Count a request's first send."""
        self._forget(now - LONGEST_WINDOW)
        self._firsts.append(now)

    def take(self, limit: ResendLimit, now: float) -> bool:
        """Take one resend; return False if none is left.

        Args:
            limit: This host's part of the limit.
            now: Monotonic time in seconds.
        """
        self._forget(now - limit.window)
        allowed = limit.ratio * len(self._firsts) + limit.extra
        if len(self._resends) + 1 > allowed:
            return False
        self._resends.append(now)
        return True

    def _forget(self, before: float) -> None:
        for times in (self._firsts, self._resends):
            while times and times[0] < before:
                times.popleft()
