"""Which hosts may send to a cold upstream, and how fast.

A cold upstream bears a bounded rate summed over the fleet. The hosts do not
talk about each request, so few of them may send to it at all.
"""

from collections.abc import Collection
from dataclasses import dataclass, field

from wardstair.decisions.membership import rendezvous

# One host may fail or be cut off; two keep the upstream served.
SENDERS = 2
# Part of the rate that the senders use together; two pairs of senders that
# come from differing views stay below the bound with its overshoot.
RATE_USED = 0.7
# Part of the known hosts that must be heard for a view to count as whole.
WHOLE_VIEW = 0.6


@dataclass(frozen=True, slots=True)
class HostView:
    """Whom this host knows and hears.

    Attributes:
        own: Its own name.
        zone: Its availability zone.
        live: Hosts of its zone that it hears, itself included.
        zone_size: Hosts known in its zone, those not heard included.
        fleet_size: Hosts known in all zones.
        zones: Zones that have entry hosts.
        is_settled: Whether it had time to hear the others after its start.
    """

    own: str
    zone: str
    live: Collection[str]
    zone_size: int
    fleet_size: int
    zones: frozenset[str] = frozenset()
    is_settled: bool = True


def sender_rate(
    upstream: str,
    zone: str,
    rate: float,
    view: HostView,
) -> float:
    """Return the requests a second that this host may send.

    Only hosts of the upstream's own zone send to it: they all hear each other,
    and are cut off from it last. One whose zone has no entry host gets an
    equal part from every host.

    Args:
        upstream: Name of the cold upstream's run.
        zone: Its availability zone.
        rate: Requests a second that it bears from the fleet.
        view: Whom this host knows and hears.
    """
    if not view.is_settled:
        return 0.0
    if zone != view.zone:
        is_served = zone in view.zones
        return 0.0 if is_served else rate * RATE_USED / view.fleet_size
    if len(view.live) < view.zone_size * WHOLE_VIEW:
        # Cut off from most: others may have chosen senders without us.
        return rate * RATE_USED / view.zone_size
    senders = rendezvous(view.live, f'cold {upstream}', SENDERS)
    if view.own not in senders:
        return 0.0
    return rate * RATE_USED / len(senders)


@dataclass(slots=True)
class Pace:
    """Spaces out sends evenly; nothing is saved up while none are made."""

    _next_at: float = field(default=0.0)

    def is_due(self, now: float) -> bool:
        """Return whether a send may be made now."""
        return now >= self._next_at

    def take(self, rate: float, now: float) -> bool:
        """Return whether a send may be made now, and count it.

        Args:
            rate: Sends a second.
            now: Monotonic time in seconds.
        """
        if rate <= 0 or now < self._next_at:
            return False
        self._next_at = now + 1 / rate
        return True
