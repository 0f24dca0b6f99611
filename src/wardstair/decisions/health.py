"""Tracks drains, leaving notices and failures that stop new work."""

from dataclasses import dataclass, replace
from enum import StrEnum

LEAVING_SECONDS = 60.0
FAILURES_TO_EJECT = 3
FIRST_EJECTION_SECONDS = 1.0
MAX_EJECTION_SECONDS = 30.0


class LeavingSign(StrEnum):
    """Source of the information that an upstream is leaving."""

    operator = 'operator'
    platform = 'platform'
    upstream = 'upstream'


@dataclass(frozen=True)
class UpstreamHealth:
    """Whether an upstream may get new work, as known to one host.

    Attributes:
        is_drained: Whether an operator has drained it.
        leaving_until: Monotonic time in seconds until which it counts as
            leaving, by notices other than the operator's.
        failures: Consecutive failed attempts.
        ejected_until: Time until which it is ejected for failures.
        in_service_since: Time when it last entered or re-entered service.
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
    """Record a leaving notice that does not come from the operator.

    The upstream counts as leaving for `LEAVING_SECONDS` after the last notice.
    A later report without the notice does not end this earlier, because
    reports may be late or wrong.
    """
    until = now + LEAVING_SECONDS
    return replace(health, leaving_until=until, in_service_since=until)


def set_drained(
    health: UpstreamHealth,
    now: float,
    *,
    is_drained: bool,
) -> UpstreamHealth:
    """Apply an operator's drain; ending it also clears notices and failures."""
    if is_drained == health.is_drained:
        return health
    if is_drained:
        return replace(health, is_drained=True)
    return UpstreamHealth(in_service_since=now)


def record_failure(health: UpstreamHealth, now: float) -> UpstreamHealth:
    """Count a failed attempt, and eject the upstream if there are too many.

    Ejection starts at `FAILURES_TO_EJECT` consecutive failures. Each further
    failure doubles its duration, up to `MAX_EJECTION_SECONDS`.
    """
    failures = health.failures + 1
    excess = failures - FAILURES_TO_EJECT
    if excess < 0:
        return replace(health, failures=failures)
    seconds = min(FIRST_EJECTION_SECONDS * 2**excess, MAX_EJECTION_SECONDS)
    until = now + seconds
    return replace(
        health,
        failures=failures,
        ejected_until=until,
        in_service_since=until,
    )


def record_success(health: UpstreamHealth) -> UpstreamHealth:
    """Reset the count of failures after a complete answer."""
    if not health.failures:
        return health
    return replace(health, failures=0)
