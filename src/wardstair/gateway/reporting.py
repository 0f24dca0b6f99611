"""Reports requests as log lines, counters and latencies.

At high rates only a sample of the requests that succeed in time is logged. It
is drawn by request id, so that all hosts log the same requests. Refused,
failed, late and resent requests are all logged, up to a limit per second.
"""

import time
from dataclasses import dataclass, field

from wardstair.decisions.authorisation import ApiKeyFault
from wardstair.decisions.notices import Availability
from wardstair.decisions.ranking import unit_hash
from wardstair.errors import RefusalKind
from wardstair.gateway.choosing import Placement
from wardstair.gateway.messages import Inbound
from wardstair.gateway.peer_forwarding import HopOutcome
from wardstair.gateway.quotas import OverQuota
from wardstair.gateway.send_outcomes import Delivered
from wardstair.process.log import log_event
from wardstair.process.metrics import Metrics
from wardstair.state.upstream import Upstream
from wardstair.version.steering import SteeredRoute

# Successful requests per second on a host up to which each one is logged.
GOOD_LINES_PER_SECOND = 10
# Log lines per second for all other requests; further ones are only counted.
OTHER_LINES_PER_SECOND = 200


@dataclass(slots=True)
class LineRateLimit:
    """Limits log lines per second by sampling them by request id.

    Attributes:
        max_per_second: Rate up to which all lines are logged.
    """

    max_per_second: int
    _second: int = 0
    _offered: int = 0
    _allowed: int = 0
    _offered_before: int = 0

    def allows(self, name: str, now: float) -> bool:
        """Return whether the line of a request is to be logged.

        Args:
            name: Id of the request.
            now: Monotonic time in seconds.
        """
        second = int(now)
        if second != self._second:
            self._offered_before = (
                self._offered if second == self._second + 1 else 0
            )
            self._second = second
            self._offered = 0
            self._allowed = 0
        self._offered += 1
        if self._allowed >= self.max_per_second * 2:
            return False
        if (
            self._offered_before > self.max_per_second
            and unit_hash(name) >= self.max_per_second / self._offered_before
        ):
            return False
        self._allowed += 1
        return True


@dataclass(slots=True)
class AttemptHistory:
    """What is logged about a request apart from its outcome.

    Attributes:
        inbound: The request.
        route: Route of the request.
        version: Version of the configuration that the request was routed by.
        service: Service chosen for the request.
        sends: Number of sends to upstreams.
        unreachable: Number of upstreams that no connection could be opened to.
        upstreams: Names of the upstreams that the request was sent to, in
            order.
        was_warm: Whether the upstream that answered had recently answered this
            host for the same key; otherwise the key was probably not warm
            there.
    """

    inbound: Inbound
    route: SteeredRoute
    version: int
    service: str
    sends: int = 0
    unreachable: int = 0
    upstreams: list[str] = field(default_factory=list)
    was_warm: bool = False


@dataclass(frozen=True, slots=True)
class RejectedApiKey:
    """Why an API key was not accepted.

    Attributes:
        fault: What was wrong with the key.
        version: Version of the configuration that the key was checked against.
        age: Seconds since that version was adopted.
    """

    fault: ApiKeyFault
    version: int
    age: float


class Reporter:
    """Logs and counts requests; one per process."""

    def __init__(self, metrics: Metrics) -> None:
        """Create a reporter.

        Args:
            metrics: Receives counts and latencies.
        """
        self._metrics = metrics
        self._good = LineRateLimit(GOOD_LINES_PER_SECOND)
        self._other = LineRateLimit(OTHER_LINES_PER_SECOND)

    def split_assigned(self, route: SteeredRoute, service: str) -> None:
        """Count a request of a split route by the service chosen for it."""
        self._metrics.split_requests.add(route.name, service)

    def answered(
        self,
        history: AttemptHistory,
        placement: Placement,
        delivered: Delivered,
    ) -> None:
        """Report a request that an upstream answered."""
        now = time.monotonic()
        took = now - history.inbound.received_at
        status = delivered.answer.status
        is_late = took > history.route.objective
        is_good = status < 400 and not is_late and history.sends == 1
        self._metrics.requests.add(history.route.name)
        self._metrics.observe_request(history.route.name, took)
        self._metrics.observe_upstream(history.service, delivered.seconds)
        rate_limit = self._good if is_good else self._other
        if not rate_limit.allows(history.inbound.request_id, now):
            self._metrics.lines_thinned.add('request-answered')
            return
        candidate = placement.choice.candidate
        log_event(
            'request-answered',
            request=history.inbound.request_id,
            route=history.route.name,
            version=history.version,
            status=status,
            late=is_late,
            seconds=round(took, 3),
            upstream=placement.upstream.name,
            upstream_version=placement.upstream.entry.version,
            upstream_seconds=round(delivered.seconds, 3),
            expected=round(placement.choice.seconds, 3),
            rank=candidate.rank,
            warm=history.was_warm,
            load=round(candidate.load, 1),
            load_age=_age(now, placement.upstream.reported_at),
            slots=candidate.slots,
            slowness=round(candidate.slowness, 2),
            sends=history.sends,
            entry=delivered.state.entry,
            state=delivered.state.upstreams,
            state_age=round(delivered.state.age, 3),
        )

    def resent(
        self,
        history: AttemptHistory,
        reason: str,
        placement: Placement,
    ) -> None:
        """Report a request that is resent to another upstream."""
        self._metrics.retries.add(reason, history.route.name)
        if not self._allows_other(history):
            return
        log_event(
            'request-resent',
            request=history.inbound.request_id,
            reason=reason,
            before=','.join(history.upstreams),
            upstream=placement.upstream.name,
            sends=history.sends,
        )

    def forwarded(self, history: AttemptHistory, outcome: HopOutcome) -> None:
        """Report a request that was forwarded to another entry host."""
        now = time.monotonic()
        self._metrics.handed_on.add(outcome.end, history.route.name)
        took = now - history.inbound.received_at
        answer = outcome.answer
        if answer is not None:
            self._metrics.observe_request(history.route.name, took)
        if not self._allows_other(history):
            return
        log_event(
            'request-handed-on',
            request=history.inbound.request_id,
            route=history.route.name,
            host=outcome.host,
            outcome=outcome.end,
            status=0 if answer is None else answer.status,
            hop_seconds=round(outcome.seconds, 3),
            seconds=round(took, 3),
            unreachable=history.unreachable,
        )

    def sent_after_notice(
        self,
        history: AttemptHistory,
        upstream: Upstream,
        notice: Availability,
        trigger: str,
    ) -> None:
        """Report a send to an upstream that accepts no further requests.

        Args:
            history: Attempt history of the request.
            upstream: The upstream.
            notice: Availability that the upstream has announced.
            trigger: `first`, or why the request is resent.
        """
        self._metrics.sends_after_notice.add(notice, trigger)
        if not self._allows_other(history):
            return
        log_event(
            'sent-after-notice',
            request=history.inbound.request_id,
            upstream=upstream.name,
            notice=notice,
            way=trigger,
        )

    def resend_withheld(self, history: AttemptHistory, verdict: str) -> None:
        """Report a request that was not resent."""
        self._metrics.retries_withheld.add(verdict, history.route.name)
        if not self._allows_other(history):
            return
        log_event(
            'resend-withheld',
            request=history.inbound.request_id,
            reason=verdict,
            sends=history.sends,
        )

    def refused(
        self,
        history: AttemptHistory,
        kind: str,
        known: int,
        left: float,
    ) -> None:
        """Report a request that this host refuses.

        Args:
            history: Attempt history of the request.
            kind: Kind of the refusal.
            known: Number of upstreams of its service that accept work.
            left: Time left until its deadline, in seconds.
        """
        now = time.monotonic()
        took = now - history.inbound.received_at
        self._metrics.refusals.add(kind, history.route.name)
        self._metrics.observe_request(history.route.name, took)
        if not self._allows_other(history):
            return
        log_event(
            'request-refused',
            request=history.inbound.request_id,
            reason=kind,
            route=history.route.name,
            organisation=history.inbound.organisation,
            version=history.version,
            service=history.service,
            sends=history.sends,
            unreachable=history.unreachable,
            upstreams=','.join(history.upstreams),
            known=known,
            seconds=round(took, 3),
            left=round(left, 3),
        )

    def unrouted(self, inbound: Inbound, kind: str, version: int) -> None:
        """Report a request that no route was found for."""
        self._metrics.refusals.add(kind, '')
        if not self._other.allows(inbound.request_id, time.monotonic()):
            self._metrics.lines_thinned.add('request-unrouted')
            return
        log_event(
            'request-unrouted',
            request=inbound.request_id,
            reason=kind,
            version=version,
            host=inbound.host,
            path=inbound.path,
        )

    def unauthorised(
        self,
        inbound: Inbound,
        route: SteeredRoute,
        kind: str,
        check: RejectedApiKey,
    ) -> None:
        """Report a request whose API key was not accepted."""
        self._metrics.refusals.add(kind, route.name)
        self._metrics.key_faults.add(check.fault)
        if not self._other.allows(inbound.request_id, time.monotonic()):
            self._metrics.lines_thinned.add('request-unauthorised')
            return
        log_event(
            'request-unauthorised',
            request=inbound.request_id,
            reason=kind,
            fault=check.fault,
            route=route.name,
            version=check.version,
            age=round(check.age, 2),
        )

    def over_quota(
        self,
        inbound: Inbound,
        route: SteeredRoute,
        over: OverQuota,
    ) -> None:
        """Report a request refused because its quota is used up."""
        self._metrics.refusals.add(RefusalKind.over_quota, route.name)
        self._metrics.quota_refusals.add(inbound.organisation)
        if over.view.is_starting:
            self._metrics.quota_cautious_refusals.add(inbound.organisation)
        if not self._other.allows(inbound.request_id, time.monotonic()):
            self._metrics.lines_thinned.add('request-over-quota')
            return
        log_event(
            'request-over-quota',
            request=inbound.request_id,
            organisation=inbound.organisation,
            route=route.name,
            own=over.view.own,
            others=over.view.others,
            reserved=round(over.view.reserved, 2),
            allowed=round(over.allowed, 1),
            wait=round(over.wait, 2),
            memory=over.memory,
        )

    def body_refused(
        self, request_id: str, held: int, kind: RefusalKind
    ) -> None:
        """Report a request refused as its body or the host's time is short.

        Args:
            request_id: The caller's id of this attempt.
            held: Bytes of the body received by then.
            kind: Why it was refused.
        """
        self._metrics.refusals.add(kind, '')
        if not self._other.allows(request_id, time.monotonic()):
            self._metrics.lines_thinned.add('request-unheld')
            return
        log_event('request-unheld', request=request_id, held=held, reason=kind)

    def caller_left(self, history: AttemptHistory) -> None:
        """Report a request whose caller disconnected before the reply."""
        self._metrics.refusals.add('caller-left', history.route.name)
        if not self._allows_other(history):
            return
        log_event(
            'caller-left',
            request=history.inbound.request_id,
            route=history.route.name,
            upstreams=','.join(history.upstreams),
            seconds=round(time.monotonic() - history.inbound.received_at, 3),
        )

    def _allows_other(self, history: AttemptHistory) -> bool:
        now = time.monotonic()
        if self._other.allows(history.inbound.request_id, now):
            return True
        self._metrics.lines_thinned.add('other')
        return False


def _age(now: float, reported_at: float) -> float | None:
    """Return the age of a load report in seconds, None if there is none."""
    age = now - reported_at
    return round(age, 3) if age < float('inf') else None
