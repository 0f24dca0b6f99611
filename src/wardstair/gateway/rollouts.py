"""Decides on this host to which versions of a service a request may go.

While no roll-out is in progress, a request passes without further checks.
"""

import time
from collections import Counter
from collections.abc import Callable, Iterable, Sequence

from wardstair.decisions.rollout_candidates import is_in_share
from wardstair.decisions.rollout_verdict import AnswerTally, TallyKey
from wardstair.decisions.rollouts import RolloutStage
from wardstair.fleet.rollout_messages import (
    RolloutPlan,
    RolloutReport,
    number_of_route,
    number_of_upstream,
)
from wardstair.gateway.host_rollout import GateIdentity, HostRollout
from wardstair.gateway.open_sends import OpenSends
from wardstair.process.log import log_warning
from wardstair.state.entries import UpstreamEntry
from wardstair.state.revision import NO_REVISION
from wardstair.state.roles import ignore
from wardstair.state.rollouts import Rollout, RolloutTable, VersionRole
from wardstair.state.upstream import Upstream

# Roles of upstreams that get no requests in any stage.
_BARRED = frozenset((VersionRole.withheld, VersionRole.excluded))


class RolloutGate:
    """Permits upstreams by their versions, and counts; one per process.

    Attributes:
        running: The running roll-outs by service.
        lapsed: Number of times that no plan arrived in time.
        sent: Requests given to new versions, by service, also those whose
            connection could not be opened.
        bad: Bad answers of new versions, by service and kind.
        on_news: Called when a bad answer of a new version has arrived.
        on_change: Called when roll-outs have begun, changed or ended.
    """

    def __init__(self) -> None:
        """Create a gate without roll-outs; `attach` gives it some."""
        self.running: dict[str, HostRollout] = {}
        self.lapsed = 0
        self.sent = Counter[str]()
        self.bad = Counter[tuple[str, str]]()
        self.on_news: Callable[[], None] = ignore
        self.on_change: Callable[[], None] = ignore
        # The last roll-outs whose orders have left. If one returns, what was
        # spent of its allowance must still count.
        self._departed: dict[str, HostRollout] = {}
        self._table: RolloutTable | None = None
        self._own = GateIdentity('', '', 0)
        self._generation = 0
        self._roles: dict[str, tuple[UpstreamEntry, VersionRole]] = {}
        self._numbers: dict[str, int] = {}
        self._open = OpenSends()
        self._reported = 0
        self._upstream_generation: Callable[[], int] = int
        self._upstreams = 0

    @property
    def is_in_use(self) -> bool:
        """Whether the settings of this host ask for roll-outs."""
        return self._table is not None

    @property
    def generation(self) -> int:
        """Grows when the set of permitted upstreams may have changed."""
        # Whether a version is excluded depends on the others in service.
        if self._upstreams != self._upstream_generation():
            self._upstreams = self._upstream_generation()
            self._forget_roles()
        return self._generation

    @property
    def identity(self) -> GateIdentity:
        """How this host names itself in reports."""
        return self._own

    def attach(
        self,
        table: RolloutTable,
        own: GateIdentity,
        upstream_generation: Callable[[], int],
    ) -> None:
        """Follow the roll-outs of a table from now on.

        Args:
            table: The roll-outs known to this host.
            own: How this host names itself in reports.
            upstream_generation: Returns a number that grows when the set of
                upstreams changes.
        """
        self._table = table
        self._upstream_generation = upstream_generation
        self._own = own
        table.on_change = self.refresh
        self.refresh()

    def refresh(self) -> None:
        """Take in changed orders and records."""
        table = self._table
        if table is None:
            return
        running: dict[str, HostRollout] = {}
        for rollout in table.running:
            order = rollout.order
            known = self._known(rollout) or HostRollout(order)
            known.order = order
            known.note_record(rollout.own_record)
            running[order.service] = known
        for service, followed in self.running.items():
            if running.get(service) is not followed:
                self._departed[service] = followed
        self.running = running
        self._forget_roles()
        self.on_change()

    def is_barred(self, entry: UpstreamEntry) -> bool:
        """Return whether an upstream gets no requests because of its version.

        Args:
            entry: The upstream.
        """
        return self._table is not None and self._role(entry) in _BARRED

    def groups(
        self, ranked: Sequence[Upstream], key: str, *, is_resend: bool
    ) -> list[Sequence[Upstream]]:
        """Return the permitted upstreams in groups, to be tried in order.

        Args:
            ranked: Upstreams of one service that are not barred, the preferred
                one first.
            key: Affinity key of the request.
            is_resend: Whether the request was sent before.
        """
        rollout = None
        if self.running and ranked:
            rollout = self.running.get(ranked[0].entry.service)
        if rollout is None:
            return [ranked]
        new: list[Upstream] = []
        old: list[Upstream] = []
        for one in ranked:
            (new if self._is_new(one) else old).append(one)
        if not old and self._is_alone(rollout):
            return [new]
        now = time.monotonic()
        if not rollout.may_use_new(now):
            return [old]
        match rollout.stage(now):
            case RolloutStage.switched:
                return [new or old]
            case RolloutStage.testing:
                new = [one for one in new if self._is_tested(rollout, one)]
                is_tested = rollout.left > 0 and not is_resend
            case _:
                is_tested = True
        service = rollout.order.service
        if is_tested and is_in_share(key, service, rollout.share):
            return [new, old]
        # A request outside of the share counts against the allowance.
        return [old, new] if rollout.left else [old]

    def is_on_trial(self, upstream: Upstream) -> bool:
        """Return whether an upstream has the new version of a roll-out.

        Args:
            upstream: The upstream.
        """
        return bool(self.running) and self._is_new(upstream)

    def may_send(self, upstream: Upstream) -> bool:
        """Return whether a request may be sent to a chosen upstream now.

        Plans and orders may have changed while a connection was opened.

        Args:
            upstream: The upstream.
        """
        if self._table is None:
            return True
        role = self._role(upstream.entry)
        rollout = self.running.get(upstream.entry.service)
        if rollout is None or role is not VersionRole.new:
            return role not in _BARRED
        return rollout.may_use_new(time.monotonic()) or self._is_alone(rollout)

    def note_sent(self, upstream: Upstream) -> None:
        """Count a request that is being sent.

        Args:
            upstream: The upstream.
        """
        self._open.begin(upstream)
        rollout = self.running.get(upstream.entry.service)
        if rollout is None:
            return
        rollout.requests += 1
        if self._is_new(upstream):
            rollout.sent += 1
            self.sent[upstream.entry.service] += 1

    def note_ended(self, upstream: Upstream) -> None:
        """Count a request that is no longer under way.

        Args:
            upstream: The upstream.
        """
        self._open.end(upstream)

    def note_unsent(self, upstream: Upstream) -> None:
        """Take back a counted request of which no byte was sent.

        Args:
            upstream: The upstream.
        """
        rollout = self.running.get(upstream.entry.service)
        if rollout is None:
            return
        rollout.requests = max(0, rollout.requests - 1)
        if self._is_new(upstream):
            rollout.sent = max(0, rollout.sent - 1)

    def note_answer(
        self, upstream: Upstream, route: str, *, is_failed: bool, is_slow: bool
    ) -> None:
        """Count an answer of an upstream, or one that is overdue.

        Args:
            upstream: The upstream.
            route: Name of the route.
            is_failed: Whether it is a failure of the upstream.
            is_slow: Whether it took a multiple of the expected time.
        """
        rollout = self.running.get(upstream.entry.service)
        if rollout is None:
            return
        tally = AnswerTally(1, int(is_failed), int(is_slow and not is_failed))
        key = TallyKey(number_of_route(route), self._number(upstream))
        is_new = self._is_new(upstream)
        counts = rollout.new if is_new else rollout.old
        counts.add(key, tally, time.monotonic())
        if is_new and tally.bad:
            kind = 'failed' if is_failed else 'slow'
            self.bad[upstream.entry.service, kind] += 1
            rollout.has_news = True
            self.on_news()

    def waiting(self, service: str) -> int:
        """Return this host's requests under way at old upstreams.

        Args:
            service: The service.
        """
        return self._open.count(
            lambda entry: (
                entry.service == service
                and self._role(entry) is not VersionRole.new
            )
        )

    def follow(self, plan: RolloutPlan) -> bool:
        """Follow a plan; return whether it is newer than the last one.

        Args:
            plan: The plan.
        """
        rollout = self.running.get(plan.service)
        if rollout is None or rollout.order.version != plan.version:
            return False
        now = time.monotonic()
        before = rollout.stage(now)
        is_newer = rollout.follow(plan, self._own.number, now)
        if rollout.stage(now) is not before:
            self.on_news()
        return is_newer

    def share(self, service: str) -> float:
        """Return the share in the last plan for a service.

        Args:
            service: The service.
        """
        rollout = self.running.get(service)
        return 0.0 if rollout is None else rollout.share

    def is_led(self, service: str) -> bool:
        """Return whether a coordinator of a service's roll-out is heard.

        Args:
            service: The service.
        """
        rollout = self.running.get(service)
        return rollout is not None and rollout.is_led(time.monotonic())

    def check_plans(self) -> None:
        """Log roll-outs for which no plan arrives any more."""
        now = time.monotonic()
        for service, rollout in self.running.items():
            stage = rollout.stage(now)
            needs_lease = stage < RolloutStage.switched
            is_followed = needs_lease and rollout.term != NO_REVISION
            if rollout.has_lapsed or not is_followed or rollout.has_lease(now):
                continue
            rollout.has_lapsed = True
            self.lapsed += 1
            log_warning(
                'rollout-plan-lapsed',
                service=service,
                target=rollout.order.version,
                stage=stage.name,
                term=rollout.term,
                plan=rollout.plan,
            )

    def reports(self, usable: Iterable[Upstream]) -> list[RolloutReport]:
        """Return the reports of all running roll-outs.

        Args:
            usable: Upstreams to which this host may send now.
        """
        now = time.monotonic()
        services = {
            one.entry.service
            for one in usable
            if self._is_new(one) and self._is_usable(one)
        }
        self._reported += 1
        return [
            rollout.report(
                self._own,
                self._reported,
                now,
                waiting=self.waiting(service),
                can_use_more=service in services,
            )
            for service, rollout in self.running.items()
        ]

    def _known(self, rollout: Rollout) -> HostRollout | None:
        """Return what this host follows of a roll-out, if it knew it before."""
        order = rollout.order
        known = self.running.get(order.service)
        if known is not None and known.order.version == order.version:
            return known
        departed = self._departed.get(order.service)
        if departed is not None and departed.is_of(rollout):
            return departed
        return None

    def _is_alone(self, rollout: HostRollout) -> bool:
        """Return whether the service has no other version than the new one."""
        return self._table is not None and self._table.is_alone(
            rollout.order.target
        )

    def _is_new(self, upstream: Upstream) -> bool:
        return self._role(upstream.entry) is VersionRole.new

    def _is_usable(self, upstream: Upstream) -> bool:
        """Return whether an upstream of a new version may get test requests."""
        rollout = self.running.get(upstream.entry.service)
        if rollout is None:
            return False
        is_testing = rollout.planned is RolloutStage.testing
        return not is_testing or self._is_tested(rollout, upstream)

    def _is_tested(self, rollout: HostRollout, upstream: Upstream) -> bool:
        return self._number(upstream) in rollout.group

    def _number(self, upstream: Upstream) -> int:
        name = upstream.incarnation
        known = self._numbers.get(name)
        if known is None:
            known = number_of_upstream(name)
            self._numbers[name] = known
        return known

    def _role(self, entry: UpstreamEntry) -> VersionRole:
        known = self._roles.get(entry.name)
        if known is not None and known[0] is entry:
            return known[1]
        if self._table is None:
            return VersionRole.usual
        role = self._table.role_of(entry)
        self._roles[entry.name] = (entry, role)
        return role

    def _forget_roles(self) -> None:
        self._generation += 1
        self._roles.clear()
        if not self.running:
            self._numbers.clear()
