"""Forwards a request: finds its route, sends it and returns the answer.

Whether a request may be resent depends on its earlier sends: a request that may
run only once is resent only if every earlier send provably did not run.
"""

import asyncio
import time
from dataclasses import dataclass, replace
from typing import Any

from wardstair.decisions.answer_times import hedge_delay
from wardstair.decisions.mechanisms import Mechanism
from wardstair.decisions.notices import Availability
from wardstair.decisions.permitted_regions import (
    NO_REGION,
    permitted_regions_for,
)
from wardstair.decisions.queueing import queue_share
from wardstair.decisions.reachability import ALL, service_group
from wardstair.fleet.peer_requests import PeerAnswer, PeerRequest
from wardstair.gateway import refusals
from wardstair.gateway.admission import Admission
from wardstair.gateway.bodies import BodyCapacity
from wardstair.gateway.choosing import Chooser, Placement, UpstreamQuery
from wardstair.gateway.exit_detection import ExitDetector
from wardstair.gateway.messages import Inbound, Reply
from wardstair.gateway.outcomes import OutcomeRecorder, is_failure
from wardstair.gateway.peer_forwarding import HopEnd, HopOutcome, PeerForwarder
from wardstair.gateway.peer_messages import (
    inbound_of,
    peer_answer_of,
    peer_refusal,
    peer_request_of,
    reply_of,
)
from wardstair.gateway.peer_notices import collect_notices
from wardstair.gateway.reporting import AttemptHistory, Reporter
from wardstair.gateway.request_progress import RequestProgress, ResendReason
from wardstair.gateway.resend_budgets import ResendBudgets
from wardstair.gateway.send_outcomes import (
    Delivered,
    Lost,
    NoConnection,
    NotSent,
    RejectedByUpstream,
    Withheld,
)
from wardstair.gateway.sending import Sender
from wardstair.gateway.settings import LiveSettings
from wardstair.state.local_state import LocalState
from wardstair.state.upstream import Upstream
from wardstair.version.organisations import Organisation
from wardstair.version.steering import SteeredRoute, Steering

# Reserved before the caller's deadline so that the reply arrives in time.
REPLY_MARGIN_SECONDS = 0.03
# No request is sent with less time left than this: no upstream answers faster.
MIN_SEND_SECONDS = 0.05
# Failed connection attempts allowed per request. Nothing has been sent by then,
# so a failed attempt costs only time.
MAX_UNREACHABLE = 4
# Failed connection attempts after which a request is forwarded to a peer, as
# this host may be cut off from the upstreams.
UNREACHABLE_BEFORE_FORWARDING = 2
# Times that a request is forwarded to a peer: the second time only if the first
# hop broke and the request may run again.
MAX_HOPS = 2
# Reported as unreachable by a host that lacks the state for a peer's request.
ALL_GROUPS = frozenset((ALL,))
# Stands for a request's first send in logs and metrics.
FIRST_SEND = 'first'


@dataclass(frozen=True, slots=True)
class Transports:
    """The outgoing paths of requests.

    Attributes:
        sender: Sends requests to upstreams.
        peer_forwarder: Forwards requests to other entry hosts.
        bodies: Capacity for the answers.
        resend_budgets: Limits on resends.
    """

    sender: Sender
    peer_forwarder: PeerForwarder
    bodies: BodyCapacity
    resend_budgets: ResendBudgets


class Forwarder:
    """Forwards requests to upstreams or peers; one per process."""

    def __init__(
        self,
        local_state: LocalState,
        chooser: Chooser,
        transports: Transports,
        settings: LiveSettings,
        reporter: Reporter,
        exit_detector: ExitDetector,
        admission: Admission,
    ) -> None:
        """Create a forwarder.

        Args:
            local_state: State known to this host.
            chooser: Chooses upstreams.
            transports: The outgoing paths of requests.
            settings: Settings of this host.
            reporter: Logs and counts each request.
            exit_detector: Knows which requests make upstreams exit.
            admission: Checks the API keys and quotas of requests.
        """
        self._peer_forwarder = transports.peer_forwarder
        # Requests that may be forwarded to a peer while their sends are
        # running.
        self._forwardable: set[RequestProgress] = set()
        self._exit_detector = exit_detector
        self._admission = admission
        self._bodies = transports.bodies
        self._local_state = local_state
        self._chooser = chooser
        self._recorder = OutcomeRecorder(
            local_state.catalog,
            chooser,
            settings,
            exit_detector,
            local_state.reachability,
        )
        self._sender = transports.sender
        self._settings = settings
        self._reporter = reporter
        self._resend_budgets = transports.resend_budgets

    async def serve(self, inbound: Inbound) -> Reply:
        """Return the reply to a request of a caller."""
        steering = self._local_state.steering
        if steering is None:
            return self._refuse(inbound, refusals.STARTING)
        route = steering.find_route(inbound.host, inbound.path)
        if route is None:
            return self._refuse(inbound, refusals.NO_ROUTE)
        admitted = self._admission.admit(inbound, route)
        if isinstance(admitted, Reply):
            return admitted
        progress = self._begin(inbound, route, steering, admitted.organisation)
        if progress.regions is NO_REGION:
            return self._end(progress, refusals.NO_PERMITTED_REGION)
        if self._is_held(inbound):
            return self._refuse_held(progress)
        return await self._execute(progress)

    async def serve_peer_request(
        self,
        relayed: PeerRequest,
    ) -> PeerAnswer:
        """Return the answer to a request that another host has forwarded.

        That host has authorised it and counted it against the quota. It is not
        forwarded again.
        """
        progress = self._begin_peer_request(relayed)
        if progress is None:
            return peer_refusal(
                refusals.STARTING, relayed.request_id, ALL_GROUPS
            )
        reachability = self._local_state.reachability
        if reachability.looks_silent():
            reachability.mark_suspect('silent')
        if not self._is_reachable(progress):
            lost = reachability.lost or ALL_GROUPS
            return peer_refusal(refusals.UNREACHED, relayed.request_id, lost)
        reply = await self._execute(progress)
        lost = reachability.lost
        if progress.history.unreachable or not reachability.is_sound:
            # This host may be cut off without having detected it yet.
            lost |= {service_group(progress.service)}
        tried = progress.history.upstreams[len(relayed.tried) :]
        notices = collect_notices(self._local_state, tried)
        # The server holds capacity for the answer while it passes it on.
        reply.release()
        sends = progress.sends - relayed.sends
        return peer_answer_of(reply, lost, notices, sends)

    def forward_waiting(self) -> None:
        """Forward requests whose running sends may never be answered."""
        for progress in self._forwardable:
            if (
                progress.reroute_signal is not None
                and not progress.reroute_signal.done()
            ):
                progress.reroute_signal.set_result(None)

    async def _execute(self, progress: RequestProgress) -> Reply:
        if progress.route.is_repeatable and not progress.is_from_peer:
            progress.reroute_signal = asyncio.get_running_loop().create_future()
            self._forwardable.add(progress)
        lease = None
        try:
            reply = await self._run(progress)
            lease = reply.lease
            return reply
        finally:
            self._forwardable.discard(progress)
            for task in progress.open_tasks:
                task.cancel()
            progress.release_answers(lease)
            if not progress.is_ended:
                self._reporter.caller_left(progress.history)

    def _begin_peer_request(
        self,
        relayed: PeerRequest,
    ) -> RequestProgress | None:
        """Start a peer's request; return None if its state is missing here."""
        steering = self._local_state.steering
        if steering is None or steering.version < relayed.version:
            return None
        inbound = inbound_of(relayed)
        route = steering.find_route(inbound.host, inbound.path)
        organisation = steering.organisations.by_name.get(relayed.organisation)
        if route is None or (relayed.organisation and organisation is None):
            return None
        is_served = relayed.service in {one.service for one in route.shares}
        chosen = relayed.service if is_served else ''
        progress = self._begin(inbound, route, steering, organisation, chosen)
        progress.is_from_peer = True
        progress.sends = relayed.sends
        progress.history.upstreams.extend(relayed.tried)
        progress.unavailable = frozenset(relayed.unavailable)
        return progress

    def _begin(
        self,
        inbound: Inbound,
        route: SteeredRoute,
        steering: Steering,
        organisation: Organisation | None,
        chosen: str = '',
    ) -> RequestProgress:
        key = inbound.key or inbound.request_id
        service = chosen or self._chooser.service_of(route, key)
        if len(route.shares) > 1 and not chosen:
            self._reporter.split_assigned(route, service)
        seconds = min(inbound.seconds, route.timeout)
        return RequestProgress(
            inbound=inbound,
            route=route,
            service=service,
            key=key,
            until=inbound.received_at + seconds - REPLY_MARGIN_SECONDS,
            history=AttemptHistory(inbound, route, steering.version, service),
            organisation=organisation,
            regions=permitted_regions_for(route, organisation),
        )

    def _is_held(self, inbound: Inbound) -> bool:
        held = self._exit_detector.suspects.held
        # The digest of the request is computed only if any request is held.
        return bool(held) and inbound.identity in held

    def _refuse_held(self, progress: RequestProgress) -> Reply:
        """Refuse a request that makes upstreams exit, without sending it.

        One such request ended 33 upstreams within 16 s.
        In five of these seconds only 2 to 6 of about 290 other requests were
        answered in time.
        """
        identity = progress.inbound.identity
        seconds = self._exit_detector.suspects.seconds_left(identity)
        refusal = replace(refusals.ENDS_UPSTREAMS, retry_after=seconds)
        return self._end(progress, refusal)

    def _is_suspect(self, progress: RequestProgress) -> bool:
        exit_detector = self._exit_detector
        return not exit_detector.is_idle and exit_detector.is_suspect(
            progress.inbound.identity,
        )

    async def _run(self, progress: RequestProgress) -> Reply:
        reply = self._send_next(progress)
        while reply is None:
            done, _ = await asyncio.wait(
                progress.awaited,
                timeout=self._wait_seconds(progress),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if progress.reroute_signal in done:
                self._forward_waiting(progress)
            elif progress.hop in done:
                reply = self._handle_hop_outcome(progress)
            elif done:
                reply = self._handle_outcomes(progress, done)
            elif time.monotonic() >= progress.until:
                reply = self._time_out(progress)
            else:
                self._hedge(progress)
        return reply

    def _wait_seconds(self, progress: RequestProgress) -> float:
        """Return the time to wait for the running sends, in seconds."""
        now = time.monotonic()
        left = max(0.0, progress.until - now)
        if not self._may_hedge(progress):
            return left
        placement = next(iter(progress.running.values()))
        expected = placement.choice.seconds
        return min(left, hedge_delay(expected, placement.cold_seconds))

    def _may_hedge(self, progress: RequestProgress) -> bool:
        return (
            self._settings.current.uses(Mechanism.hedging)
            and progress.route.is_repeatable
            and len(progress.running) == 1
            and progress.hop is None
            and progress.sends < progress.route.max_attempts
            and not progress.inbound.is_dropped
            and not self._is_suspect(progress)
        )

    def _hedge(self, progress: RequestProgress) -> None:
        if not self._may_hedge(progress):
            return
        if self._should_forward(progress) and self._take_resend(progress):
            self._forward(progress)
            return
        placement = self._place_connectable(progress)
        if placement is None or not self._take_resend(progress):
            # Do not try to hedge again: wait for the first send.
            progress.sends = progress.route.max_attempts
            return
        self._start(progress, placement, ResendReason.silent)

    def _handle_outcomes(
        self,
        progress: RequestProgress,
        done: 'set[asyncio.Future[Any]]',
    ) -> Reply | None:
        """Process the outcomes of finished sends.

        Returns:
            The reply, or None while the request is still in progress.
        """
        reason = ResendReason.lost
        ended = [one for one in progress.running if one in done]
        for task in ended:
            placement = progress.running.pop(task)
            outcome = self._recorder.record(
                progress.attempt_of(placement), task.result()
            )
            match outcome:
                case Delivered() as failed if self._may_retry_answer(
                    progress, failed
                ):
                    progress.failure = (placement, failed)
                    progress.may_have_run = True
                    reason = ResendReason.failed
                case Delivered() as delivered:
                    return self._deliver(progress, placement, delivered)
                case NotSent() | Withheld() | NoConnection() as unsent:
                    reason = self._undo_send(progress, placement, unsent)
                case RejectedByUpstream(load=load):
                    progress.rejected_with_capacity = (
                        load is not None and load.has_capacity
                    )
                    reason = ResendReason.turned_away
                case Lost():
                    progress.may_have_run = True
        if progress.running or progress.hop is not None:
            return None
        return self._resend(progress, reason)

    def _undo_send(
        self,
        progress: RequestProgress,
        placement: Placement,
        unsent: NotSent | Withheld | NoConnection,
    ) -> ResendReason:
        """Record a send that has not left this host; return the reason."""
        progress.sends -= 1
        self._chooser.rollouts.note_unsent(placement.upstream)
        match unsent:
            case Withheld():
                return ResendReason.withheld
            case NoConnection():
                self._mark_unconnectable(progress, placement)
                return ResendReason.cut_off
        progress.history.unreachable += 1
        return ResendReason.unreachable

    def _may_retry_answer(
        self,
        progress: RequestProgress,
        delivered: Delivered,
    ) -> bool:
        """Return whether to try another upstream in place of this answer."""
        return is_failure(delivered) and progress.route.is_repeatable

    def _time_out(self, progress: RequestProgress) -> Reply:
        """End a request whose deadline passes while sends are running."""
        now = time.monotonic()
        for placement in progress.running.values():
            self._recorder.note_overdue(progress.attempt_of(placement), now)
        if progress.failure is not None:
            return self._deliver(progress, *progress.failure)
        # The running sends may be executed, so the reply must not say
        # otherwise.
        return self._end(progress, refusals.DEADLINE_PASSED)

    def _resend(
        self,
        progress: RequestProgress,
        reason: ResendReason,
    ) -> Reply | None:
        is_once = progress.may_have_run and not progress.route.is_repeatable
        if is_once or progress.inbound.is_dropped:
            return self._give_up(progress)
        if progress.may_have_run and self._is_suspect(progress):
            # The next upstream would probably exit as well.
            self._reporter.resend_withheld(progress.history, 'ends-upstreams')
            return self._give_up(progress)
        if progress.history.unreachable > MAX_UNREACHABLE:
            return self._give_up(progress)
        if progress.is_from_peer and self._should_prefer_peer(progress):
            return self._give_up(progress)
        if progress.sends >= progress.route.max_attempts:
            return self._give_up(progress)
        return self._send_next(progress, reason)

    def _send_next(
        self,
        progress: RequestProgress,
        reason: ResendReason | None = None,
    ) -> Reply | None:
        """Send to the next upstream; return a reply if none is left."""
        is_late = progress.until - time.monotonic() < MIN_SEND_SECONDS
        # A request of a peer may have used up its attempts there.
        is_spent = progress.sends >= progress.route.max_attempts
        # Upstreams that decline a request must not get it from a peer either.
        if (
            is_late
            or is_spent
            or self._chooser.is_declined(self._query(progress))
        ):
            return self._give_up(progress)
        if self._should_forward(progress):
            return self._forward_or_give_up(progress)
        placement = None
        if not self._is_known_unreachable(progress):
            placement = self._place_connectable(progress)
        if placement is None:
            is_failing = self._local_state.reachability.has_failures
            if is_failing or progress.history.unreachable:
                # A network failure of this host may be why none is available.
                return self._forward_or_give_up(progress)
            return self._give_up(progress)
        if progress.sends and not self._take_resend(progress):
            return self._give_up(progress)
        self._start(progress, placement, reason)
        return None

    def _place_connectable(self, progress: RequestProgress) -> Placement | None:
        """Choose an upstream that a connection is available to.

        While new connections fail, that is one with an idle connection.

        Returns:
            None if there is none, or if a peer should get the request: the
            peer may be able to connect to the first choice, which has the key
            warm.
        """
        while len(progress.unconnectable) <= MAX_UNREACHABLE:
            placement = self._place(progress)
            if placement is None or self._can_connect(progress, placement):
                return placement
            self._mark_unconnectable(progress, placement)
            if self._may_forward(progress):
                return None
        return None

    def _can_connect(
        self,
        progress: RequestProgress,
        placement: Placement,
    ) -> bool:
        return self._sender.can_connect(
            placement.upstream,
            is_once=not progress.route.is_repeatable,
        )

    def _mark_unconnectable(
        self,
        progress: RequestProgress,
        placement: Placement,
    ) -> None:
        progress.unconnectable.add(placement.upstream.name)
        progress.history.unreachable += 1

    def _is_reachable(self, progress: RequestProgress) -> bool:
        return (
            self._local_state.reachability.is_sound
            or self._chooser.is_reachable(
                self._query(progress),
            )
        )

    def _should_prefer_peer(self, progress: RequestProgress) -> bool:
        """Return whether a peer is more likely to reach an upstream."""
        if progress.history.unreachable >= UNREACHABLE_BEFORE_FORWARDING:
            return True
        return not self._is_reachable(progress)

    def _is_known_unreachable(self, progress: RequestProgress) -> bool:
        """Return whether no upstream of a request can be reached.

        Probes detect upstreams that become reachable again.
        """
        is_lost = bool(self._local_state.reachability.lost)
        return is_lost and not self._is_reachable(progress)

    def _should_forward(self, progress: RequestProgress) -> bool:
        """Return whether a peer should get the request and one is available."""
        return self._should_prefer_peer(progress) and self._may_forward(
            progress
        )

    def _may_forward(self, progress: RequestProgress) -> bool:
        if progress.is_from_peer or progress.hops >= MAX_HOPS:
            return False
        found = self._peer_forwarder.find(progress.service, progress.regions)
        return found is not None

    def _forward_or_give_up(self, progress: RequestProgress) -> Reply | None:
        """Forward a request to a peer; return a reply if that is ruled out."""
        if not self._may_forward(progress):
            return self._give_up(progress)
        if progress.may_have_run and not self._take_resend(progress):
            return self._give_up(progress)
        self._forward(progress)
        return None

    def _forward(self, progress: RequestProgress) -> None:
        progress.hops += 1
        # The peer gets the body, which is encoded once it is connected.
        progress.inbound.on_dropped = None
        if progress.sends == 0 and progress.is_counted:
            # The peer makes the first send and counts it.
            self._resend_budgets.drop_first(progress.service)
            progress.is_counted = False
        progress.hop_lease = progress.lease_of(self._bodies)
        progress.hop = asyncio.ensure_future(
            self._peer_forwarder.send(
                lambda: peer_request_of(
                    progress,
                    self._chooser.unavailable_names(self._query(progress)),
                ),
                progress.regions,
                progress.hop_lease,
            ),
        )

    def _forward_waiting(self, progress: RequestProgress) -> None:
        progress.reroute_signal = None
        may_send = progress.sends < progress.route.max_attempts
        may_send = may_send and not progress.inbound.is_dropped
        if not (
            may_send and progress.running and self._should_forward(progress)
        ):
            return
        if not self._is_suspect(progress) and self._take_resend(progress):
            self._forward(progress)

    def _handle_hop_outcome(self, progress: RequestProgress) -> Reply | None:
        """Process the outcome of a hop to a peer.

        Returns:
            The reply, or None while the request is still in progress.
        """
        assert progress.hop is not None
        outcome = progress.hop.result()
        progress.hop = None
        self._reporter.forwarded(progress.history, outcome)
        match outcome:
            case HopOutcome(
                end=HopEnd.answered, answer=PeerAnswer() as answered
            ):
                progress.is_ended = True
                return reply_of(answered, progress.hop_lease)
            case HopOutcome(end=HopEnd.lost | HopEnd.unknown):
                progress.may_have_run = True
                progress.sends += 1
        return (
            None
            if progress.running
            else self._continue_after_hop(progress, outcome)
        )

    def _continue_after_hop(
        self,
        progress: RequestProgress,
        outcome: HopOutcome,
    ) -> Reply | None:
        """Continue after a hop that returned no answer from an upstream."""
        match outcome:
            case HopOutcome(end=HopEnd.unsent):
                return self._resend(progress, ResendReason.cut_off)
            case HopOutcome(end=HopEnd.lost):
                return self._resend(progress, ResendReason.lost)
            case HopOutcome(end=HopEnd.refused) if progress.may_have_run:
                return self._give_up(progress)
            case HopOutcome(end=end, answer=PeerAnswer() as refused):
                progress.is_ended = True
                if end is HopEnd.refused:
                    self._admission.give_back(progress.organisation)
                return reply_of(refused, progress.hop_lease)
        return self._give_up(progress)

    def _queue_share(self, progress: RequestProgress) -> float:
        organisation = progress.organisation
        priority = None if organisation is None else organisation.priority
        return queue_share(progress.route.priority, priority)

    def _place(self, progress: RequestProgress) -> Placement | None:
        return self._chooser.choose(self._query(progress))

    def _query(self, progress: RequestProgress) -> UpstreamQuery:
        return UpstreamQuery(
            route=progress.route,
            service=progress.service,
            key=progress.key,
            request_id=progress.inbound.request_id,
            body_bytes=progress.inbound.body_length,
            queue_share=self._queue_share(progress),
            regions=progress.regions,
            tried=frozenset(progress.history.upstreams)
            | progress.unconnectable
            | progress.unavailable,
            seconds_left=progress.until - time.monotonic(),
        )

    def _start(
        self,
        progress: RequestProgress,
        placement: Placement,
        reason: ResendReason | None,
    ) -> None:
        if progress.sends == 0 and not progress.is_counted:
            self._resend_budgets.note_first(progress.service)
            progress.is_counted = True
        if reason is not None:
            self._reporter.resent(progress.history, reason, placement)
        self._report_notice(progress, placement.upstream, reason)
        progress.sends += 1
        progress.history.sends += 1
        progress.history.upstreams.append(placement.upstream.name)
        task = asyncio.ensure_future(
            self._sender.send(
                progress.inbound,
                placement,
                is_once=not progress.route.is_repeatable,
                is_fresh=progress.may_have_run,
                until=progress.until,
                lease=progress.lease_of(self._bodies),
            ),
        )
        progress.running[task] = placement
        rollouts = self._chooser.rollouts
        if rollouts.is_in_use:
            rollouts.note_sent(placement.upstream)
            task.add_done_callback(
                lambda _task: rollouts.note_ended(placement.upstream)
            )

    def _report_notice(
        self,
        progress: RequestProgress,
        upstream: Upstream,
        reason: ResendReason | None,
    ) -> None:
        notices = self._local_state.notices
        if notices.is_idle:
            return
        availability = notices.availability(upstream)
        if availability is not Availability.open:
            trigger = reason or FIRST_SEND
            self._reporter.sent_after_notice(
                progress.history, upstream, availability, trigger
            )

    def _take_resend(self, progress: RequestProgress) -> bool:
        taken = self._resend_budgets.take(progress.service)
        if not taken:
            self._reporter.resend_withheld(progress.history, 'budget-spent')
        return taken

    def _deliver(
        self,
        progress: RequestProgress,
        placement: Placement,
        delivered: Delivered,
    ) -> Reply:
        progress.is_ended = True
        now = time.monotonic()
        for slower in progress.running.values():
            self._recorder.note_overdue(progress.attempt_of(slower), now)
        bodies = progress.inbound.body_length + len(delivered.answer.body)
        self._chooser.work_of(progress.route).note_size(bodies)
        self._reporter.answered(progress.history, placement, delivered)
        answer = delivered.answer
        return Reply(
            answer.status,
            answer.reason or 'OK',
            delivered.fields.forwarded_headers,
            answer.body,
            lease=delivered.lease,
        )

    def _give_up(self, progress: RequestProgress) -> Reply:
        if progress.failure is not None:
            return self._deliver(progress, *progress.failure)
        if progress.may_have_run:
            return self._end(progress, refusals.OUTCOME_UNKNOWN)
        # A host that is cut off still knows how long the upstreams pause.
        if not self._chooser.is_declined(self._query(progress)) and (
            progress.history.unreachable or self._is_known_unreachable(progress)
        ):
            return self._end(progress, refusals.NO_UPSTREAM)
        return self._end(progress, self._no_capacity_refusal(progress))

    def _no_capacity_refusal(
        self,
        progress: RequestProgress,
    ) -> refusals.GatewayRefusal:
        """Return the refusal of a request that no upstream has run."""
        query = self._query(progress)
        if self._chooser.are_all_closed(query):
            return refusals.UPSTREAMS_LEAVING
        wait = self._chooser.pause_wait(query)
        if wait is not None:
            return replace(refusals.UPSTREAMS_PAUSED, retry_after=wait)
        wait = self._chooser.limit_wait(query)
        if wait is not None:
            return replace(refusals.LIMITS_REACHED, retry_after=wait)
        return (
            refusals.TURNED_AWAY
            if progress.rejected_with_capacity
            else refusals.OVERLOADED
        )

    def _end(
        self,
        progress: RequestProgress,
        refusal: refusals.GatewayRefusal,
    ) -> Reply:
        progress.is_ended = True
        if refusal.status == refusals.NOT_RUN and not progress.is_from_peer:
            self._admission.give_back(progress.organisation)
        known = len(self._local_state.catalog.of_service(progress.service))
        left = progress.until - time.monotonic()
        self._reporter.refused(progress.history, refusal.kind, known, left)
        return refusal.reply(progress.inbound.request_id)

    def _refuse(
        self, inbound: Inbound, refusal: refusals.GatewayRefusal
    ) -> Reply:
        """Refuse a request that has no route."""
        version = self._local_state.versions.configuration
        self._reporter.unrouted(inbound, refusal.kind, version)
        return refusal.reply(inbound.request_id)
