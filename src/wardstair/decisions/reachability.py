"""Detects whether upstreams are down or this host is cut off from them.

A host cannot distinguish the two by itself, since its requests are unanswered
in either case. Its own failures show which upstreams it cannot reach; reports
of other hosts show whether any host reaches them.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

# The group of all upstreams; other groups are those of a zone or a service.
ALL = '*'
# Number of upstreams of a group that have to fail without an answer in between
# before the group is lost. In a rollout two may fail without a network fault:
# the one that has exited and the next one. Smaller groups need fewer failures,
# but at least the minimum.
MAX_FAILURES_NEEDED = 3
MIN_FAILURES = 2
# Time for which failures must continue without an answer in between before they
# count as more than coincidence.
MIN_GAP_SECONDS = 0.1
# Silence of all upstreams after which reachability is checked, as a share of
# the time after a cut from which callers have to be served. The minimum is
# longer than a round trip between regions and its repetition.
SILENCE_SHARE = 1 / 16
MIN_SILENCE_SECONDS = 0.2
# Timeout of a probe and probe period of a host that is cut off, as a share of
# the same time.
PROBE_SHARE = 1 / 8
# Number of answers expected during a silence from which it is unusual. With
# this many expected, the probability that none arrives is 1 in 400.
MISSED_ANSWERS = 6.0
# Smoothing factor of the answer rate.
RATE_SHARE = 0.3
# Answers within this time of one another count once in the rate: their requests
# may have been sent together, and together they are missing.
SAME_MOMENT_SECONDS = 0.01


def zone_group(zone: str) -> str:
    """Return the name of the group of a zone's upstreams."""
    return f'zone:{zone}'


def service_group(service: str) -> str:
    """Return the name of the group of a service's upstreams."""
    return f'service:{service}'


@dataclass(frozen=True, slots=True)
class ProbeTimes:
    """When a host checks whether it reaches upstreams, in seconds.

    Attributes:
        silence: Silence of all upstreams after which reachability is checked.
        probe: Timeout of a probe, and probe period of a host that is cut off.
    """

    silence: float
    probe: float


def probe_times(contact_seconds: float) -> ProbeTimes:
    """Return the times that keep the bound for hosts that are cut off.

    Args:
        contact_seconds: Time after a cut from which callers have to be served.
    """
    return ProbeTimes(
        max(MIN_SILENCE_SECONDS, contact_seconds * SILENCE_SHARE),
        max(MIN_SILENCE_SECONDS, contact_seconds * PROBE_SHARE),
    )


@dataclass(slots=True)
class GroupReachability:
    """Reachability of a group of upstreams, as observed by this host.

    Attributes:
        reached_at: Monotonic time of the last answer from the group.
        failed: Names of the upstreams that were not reached since.
        failing_since: Monotonic time of the first failure since.
    """

    reached_at: float = float('-inf')
    failed: set[str] = field(default_factory=set)
    failing_since: float = float('inf')

    def note_reached(self, now: float) -> None:
        """Record an answer."""
        self.reached_at = now
        if self.failed:
            self.failed.clear()
            self.failing_since = float('inf')

    def note_failed(self, name: str, now: float) -> None:
        """Record that an upstream was not reached."""
        if not self.failed:
            self.failing_since = now
        self.failed.add(name)

    def is_suspected(self, now: float) -> bool:
        """Return whether the group may be unreachable.

        Several exchanges that break within a moment, while answers arrive
        regularly, do not indicate a network fault.
        """
        if len(self.failed) < MIN_FAILURES:
            return False
        return now - self.failing_since >= MIN_GAP_SECONDS

    def is_lost(self, size: int) -> bool:
        """Return whether no upstream of the group is reachable.

        Args:
            size: Number of upstreams in the group. A single upstream is avoided
                like any failing upstream instead.
        """
        needed = min(MAX_FAILURES_NEEDED, size)
        return len(self.failed) >= max(MIN_FAILURES, needed)


def lost_groups(
    groups: Mapping[str, GroupReachability],
    members: Mapping[str, Iterable[str]],
) -> set[str]:
    """Return the groups of which no upstream is reachable.

    Args:
        groups: Reachability by group; upstreams that are no longer members are
            removed from it.
        members: The groups of each upstream that accepts work, by name.
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
    """Return the groups that are not contained in another one of them."""
    return frozenset((ALL,)) if ALL in groups else frozenset(groups)


@dataclass(slots=True)
class NewConnectionReachability:
    """Reachability of upstreams by new connections, apart from open ones.

    Open connections may keep working while every new one is refused or reset,
    and a request on a connection that is reset may have run. Observations of
    one kind therefore don't apply to the other.

    Attributes:
        closed: Groups to which new connections fail; only `ALL` if that is one.
        is_suspect: Whether new connections may just have begun to fail.
    """

    closed: frozenset[str] = frozenset()
    is_suspect: bool = False
    _groups: dict[str, GroupReachability] = field(default_factory=dict)

    @property
    def is_sound(self) -> bool:
        """Whether requests may use new connections to all upstreams."""
        return not (self.closed or self.is_suspect)

    def may_open(self, groups: Collection[str]) -> bool:
        """Return whether a request may use a new connection.

        Args:
            groups: The groups of its upstream.
        """
        return not self.is_suspect and self.closed.isdisjoint(groups)

    def note_answered(self, groups: Collection[str], now: float) -> None:
        """Record the first answer on a connection.

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
        """Record that a connection ended without a single answer.

        Args:
            upstream: Name of the upstream.
            groups: Its groups.
            now: Monotonic time in seconds.

        Returns:
            Whether several upstreams of a group that is not closed yet have
            failed without an answer in between.
        """
        most = 0
        for name in groups:
            group = self._group(name)
            group.note_failed(upstream, now)
            if name not in self.closed:
                most = max(most, len(group.failed))
        return most >= MIN_FAILURES

    def mark_suspect(self) -> bool:
        """Mark new connections as suspect; return whether that changes it."""
        if self.is_suspect or ALL in self.closed:
            return False
        self.is_suspect = True
        return True

    def settle(self, members: Mapping[str, Iterable[str]]) -> bool:
        """Update the closed groups; return whether they have changed.

        Unlike for open connections, failures need not last for a minimum time,
        because upstreams are probed while new connections are suspect.

        Args:
            members: The groups of each upstream that accepts work, by name.
        """
        before = self.closed
        self.closed = outermost(lost_groups(self._groups, members))
        return self.closed != before

    def _group(self, name: str) -> GroupReachability:
        return self._groups.setdefault(name, GroupReachability())


@dataclass(slots=True)
class SilenceDetector:
    """Detects that answers have stopped arriving.

    Attributes:
        rate: Average number of answers per second, of which those of the same
            moment count once.
    """

    rate: float = 0.0
    _answers: int = 0
    _counted_at: float = float('-inf')
    _stepped_at: float = 0.0

    def note_answer(self, now: float) -> None:
        """Count an answer, unless one of the same moment is counted.

        Args:
            now: Monotonic time in seconds.
        """
        if now - self._counted_at >= SAME_MOMENT_SECONDS:
            self._counted_at = now
            self._answers += 1

    def step(self, now: float) -> None:
        """Update the rate from the answers counted since the last update.

        Args:
            now: Monotonic time in seconds.
        """
        seconds = now - self._stepped_at
        # A silence that is being checked must not lower the usual rate.
        if self._answers and seconds > 0:
            self.rate += RATE_SHARE * (self._answers / seconds - self.rate)
            self._stepped_at = now
            self._answers = 0

    def is_unusual(self, silent_seconds: float, overdue: int) -> bool:
        """Return whether a silence is unlikely to be coincidence.

        Args:
            silent_seconds: Time since the last answer, while requests wait.
            overdue: Number of upstreams that take far longer than expected.
        """
        is_missed = self.rate * silent_seconds >= MISSED_ANSWERS
        return is_missed or overdue >= MIN_FAILURES


def is_down(group: str, reports: Iterable[Collection[str]]) -> bool:
    """Return whether no host reaches a group that this host does not reach.

    Args:
        group: The group.
        reports: Groups that are unreachable from each of the other hosts.
    """
    return all(ALL in lost or group in lost for lost in reports)
