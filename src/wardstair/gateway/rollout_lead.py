"""The coordination of one roll-out: what the hosts are told and allowed."""

import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from wardstair.decisions.rollout_exposure import HostUsage, next_allowances
from wardstair.decisions.rollout_plan import RolloutStep
from wardstair.decisions.rollout_trial import RolloutTrial
from wardstair.decisions.rollout_verdict import Judgement, Verdict
from wardstair.decisions.rollouts import RolloutStage, RolloutState
from wardstair.fleet.rollout_messages import RolloutPlan
from wardstair.gateway.host_rollout import LEASE_SECONDS
from wardstair.gateway.rollout_reports import HostReports, ReportBook
from wardstair.state.revision import NO_REVISION, Revision
from wardstair.state.rollouts import RolloutOrder, RolloutRecord

# Change of the share that is logged.
LOGGED_SHARE_STEP = 0.05
# Least interval between plans of the same stage; a fraction of the lease.
PLAN_SECONDS = 0.2


@dataclass(slots=True)
class RolloutLead:
    """What this host keeps of a roll-out that it coordinates.

    Attributes:
        order: The operator's order.
        book: The reports of all hosts.
        term: Revision of the record by which it took over; `NO_REVISION` until
            it has.
        began_at: Unix time in seconds at which the roll-out began.
        stage: The stage in force.
        stage_at: Monotonic time in seconds at which that began.
        share: Share of the keys that goes to the new version.
        reason: Why the roll-out is at this stage.
        reserved: The recorded sum of allowances.
        end: The end that is to be recorded, if any.
        may_be_complete: Whether an attempt to record the completion may have
            taken effect. Nothing may go back to old upstreams then.
        group: Numbers of the upstreams under test.
        judgement: What the answers show.
        trial: Compares the answers.
    """

    order: RolloutOrder
    book: ReportBook
    term: Revision = NO_REVISION
    began_at: float = 0.0
    stage: RolloutStage = RolloutStage.testing
    stage_at: float = 0.0
    share: float = 0.0
    reason: str = 'began'
    reserved: int = 0
    end: RolloutState | None = None
    may_be_complete: bool = False
    group: frozenset[int] = frozenset()
    judgement: Judgement = Judgement(Verdict.undecided)
    trial: RolloutTrial = field(default_factory=RolloutTrial)
    # Allowances given by this host, by number of the host that got them, and
    # how much it has added to those of earlier coordinators.
    _allowances: dict[int, int] = field(default_factory=dict)
    _added: Counter[int] = field(default_factory=Counter)
    # What earlier coordinators may have given, and the requests that back it.
    _earlier: int = 0
    _backing: int = 0
    _number: int = 0
    _logged: tuple[tuple[RolloutStage, str], float] | None = None
    # Stage and time of the last plan.
    _planned: RolloutStage | None = None
    _planned_at: float = 0.0

    @property
    def has_term(self) -> bool:
        """Whether this host has taken over."""
        return self.term != NO_REVISION

    @property
    def given(self) -> int:
        """Sum of all allowances that may have been given."""
        return self._earlier + self._added.total()

    @property
    def requests(self) -> int:
        """Requests of the service since the order, as far as known."""
        return max(self.book.requests, self._backing)

    @property
    def sent_at_most(self) -> int:
        """Requests that may have been sent to the new version.

        Earlier allowances that no host has reported count as sent, since a host
        that is not heard may have them.
        """
        hosts = self.book.hosts.values()
        counted = sum(
            max(host.last.sent, self._allowed(host)) for host in hosts
        )
        earlier = sum(
            self._allowed(host) - self._added[host.number] for host in hosts
        )
        return counted + max(0, self._earlier - earlier)

    def take_over(
        self, record: RolloutRecord, term: Revision, share: float
    ) -> None:
        """Begin the term of this host.

        Args:
            record: The record that this host has written.
            term: Its revision.
            share: The share in the last plan that this host has heard.
        """
        self.term = term
        self.began_at = record.began_at
        self.reserved = record.reserved
        self.share = share
        self._earlier = max(record.reserved, self.book.allowed)
        self._backing = record.requests
        # A stop may not have been recorded.
        self.enter(max(record.stage, self.book.stage), record.reason)

    def enter(self, stage: RolloutStage, reason: str) -> None:
        """Begin a stage.

        Args:
            stage: The stage.
            reason: Why it begins.
        """
        if stage is not self.stage or not self.stage_at:
            self.stage_at = time.monotonic()
        self.stage = stage
        self.reason = reason

    def follow(self, step: RolloutStep) -> None:
        """Take in what a step changes within the stage in force.

        Args:
            step: The step.
        """
        self.share = step.share
        self.reason = step.reason

    def usages(self) -> list[HostUsage]:
        """Return what the hosts use that hear this host's plans."""
        now = time.monotonic()
        return [
            HostUsage(
                str(host.number),
                host.last.requests,
                host.last.sent,
                self._allowed(host),
                host.last.can_use_more,
            )
            for host in self.book.in_touch(now, LEASE_SECONDS)
        ]

    def give_allowances(self) -> None:
        """Give hosts what is reserved and not given yet."""
        usages = self.usages()
        before = {usage.host: usage.allowed for usage in usages}
        name = f'{self.order.service} {self.order.version}'
        given = next_allowances(self.reserved - self.given, usages, name)
        for host, allowance in given.items():
            self._added[int(host)] += allowance - before[host]
            self._allowances[int(host)] = allowance

    def plans(self) -> Callable[[str], RolloutPlan]:
        """Return a function that returns the next plan of a zone."""
        self._number += 1
        self._planned = self.stage
        self._planned_at = time.monotonic()
        number = self._number
        by_zone: dict[str, dict[int, int]] = {}
        for host in self.book.hosts.values():
            by_zone.setdefault(host.last.zone, {})[host.number] = self._allowed(
                host
            )

        def plan_of(zone: str) -> RolloutPlan:
            return RolloutPlan(
                service=self.order.service,
                version=self.order.version,
                term=self.term,
                number=number,
                stage=self.stage,
                share=self.share,
                group=self.group,
                allowances=by_zone.get(zone, {}),
                reason=self.reason,
            )

        return plan_of

    def is_news(self) -> bool:
        """Return whether the state differs from the last logged one."""
        logged = self._logged
        if logged is not None and logged[0] == (self.stage, self.reason):
            is_near = abs(logged[1] - self.share) < LOGGED_SHARE_STEP
            if is_near:
                return False
        self._logged = ((self.stage, self.reason), self.share)
        return True

    def is_plan_due(self, now: float) -> bool:
        """Return whether hosts need a plan now.

        Args:
            now: Monotonic time in seconds.
        """
        is_news = self._planned is not self.stage
        return is_news or now - self._planned_at >= PLAN_SECONDS

    def _allowed(self, host: HostReports) -> int:
        return max(host.last.allowed, self._allowances.get(host.number, 0))
