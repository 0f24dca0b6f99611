"""Requests that all hosts together would send to a cold upstream."""

from collections.abc import Collection, Iterable

from wardstair.decisions.cold_upstreams import (
    ColdLimit,
    HostView,
    SendRateLimiter,
    sender_rate,
)

UPSTREAM = 'i-1'
STEPS_PER_SECOND = 100
SIMULATED_SECONDS = 6


def settled_view(
    own: str,
    zone: str,
    live: Collection[str],
    known: Collection[str],
    fleet_size: int,
    zones: frozenset[str] = frozenset(),
    *,
    knows_zones: bool = True,
) -> HostView:
    """Return the view of a host that has had time to learn of the others."""
    return HostView(
        own,
        zone,
        live,
        known,
        fleet_size,
        zones,
        is_settled=True,
        knows_zones=knows_zones,
    )


def most_sent(
    views: Iterable[HostView],
    limit: ColdLimit,
    zone: str = 'z',
) -> int:
    """Return the most requests sent to a cold upstream in any second.

    Counts the requests of all hosts; each always has one waiting for it.
    """
    sent: list[float] = []
    for view in views:
        rate = sender_rate(UPSTREAM, zone, limit, view)
        limiter = SendRateLimiter()
        steps = range(SIMULATED_SECONDS * STEPS_PER_SECOND)
        times = (step / STEPS_PER_SECOND for step in steps)
        sent.extend(now for now in times if limiter.take(rate, now))
    window_starts = range((SIMULATED_SECONDS - 1) * STEPS_PER_SECOND)
    return max(
        sum(1 for at in sent if 0 <= at - start / STEPS_PER_SECOND < 1)
        for start in window_starts
    )


def most_allowed(limit: ColdLimit) -> float:
    """Return the requests that a cold upstream may get in a second."""
    return limit.rate * limit.overshoot + limit.tolerance
