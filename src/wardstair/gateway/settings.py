"""Settings of one gateway process, decoded."""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from wardstair.decisions.mechanisms import Mechanism
from wardstair.decisions.placement_policies import (
    DEFAULT_POLICY,
    PlacementPolicy,
)
from wardstair.decisions.timing import Timing, timing_for


@dataclass(frozen=True, slots=True)
class Listener:
    """An address to listen on."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return `ip:port`."""
        return f'{self.host}:{self.port}'


@dataclass(frozen=True, slots=True)
class Bounds:
    """Times and shares that the operators hold the fleet to.

    Each default stands in for a bound that a deployment does not state. It is
    chosen so that the bound is kept whatever it is within reason, not so that
    requests are served best.

    Attributes:
        drain_seconds: Time to stop sending to a draining upstream. Without
            it the time between two heartbeats: nothing shorter can be kept.
        grace_seconds: Time between the stop signal and the kill. Without it
            ten seconds, the shortest that common supervisors leave: ending
            sooner than needed would cut requests that the kill would not.
        apply_seconds: Time for a configuration to be in force; without it as
            for leaving upstreams.
        evacuate_seconds: Time to stop sending to a zone that is emptied;
            without it as for leaving upstreams.
        contact_seconds: Time of undisturbed contact after which a host is
            held to the other bounds. Without it two heartbeats, from which on
            a host can tell that it has heard the others.
        retry_ratio: Retries allowed a request, over the fleet. Without it one
            in ten, the smallest that retry budgets usually allow.
        retry_extra: Retries allowed beside that ratio in a window. Without
            it ten in the whole fleet: a lost connection now and then.
        retry_window: That window in seconds. Without it ten: within a longer
            one the ratio weighs more than the fixed part, which is small.
        cold_overshoot: Factor on a cold upstream's rate that is borne;
            without it none above the rate.
        cold_slack: Requests above that in one second that are borne; without
            it none.
        lookup_seconds: Longest time that a look-up may be cached; without it
            a second, which costs look-ups but leaves no caller behind.
        shift_share: Largest part of a region's requests that may move to
            another region between two windows of two seconds. Without it a
            twentieth, as far as the spread of keys lets a bound be kept.
    """

    drain_seconds: float = 1.0
    grace_seconds: float = 10.0
    apply_seconds: float = 1.0
    evacuate_seconds: float = 1.0
    contact_seconds: float = 2.0
    retry_ratio: float = 0.1
    retry_extra: float = 10.0
    retry_window: float = 10.0
    cold_overshoot: float = 1.0
    cold_slack: float = 0.0
    lookup_seconds: float = 1.0
    shift_share: float = 0.05


@dataclass(frozen=True, slots=True)
class OrganisationBounds:
    """Limits for deployments where organisations have API keys.

    Attributes:
        revoke_seconds: Time without contact with the store after which a host
            accepts no API key, since it may have missed a revocation; infinite
            if such a host continues to serve.
        quota_window: Length in seconds of the sliding window of quotas.
        quota_overshoot: Fraction by which the requests of a window may exceed
            a quota; 0 by default.
        quota_slack: Further requests allowed in a window; 0 by default.
    """

    revoke_seconds: float = math.inf
    quota_window: float = 5.0
    quota_overshoot: float = 0.0
    quota_slack: float = 0.0


@dataclass(frozen=True)
class Heartbeat:
    """How often upstreams renew their entries in the store.

    Attributes:
        upstream_seconds: The period. The stand-in is that of each deployment
            known; where it is too short, fewer ends are proved.
    """

    upstream_seconds: float = 1.5

    @property
    def expiry_seconds(self) -> float:
        """Time until the entry of an upstream that ended is known as gone.

        An entry lapses after three periods of silence; a fourth is left for
        the store and other hosts to tell.
        """
        return 4 * self.upstream_seconds

    @property
    def tolerated_outage_seconds(self) -> float:
        """Time for which the store may be away without an entry lapsing.

        Its upstream may have written it up to one period before.
        """
        return 2 * self.upstream_seconds


@dataclass(frozen=True, slots=True)
class Gap:
    """A setting that the file does not give.

    Attributes:
        name: Its name in the file.
        used: What is used in its place.
    """

    name: str
    used: float

    def __str__(self) -> str:
        """Return `name:used`."""
        return f'{self.name}:{self.used:g}'


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Everything a gateway learns from its settings file.

    Attributes:
        name: Name of this host.
        address: Its IP address.
        zone: Its availability zone.
        zones: Region of each zone.
        callers: Listener for callers' requests.
        ready: Listener for readiness checks.
        control: Listener whose address other hosts have as a seed.
        lookups: Listener for look-ups.
        metrics: Listener for scrapes of metrics.
        fleet_ports: First and last port for talk between entry hosts.
        seeds: Addresses (`ip:port`) of entry hosts to ask first.
        store: Address (`ip:port`) of the platform's store.
        memory_bytes: Memory limit of the process.
        descriptors: Limit of open sockets and files.
        cores: Processor cores that this host may use.
        is_first_start: Whether the whole fleet starts for the first time.
        placement: By what rule upstreams are chosen.
        switched_off: Mechanisms that are not to be used.
        bounds: What the fleet is held to.
        organisation_bounds: Limits that apply where requests need API keys.
        heartbeat: How often upstreams renew their entries.
        gaps: Settings that the file does not give, with their stand-ins.
    """

    name: str
    address: str
    zone: str
    zones: Mapping[str, str]
    callers: Listener
    ready: Listener
    control: Listener
    lookups: Listener
    metrics: Listener
    fleet_ports: tuple[int, int]
    seeds: tuple[str, ...]
    store: str
    memory_bytes: int
    descriptors: int
    cores: float = 1.0
    is_first_start: bool = False
    placement: PlacementPolicy = DEFAULT_POLICY
    switched_off: frozenset[Mechanism] = frozenset()
    bounds: Bounds = field(default_factory=Bounds)
    organisation_bounds: OrganisationBounds = OrganisationBounds()
    heartbeat: Heartbeat = Heartbeat()
    gaps: tuple[Gap, ...] = ()

    @property
    def region(self) -> str:
        """The region of this host's zone."""
        return self.zones[self.zone]

    @property
    def update_bound_seconds(self) -> float:
        """The tightest bound on news, in seconds."""
        bounds = self.bounds
        return min(
            bounds.drain_seconds,
            bounds.apply_seconds,
            bounds.evacuate_seconds,
        )

    @property
    def timing(self) -> Timing:
        """How often this host looks, so that it keeps the bounds."""
        return timing_for(
            self.update_bound_seconds, self.bounds.contact_seconds
        )

    def uses(self, mechanism: Mechanism) -> bool:
        """Return whether a mechanism is to be used."""
        return mechanism not in self.switched_off

    def is_in_region(self, zone: str) -> bool:
        """Return whether a zone is in the region of this host."""
        return self.zones.get(zone) == self.region


@dataclass(slots=True)
class LiveSettings:
    """The settings in force; replaced as a whole when the file changes.

    Addresses and ports hold for the life of the process: its sockets are
    bound to them. Zones, bounds and the placement are read at each use.

    Attributes:
        current: The settings in force.
    """

    current: GatewaySettings
