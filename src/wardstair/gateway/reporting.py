"""Tells of each request: log lines, counters and latencies.

Good requests answered in time are thinned when there are many: a line for one
in so many, chosen by the request's id, so that all hosts keep the same ones.
Refused, failed, late and repeated ones are told each, up to a bound a second.
"""

import time
from dataclasses import dataclass, field

from wardstair.decisions.authorisation import ApiKeyFault
from wardstair.decisions.notices import Standing
from wardstair.decisions.ranking import unit_hash
from wardstair.errors import RefusalKind
from wardstair.gateway.choosing import Placement
from wardstair.gateway.handing_on import HopOutcome
from wardstair.gateway.messages import Inbound
from wardstair.gateway.quotas import OverQuota
from wardstair.gateway.sending import Delivered
from wardstair.process.log import log_event
from wardstair.process.metrics import Metrics
from wardstair.state.upstream import Upstream
from wardstair.version.steering import SteeredRoute

# Good requests a second on one host up to which each gets a line.
GOOD_LINES_A_SECOND = 10
# Lines a second for everything else; more are only counted.
OTHER_LINES_A_SECOND = 200


@dataclass(slots=True)
class LinePace:
    """Counts lines by the second and says which part is to be kept."""

    most: int
    _second: int = 0
    _asked: int = 0
    _kept: int = 0
    _last: int = 0

    def keeps(self, name: str, now: float) -> bool:
        """Return whether the line of a request is written.

        Args:
            name: The request's id.
            now: Monotonic time in seconds.
        """
        second = int(now)
        if second != self._second:
            self._last = self._asked if second == self._second + 1 else 0
            self._second = second
            self._asked = 0
            self._kept = 0
        self._asked += 1
        if self._kept >= self.most * 2:
            return False
        if self._last > self.most and unit_hash(name) >= self.most / self._last:
            return False
        self._kept += 1
        return True


@dataclass(slots=True)
class Trail:
    """What is told of a request beside its end.

    Attributes:
        inbound: The request.
        route: Its route.
        version: Version of the configuration that it was routed by.
        service: The service chosen for it.
        sends: Upstreams it was sent to.
        unreachable: Upstreams that no connection came up to.
        upstreams: Names of those upstreams, in order.
        was_warm: Whether this host saw the one that answered answer the key
            lately; otherwise the key was probably not warm there.
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
        fault: What was wrong with it.
        version: Version of the configuration that it was checked against.
        age: Seconds since that version was adopted.
    """

    fault: ApiKeyFault
    version: int
    age: float


class Reporter:
    """Tells of requests; one a process."""

    def __init__(self, metrics: Metrics) -> None:
        """Prepare.

        Args:
            metrics: Where counts and latencies go.
        """
        self._metrics = metrics
        self._good = LinePace(GOOD_LINES_A_SECOND)
        self._other = LinePace(OTHER_LINES_A_SECOND)

    def divided(self, route: SteeredRoute, service: str) -> None:
        """Count a request of a split route by the service it was given."""
        self._metrics.split_requests.add(route.name, service)

    def answered(
        self,
        trail: Trail,
        placement: Placement,
        delivered: Delivered,
    ) -> None:
        """Tell of a request that an upstream answered."""
        now = time.monotonic()
        took = now - trail.inbound.received_at
        status = delivered.answer.status
        is_late = took > trail.route.objective
        is_good = status < 400 and not is_late and trail.sends == 1
        self._metrics.requests.add(trail.route.name)
        self._metrics.observe_request(trail.route.name, took)
        self._metrics.observe_upstream(trail.service, delivered.seconds)
        pace = self._good if is_good else self._other
        if not pace.keeps(trail.inbound.request_id, now):
            self._metrics.lines_thinned.add('request-answered')
            return
        candidate = placement.choice.candidate
        log_event(
            'request-answered',
            request=trail.inbound.request_id,
            route=trail.route.name,
            version=trail.version,
            status=status,
            late=is_late,
            seconds=round(took, 3),
            upstream=placement.upstream.name,
            upstream_seconds=round(delivered.seconds, 3),
            expected=round(placement.choice.seconds, 3),
            rank=candidate.rank,
            warm=trail.was_warm,
            load=round(candidate.load, 1),
            load_age=_age(now, placement.upstream.reported_at),
            slots=candidate.slots,
            slowness=round(candidate.slowness, 2),
            sends=trail.sends,
        )

    def sent_again(
        self,
        trail: Trail,
        reason: str,
        placement: Placement,
    ) -> None:
        """Tell of a request that goes to another upstream."""
        self._metrics.retries.add(reason, trail.route.name)
        if not self._keeps_other(trail):
            return
        log_event(
            'request-resent',
            request=trail.inbound.request_id,
            reason=reason,
            before=','.join(trail.upstreams),
            upstream=placement.upstream.name,
            sends=trail.sends,
        )

    def handed_on(self, trail: Trail, outcome: HopOutcome) -> None:
        """Tell of a request that another entry host was asked to send."""
        now = time.monotonic()
        self._metrics.handed_on.add(outcome.end, trail.route.name)
        took = now - trail.inbound.received_at
        answer = outcome.answer
        if answer is not None:
            self._metrics.observe_request(trail.route.name, took)
        if not self._keeps_other(trail):
            return
        log_event(
            'request-handed-on',
            request=trail.inbound.request_id,
            route=trail.route.name,
            host=outcome.host,
            outcome=outcome.end,
            status=0 if answer is None else answer.status,
            hop_seconds=round(outcome.seconds, 3),
            seconds=round(took, 3),
            unreachable=trail.unreachable,
        )

    def sent_after_notice(
        self,
        trail: Trail,
        upstream: Upstream,
        notice: Standing,
        way: str,
    ) -> None:
        """Tell of a send to an upstream that wants no further requests.

        Args:
            trail: The request.
            upstream: Where it goes.
            notice: What the upstream has said.
            way: `first`, or why the request is sent again.
        """
        self._metrics.sends_after_notice.add(notice, way)
        if not self._keeps_other(trail):
            return
        log_event(
            'sent-after-notice',
            request=trail.inbound.request_id,
            upstream=upstream.name,
            notice=notice,
            way=way,
        )

    def withheld(self, trail: Trail, verdict: str) -> None:
        """Tell of a second send that was not made."""
        self._metrics.retries_withheld.add(verdict, trail.route.name)
        if not self._keeps_other(trail):
            return
        log_event(
            'resend-withheld',
            request=trail.inbound.request_id,
            reason=verdict,
            sends=trail.sends,
        )

    def refused(self, trail: Trail, kind: str, known: int, left: float) -> None:
        """Tell of a request that this host ends by itself.

        Args:
            trail: The request.
            kind: Why.
            known: Upstreams of its service that take work.
            left: Seconds that it had left.
        """
        now = time.monotonic()
        took = now - trail.inbound.received_at
        self._metrics.refusals.add(kind, trail.route.name)
        self._metrics.observe_request(trail.route.name, took)
        if not self._keeps_other(trail):
            return
        log_event(
            'request-refused',
            request=trail.inbound.request_id,
            reason=kind,
            route=trail.route.name,
            organisation=trail.inbound.organisation,
            version=trail.version,
            service=trail.service,
            sends=trail.sends,
            unreachable=trail.unreachable,
            upstreams=','.join(trail.upstreams),
            known=known,
            seconds=round(took, 3),
            left=round(left, 3),
        )

    def unrouted(self, inbound: Inbound, kind: str, version: int) -> None:
        """Tell of a request that no route was found for."""
        self._metrics.refusals.add(kind, '')
        if not self._other.keeps(inbound.request_id, time.monotonic()):
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
        if not self._other.keeps(inbound.request_id, time.monotonic()):
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
        """Log and count a request refused because its quota is used up."""
        self._metrics.refusals.add(RefusalKind.over_quota, route.name)
        self._metrics.quota_refusals.add(inbound.organisation)
        if not self._other.keeps(inbound.request_id, time.monotonic()):
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
        )

    def unheld(self, request_id: str, held: int) -> None:
        """Tell of a request whose body found no room on this host.

        Args:
            request_id: The caller's name of its try.
            held: Bytes of its body that had come.
        """
        self._metrics.refusals.add(RefusalKind.no_memory, '')
        if not self._other.keeps(request_id, time.monotonic()):
            self._metrics.lines_thinned.add('request-unheld')
            return
        log_event('request-unheld', request=request_id, held=held)

    def caller_left(self, trail: Trail) -> None:
        """Tell of a request whose caller left before its answer."""
        self._metrics.refusals.add('caller-left', trail.route.name)
        if not self._keeps_other(trail):
            return
        log_event(
            'caller-left',
            request=trail.inbound.request_id,
            route=trail.route.name,
            upstreams=','.join(trail.upstreams),
            seconds=round(time.monotonic() - trail.inbound.received_at, 3),
        )

    def _keeps_other(self, trail: Trail) -> bool:
        now = time.monotonic()
        if self._other.keeps(trail.inbound.request_id, now):
            return True
        self._metrics.lines_thinned.add('other')
        return False


def _age(now: float, told_at: float) -> float | None:
    """Return the age of a load report in seconds, None if there is none."""
    age = now - told_at
    return round(age, 3) if age < float('inf') else None
