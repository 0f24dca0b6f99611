"""Whether an upstream gets new work: signs of leaving, and failures."""

from dataclasses import dataclass, replace
from enum import StrEnum

LEAVING_SECONDS = 60.0
FAILURES_TO_EJECT = 3
EJECT_FIRST_SECONDS = 1.0
EJECT_MOST_SECONDS = 30.0


class LeavingSign(StrEnum):
    """Who said that an upstream is leaving."""

    operator = 'operator'
    platform = 'platform'
    upstream = 'upstream'


@dataclass(frozen=True)
class UpstreamHealth:
    """What one host knows about the readiness of an upstream.

    Attributes:
        is_drained: Whether an operator's order stops new work.
        leaving_until: Time until which another sign of leaving holds.
        failures: Failed attempts in a row.
        ejected_until: Time until which failures keep work away.
        in_service_since: Time when it last came (back) into service.
    """

    is_drained: bool = False
    leaving_until: float = float('-inf')
    failures: int = 0
    ejected_until: float = float('-inf')
    in_service_since: float = float('-inf')

    def may_serve(self, now: float) -> bool:
        """Return whether new work may go to the upstream."""
        if self.is_drained:
            return False
        return now >= self.leaving_until and now >= self.ejected_until


def record_leaving(health: UpstreamHealth, now: float) -> UpstreamHealth:
    """Note a sign of leaving that does not come from the operator.

    It holds for a stated time after the last sign; its absence in a later
    report does not end it, since reports lag and mislead.
    """
    until = now + LEAVING_SECONDS
    return replace(health, leaving_until=until, in_service_since=until)


def set_drained(
    health: UpstreamHealth,
    now: float,
    *,
    is_drained: bool,
) -> UpstreamHealth:
    """Apply the operator's order; its end clears the other signs too."""
    if is_drained == health.is_drained:
        return health
    if is_drained:
        return replace(health, is_drained=True)
    return UpstreamHealth(in_service_since=now)


def record_failure(health: UpstreamHealth, now: float) -> UpstreamHealth:
    """Count a failed attempt; eject after some in a row, ever longer."""
    failures = health.failures + 1
    excess = failures - FAILURES_TO_EJECT
    if excess < 0:
        return replace(health, failures=failures)
    seconds = min(EJECT_FIRST_SECONDS * 2**excess, EJECT_MOST_SECONDS)
    until = now + seconds
    return replace(
        health,
        failures=failures,
        ejected_until=until,
        in_service_since=until,
    )


def record_success(health: UpstreamHealth) -> UpstreamHealth:
    """Forget failures after a whole answer."""
    if not health.failures:
        return health
    return replace(health, failures=0)
