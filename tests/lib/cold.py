"""What hosts would send to a cold upstream between them."""

from collections.abc import Collection, Iterable

from wardstair.decisions.cold_upstreams import (
    ColdLimit,
    HostView,
    SendRateLimiter,
    sender_rate,
)

UPSTREAM = 'i-1'
STEPS_A_SECOND = 100
PLAYED_SECONDS = 6


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
    """Return the view of a host that had time to know the others."""
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
    """Return the most that all hosts send to a cold upstream in a second.

    Every host has a request for it at any time.
    """
    sent: list[float] = []
    for view in views:
        rate = sender_rate(UPSTREAM, zone, limit, view)
        pace = SendRateLimiter()
        steps = range(PLAYED_SECONDS * STEPS_A_SECOND)
        times = (step / STEPS_A_SECOND for step in steps)
        sent.extend(now for now in times if pace.take(rate, now))
    begins = range((PLAYED_SECONDS - 1) * STEPS_A_SECOND)
    return max(
        sum(1 for at in sent if 0 <= at - begin / STEPS_A_SECOND < 1)
        for begin in begins
    )


def most_allowed(limit: ColdLimit) -> float:
    """Return the requests that a cold upstream bears in a second."""
    return limit.rate * limit.overshoot + limit.tolerance
