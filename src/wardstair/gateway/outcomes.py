"""What the outcome of a send tells of the upstream."""

import time
from dataclasses import dataclass, replace

from wardstair.connection.upstream import BreakReason
from wardstair.decisions.answer_times import slowness_shown
from wardstair.decisions.mechanisms import Mechanism
from wardstair.decisions.placement import expected_seconds
from wardstair.gateway.choosing import Chooser, ColdReason, Placement
from wardstair.gateway.exit_detection import ExitDetector
from wardstair.gateway.reporting import Trail
from wardstair.gateway.sending import (
    Delivered,
    Lost,
    NotSent,
    SendOutcome,
    TurnedAway,
)
from wardstair.gateway.settings import LiveSettings
from wardstair.platform.headers import ToldLoad
from wardstair.process.log import log_event
from wardstair.state.catalog import Catalog
from wardstair.state.reach import ReachTable
from wardstair.version.steering import SteeredRoute

# Statuses from here on say that the upstream failed; but for 504, by which it
# says that it was given too little time.
_FAILURES_FROM = 500
_TOO_LITTLE_TIME = 504
# Load that is assumed of an upstream which turned a request away and told none,
# as a multiple of its slots: full, with a queue.
_FULL_FACTOR = 3
_LEAST_SECONDS = 0.001
# How an exchange ends when its upstream does.
_BROKEN = frozenset((BreakReason.closed, BreakReason.reset))


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """One send of a request.

    Attributes:
        placement: The upstream and why it was chosen.
        route: The request's route.
        key: What it concerns.
        trail: What will be told of the request.
    """

    placement: Placement
    route: SteeredRoute
    key: str
    trail: Trail


def is_failure(delivered: Delivered) -> bool:
    """Return whether an answer says that the upstream failed."""
    status = delivered.answer.status
    return status >= _FAILURES_FROM and status != _TOO_LITTLE_TIME


def _is_good(delivered: Delivered) -> bool:
    return delivered.answer.status < _FAILURES_FROM


class OutcomeRecorder:
    """Takes outcomes into the view of upstreams; one a process."""

    def __init__(
        self,
        catalog: Catalog,
        chooser: Chooser,
        settings: LiveSettings,
        exit_detector: ExitDetector,
        reach: ReachTable,
    ) -> None:
        """Prepare.

        Args:
            catalog: The upstreams.
            chooser: Keeps the usual work of routes.
            settings: Settings of this host.
            exit_detector: Finds out whether an upstream ended under a request.
            reach: Told which upstreams keep silent.
        """
        self._reach = reach
        self._witness = exit_detector
        self._settings = settings
        self._catalog = catalog
        self._chooser = chooser

    def record(self, case: SendAttempt, outcome: SendOutcome) -> SendOutcome:
        """Note what an outcome tells of the upstream; return it."""
        upstream = case.placement.upstream
        now = time.monotonic()
        self._testify(case, outcome)
        match outcome:
            case Delivered(fields=fields, seconds=seconds):
                if fields.load is not None:
                    told = fields.load.running + fields.load.waiting
                    upstream.note_load(told, now)
                if is_failure(outcome):
                    upstream.note_error(now)
                else:
                    self._learn_time(case, seconds, now)
            case TurnedAway(is_other=True):
                self._catalog.mark_gone(upstream.name)
            case TurnedAway(load=ToldLoad() as load) if self._trusts_load():
                # One that is short of nothing turns some away as well: taken
                # for full, it would lose the keys that it remembers.
                upstream.note_load(load.running + load.waiting, now)
            case TurnedAway():
                upstream.note_load(upstream.entry.slots * _FULL_FACTOR, now)
            case NotSent(reason=reason, is_dead=is_dead):
                self._distrust(case, reason, now)
                if is_dead:
                    self._chooser.suspect_new_life(
                        upstream,
                        ColdReason.refused,
                        now,
                    )
            case Lost(is_forgotten=True):
                # Whether the upstream itself is well the next send will show,
                # which opens a connection.
                log_event(
                    'connection-forgotten',
                    request=case.trail.inbound.request_id,
                    upstream=upstream.name,
                )
            case Lost(reason=broken):
                self._distrust(case, broken, now)
        return outcome

    def _testify(self, case: SendAttempt, outcome: SendOutcome) -> None:
        """Tell what an outcome says of the request rather than the upstream."""
        upstream = case.placement.upstream
        inbound = case.trail.inbound
        match outcome:
            case Lost(reason=reason) if reason in _BROKEN:
                self._witness.note_broken(inbound.identity, upstream)
            # A failure clears nobody: some upstreams fail a part of all.
            case Delivered() if _is_good(outcome) and not self._witness.is_idle:
                suspects = self._witness.suspects
                suspects.note_answered(inbound.identity, upstream.life)

    def _trusts_load(self) -> bool:
        return self._settings.current.uses(Mechanism.told_rejections)

    def note_overdue(self, case: SendAttempt, now: float) -> None:
        """Note against an upstream that it was far slower than expected.

        Args:
            case: A send that has no outcome yet.
            now: Monotonic time in seconds.
        """
        if case.placement.upstream.is_overdue(now):
            self._distrust(case, 'silent', now)
            self._reach.note_failed(case.placement.upstream.entry)

    def _distrust(self, case: SendAttempt, reason: str, now: float) -> None:
        upstream = case.placement.upstream
        log_event(
            'upstream-avoided',
            request=case.trail.inbound.request_id,
            upstream=upstream.name,
            reason=reason,
            seconds=upstream.note_failure(now),
        )

    def _learn_time(
        self, case: SendAttempt, seconds: float, now: float
    ) -> None:
        upstream = case.placement.upstream
        was_warm = upstream.warm.has(case.key, now)
        case.trail.was_warm = was_warm
        upstream.warm.note(case.key, now)
        candidate = case.placement.choice.candidate
        work = self._chooser.work_of(case.route)
        warm = replace(candidate, is_warm=True)
        cold = replace(candidate, is_warm=False)
        shown = slowness_shown(
            seconds,
            warm=expected_seconds(warm, work.seconds),
            cold=expected_seconds(cold, work.seconds),
            is_sure=was_warm or not case.route.is_sticky,
        )
        if shown is None:
            upstream.note_answer()
            return
        if candidate.load < candidate.slots:
            work.note(max(seconds - candidate.round_trip, _LEAST_SECONDS))
        upstream.note_success(candidate.slowness * shown, now)
