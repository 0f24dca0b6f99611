"""The way of one request: route, room, sends, answer.

What an earlier send proves decides whether another may follow: a request that
may run only once is sent again only if every send before provably did not run.
"""

import asyncio
import time
from dataclasses import dataclass, field
from enum import StrEnum

from wardstair.decisions.resends import (
    ResendBudget,
    ResendLimit,
    host_limit,
)
from wardstair.gateway import refusals
from wardstair.gateway.choosing import Chooser, Placement
from wardstair.gateway.messages import Inbound, Reply
from wardstair.gateway.sending import (
    Delivered,
    Lost,
    NotSent,
    Sender,
    SendOutcome,
    TurnedAway,
)
from wardstair.process.log import log_event
from wardstair.process.metrics import Metrics
from wardstair.state.belief import Belief
from wardstair.version.steering import SteeredRoute

# Left at the end of a request's time for the answer to reach the caller.
ANSWER_SECONDS = 0.03
# With less left than this nothing is sent: no upstream answers so fast.
LEAST_SEND_SECONDS = 0.05
# Connections that may fail before the request is given up; nothing has been
# sent by then, so this costs only time.
MOST_UNREACHABLE = 4
# A repeatable request is sent to a second upstream when the first is silent
# for this many times the expected time.
HEDGE_RATIO = 2.5
LEAST_HEDGE_SECONDS = 0.25
# When an upstream that is full should have room again.
ROOM_SECONDS = 0.4
# When one that cannot be reached may be back.
RETURN_SECONDS = 1.0
# Requests that an upstream may have above its slots, as a share of them: the
# most important kind, and how much less each next one.
FULL_QUEUE_SHARE = 1.2
PRIORITY_STEP = 0.2
LEAST_QUEUE_SHARE = 0.4


class ResendReason(StrEnum):
    """Why a request is sent once more."""

    unreachable = 'unreachable'
    turned_away = 'turned-away'
    lost = 'lost'
    silent = 'silent'


@dataclass(slots=True)
class _Course:
    """What has happened to one request so far."""

    inbound: Inbound
    route: SteeredRoute
    service: str
    key: str
    until: float
    sends: int = 0
    unreachable: int = 0
    may_have_run: bool = False
    tried: set[str] = field(default_factory=set)
    running: dict['asyncio.Task[SendOutcome]', Placement] = field(
        default_factory=dict,
    )


class Forwarder:
    """Carries requests; one a process."""

    def __init__(
        self,
        belief: Belief,
        chooser: Chooser,
        sender: Sender,
        limit: ResendLimit,
        metrics: Metrics,
    ) -> None:
        """Prepare without requests.

        Args:
            belief: What this host knows.
            chooser: Chooses upstreams.
            sender: Sends to them.
            limit: The fleet's limit of resends.
            metrics: Counters.
        """
        self._belief = belief
        self._chooser = chooser
        self._sender = sender
        self._limit = limit
        self._metrics = metrics
        self._budgets: dict[str, ResendBudget] = {}

    async def serve(self, inbound: Inbound) -> Reply:
        """Carry a request to its answer."""
        steering = self._belief.steering
        if steering is None:
            self._refuse_unrouted(inbound, 'starting')
            return refusals.starting(inbound.request_id)
        route = steering.find_route(inbound.host, inbound.path)
        if route is None:
            self._refuse_unrouted(inbound, 'no-route')
            return refusals.no_route(inbound.request_id)
        key = inbound.key or inbound.request_id
        seconds = min(inbound.seconds, route.timeout)
        course = _Course(
            inbound=inbound,
            route=route,
            service=self._chooser.service_of(route, key),
            key=key,
            until=inbound.received_at + seconds - ANSWER_SECONDS,
        )
        try:
            return await self._run(course)
        finally:
            for task in course.running:
                task.cancel()

    async def _run(self, course: _Course) -> Reply:
        reply = self._send_next(course)
        while reply is None:
            done, _ = await asyncio.wait(
                course.running,
                timeout=self._patience(course),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if done:
                reply = self._settle(course, done)
            elif time.monotonic() >= course.until:
                reply = self._time_is_up(course)
            else:
                self._hedge(course)
        return reply

    def _patience(self, course: _Course) -> float:
        """Return how long to wait for the running sends, in seconds."""
        now = time.monotonic()
        left = max(0.0, course.until - now)
        if not self._may_hedge(course):
            return left
        placement = next(iter(course.running.values()))
        expected = placement.choice.seconds * HEDGE_RATIO
        return min(left, max(expected, LEAST_HEDGE_SECONDS))

    def _may_hedge(self, course: _Course) -> bool:
        return (
            course.route.is_repeatable
            and len(course.running) == 1
            and course.sends < course.route.most_attempts
        )

    def _hedge(self, course: _Course) -> None:
        if not self._may_hedge(course):
            return
        placement = self._place(course)
        if placement is None or not self._take_resend(course):
            # Not asked again: the first send is what there is.
            course.sends = course.route.most_attempts
            return
        self._start(course, placement, ResendReason.silent)

    def _settle(
        self,
        course: _Course,
        done: 'set[asyncio.Task[SendOutcome]]',
    ) -> Reply | None:
        """Take in sends that have ended; None while there is hope."""
        reason = ResendReason.lost
        for task in done:
            placement = course.running.pop(task)
            match self._learn(course, placement, task.result()):
                case Delivered() as delivered:
                    return self._deliver(course, placement, delivered)
                case NotSent():
                    course.unreachable += 1
                    course.sends -= 1
                    reason = ResendReason.unreachable
                case TurnedAway():
                    reason = ResendReason.turned_away
                case Lost():
                    course.may_have_run = True
        if course.running:
            return None
        return self._send_again(course, reason)

    def _send_again(
        self,
        course: _Course,
        reason: ResendReason,
    ) -> Reply | None:
        if course.may_have_run and not course.route.is_repeatable:
            return self._give_up(course)
        if course.unreachable > MOST_UNREACHABLE:
            return self._give_up(course)
        if course.sends >= course.route.most_attempts:
            return self._give_up(course)
        return self._send_next(course, reason)

    def _send_next(
        self,
        course: _Course,
        reason: ResendReason | None = None,
    ) -> Reply | None:
        """Send to the next upstream; return the answer if there is none."""
        if course.until - time.monotonic() < LEAST_SEND_SECONDS:
            return self._give_up(course)
        placement = self._place(course)
        if placement is None:
            return self._give_up(course)
        if course.sends and not self._take_resend(course):
            return self._give_up(course)
        self._start(course, placement, reason)
        return None

    def _place(self, course: _Course) -> Placement | None:
        share = FULL_QUEUE_SHARE - PRIORITY_STEP * course.route.priority
        return self._chooser.choose(
            course.route,
            course.service,
            course.key,
            len(course.inbound.body),
            frozenset(course.tried),
            max(share, LEAST_QUEUE_SHARE),
        )

    def _start(
        self,
        course: _Course,
        placement: Placement,
        reason: ResendReason | None,
    ) -> None:
        if course.sends == 0 and reason is None:
            self._budget(course).note_first(time.monotonic())
        if reason is not None:
            self._metrics.retries.add(reason, course.route.name)
            log_event(
                'request-resent',
                request=course.inbound.request_id,
                reason=reason,
                upstream=placement.upstream.name,
                sends=course.sends,
            )
        course.sends += 1
        course.tried.add(placement.upstream.name)
        task = asyncio.ensure_future(
            self._sender.send(
                course.inbound,
                placement,
                is_once=not course.route.is_repeatable,
                until=course.until,
            ),
        )
        course.running[task] = placement

    def _take_resend(self, course: _Course) -> bool:
        own = host_limit(self._limit, self._chooser.view.known)
        taken = self._budget(course).take(own, time.monotonic())
        if not taken:
            self._metrics.retries_withheld.add(
                'budget-spent',
                course.route.name,
            )
        return taken

    def _budget(self, course: _Course) -> ResendBudget:
        return self._budgets.setdefault(course.service, ResendBudget())

    def _learn(
        self,
        course: _Course,
        placement: Placement,
        outcome: SendOutcome,
    ) -> SendOutcome:
        """Note what an outcome tells of the upstream; return it."""
        upstream = placement.upstream
        now = time.monotonic()
        match outcome:
            case Delivered(fields=fields, seconds=seconds):
                if fields.load is not None:
                    told = fields.load.running + fields.load.waiting
                    upstream.note_load(told, now)
                self._learn_time(course, placement, seconds)
            case TurnedAway(is_other=True):
                self._belief.catalog.mark_gone(upstream.name)
            case TurnedAway():
                upstream.note_load(upstream.entry.slots * 3, now)
            case NotSent(reason=reason):
                self._distrust(course, placement, reason, now)
            case Lost(reason=broken):
                self._distrust(course, placement, broken, now)
        return outcome

    def _distrust(
        self,
        course: _Course,
        placement: Placement,
        reason: str,
        now: float,
    ) -> None:
        seconds = placement.upstream.note_failure(now)
        log_event(
            'upstream-avoided',
            request=course.inbound.request_id,
            upstream=placement.upstream.name,
            reason=reason,
            seconds=seconds,
        )

    def _learn_time(
        self,
        course: _Course,
        placement: Placement,
        seconds: float,
    ) -> None:
        candidate = placement.choice.candidate
        own = max(seconds - candidate.round_trip, 0.001)
        if candidate.load < candidate.slots and candidate.rank == 0:
            self._chooser.work_of(course.route).note(own)
        expected = max(placement.choice.seconds, 0.01)
        ratio = candidate.slowness * seconds / expected
        placement.upstream.note_success(ratio, time.monotonic())

    def _deliver(
        self,
        course: _Course,
        placement: Placement,
        delivered: Delivered,
    ) -> Reply:
        self._metrics.requests.add(course.route.name)
        log_event(
            'request-answered',
            request=course.inbound.request_id,
            route=course.route.name,
            status=delivered.answer.status,
            upstream=placement.upstream.name,
            rank=placement.choice.candidate.rank,
            load=round(placement.choice.candidate.load, 1),
            expected=round(placement.choice.seconds, 3),
            seconds=round(delivered.seconds, 3),
            sends=course.sends,
        )
        answer = delivered.answer
        return Reply(
            answer.status,
            answer.reason or 'OK',
            delivered.fields.passed_on,
            answer.body,
        )

    def _time_is_up(self, course: _Course) -> Reply:
        # What is running may have run: the answer promises nothing.
        self._note_refusal(course, 'time-is-up')
        return refusals.too_late(course.inbound.request_id)

    def _give_up(self, course: _Course) -> Reply:
        request_id = course.inbound.request_id
        if course.may_have_run:
            self._note_refusal(course, 'outcome-unknown')
            return refusals.outcome_unknown(request_id)
        if course.unreachable:
            self._note_refusal(course, 'no-upstream')
            return refusals.no_upstream(request_id, RETURN_SECONDS)
        self._note_refusal(course, 'overloaded')
        return refusals.overloaded(request_id, ROOM_SECONDS)

    def _note_refusal(self, course: _Course, kind: str) -> None:
        self._metrics.refusals.add(kind, course.route.name)
        log_event(
            'request-refused',
            request=course.inbound.request_id,
            kind=kind,
            route=course.route.name,
            service=course.service,
            sends=course.sends,
            unreachable=course.unreachable,
            known=len(self._belief.catalog.of_service(course.service)),
            left=round(course.until - time.monotonic(), 3),
        )

    def _refuse_unrouted(self, inbound: Inbound, kind: str) -> None:
        self._metrics.refusals.add(kind, '')
        log_event(
            'request-refused',
            request=inbound.request_id,
            kind=kind,
            version=self._belief.versions.configuration,
            host=inbound.host,
            path=inbound.path,
        )
