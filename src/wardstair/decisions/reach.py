"""Whether upstreams are down, or this host is cut off from them.

A host alone cannot tell: either way nothing that it sends is answered. Its own
failures say which upstreams it does not reach; what other hosts say of
themselves tells whether somebody does.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

# The group of all upstreams; others are those of a zone or a service.
ALL = '*'
# Upstreams that fail with none of their group reached between: one that ends
# and the next one of a rollout are two.
MOST_NEEDED = 3
LEAST_NEEDED = 2
# Time for which failures go on without an answer between before they are taken
# for more than chance.
LEAST_GAP_SECONDS = 0.1
# Parts of the time of contact, after which a cut host is held to the bound.
# Silence of all upstreams that is worth a look; a round trip between regions
# and its repetition are shorter than the least of it.
SILENCE_SHARE = 1 / 16
LEAST_SILENCE_SECONDS = 0.2
# How long a probe waits, and how often a host that is cut off sends one.
PROBE_SHARE = 1 / 8
# Answers that should have come in a silence: with as many expected, none comes
# by chance once in 400 times.
MISSED_ANSWERS = 6.0
# How fast the rate of answers follows the last ones.
RATE_SHARE = 0.3


def zone_group(zone: str) -> str:
    """Return the name of the group of a zone's upstreams."""
    return f'zone:{zone}'


def service_group(service: str) -> str:
    """Return the name of the group of a service's upstreams."""
    return f'service:{service}'


@dataclass(frozen=True, slots=True)
class ReachTimes:
    """When a host looks whether it reaches upstreams, in seconds.

    Attributes:
        silence: Silence of all upstreams that is worth a look.
        probe: Longest wait for a probe, and the period of probes of a host
            that is cut off.
    """

    silence: float
    probe: float


def reach_times(contact_seconds: float) -> ReachTimes:
    """Return the times that keep the bound on hosts that are cut off.

    Args:
        contact_seconds: Time after a cut from which on callers have to be
            served.
    """
    return ReachTimes(
        max(LEAST_SILENCE_SECONDS, contact_seconds * SILENCE_SHARE),
        max(LEAST_SILENCE_SECONDS, contact_seconds * PROBE_SHARE),
    )


@dataclass(slots=True)
class GroupReach:
    """What this host has seen of a group of upstreams.

    Attributes:
        reached_at: Monotonic time of the last answer of one.
        failed: Names of those that were not reached since.
        failing_since: Monotonic time of the first failure since.
    """

    reached_at: float = float('-inf')
    failed: set[str] = field(default_factory=set)
    failing_since: float = float('inf')

    def note_reached(self, now: float) -> None:
        """Note an answer."""
        self.reached_at = now
        if self.failed:
            self.failed.clear()
            self.failing_since = float('inf')

    def note_failed(self, name: str, now: float) -> None:
        """Note that an upstream was not reached."""
        if not self.failed:
            self.failing_since = now
        self.failed.add(name)

    def is_suspected(self, now: float) -> bool:
        """Return whether it may be out of reach.

        Several exchanges that break within a moment, between answers that come
        all the time, say nothing of the way.
        """
        if len(self.failed) < LEAST_NEEDED:
            return False
        return now - self.failing_since >= LEAST_GAP_SECONDS

    def is_lost(self, size: int) -> bool:
        """Return whether none of the group is reached.

        Args:
            size: Upstreams in the group. One alone is avoided like any
                upstream that fails.
        """
        needed = min(MOST_NEEDED, size)
        return len(self.failed) >= max(LEAST_NEEDED, needed)


@dataclass(slots=True)
class SilenceWatch:
    """Finds out that answers have stopped coming.

    Attributes:
        rate: Answers a second, averaged.
    """

    rate: float = 0.0
    _answers: int = 0
    _stepped_at: float = 0.0

    def step(self, answers: int, now: float) -> None:
        """Take in how many answers have come.

        Args:
            answers: Their number since the process started.
            now: Monotonic time in seconds.
        """
        seconds = now - self._stepped_at
        came = answers - self._answers
        # A silence that is being looked at says nothing of the usual rate.
        if came and seconds > 0:
            self.rate += RATE_SHARE * (came / seconds - self.rate)
            self._stepped_at = now
            self._answers = answers

    def is_unusual(self, silent_seconds: float, overdue: int) -> bool:
        """Return whether a silence is unlikely to be chance.

        Args:
            silent_seconds: Time since the last answer, while requests wait.
            overdue: Upstreams that take far longer than expected.
        """
        is_missed = self.rate * silent_seconds >= MISSED_ANSWERS
        return is_missed or overdue >= LEAST_NEEDED


def is_down(group: str, told: Iterable[Collection[str]]) -> bool:
    """Return whether nobody reaches a group that this host does not reach.

    Args:
        group: The group.
        told: Groups that each of the other hosts does not reach.
    """
    return all(ALL in lost or group in lost for lost in told)
