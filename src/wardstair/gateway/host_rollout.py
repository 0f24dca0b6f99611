"""What this host counts and follows of one running roll-out."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from wardstair.decisions.rollout_verdict import AnswerTally, TallyKey
from wardstair.decisions.rollouts import RolloutStage
from wardstair.fleet.rollout_messages import (
    RolloutPlan,
    RolloutReport,
    number_of_host,
)
from wardstair.state.revision import NO_REVISION, Revision
from wardstair.state.rollouts import Rollout, RolloutOrder, RolloutRecord

# A host that has heard no plan for this long sends nothing to a version that is
# not proved.
LEASE_SECONDS = 1.0
# Time without a plan after which another sentinel may take over. Hosts differ
# for seconds on who the first sentinel is when one is lost or joins.
LEAD_SECONDS = 0.6
# Time for which changed counts are repeated in reports, as some get lost.
REPEAT_SECONDS = 0.8
# Counts in each report that have not changed lately, so that a new sentinel
# gets all of them within seconds.
UNCHANGED_ROWS = 4


@dataclass(frozen=True, slots=True)
class GateIdentity:
    """How this host names itself in reports.

    Attributes:
        name: Name of the host.
        zone: Its availability zone.
        run: Identifies the run of its process.
    """

    name: str
    zone: str
    run: int

    @property
    def number(self) -> int:
        """Number of this run of the host in plans."""
        return number_of_host(self.name, self.run)


@dataclass(slots=True)
class AnswerCounts:
    """Answers of one version, by route and upstream."""

    _rows: dict[TallyKey, AnswerTally] = field(default_factory=dict)
    _changed_at: dict[TallyKey, float] = field(default_factory=dict)
    _next: int = 0

    @property
    def rows(self) -> Mapping[TallyKey, AnswerTally]:
        """All counts."""
        return self._rows

    @property
    def total(self) -> AnswerTally:
        """The sum of all counts."""
        return sum(self._rows.values(), AnswerTally())

    def add(self, key: TallyKey, tally: AnswerTally, now: float) -> None:
        """Add answers.

        Args:
            key: Their route and upstream.
            tally: The answers.
            now: Monotonic time in seconds.
        """
        self._rows[key] = self._rows.get(key, AnswerTally()) + tally
        self._changed_at[key] = now

    def reportable(self, now: float) -> dict[TallyKey, AnswerTally]:
        """Return the counts for the next report.

        Args:
            now: Monotonic time in seconds.
        """
        since = now - REPEAT_SECONDS
        keys = list(self._rows)
        chosen = {key for key in keys if self._changed_at[key] >= since}
        turn = keys[self._next : self._next + UNCHANGED_ROWS]
        self._next += UNCHANGED_ROWS
        if self._next >= len(keys):
            self._next = 0
        return {key: self._rows[key] for key in chosen.union(turn)}


@dataclass(slots=True)
class HostRollout:
    """A roll-out as this host follows it.

    Attributes:
        order: The operator's order.
        planned: Stage of the last plan.
        recorded: Stage in the record.
        began_at: Unix time in seconds at which it began, as recorded; 0 while
            there is no record.
        is_stopped: Whether a plan or the record has stopped it, which is never
            taken back.
        share: Share of the keys that goes to the new version.
        group: Numbers of the upstreams under test.
        term: Term of the last plan.
        plan: Number of the last plan.
        reason: Why the roll-out is at this stage.
        lease_until: Monotonic time until which the last plan is in force.
        allowed: Requests that this process may ever send to the new version
            while that is under test.
        requests: Requests of the service sent since the order was known.
        sent: Requests among them that were sent to the new version.
        new: Answers of the new version.
        old: Answers of the old version.
        has_news: Whether a bad answer of the new version is not reported yet.
        has_lapsed: Whether it was logged that no plan arrives.
    """

    order: RolloutOrder
    planned: RolloutStage = RolloutStage.testing
    recorded: RolloutStage = RolloutStage.testing
    began_at: float = 0.0
    is_stopped: bool = False
    share: float = 0.0
    group: frozenset[int] = frozenset()
    term: Revision = NO_REVISION
    plan: int = 0
    reason: str = ''
    lease_until: float = float('-inf')
    allowed: int = 0
    requests: int = 0
    sent: int = 0
    new: AnswerCounts = field(default_factory=AnswerCounts)
    old: AnswerCounts = field(default_factory=AnswerCounts)
    has_news: bool = False
    has_lapsed: bool = False

    @property
    def left(self) -> int:
        """Requests that it may still send to the version under test."""
        return max(0, self.allowed - self.sent)

    def is_of(self, rollout: Rollout) -> bool:
        """Return whether it is the same roll-out, not a later order's."""
        record = rollout.own_record
        return (
            record is not None
            and record.version == self.order.version
            and record.began_at == self.began_at
        )

    def stage(self, now: float) -> RolloutStage:
        """Return the stage that this host follows.

        Once the record says `switched`, `complete` may be written at any time,
        and the old upstreams then stop at once. A host that hears no plans
        therefore stays at the switch.

        Args:
            now: Monotonic time in seconds.
        """
        if self.is_stopped:
            return RolloutStage.stopped
        if self.has_lease(now):
            return self.planned
        return max(self.planned, self.recorded)

    def is_led(self, now: float) -> bool:
        """Return whether a coordinator is at work.

        Args:
            now: Monotonic time in seconds.
        """
        return now < self.lease_until - LEASE_SECONDS + LEAD_SECONDS

    def has_lease(self, now: float) -> bool:
        """Return whether a plan was heard recently.

        Args:
            now: Monotonic time in seconds.
        """
        return now < self.lease_until

    def may_use_new(self, now: float) -> bool:
        """Return whether requests may be sent to the new version now.

        Args:
            now: Monotonic time in seconds.
        """
        match self.stage(now):
            case RolloutStage.stopped:
                return False
            case RolloutStage.switched:
                return True
            case _:
                return self.has_lease(now)

    def note_record(self, record: RolloutRecord | None) -> None:
        """Take in the stage that is recorded in the store."""
        if record is None:
            return
        self.recorded = record.stage
        self.began_at = record.began_at
        if record.stage is RolloutStage.stopped:
            self.is_stopped = True

    def follow(self, plan: RolloutPlan, number: int, now: float) -> bool:
        """Follow a plan.

        Args:
            plan: The plan; older ones than the last are ignored.
            number: Number of this run of this host.
            now: Monotonic time in seconds.

        Returns:
            Whether the plan is newer than the last one.
        """
        if (plan.term, plan.number) < (self.term, self.plan):
            return False
        is_newer = (plan.term, plan.number) > (self.term, self.plan)
        self.term = plan.term
        self.plan = plan.number
        self.planned = plan.stage
        if plan.stage is RolloutStage.stopped:
            self.is_stopped = True
        self.share = plan.share
        self.group = plan.group
        self.reason = plan.reason
        self.allowed = max(self.allowed, plan.allowances.get(number, 0))
        if is_newer:
            self.lease_until = now + LEASE_SECONDS
            self.has_lapsed = False
        return is_newer

    def report(
        self,
        own: GateIdentity,
        number: int,
        now: float,
        *,
        waiting: int,
        can_use_more: bool,
    ) -> RolloutReport:
        """Return the next report.

        Args:
            own: How this host names itself.
            number: Sequence number of the report.
            now: Monotonic time in seconds.
            waiting: Requests under way at old upstreams.
            can_use_more: Whether an upstream of the new version may be used.
        """
        is_urgent = self.has_news
        self.has_news = False
        return RolloutReport(
            sender=own.name,
            zone=own.zone,
            run=own.run,
            number=number,
            service=self.order.service,
            version=self.order.version,
            requests=self.requests,
            sent=self.sent,
            allowed=self.allowed,
            can_use_more=can_use_more,
            term=self.term,
            plan=self.plan,
            stage=self.stage(now),
            waiting=waiting,
            is_urgent=is_urgent,
            new=self.new.reportable(now),
            old=self.old.reportable(now),
        )
