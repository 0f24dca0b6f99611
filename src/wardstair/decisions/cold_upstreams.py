"""Which hosts may send to a cold upstream, and how fast.

A cold upstream bears a bounded rate summed over the fleet. The hosts do not
talk about each request, so few of them may send to it at all.
"""

from collections.abc import Collection
from dataclasses import dataclass, field

from wardstair.decisions.membership import rendezvous

# One host may fail or be cut off; two keep the upstream served.
SENDERS = 2
# Views of the fleet that may differ at one time: hosts that see most of their
# zone, and those that do not. Each chooses senders of its own.
VIEWS = 2
# Part of the bound that is used: sends that were spaced a second apart arrive
# less so, and the bound is on arrivals.
BOUND_USED = 0.93
# Part of the known hosts that must be heard for a view to count as whole.
WHOLE_VIEW = 0.6
# The fleet's size as a host takes it that cannot know it yet, so that hundreds
# of hosts which start at once do not each spend what is meant for a few: the
# largest fleet of the users' plan.
UNSETTLED_FLEET_SIZE = 1200


@dataclass(frozen=True, slots=True)
class ColdLimit:
    """What a cold upstream bears from the whole fleet.

    Attributes:
        rate: Requests a second.
        overshoot: Factor on that rate that is borne.
        tolerance: Requests above that in one second that are borne.
    """

    rate: float
    overshoot: float
    tolerance: float

    @property
    def senders(self) -> int:
        """Senders that one view may choose.

        A sender that was idle sends at once, and again after its pause: each
        may add one request to a second beyond its rate.
        """
        return max(1, min(SENDERS, int(self.tolerance / VIEWS)))

    @property
    def view_rate(self) -> float:
        """Requests a second that the senders of one view make together."""
        return self.rate * self.overshoot / VIEWS * BOUND_USED


@dataclass(frozen=True, slots=True)
class HostView:
    """Whom this host knows and hears.

    Attributes:
        own: Its own name.
        zone: Its availability zone.
        live: Hosts of its zone that it hears, itself included.
        known: Hosts known in its zone, those not heard and itself included.
        fleet_size: Hosts known in all zones.
        zones: Zones that have entry hosts.
        is_settled: Whether it has heard others and had time to know all. A
            host that cannot say so has to take it that there are many.
        knows_zones: Whether it had time to hear of all zones with hosts.
    """

    own: str
    zone: str
    live: Collection[str]
    known: Collection[str]
    fleet_size: int
    zones: frozenset[str] = frozenset()
    is_settled: bool = False
    knows_zones: bool = False

    @classmethod
    def unsettled(cls, own: str, zone: str) -> 'HostView':
        """Return the view of a host that has not heard anybody yet."""
        return cls(own, zone, (own,), (own,), UNSETTLED_FLEET_SIZE)

    @property
    def is_whole(self) -> bool:
        """Whether it hears most hosts of its zone."""
        return len(self.live) >= len(self.known) * WHOLE_VIEW


def sender_rate(
    upstream: str,
    zone: str,
    limit: ColdLimit,
    view: HostView,
) -> float:
    """Return the requests a second that this host may send.

    Only hosts of the upstream's own zone send to it: they all hear each other,
    and are cut off from it last. If that zone has no entry host, one other
    zone stands in for it. However large the fleet is, only a few hosts send:
    each that may has a request to spare after a pause, and 195 of them sent
    195 in the first second.

    Args:
        upstream: Name of the cold upstream's run.
        zone: Its availability zone.
        limit: What it bears.
        view: Whom this host knows and hears.
    """
    if not view.is_settled or view.zone != _serving_zone(upstream, zone, view):
        return 0.0
    # A host that is cut off from most cannot tell whom the others have chosen,
    # but all that are know the same names.
    hosts = view.live if view.is_whole else view.known
    senders = rendezvous(hosts, f'cold {upstream}', limit.senders)
    if view.own not in senders:
        return 0.0
    return limit.view_rate / len(senders)


def _serving_zone(upstream: str, zone: str, view: HostView) -> str:
    if zone == view.zone or zone in view.zones or not view.knows_zones:
        # One that is not heard of yet probably has hosts of its own.
        return zone
    return rendezvous(view.zones | {view.zone}, f'cold {upstream}', 1)[0]


@dataclass(slots=True)
class SendRateLimiter:
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
