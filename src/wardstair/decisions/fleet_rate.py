"""Divides a rate limit on the whole fleet among its hosts.

The hosts do not share a count of the requests they send. Each host computes the
same division from the same input: which hosts may send, and at what rate, by
the load that hosts report in their heartbeats. The hosts' views may differ for
about a second. The tolerance above the rate covers this, and determines how
many hosts may send.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from wardstair.decisions.membership import rendezvous

# Fraction of the rate that is divided among the hosts, so that about 80% of a
# limit is used: a host does not always have a request when its share allows
# one. Dividing 90% uses 72% to 88% of limits from 0.5 to 10 requests per
# second; dividing 80% uses only 68% to 77%.
RATE_FRACTION_USED = 0.9
# Fraction of the maximum per window that the hosts may reach in the worst case.
# The rest is for hosts whose view differs from that of the other hosts.
WORST_CASE_FRACTION = 0.9
# Requests that each sending host may add to a window beyond its share: its
# saved requests, and one that was delayed into the window.
EXCESS_PER_SENDER = 2
# Requests that a host may save while it has none to send. Saving only 1 uses
# 74% and 58% of limits of 4 and 10 requests per second, in place of 88% and
# 72%. With 2, each host could add three requests to a window, and only one
# host could send to an upstream with a limit of 0.5 requests per second.
MAX_SAVED_REQUESTS = 1.5
# Hosts of a zone that may send before another zone is included. More than one,
# because a host may be unavailable.
SENDERS_PER_ZONE = 2
# Requests per second from which a host or a zone counts as loaded. Hosts
# without load are not chosen: they would not notice when a limit ends.
MIN_LOAD = 0.5


@dataclass(frozen=True, slots=True)
class FleetRateLimit:
    """Limit on the requests of the whole fleet.

    Attributes:
        rate: Requests per second.
        overshoot: Factor by which the rate may be exceeded.
        tolerance: Further requests allowed in one window.
        window: Length of a window in seconds.
    """

    rate: float
    overshoot: float
    tolerance: float
    window: float

    @property
    def max_per_window(self) -> float:
        """Maximum number of requests in any window."""
        return self.rate * self.overshoot * self.window + self.tolerance

    @property
    def senders(self) -> int:
        """Number of hosts that may send.

        Giving a share to every host of the fleet would be unsafe, because each
        may have a saved request. It would also be useless: with 1,200 hosts and
        a limit of 0.5 requests per second, each could send one request in 40
        minutes.
        """
        left = (
            self.max_per_window * WORST_CASE_FRACTION
            - self.rate * RATE_FRACTION_USED * self.window
        )
        return max(1, int(left / EXCESS_PER_SENDER))


@dataclass(frozen=True, slots=True)
class LoadView:
    """The hosts that may send and their reported load, as known to this host.

    Attributes:
        own: Name of this host.
        zone: Availability zone of this host.
        hosts: Callers' requests per second at each host of the zone that is
            heard or was heard a short time ago, including this host.
        zones: The same for each zone with hosts, as far as reported.
        regions: Region of each zone.
        silent_load: Last reported load of hosts and zones that are not heard
            any more. They may be cut off and continue to send.
        is_settled: Whether this host had time to discover the others. Until
            then it cannot compute its share.
    """

    own: str
    zone: str
    hosts: Mapping[str, float] = field(default_factory=dict)
    zones: Mapping[str, float] = field(default_factory=dict)
    regions: Mapping[str, str] = field(default_factory=dict)
    silent_load: float = 0.0
    is_settled: bool = False


@dataclass(frozen=True, slots=True)
class HostShare:
    """One host's share of a rate limit.

    Attributes:
        rate: Requests per second.
        load_multiple: Load of the fleet divided by the load of the hosts that
            may send. A sending host may attract up to this multiple of its
            usual share of the upstream's keys.
    """

    rate: float = 0.0
    load_multiple: float = 1.0


NO_SHARE = HostShare()


def host_share(
    upstream: str,
    zone: str,
    bound: FleetRateLimit,
    view: LoadView,
) -> HostShare:
    """Return this host's share of an upstream's rate limit.

    Hosts of the upstream's own zone are preferred: they hear each other and are
    the last to lose the connection to it. Next come zones of its region, then
    the others.

    Args:
        upstream: Name of the upstream.
        zone: Its availability zone.
        bound: The limit for all hosts.
        view: The hosts that this host knows, and their load.
    """
    if not view.is_settled or view.own not in view.hosts:
        return NO_SHARE
    fleet_load = _load_of(view.zones, view.zones)
    # In a partitioned fleet, each part takes only its share, by load, of both
    # the rate and the senders. Two halves that each used the whole rate sent 32
    # requests in a window with a maximum of 26, and 149 with a maximum of 125.
    # Ten parts of 198 hosts that each used all senders sent 28 and 131.
    heard = fleet_load / (fleet_load + view.silent_load)
    senders = max(1, int(bound.senders * heard))
    per_zone = min(senders, SENDERS_PER_ZONE)
    zones = _chosen_zones(upstream, zone, senders // per_zone, view)
    if view.zone not in zones:
        return NO_SHARE
    hosts = rendezvous(
        _loaded(view.hosts),
        f'limit {upstream}',
        max(1, senders // len(zones)),
    )
    if view.own not in hosts:
        return NO_SHARE
    chosen_zones_load = _load_of(zones, view.zones)
    senders_load = _load_of(hosts, view.hosts)
    own_load = _load_of((view.own,), view.hosts)
    zone_load = _load_of((view.zone,), view.zones)
    rate = bound.rate * RATE_FRACTION_USED * heard
    rate *= (zone_load / chosen_zones_load) * (own_load / senders_load)
    # Load of the zone in relation to the load of its sending hosts.
    zone_to_senders = _load_of(view.hosts, view.hosts) / senders_load
    return HostShare(rate, fleet_load / chosen_zones_load * zone_to_senders)


def _chosen_zones(
    upstream: str,
    zone: str,
    count: int,
    view: LoadView,
) -> list[str]:
    region = view.regions.get(zone)
    candidates = rendezvous(
        _loaded(view.zones),
        f'limit {upstream}',
        len(view.zones),
    )
    # The sort is stable: zones with equal keys keep the rendezvous order.
    candidates.sort(
        key=lambda one: (one != zone, view.regions.get(one) != region),
    )
    return candidates[: max(1, count)]


def _loaded(loads: Mapping[str, float]) -> list[str]:
    """Return the names with load, or all names if none has load."""
    loaded = [name for name, load in loads.items() if load >= MIN_LOAD]
    return loaded or list(loads)


def _load_of(names: Collection[str], loads: Mapping[str, float]) -> float:
    """Return the sum of some loads, each counted as `MIN_LOAD` at least."""
    return sum(max(loads.get(name, 0.0), MIN_LOAD) for name in names)


@dataclass(slots=True)
class Allowance:
    """Number of requests that a host may send now to one limited upstream.

    Starts empty, so that a share that passes to another host or belongs to a
    host that has just started adds no requests to a window that may already be
    full.
    """

    _level: float = 0.0
    _at: float | None = None

    def is_due(self, rate: float, now: float) -> bool:
        """Return whether a request may be sent now.

        Args:
            rate: This host's current share in requests per second.
            now: Monotonic time in seconds.
        """
        self._refill(rate, now)
        return rate > 0 and self._level >= 1

    def take(self) -> None:
        """Count a request that was sent."""
        self._level -= 1

    def _refill(self, rate: float, now: float) -> None:
        if self._at is not None:
            gained = rate * (now - self._at)
            self._level = min(MAX_SAVED_REQUESTS, self._level + gained)
        self._at = now
