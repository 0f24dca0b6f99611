"""Whether upstreams are down, or this host is cut off from them.

A host alone cannot tell: either way nothing that it sends is answered. Its own
failures say which upstreams it does not reach; what other hosts say of
themselves tells whether somebody does.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

# The group of all upstreams; others are those of a zone or a service.
ALL = '*'
# Upstreams that fail with none of their group reached between: one that ends
# and the next one of a rollout are two.
MAX_FAILURES_NEEDED = 3
MIN_FAILURES = 2
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
class ProbeTimes:
    """When a host looks whether it reaches upstreams, in seconds.

    Attributes:
        silence: Silence of all upstreams that is worth a look.
        probe: Longest wait for a probe, and the period of probes of a host
            that is cut off.
    """

    silence: float
    probe: float


def probe_times(contact_seconds: float) -> ProbeTimes:
    """Return the times that keep the bound on hosts that are cut off.

    Args:
        contact_seconds: Time after a cut from which on callers have to be
            served.
    """
    return ProbeTimes(
        max(LEAST_SILENCE_SECONDS, contact_seconds * SILENCE_SHARE),
        max(LEAST_SILENCE_SECONDS, contact_seconds * PROBE_SHARE),
    )


@dataclass(slots=True)
class GroupReachability:
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
        if len(self.failed) < MIN_FAILURES:
            return False
        return now - self.failing_since >= LEAST_GAP_SECONDS

    def is_lost(self, size: int) -> bool:
        """Return whether none of the group is reached.

        Args:
            size: Upstreams in the group. One alone is avoided like any
                upstream that fails.
        """
        needed = min(MAX_FAILURES_NEEDED, size)
        return len(self.failed) >= max(MIN_FAILURES, needed)


def lost_groups(
    groups: Mapping[str, GroupReachability],
    members: Mapping[str, Iterable[str]],
) -> set[str]:
    """Return the groups of which no upstream is reached.

    Args:
        groups: What was seen of each group; upstreams that are gone are
            forgotten.
        members: The groups of each upstream that takes work, by name.
    """
    sizes: dict[str, int] = {}
    for names in members.values():
        for name in names:
            sizes[name] = sizes.get(name, 0) + 1
    lost = set()
    for name, group in groups.items():
        group.failed &= members.keys()
        if group.is_lost(sizes.get(name, 0)):
            lost.add(name)
    return lost


def outermost(groups: Collection[str]) -> frozenset[str]:
    """Return groups without those that are within another one of them."""
    return frozenset((ALL,)) if ALL in groups else frozenset(groups)


@dataclass(slots=True)
class NewConnectionReachability:
    """What new connections to upstreams have shown, apart from open ones.

    Open ones may live on while each new one is refused or reset, and a request
    on one that is reset may have run. What is seen of either kind says nothing
    of the other.

    Attributes:
        closed: Groups to which new connections fail; only `ALL` if it is that.
        is_suspect: Whether new connections may have begun to fail just now.
    """

    closed: frozenset[str] = frozenset()
    is_suspect: bool = False
    _groups: dict[str, GroupReachability] = field(default_factory=dict)

    @property
    def is_sound(self) -> bool:
        """Whether requests may go on new connections to all upstreams."""
        return not (self.closed or self.is_suspect)

    def may_open(self, groups: Collection[str]) -> bool:
        """Return whether a request may go on a new connection.

        Args:
            groups: The groups of its upstream.
        """
        return not self.is_suspect and self.closed.isdisjoint(groups)

    def note_answered(self, groups: Collection[str], now: float) -> None:
        """Note an answer on a connection that had served nothing before.

        Args:
            groups: The groups of the upstream.
            now: Monotonic time in seconds.
        """
        self.is_suspect = False
        for name in groups:
            self._group(name).note_reached(now)

    def note_failed(
        self,
        upstream: str,
        groups: Collection[str],
        now: float,
    ) -> bool:
        """Note a connection that ended before it had served anything.

        Args:
            upstream: Name of the upstream.
            groups: Its groups.
            now: Monotonic time in seconds.

        Returns:
            Whether several of a group that is not closed yet have failed with
            no answer between.
        """
        most = 0
        for name in groups:
            group = self._group(name)
            group.note_failed(upstream, now)
            if name not in self.closed:
                most = max(most, len(group.failed))
        return most >= MIN_FAILURES

    def mark_suspect(self) -> bool:
        """Doubt new connections; return False if that tells nothing new."""
        if self.is_suspect or ALL in self.closed:
            return False
        self.is_suspect = True
        return True

    def settle(self, members: Mapping[str, Iterable[str]]) -> bool:
        """Work out what is closed; return whether that has changed.

        No time is asked for between failures: whoever doubts asks upstreams.

        Args:
            members: The groups of each upstream that takes work, by name.
        """
        before = self.closed
        self.closed = outermost(lost_groups(self._groups, members))
        return self.closed != before

    def _group(self, name: str) -> GroupReachability:
        return self._groups.setdefault(name, GroupReachability())


@dataclass(slots=True)
class SilenceDetector:
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
        return is_missed or overdue >= MIN_FAILURES


def is_down(group: str, told: Iterable[Collection[str]]) -> bool:
    """Return whether nobody reaches a group that this host does not reach.

    Args:
        group: The group.
        told: Groups that each of the other hosts does not reach.
    """
    return all(ALL in lost or group in lost for lost in told)
