"""Decoded settings of a gateway process."""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from wardstair.decisions.mechanisms import Mechanism
from wardstair.decisions.placement_policies import (
    DEFAULT_POLICY,
    PlacementPolicy,
)
from wardstair.decisions.rollouts import RolloutBounds
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
    """Limits that the operators require the fleet to keep.

    A default applies if a deployment does not state the limit. Defaults are
    strict, so that any plausible limit is kept, even if requests are served
    less well.

    Attributes:
        drain_seconds: Time within which sending to a draining upstream stops.
            The default is the heartbeat interval; nothing shorter can be kept.
        grace_seconds: Time between the stop signal and the kill. The default
            of ten seconds is the shortest that common supervisors use. Exiting
            earlier than required would cut requests that could have completed.
        apply_seconds: Time within which a configuration takes effect. The
            default is that of `drain_seconds`.
        evacuate_seconds: Time within which sending to an evacuated zone stops.
            The default is that of `drain_seconds`.
        contact_seconds: Time of undisturbed contact after which a host has to
            keep the other limits. The default is two heartbeat intervals,
            after which a host can tell that it receives the heartbeats of the
            others.
        retry_ratio: Retries allowed per request across the fleet. The default
            of one in ten is the smallest common retry budget.
        retry_extra: Retries allowed in a window in addition to that ratio. The
            default of ten for the whole fleet covers an occasional lost
            connection.
        retry_window: Length of the window in seconds. The default is ten; in a
            longer window the ratio matters more than the small fixed part.
        cold_overshoot: Factor by which requests to a cold upstream may exceed
            its rate. The default allows none above the rate.
        cold_slack: Further requests allowed in one second; none by default.
        lookup_seconds: Longest time that a look-up may be cached. The default
            of one second costs more look-ups, but callers do not keep the
            addresses of hosts that have left.
        shift_share: Largest fraction of a region's requests that may move to
            another region from one window of two seconds to the next. The
            default is a twentieth, the smallest that the distribution of keys
            allows to be kept.
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
        upstream_seconds: The interval. All known deployments use the default.
            If it is too short for a deployment, fewer exits are proved.
    """

    upstream_seconds: float = 1.5

    @property
    def expiry_seconds(self) -> float:
        """Time until the entry of an upstream that exited is known as expired.

        An entry expires after three intervals without renewal. A fourth allows
        for the time until the store and other hosts report it.
        """
        return 4 * self.upstream_seconds

    @property
    def tolerated_outage_seconds(self) -> float:
        """Time for which the store may be unavailable without entries expiring.

        An entry may have been renewed last up to one interval before the store
        became unavailable.
        """
        return 2 * self.upstream_seconds


@dataclass(frozen=True, slots=True)
class Gap:
    """A setting that is missing from the file.

    Attributes:
        name: Its name in the file.
        used: The default used instead.
    """

    name: str
    used: float

    def __str__(self) -> str:
        """Return `name:used`."""
        return f'{self.name}:{self.used:g}'


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """The settings that a gateway reads from its file.

    Attributes:
        name: Name of this host.
        address: Its IP address.
        zone: Its availability zone.
        zones: Region of each zone.
        callers: Listener for callers' requests.
        ready: Listener for readiness checks.
        control: Listener whose address other hosts use as a seed.
        lookups: Listener for look-ups.
        metrics: Listener for scrapes of metrics.
        fleet_ports: First and last port for traffic between entry hosts.
        seeds: Addresses (`ip:port`) of entry hosts to contact at start.
        store: Address (`ip:port`) of the platform's store.
        memory_bytes: Memory limit of the process.
        descriptors: Limit of open sockets and files.
        cores: Processor cores that this host may use.
        is_first_start: Whether the whole fleet starts for the first time.
        placement: The policy by which upstreams are chosen.
        switched_off: Mechanisms that are disabled.
        bounds: Limits that the fleet has to keep.
        organisation_bounds: Limits that apply where requests need API keys.
        rollout_bounds: Limits of roll-outs of versions; None if roll-outs are
            not in use.
        heartbeat: How often upstreams renew their entries.
        gaps: Settings that are missing from the file, with their defaults.
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
    rollout_bounds: RolloutBounds | None = None
    heartbeat: Heartbeat = Heartbeat()
    gaps: tuple[Gap, ...] = ()

    @property
    def region(self) -> str:
        """The region of this host's zone."""
        return self.zones[self.zone]

    @property
    def update_bound_seconds(self) -> float:
        """The shortest time within which an update must take effect."""
        bounds = self.bounds
        return min(
            bounds.drain_seconds,
            bounds.apply_seconds,
            bounds.evacuate_seconds,
        )

    @property
    def timing(self) -> Timing:
        """The intervals and timeouts by which this host keeps its bounds."""
        return timing_for(
            self.update_bound_seconds, self.bounds.contact_seconds
        )

    def uses(self, mechanism: Mechanism) -> bool:
        """Return whether a mechanism is enabled."""
        return mechanism not in self.switched_off

    def is_in_region(self, zone: str) -> bool:
        """Return whether a zone is in the region of this host."""
        return self.zones.get(zone) == self.region


@dataclass(slots=True)
class LiveSettings:
    """The settings in force; replaced as a whole when the file changes.

    Changes of addresses and ports have no effect until the process restarts,
    since its sockets are bound. Zones, bounds and the placement policy are read
    at each use.

    Attributes:
        current: The settings in force.
    """

    current: GatewaySettings
