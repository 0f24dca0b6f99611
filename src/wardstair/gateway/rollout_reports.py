"""The reports of all hosts on one roll-out, as a sentinel received them."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from wardstair.decisions.rollout_verdict import AnswerTally, TallyKey
from wardstair.decisions.rollouts import RolloutStage
from wardstair.fleet.rollout_messages import RolloutReport, number_of_host

# Time over which the rate of requests is measured.
RATE_SECONDS = 2.0

_Rows = dict[TallyKey, AnswerTally]
_NONE = AnswerTally()


@dataclass(slots=True)
class _Sum:
    """A tally that is added to in place, as there are many reports.

    Attributes:
        key: What it counts; all hosts share it, which saves memory.
        answers: All answers.
        failed: Failed ones among them.
        slow: Slow ones among them.
    """

    key: TallyKey
    answers: int = 0
    failed: int = 0
    slow: int = 0


_Sums = dict[TallyKey, _Sum]


@dataclass(slots=True)
class HostReports:
    """What one run of a host has reported.

    Attributes:
        last: Its newest report; its answers are in the sums of the book.
        heard_at: Monotonic time in seconds at which that arrived.
    """

    last: RolloutReport
    heard_at: float
    new: _Rows = field(default_factory=dict)
    old: _Rows = field(default_factory=dict)

    @property
    def number(self) -> int:
        """Number of this run of the host in plans."""
        return number_of_host(self.last.sender, self.last.run)


class ReportBook:
    """The reports of all hosts on one roll-out, also of dead hosts."""

    def __init__(self) -> None:
        """Create an empty book."""
        self._hosts: dict[int, HostReports] = {}
        self._new: _Sums = {}
        self._old: _Sums = {}
        # Times and total requests in the last seconds.
        self._totals: list[tuple[float, int]] = []

    @property
    def hosts(self) -> Mapping[int, HostReports]:
        """The hosts by number."""
        return self._hosts

    @property
    def new(self) -> Mapping[TallyKey, AnswerTally]:
        """Answers of the new version at all hosts."""
        return _rows_of(self._new)

    @property
    def old(self) -> Mapping[TallyKey, AnswerTally]:
        """Answers of the old version at all hosts."""
        return _rows_of(self._old)

    @property
    def requests(self) -> int:
        """Requests of the service since the order."""
        return sum(host.last.requests for host in self._hosts.values())

    @property
    def sent(self) -> int:
        """Requests among them that were sent to the new version."""
        return sum(host.last.sent for host in self._hosts.values())

    @property
    def allowed(self) -> int:
        """Sum of the allowances that hosts have reported."""
        return sum(host.last.allowed for host in self._hosts.values())

    @property
    def rate(self) -> float:
        """Requests of the service per second; 0 until it is measured."""
        if not self._totals:
            return 0.0
        began_at, before = self._totals[0]
        ended_at, after = self._totals[-1]
        seconds = ended_at - began_at
        return (after - before) / seconds if seconds > 0 else 0.0

    @property
    def stage(self) -> RolloutStage:
        """The latest stage that any host follows."""
        stages = [host.last.stage for host in self._hosts.values()]
        return max(stages, default=RolloutStage.testing)

    def take(self, report: RolloutReport, now: float) -> None:
        """Take in a report.

        Args:
            report: The report.
            now: Monotonic time in seconds.
        """
        number = number_of_host(report.sender, report.run)
        host = self._hosts.setdefault(number, HostReports(report, now))
        if report.number >= host.last.number:
            host.last = report
            host.heard_at = now
        _merge(report.new, host.new, self._new)
        _merge(report.old, host.old, self._old)

    def in_touch(self, now: float, seconds: float) -> list[HostReports]:
        """Return the hosts that have reported lately.

        Args:
            now: Monotonic time in seconds.
            seconds: Time in which they have reported.
        """
        return [
            host
            for host in self._hosts.values()
            if now - host.heard_at <= seconds
        ]

    def measure(self, now: float) -> None:
        """Note the requests so far, from which the rate is calculated.

        Args:
            now: Monotonic time in seconds.
        """
        self._totals.append((now, self.requests))
        while now - self._totals[0][0] > RATE_SECONDS:
            self._totals.pop(0)


def waiting_hosts(
    hosts: Iterable[HostReports], stage: RolloutStage, stage_at: float
) -> int:
    """Return how many hosts do not follow a stage yet.

    At the switch a host with requests under way at old upstreams waits too,
    and one that was last heard before: it may have followed another stage
    since its report.

    Args:
        hosts: The hosts.
        stage: The stage.
        stage_at: Monotonic time in seconds at which it began.
    """
    return sum(_is_waiting(host, stage, stage_at) for host in hosts)


def _is_waiting(
    host: HostReports, stage: RolloutStage, stage_at: float
) -> bool:
    report = host.last
    if report.stage < stage:
        return True
    if stage is not RolloutStage.switched:
        return False
    return report.waiting > 0 or host.heard_at < stage_at


def _merge(
    reported: Mapping[TallyKey, AnswerTally], known: _Rows, sums: _Sums
) -> None:
    """Replace a host's counts by later ones, and change the sums as much."""
    for key, tally in reported.items():
        before = known.get(key, _NONE)
        if tally.answers <= before.answers:
            # Counts only grow; the report is older than the last one.
            continue
        total = sums.get(key)
        if total is None:
            total = _Sum(key)
            sums[key] = total
        known[total.key] = tally
        total.answers += tally.answers - before.answers
        total.failed += tally.failed - before.failed
        total.slow += tally.slow - before.slow


def _rows_of(sums: _Sums) -> _Rows:
    return {
        key: AnswerTally(total.answers, total.failed, total.slow)
        for key, total in sums.items()
    }
