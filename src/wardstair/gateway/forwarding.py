"""The way of one request: route, room, sends, answer.

What an earlier send proves decides whether another may follow: a request that
may run only once is sent again only if every send before provably did not run.
"""

import asyncio
import time
from dataclasses import dataclass, replace
from typing import Any

from wardstair.decisions.answer_times import hedge_delay
from wardstair.decisions.mechanisms import Mechanism
from wardstair.decisions.notices import Standing
from wardstair.decisions.permitted_regions import (
    NO_REGION,
    permitted_regions_for,
)
from wardstair.decisions.queueing import queue_share
from wardstair.decisions.reach import ALL, service_group
from wardstair.decisions.resends import (
    ResendBudget,
    ResendLimit,
    host_limit,
)
from wardstair.fleet.peer_requests import PeerAnswer, PeerRequest
from wardstair.gateway import refusals
from wardstair.gateway.admission import Admission
from wardstair.gateway.choosing import Ask, Chooser, Placement
from wardstair.gateway.course import Course, ResendReason
from wardstair.gateway.handing_on import Handover, HopEnd, HopOutcome
from wardstair.gateway.learning import Learner, is_failure
from wardstair.gateway.messages import Inbound, Reply
from wardstair.gateway.relayed import (
    answer_of,
    inbound_of,
    refusal_of,
    relayed_of,
    reply_of,
)
from wardstair.gateway.reporting import Reporter, Trail
from wardstair.gateway.sending import (
    Barred,
    Delivered,
    Lost,
    NotSent,
    Sender,
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
# From so many on another host is asked, as this one may be cut off.
UNREACHABLE_TO_HAND_ON = 2
# Times that a request is handed on, each to one host: once more if a hop broke
# and it may run again.
MOST_HOPS = 2
# Told of a host that lacks what a relayed request needs.
EVERYTHING = frozenset((ALL,))
# The way of a request's first send in logs and metrics.
FIRST_SEND = 'first'


@dataclass(frozen=True, slots=True)
class WaysOut:
    """Where requests leave this host.

    Attributes:
        sender: Sends them to upstreams.
        handover: Hands them on to other entry hosts.
    """

    sender: Sender
    handover: Handover


class Forwarder:
    """Carries requests; one a process."""

    def __init__(
        self,
        belief: Belief,
        chooser: Chooser,
        ways: WaysOut,
        settings: LiveSettings,
        reporter: Reporter,
        witness: Witness,
        admission: Admission,
    ) -> None:
        """Prepare without requests.

        Args:
            belief: What this host knows.
            chooser: Chooses upstreams.
            ways: Where requests leave this host.
            settings: Settings, with the fleet's limit of resends.
            reporter: Tells of each request.
            witness: Knows which requests end upstreams.
            admission: Checks the API keys and quotas of requests.
        """
        self._handover = ways.handover
        # Requests that another host may be asked for as well.
        self._waiting: set[Course] = set()
        self._witness = witness
        self._admission = admission
        self._belief = belief
        self._chooser = chooser
        self._learner = Learner(
            belief.catalog,
            chooser,
            settings,
            witness,
            belief.reach,
        )
        self._sender = ways.sender
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
        return await self._carry(course)

    async def serve_relayed(self, relayed: PeerRequest) -> PeerAnswer:
        """Carry a request that another host has handed on.

        That host has authorised it and counted it against the quota. It is not
        handed on once more.
        """
        course = self._begin_relayed(relayed)
        if course is None:
            return refusal_of(refusals.STARTING, relayed, EVERYTHING)
        reach = self._belief.reach
        if reach.looks_silent():
            reach.begin_doubt('silent')
        if not self._is_within_reach(course):
            lost = reach.lost or EVERYTHING
            return refusal_of(refusals.UNREACHED, relayed, lost)
        reply = await self._carry(course)
        if course.trail.unreachable or not reach.is_sound:
            # It may be cut off, and not know yet.
            unreached = frozenset((service_group(course.service),))
            return answer_of(reply, reach.lost | unreached)
        return answer_of(reply, reach.lost)

    def hand_on_waiting(self) -> None:
        """Have other hosts asked for what may wait here in vain."""
        for course in self._waiting:
            if course.doubt is not None and not course.doubt.done():
                course.doubt.set_result(None)

    async def _carry(self, course: Course) -> Reply:
        if course.route.is_repeatable and not course.is_relayed:
            course.doubt = asyncio.get_running_loop().create_future()
            self._waiting.add(course)
        try:
            return await self._run(course)
        finally:
            self._waiting.discard(course)
            for task in course.open_tasks:
                task.cancel()
            if not course.is_ended:
                self._reporter.caller_left(course.trail)

    def _begin_relayed(self, relayed: PeerRequest) -> Course | None:
        """Begin a request of another host; None if this one lacks its state."""
        steering = self._belief.steering
        if steering is None or steering.version < relayed.version:
            return None
        inbound = inbound_of(relayed)
        route = steering.find_route(inbound.host, inbound.path)
        organisation = steering.organisations.by_name.get(relayed.organisation)
        if route is None or (relayed.organisation and organisation is None):
            return None
        is_served = relayed.service in {one.service for one in route.shares}
        chosen = relayed.service if is_served else ''
        course = self._begin(inbound, route, steering, organisation, chosen)
        course.is_relayed = True
        course.sends = relayed.sends
        course.trail.upstreams.extend(relayed.tried)
        return course

    def _begin(
        self,
        inbound: Inbound,
        route: SteeredRoute,
        steering: Steering,
        organisation: Organisation | None,
        chosen: str = '',
    ) -> Course:
        key = inbound.key or inbound.request_id
        service = chosen or self._chooser.service_of(route, key)
        if len(route.shares) > 1 and not chosen:
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
            regions=permitted_regions_for(route, organisation),
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
                course.awaited,
                timeout=self._patience(course),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if course.doubt in done:
                self._hand_on_waiting(course)
            elif course.hop in done:
                reply = self._settle_hop(course)
            elif done:
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
        return min(left, hedge_delay(expected, placement.longest))

    def _may_hedge(self, course: Course) -> bool:
        return (
            self._settings.current.uses(Mechanism.hedging)
            and course.route.is_repeatable
            and len(course.running) == 1
            and course.hop is None
            and course.sends < course.route.most_attempts
            and not self._is_suspect(course)
        )

    def _hedge(self, course: Course) -> None:
        if not self._may_hedge(course):
            return
        if self._needs_help(course) and self._take_resend(course):
            self._hand_on(course)
            return
        placement = self._place_on_way(course)
        if placement is None or not self._take_resend(course):
            # Not asked again: the first send is what there is.
            course.sends = course.route.most_attempts
            return
        self._start(course, placement, ResendReason.silent)

    def _settle(
        self,
        course: Course,
        done: 'set[asyncio.Future[Any]]',
    ) -> Reply | None:
        """Take in sends that have ended; None while there is hope."""
        reason = ResendReason.lost
        ended = [one for one in course.running if one in done]
        for task in ended:
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
                case NotSent() | Withheld() | Barred() as unsent:
                    reason = self._take_back(course, placement, unsent)
                case TurnedAway(load=load):
                    course.met_room = load is not None and load.has_room
                    reason = ResendReason.turned_away
                case Lost():
                    course.may_have_run = True
        if course.running or course.hop is not None:
            return None
        return self._send_again(course, reason)

    def _take_back(
        self,
        course: Course,
        placement: Placement,
        unsent: NotSent | Withheld | Barred,
    ) -> ResendReason:
        """Note a send that has not left this host; return why not."""
        course.sends -= 1
        match unsent:
            case Withheld():
                return ResendReason.withheld
            case Barred():
                self._bar(course, placement)
                return ResendReason.cut_off
        course.trail.unreachable += 1
        return ResendReason.unreachable

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
        if course.is_relayed and self._is_for_others(course):
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
        if self._needs_help(course):
            return self._ask_for_help(course)
        placement = None
        if not self._is_hopeless(course):
            placement = self._place_on_way(course)
        if placement is None:
            is_failing = self._belief.reach.has_failures
            if is_failing or course.trail.unreachable:
                # What leaves no upstream may be failures of the way.
                return self._ask_for_help(course)
            return self._give_up(course)
        if course.sends and not self._take_resend(course):
            return self._give_up(course)
        self._start(course, placement, reason)
        return None

    def _place_on_way(self, course: Course) -> Placement | None:
        """Choose an upstream, while new connections fail one with an open one.

        Returns:
            None if there is none, or another host is to be asked: its new
            connections may be well, and the first choice remembers the key.
        """
        while len(course.barred) <= MOST_UNREACHABLE:
            placement = self._place(course)
            if placement is None or self._has_way(course, placement):
                return placement
            self._bar(course, placement)
            if self._may_hand_on(course):
                return None
        return None

    def _has_way(self, course: Course, placement: Placement) -> bool:
        return self._sender.has_way(
            placement.upstream,
            is_once=not course.route.is_repeatable,
        )

    def _bar(self, course: Course, placement: Placement) -> None:
        course.barred.add(placement.upstream.name)
        course.trail.unreachable += 1

    def _is_within_reach(self, course: Course) -> bool:
        return self._belief.reach.is_sound or self._chooser.is_within_reach(
            self._ask(course),
        )

    def _is_for_others(self, course: Course) -> bool:
        """Return whether another host would rather reach an upstream."""
        if course.trail.unreachable >= UNREACHABLE_TO_HAND_ON:
            return True
        return not self._is_within_reach(course)

    def _is_hopeless(self, course: Course) -> bool:
        """Return whether no upstream of a request is reached.

        Upstreams that come back are noticed by probes.
        """
        is_lost = bool(self._belief.reach.lost)
        return is_lost and not self._is_within_reach(course)

    def _needs_help(self, course: Course) -> bool:
        """Return whether another host may send it, and this one may not."""
        return self._is_for_others(course) and self._may_hand_on(course)

    def _may_hand_on(self, course: Course) -> bool:
        if course.is_relayed or course.hops >= MOST_HOPS:
            return False
        found = self._handover.find(course.service, course.regions)
        return found is not None

    def _ask_for_help(self, course: Course) -> Reply | None:
        """Hand a request on; return the answer if it may not be sent again."""
        if not self._may_hand_on(course):
            return self._give_up(course)
        if course.may_have_run and not self._take_resend(course):
            return self._give_up(course)
        self._hand_on(course)
        return None

    def _hand_on(self, course: Course) -> None:
        course.hops += 1
        course.hop = asyncio.ensure_future(
            self._handover.send(lambda: relayed_of(course), course.regions),
        )

    def _hand_on_waiting(self, course: Course) -> None:
        course.doubt = None
        may_send = course.sends < course.route.most_attempts
        if not (may_send and course.running and self._needs_help(course)):
            return
        if not self._is_suspect(course) and self._take_resend(course):
            self._hand_on(course)

    def _settle_hop(self, course: Course) -> Reply | None:
        """Take in the outcome of a hop; None while there is hope."""
        assert course.hop is not None
        outcome = course.hop.result()
        course.hop = None
        self._reporter.handed_on(course.trail, outcome)
        match outcome:
            case HopOutcome(end=HopEnd.answered, answer=PeerAnswer() as had):
                course.is_ended = True
                return reply_of(had)
            case HopOutcome(end=HopEnd.lost | HopEnd.unknown):
                course.may_have_run = True
                course.sends += 1
        return None if course.running else self._after_hop(course, outcome)

    def _after_hop(self, course: Course, outcome: HopOutcome) -> Reply | None:
        """Go on after a hop that brought no answer of an upstream."""
        match outcome:
            case HopOutcome(end=HopEnd.unsent):
                return self._send_again(course, ResendReason.cut_off)
            case HopOutcome(end=HopEnd.lost):
                return self._send_again(course, ResendReason.lost)
            case HopOutcome(end=HopEnd.refused) if course.may_have_run:
                return self._give_up(course)
            case HopOutcome(end=end, answer=PeerAnswer() as refusal):
                course.is_ended = True
                if end is HopEnd.refused:
                    self._admission.give_back(course.organisation)
                return reply_of(refusal)
        return self._give_up(course)

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
            tried=frozenset(course.trail.upstreams) | course.barred,
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
        if course.trail.unreachable or self._is_hopeless(course):
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
        if ending.status == refusals.NOT_RUN and not course.is_relayed:
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
