"""The way of one request: route, room, sends, answer.

What an earlier send proves decides whether another may follow: a request that
may run only once is sent again only if every send before provably did not run.
"""

import asyncio
import time
from dataclasses import replace

from wardstair.decisions.answer_times import hedge_after
from wardstair.decisions.homes import NO_REGION, regions_of
from wardstair.decisions.mechanisms import Mechanism
from wardstair.decisions.notices import Standing
from wardstair.decisions.queueing import queue_share
from wardstair.decisions.resends import (
    ResendBudget,
    ResendLimit,
    host_limit,
)
from wardstair.gateway import refusals
from wardstair.gateway.admission import Admission
from wardstair.gateway.choosing import Ask, Chooser, Placement
from wardstair.gateway.course import Course, ResendReason
from wardstair.gateway.learning import Learner, is_failure
from wardstair.gateway.messages import Inbound, Reply
from wardstair.gateway.reporting import Reporter, Trail
from wardstair.gateway.sending import (
    Delivered,
    Lost,
    NotSent,
    Sender,
    SendOutcome,
    TurnedAway,
    Withheld,
)
from wardstair.gateway.settings import LiveSettings
from wardstair.gateway.witness import Witness
from wardstair.state.belief import Belief
from wardstair.state.upstream import Upstream
from wardstair.version.organisations import Organisation
from wardstair.version.steering import SteeredRoute, Steering

# Left at the end of a request's time for the answer to reach the caller.
ANSWER_SECONDS = 0.03
# With less left than this nothing is sent: no upstream answers so fast.
LEAST_SEND_SECONDS = 0.05
# Connections that may fail before the request is given up; nothing has been
# sent by then, so this costs only time.
MOST_UNREACHABLE = 4
# The way of a request's first send in logs and metrics.
FIRST_SEND = 'first'


class Forwarder:
    """Carries requests; one a process."""

    def __init__(
        self,
        belief: Belief,
        chooser: Chooser,
        sender: Sender,
        settings: LiveSettings,
        reporter: Reporter,
        witness: Witness,
        admission: Admission,
    ) -> None:
        """Prepare without requests.

        Args:
            belief: What this host knows.
            chooser: Chooses upstreams.
            sender: Sends to them.
            settings: Settings, with the fleet's limit of resends.
            reporter: Tells of each request.
            witness: Knows which requests end upstreams.
            admission: Checks the API keys and quotas of requests.
        """
        self._witness = witness
        self._admission = admission
        self._belief = belief
        self._chooser = chooser
        self._learner = Learner(
            belief.catalog,
            chooser,
            settings,
            witness,
        )
        self._sender = sender
        self._settings = settings
        self._reporter = reporter
        self._budgets: dict[str, ResendBudget] = {}

    async def serve(self, inbound: Inbound) -> Reply:
        """Carry a request to its answer."""
        steering = self._belief.steering
        if steering is None:
            return self._refuse(inbound, refusals.STARTING)
        route = steering.find_route(inbound.host, inbound.path)
        if route is None:
            return self._refuse(inbound, refusals.NO_ROUTE)
        admitted = self._admission.admit(inbound, route)
        if isinstance(admitted, Reply):
            return admitted
        course = self._begin(inbound, route, steering, admitted.organisation)
        if course.regions is NO_REGION:
            return self._end(course, refusals.NO_HOME)
        if self._is_held(inbound):
            return self._hold(course)
        try:
            return await self._run(course)
        finally:
            for task in course.running:
                task.cancel()
            if not course.is_ended:
                self._reporter.caller_left(course.trail)

    def _begin(
        self,
        inbound: Inbound,
        route: SteeredRoute,
        steering: Steering,
        organisation: Organisation | None,
    ) -> Course:
        key = inbound.key or inbound.request_id
        service = self._chooser.service_of(route, key)
        if len(route.shares) > 1:
            self._reporter.divided(route, service)
        seconds = min(inbound.seconds, route.timeout)
        return Course(
            inbound=inbound,
            route=route,
            service=service,
            key=key,
            until=inbound.received_at + seconds - ANSWER_SECONDS,
            trail=Trail(inbound, route, steering.version, service),
            organisation=organisation,
            regions=regions_of(route, organisation),
        )

    def _is_held(self, inbound: Inbound) -> bool:
        held = self._witness.suspects.held
        # The digest is only worked out while something is held.
        return bool(held) and inbound.identity in held

    def _hold(self, course: Course) -> Reply:
        """Refuse a request that ends upstreams; nobody has been sent this try.

        One such request ended 33 upstreams within 16 s; in five of these
        seconds 2 to 6 of some 290 others were answered in time.
        """
        identity = course.inbound.identity
        seconds = self._witness.suspects.seconds_left(identity)
        ending = replace(refusals.ENDS_UPSTREAMS, retry_after=seconds)
        return self._end(course, ending)

    def _is_suspect(self, course: Course) -> bool:
        witness = self._witness
        return not witness.is_idle and witness.is_suspect(
            course.inbound.identity,
        )

    async def _run(self, course: Course) -> Reply:
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
                reply = self._time_out(course)
            else:
                self._hedge(course)
        return reply

    def _patience(self, course: Course) -> float:
        """Return how long to wait for the running sends, in seconds."""
        now = time.monotonic()
        left = max(0.0, course.until - now)
        if not self._may_hedge(course):
            return left
        placement = next(iter(course.running.values()))
        expected = placement.choice.seconds
        return min(left, hedge_after(expected, placement.longest))

    def _may_hedge(self, course: Course) -> bool:
        return (
            self._settings.current.uses(Mechanism.hedging)
            and course.route.is_repeatable
            and len(course.running) == 1
            and course.sends < course.route.most_attempts
            and not self._is_suspect(course)
        )

    def _hedge(self, course: Course) -> None:
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
        course: Course,
        done: 'set[asyncio.Task[SendOutcome]]',
    ) -> Reply | None:
        """Take in sends that have ended; None while there is hope."""
        reason = ResendReason.lost
        for task in done:
            placement = course.running.pop(task)
            outcome = self._learner.learn(
                course.case_of(placement), task.result()
            )
            match outcome:
                case Delivered() as failed if self._may_improve(course, failed):
                    course.failure = (placement, failed)
                    course.may_have_run = True
                    reason = ResendReason.failed
                case Delivered() as delivered:
                    return self._deliver(course, placement, delivered)
                case NotSent():
                    course.trail.unreachable += 1
                    course.sends -= 1
                    reason = ResendReason.unreachable
                case Withheld():
                    course.sends -= 1
                    reason = ResendReason.withheld
                case TurnedAway(load=load):
                    course.met_room = load is not None and load.has_room
                    reason = ResendReason.turned_away
                case Lost():
                    course.may_have_run = True
        if course.running:
            return None
        return self._send_again(course, reason)

    def _may_improve(self, course: Course, delivered: Delivered) -> bool:
        """Return whether another upstream may do better than this answer."""
        return is_failure(delivered) and course.route.is_repeatable

    def _time_out(self, course: Course) -> Reply:
        """End a request whose time is up while upstreams are at it."""
        now = time.monotonic()
        for placement in course.running.values():
            self._learner.note_silence(course.case_of(placement), now)
        if course.failure is not None:
            return self._deliver(course, *course.failure)
        # What is running may have run: the answer promises nothing.
        return self._end(course, refusals.TOO_LATE)

    def _send_again(
        self,
        course: Course,
        reason: ResendReason,
    ) -> Reply | None:
        if course.may_have_run and not course.route.is_repeatable:
            return self._give_up(course)
        if course.may_have_run and self._is_suspect(course):
            # The next upstream would probably end as well.
            self._reporter.withheld(course.trail, 'ends-upstreams')
            return self._give_up(course)
        if course.trail.unreachable > MOST_UNREACHABLE:
            return self._give_up(course)
        if course.sends >= course.route.most_attempts:
            return self._give_up(course)
        return self._send_next(course, reason)

    def _send_next(
        self,
        course: Course,
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

    def _queue_share(self, course: Course) -> float:
        organisation = course.organisation
        priority = None if organisation is None else organisation.priority
        return queue_share(course.route.priority, priority)

    def _place(self, course: Course) -> Placement | None:
        return self._chooser.choose(self._ask(course))

    def _ask(self, course: Course) -> Ask:
        return Ask(
            route=course.route,
            service=course.service,
            key=course.key,
            request_id=course.inbound.request_id,
            body_bytes=len(course.inbound.body),
            queue_share=self._queue_share(course),
            regions=course.regions,
            tried=frozenset(course.trail.upstreams),
            seconds_left=course.until - time.monotonic(),
        )

    def _start(
        self,
        course: Course,
        placement: Placement,
        reason: ResendReason | None,
    ) -> None:
        if course.sends == 0 and reason is None:
            self._budget(course).note_first(time.monotonic())
        if reason is not None:
            self._reporter.sent_again(course.trail, reason, placement)
        self._tell_notice(course, placement.upstream, reason)
        course.sends += 1
        course.trail.sends += 1
        course.trail.upstreams.append(placement.upstream.name)
        task = asyncio.ensure_future(
            self._sender.send(
                course.inbound,
                placement,
                is_once=not course.route.is_repeatable,
                is_fresh=course.may_have_run,
                until=course.until,
            ),
        )
        course.running[task] = placement

    def _tell_notice(
        self,
        course: Course,
        upstream: Upstream,
        reason: ResendReason | None,
    ) -> None:
        notices = self._belief.notices
        if notices.is_idle:
            return
        standing = notices.standing(upstream)
        if standing is not Standing.open:
            way = reason or FIRST_SEND
            self._reporter.sent_after_notice(
                course.trail, upstream, standing, way
            )

    def _take_resend(self, course: Course) -> bool:
        bounds = self._settings.current.bounds
        fleet = ResendLimit(
            bounds.retry_ratio,
            bounds.retry_extra,
            bounds.retry_window,
        )
        own = host_limit(fleet, self._chooser.view.fleet_size)
        taken = self._budget(course).take(own, time.monotonic())
        if not taken:
            self._reporter.withheld(course.trail, 'budget-spent')
        return taken

    def _budget(self, course: Course) -> ResendBudget:
        return self._budgets.setdefault(course.service, ResendBudget())

    def _deliver(
        self,
        course: Course,
        placement: Placement,
        delivered: Delivered,
    ) -> Reply:
        course.is_ended = True
        now = time.monotonic()
        for slower in course.running.values():
            self._learner.note_silence(course.case_of(slower), now)
        bodies = len(course.inbound.body) + len(delivered.answer.body)
        self._chooser.work_of(course.route).note_size(bodies)
        self._reporter.answered(course.trail, placement, delivered)
        answer = delivered.answer
        return Reply(
            answer.status,
            answer.reason or 'OK',
            delivered.fields.passed_on,
            answer.body,
        )

    def _give_up(self, course: Course) -> Reply:
        if course.failure is not None:
            return self._deliver(course, *course.failure)
        if course.may_have_run:
            return self._end(course, refusals.OUTCOME_UNKNOWN)
        if course.trail.unreachable:
            return self._end(course, refusals.NO_UPSTREAM)
        return self._end(course, self._no_room(course))

    def _no_room(self, course: Course) -> refusals.Ending:
        """Return how a request ends that no upstream has run."""
        ask = self._ask(course)
        if self._chooser.have_all_left(ask):
            return refusals.UPSTREAMS_LEAVING
        wait = self._chooser.pause_wait(ask)
        if wait is not None:
            return replace(refusals.UPSTREAMS_PAUSED, retry_after=wait)
        wait = self._chooser.limit_wait(ask)
        if wait is not None:
            return replace(refusals.LIMITS_REACHED, retry_after=wait)
        return refusals.TURNED_AWAY if course.met_room else refusals.OVERLOADED

    def _end(self, course: Course, ending: refusals.Ending) -> Reply:
        course.is_ended = True
        if ending.status == refusals.NOT_RUN:
            self._admission.give_back(course.organisation)
        known = len(self._belief.catalog.of_service(course.service))
        left = course.until - time.monotonic()
        self._reporter.refused(course.trail, ending.kind, known, left)
        return ending.reply(course.inbound.request_id)

    def _refuse(self, inbound: Inbound, ending: refusals.Ending) -> Reply:
        """Refuse a request that no route was found for."""
        version = self._belief.versions.configuration
        self._reporter.unrouted(inbound, ending.kind, version)
        return ending.reply(inbound.request_id)
