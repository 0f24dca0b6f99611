"""A host's part of a rate that binds the sum of all hosts.

The hosts share no count of what they send. Each works out the same division
from the same figures: which hosts may send, and how much each of them, by the
load that hosts tell in their heartbeats. Views may differ for a second or so;
what is borne above the rate pays for that, and says how many hosts may send.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from wardstair.decisions.membership import rendezvous

# Part of the rate that is divided, so that 0.8 of what is named is used: a host
# does not always have a request when its part allows one. Of limits of 0.5, 4
# and 10 a second, 12 hosts with 16 requests a second for the upstream used
# 0.87, 0.88 and 0.72 (played without sockets, two minutes each); with 0.8
# divided 0.77, 0.77 and 0.68.
RATE_FRACTION_USED = 0.9
# Part of what is borne that the hosts together may reach at worst. The rest is
# for hosts that know others than the rest of the fleet does.
BORNE_USED = 0.9
# Requests that each host which may send adds to a window beyond its part: what
# it may have saved up, and one held up on the way into the window.
MOST_BESIDE = 2
# What a host may save up while it has nothing to send. With one request only,
# 0.74 and 0.58 of 4 and 10 a second were used in place of 0.88 and 0.72. With
# two each host would add three to a window, and one alone could send to an
# upstream that names half a request a second.
MAX_SAVED_REQUESTS = 1.5
# Hosts of one zone that may send before another zone is drawn in: one may be
# away.
SENDERS_A_ZONE = 2
# Requests a second from which on a host or a zone counts as having load. Who
# has none is not chosen: nobody would notice that the limit has ended.
LEAST_LOAD = 0.5


@dataclass(frozen=True, slots=True)
class FleetRateLimit:
    """What may come from the whole fleet.

    Attributes:
        rate: Requests a second.
        overshoot: Factor on that rate that is borne.
        tolerance: Requests above that in one window that are borne.
        window: Length of a window in seconds.
    """

    rate: float
    overshoot: float
    tolerance: float
    window: float

    @property
    def max_per_window(self) -> float:
        """Requests that are borne in any window."""
        return self.rate * self.overshoot * self.window + self.tolerance

    @property
    def senders(self) -> int:
        """Hosts that may send.

        A part each for all hosts of a fleet would be neither safe, as each has
        a request to spare, nor of use: 1,200 hosts would have one in 40 minutes
        each of half a request a second.
        """
        left = (
            self.max_per_window * BORNE_USED
            - self.rate * RATE_FRACTION_USED * self.window
        )
        return max(1, int(left / MOST_BESIDE))


@dataclass(frozen=True, slots=True)
class LoadView:
    """Who may send, with the load that each told last, as this host sees it.

    Attributes:
        own: This host's name.
        zone: Its availability zone.
        hosts: Requests a second of callers, of each host of that zone that is
            heard or silent for a short while, this one included.
        zones: The same of each zone with hosts, as far as it is told.
        regions: Region of each zone.
        silent_load: The load of hosts and zones that are not heard any more, as
            they told it last. They may be cut off and go on.
        is_settled: Whether this host had time to know the others. Until then
            it cannot tell its part.
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
    """What one host may send.

    Attributes:
        rate: Requests a second.
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
    """Return this host's part of what an upstream takes.

    Hosts of the upstream's own zone come first: they all hear each other, and
    are cut off from it last. Zones of its region follow, then the others.

    Args:
        upstream: Name of the upstream.
        zone: Its availability zone.
        bound: What it takes from all hosts.
        view: Whom this host knows, and their load.
    """
    if not view.is_settled or view.own not in view.hosts:
        return NO_SHARE
    of_fleet = _load_of(view.zones, view.zones)
    # Parts of a fleet that do not hear each other divide both the rate and the
    # senders by what they hear. With all of the rate for each of two halves 32
    # came in four seconds where 26 are borne, and 149 where 125 are; with all
    # senders for each of ten parts of 198 hosts 28 and 131.
    heard = of_fleet / (of_fleet + view.silent_load)
    senders = max(1, int(bound.senders * heard))
    near = min(senders, SENDERS_A_ZONE)
    zones = _chosen_zones(upstream, zone, senders // near, view)
    if view.zone not in zones:
        return NO_SHARE
    hosts = rendezvous(
        _with_load(view.hosts),
        f'limit {upstream}',
        max(1, senders // len(zones)),
    )
    if view.own not in hosts:
        return NO_SHARE
    of_zones = _load_of(zones, view.zones)
    of_hosts = _load_of(hosts, view.hosts)
    own = _load_of((view.own,), view.hosts)
    of_zone = _load_of((view.zone,), view.zones)
    rate = bound.rate * RATE_FRACTION_USED * heard
    rate *= (of_zone / of_zones) * (own / of_hosts)
    # What all load is to the load of those that may send.
    beside_hosts = _load_of(view.hosts, view.hosts) / of_hosts
    return HostShare(rate, of_fleet / of_zones * beside_hosts)


def _chosen_zones(
    upstream: str,
    zone: str,
    count: int,
    view: LoadView,
) -> list[str]:
    region = view.regions.get(zone)
    candidates = rendezvous(
        _with_load(view.zones),
        f'limit {upstream}',
        len(view.zones),
    )
    # Sorting keeps the order among those that are alike.
    candidates.sort(
        key=lambda one: (one != zone, view.regions.get(one) != region),
    )
    return candidates[: max(1, count)]


def _with_load(loads: Mapping[str, float]) -> list[str]:
    """Return who has load; all, if nobody has."""
    loaded = [name for name, load in loads.items() if load >= LEAST_LOAD]
    return loaded or list(loads)


def _load_of(names: Collection[str], loads: Mapping[str, float]) -> float:
    """Return the load of some; those without have a little."""
    return sum(max(loads.get(name, 0.0), LEAST_LOAD) for name in names)


@dataclass(slots=True)
class Allowance:
    """Requests that a host may send now; one for each limited upstream.

    It begins with none: a part that passes from one host to another, or comes
    with a start, brings no request to a window that has had them already.
    """

    _level: float = 0.0
    _at: float | None = None

    def is_due(self, rate: float, now: float) -> bool:
        """Return whether a request may be sent.

        Args:
            rate: This host's part now, in requests a second.
            now: Monotonic time in seconds.
        """
        self._refill(rate, now)
        return rate > 0 and self._level >= 1

    def take(self) -> None:
        """Count a request that is sent."""
        self._level -= 1

    def _refill(self, rate: float, now: float) -> None:
        if self._at is not None:
            gained = rate * (now - self._at)
            self._level = min(MAX_SAVED_REQUESTS, self._level + gained)
        self._at = now
