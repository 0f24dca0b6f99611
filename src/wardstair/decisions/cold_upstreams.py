"""Decides which hosts may send to a cold upstream, and at what rate.

A cold upstream has a rate limit for the sum of all hosts. The hosts do not
coordinate individual requests, so only a few of them may send to it at all.
"""

from collections.abc import Collection
from dataclasses import dataclass, field

from wardstair.decisions.membership import rendezvous

# Two, so that the upstream is still served if one host fails or is cut off.
MAX_SENDERS = 2
# Different views of the fleet that may exist at one time: that of hosts that
# hear most of their zone, and that of hosts that do not. Each view chooses its
# own senders.
CONCURRENT_VIEWS = 2
# Fraction of the limit that is used. The limit applies to arrivals, and evenly
# spaced sends arrive with jitter.
LIMIT_FRACTION_USED = 0.93
# Fraction of the known hosts that must be heard for a view to be complete.
COMPLETE_VIEW_FRACTION = 0.6
# Fleet size that a host assumes until it knows the real one: the largest
# planned fleet. With a smaller value, hundreds of hosts that start at once
# would each use a share that is meant for a few.
UNSETTLED_FLEET_SIZE = 1200


@dataclass(frozen=True, slots=True)
class ColdLimit:
    """Limit on the requests of the whole fleet to a cold upstream.

    Attributes:
        rate: Requests per second.
        overshoot: Factor by which the rate may be exceeded.
        tolerance: Further requests allowed in any one second.
    """

    rate: float
    overshoot: float
    tolerance: float

    @property
    def senders(self) -> int:
        """Number of senders that one view may choose.

        An idle sender may send immediately and again after its interval, so
        each sender may exceed its rate by one request in a second.
        """
        return max(1, min(MAX_SENDERS, int(self.tolerance / CONCURRENT_VIEWS)))

    @property
    def view_rate(self) -> float:
        """Requests per second of all senders of one view together."""
        return (
            self.rate * self.overshoot / CONCURRENT_VIEWS * LIMIT_FRACTION_USED
        )


@dataclass(frozen=True, slots=True)
class HostView:
    """The entry hosts that this host knows and hears.

    Attributes:
        own: Name of this host.
        zone: Availability zone of this host.
        live: Hosts of the zone that are heard, including this host.
        known: Hosts known in the zone, including this host and those that are
            not heard.
        fleet_size: Number of hosts known in all zones.
        zones: Zones that have entry hosts.
        is_settled: Whether this host has heard others and had time to discover
            all of them. Until then it must assume a large fleet.
        knows_zones: Whether this host had time to discover all zones that have
            hosts.
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
        """Return the view of a host that has not heard any other yet."""
        return cls(own, zone, (own,), (own,), UNSETTLED_FLEET_SIZE)

    @property
    def is_complete(self) -> bool:
        """Whether this host hears most hosts of its zone."""
        return len(self.live) >= len(self.known) * COMPLETE_VIEW_FRACTION


def sender_rate(
    upstream: str,
    zone: str,
    limit: ColdLimit,
    view: HostView,
) -> float:
    """Return the requests per second that this host may send.

    Only hosts of the upstream's own zone send to it: they hear each other and
    are the last to lose the connection to it. If that zone has no entry host,
    one other zone takes its place. Only a few hosts send, however large the
    fleet is, because every idle sender may send one request immediately: with
    195 senders the upstream received 195 requests in the first second.

    Args:
        upstream: Identifies the incarnation of the cold upstream.
        zone: The upstream's availability zone.
        limit: The upstream's limit.
        view: The hosts that this host knows and hears.
    """
    if not view.is_settled or view.zone != _serving_zone(upstream, zone, view):
        return 0.0
    # A host that does not hear most others cannot know which senders they have
    # chosen, but all hosts in that situation know the same names.
    hosts = view.live if view.is_complete else view.known
    senders = rendezvous(hosts, f'cold {upstream}', limit.senders)
    if view.own not in senders:
        return 0.0
    return limit.view_rate / len(senders)


def _serving_zone(upstream: str, zone: str, view: HostView) -> str:
    if zone == view.zone or zone in view.zones or not view.knows_zones:
        # Also if this host has not discovered all zones yet: the upstream's
        # zone then probably has entry hosts that it has not heard of.
        return zone
    return rendezvous(view.zones | {view.zone}, f'cold {upstream}', 1)[0]


@dataclass(slots=True)
class SendRateLimiter:
    """Spaces sends evenly, without accumulating credit while idle."""

    _next_at: float = field(default=0.0)

    def is_due(self, now: float) -> bool:
        """Return whether a send is allowed now, without counting it."""
        return now >= self._next_at

    def take(self, rate: float, now: float) -> bool:
        """Return whether a send is allowed now, and count it if so.

        Args:
            rate: Sends per second.
            now: Monotonic time in seconds.
        """
        if rate <= 0 or now < self._next_at:
            return False
        self._next_at = now + 1 / rate
        return True
