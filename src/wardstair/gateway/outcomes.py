"""Updates the state of an upstream from the outcomes of requests sent to it."""

import time
from dataclasses import dataclass, replace

from wardstair.connection.upstream import BreakReason
from wardstair.decisions.answer_times import slowdown_ratio
from wardstair.decisions.mechanisms import Mechanism
from wardstair.decisions.placement import expected_seconds
from wardstair.decisions.rollout_verdict import is_slow
from wardstair.gateway.choosing import Chooser, ColdReason, Placement
from wardstair.gateway.exit_detection import ExitDetector
from wardstair.gateway.reporting import AttemptHistory
from wardstair.gateway.send_outcomes import (
    Delivered,
    Lost,
    NotSent,
    RejectedByUpstream,
    SendOutcome,
)
from wardstair.gateway.settings import LiveSettings
from wardstair.platform.headers import ReportedLoad
from wardstair.process.log import log_event
from wardstair.state.catalog import Catalog
from wardstair.state.reachability import ReachabilityTable
from wardstair.version.steering import SteeredRoute

# Statuses from 500 on are failures of the upstream, except 504, which means
# that the request left it too little time.
_SERVER_ERROR = 500
_GATEWAY_TIMEOUT = 504
# Load assumed for an upstream that rejected a request without reporting its
# load, as a multiple of its slots: all slots in use and a queue.
_FULL_LOAD_FACTOR = 3
_MIN_WORK_SECONDS = 0.001
# Reasons for which an exchange breaks when the upstream process exits.
_PROCESS_EXIT_REASONS = frozenset(
    (BreakReason.closed, BreakReason.reset, BreakReason.silent)
)


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """One send of a request.

    Attributes:
        placement: The upstream and why it was chosen.
        route: The request's route.
        key: The affinity key of the request.
        history: The attempt history of the request.
    """

    placement: Placement
    route: SteeredRoute
    key: str
    history: AttemptHistory


def is_failure(delivered: Delivered) -> bool:
    """Return whether an answer is a failure of the upstream."""
    status = delivered.answer.status
    return status >= _SERVER_ERROR and status != _GATEWAY_TIMEOUT


def _is_good(delivered: Delivered) -> bool:
    return delivered.answer.status < _SERVER_ERROR


class OutcomeRecorder:
    """Records the outcomes of sends; one per process."""

    def __init__(
        self,
        catalog: Catalog,
        chooser: Chooser,
        settings: LiveSettings,
        exit_detector: ExitDetector,
        reachability: ReachabilityTable,
    ) -> None:
        """Create a recorder.

        Args:
            catalog: The upstreams.
            chooser: Keeps the expected work of each route.
            settings: Settings of this host.
            exit_detector: Detects whether an upstream exited during a request.
            reachability: Records the upstreams that do not answer in time.
        """
        self._reachability = reachability
        self._exit_detector = exit_detector
        self._settings = settings
        self._catalog = catalog
        self._chooser = chooser

    def record(self, attempt: SendAttempt, outcome: SendOutcome) -> SendOutcome:
        """Update the upstream from an outcome and return the outcome.

        Args:
            attempt: The send.
            outcome: Its outcome.
        """
        upstream = attempt.placement.upstream
        now = time.monotonic()
        self._note_evidence(attempt, outcome)
        match outcome:
            case Delivered(fields=fields, seconds=seconds):
                if fields.load is not None:
                    reported_load = fields.load.running + fields.load.waiting
                    upstream.note_load(reported_load, now)
                if is_failure(outcome):
                    upstream.note_error(now)
                    self._count_answer(attempt, is_failed=True)
                else:
                    self._record_time(attempt, seconds, now)
            case RejectedByUpstream(is_misdirected=True):
                self._catalog.mark_gone(upstream.name)
            case RejectedByUpstream(load=ReportedLoad() as load) if (
                self._trusts_reported_load()
            ):
                # An upstream with free slots may reject requests as well. If
                # it were treated as full, its warm keys would move away.
                upstream.note_load(load.running + load.waiting, now)
            case RejectedByUpstream():
                upstream.note_load(
                    upstream.entry.slots * _FULL_LOAD_FACTOR, now
                )
            case NotSent(reason=reason, is_dead=is_dead):
                self._avoid(attempt, reason, now)
                if is_dead:
                    self._chooser.assume_cold(
                        upstream,
                        ColdReason.refused,
                        now,
                    )
            case Lost(is_forgotten=True):
                # The connection was dropped. The next send opens a new one and
                # shows whether the upstream works.
                log_event(
                    'connection-forgotten',
                    request=attempt.history.inbound.request_id,
                    upstream=upstream.name,
                )
            case Lost(reason=broken):
                self._avoid(attempt, broken, now)
        return outcome

    def _note_evidence(
        self, attempt: SendAttempt, outcome: SendOutcome
    ) -> None:
        """Record evidence for or against the request, not the upstream."""
        upstream = attempt.placement.upstream
        inbound = attempt.history.inbound
        match outcome:
            case Lost(reason=reason) if reason in _PROCESS_EXIT_REASONS:
                self._exit_detector.note_broken(inbound.identity, upstream)
            # A failed answer does not clear a request of suspicion: some
            # upstreams fail a fraction of all requests.
            case Delivered() if (
                _is_good(outcome) and not self._exit_detector.is_idle
            ):
                suspects = self._exit_detector.suspects
                suspects.note_answered(inbound.identity, upstream.incarnation)

    def _trusts_reported_load(self) -> bool:
        return self._settings.current.uses(Mechanism.reported_rejections)

    def note_overdue(self, attempt: SendAttempt, now: float) -> None:
        """Avoid an upstream whose answer is overdue.

        Args:
            attempt: A send without an outcome.
            now: Monotonic time in seconds.
        """
        if attempt.placement.upstream.is_overdue(now):
            self._avoid(attempt, 'silent', now)
            self._reachability.note_failed(attempt.placement.upstream.entry)
        if self._chooser.rollouts.running:
            self._count_unawaited(attempt, now)

    def _count_answer(
        self,
        attempt: SendAttempt,
        *,
        is_failed: bool = False,
        is_slow: bool = False,
    ) -> None:
        """Count an answer for the comparison of versions."""
        self._chooser.rollouts.note_answer(
            attempt.placement.upstream,
            attempt.route.name,
            is_failed=is_failed,
            is_slow=is_slow,
        )

    def _count_unawaited(self, attempt: SendAttempt, now: float) -> None:
        """Count a send whose answer was not awaited if it was slow.

        If the zone of its upstream cannot be reached, this shows nothing about
        the version.
        """
        upstream = attempt.placement.upstream
        if self._reachability.is_zone_lost(upstream.entry.zone):
            return
        seconds = now - attempt.placement.placed_at
        was_warm = upstream.warm.has(attempt.key, now)
        if self._is_slow(attempt, seconds, was_warm=was_warm):
            self._count_answer(attempt, is_slow=True)

    def _count_time(
        self, attempt: SendAttempt, seconds: float, *, was_warm: bool
    ) -> None:
        if self._chooser.rollouts.running:
            is_late = self._is_slow(attempt, seconds, was_warm=was_warm)
            self._count_answer(attempt, is_slow=is_late)

    def _is_slow(
        self, attempt: SendAttempt, seconds: float, *, was_warm: bool
    ) -> bool:
        """Return whether an answer was slow, whatever its upstream did before.

        A cold upstream is slow in any version.
        """
        upstream = attempt.placement.upstream
        if upstream.is_cold(time.monotonic()):
            return False
        candidate = replace(attempt.placement.choice.candidate, slowness=1.0)
        work = self._chooser.work_of(attempt.route).seconds
        return is_slow(
            seconds,
            warm=expected_seconds(replace(candidate, is_warm=True), work),
            cold=expected_seconds(replace(candidate, is_warm=False), work),
            is_known_warm=was_warm or not attempt.route.is_sticky,
        )

    def _avoid(self, attempt: SendAttempt, reason: str, now: float) -> None:
        upstream = attempt.placement.upstream
        log_event(
            'upstream-avoided',
            request=attempt.history.inbound.request_id,
            upstream=upstream.name,
            reason=reason,
            seconds=upstream.note_failure(now),
        )

    def _record_time(
        self, attempt: SendAttempt, seconds: float, now: float
    ) -> None:
        upstream = attempt.placement.upstream
        was_warm = upstream.warm.has(attempt.key, now)
        attempt.history.was_warm = was_warm
        self._count_time(attempt, seconds, was_warm=was_warm)
        upstream.warm.note(attempt.key, now)
        candidate = attempt.placement.choice.candidate
        work = self._chooser.work_of(attempt.route)
        warm = replace(candidate, is_warm=True)
        cold = replace(candidate, is_warm=False)
        slowdown = slowdown_ratio(
            seconds,
            warm=expected_seconds(warm, work.seconds),
            cold=expected_seconds(cold, work.seconds),
            is_known_warm=was_warm or not attempt.route.is_sticky,
        )
        if slowdown is None:
            upstream.note_answer()
            return
        is_usual = not self._chooser.rollouts.is_on_trial(upstream)
        if is_usual and candidate.load < candidate.slots:
            work.note(max(seconds - candidate.round_trip, _MIN_WORK_SECONDS))
        upstream.note_success(candidate.slowness * slowdown, now)
