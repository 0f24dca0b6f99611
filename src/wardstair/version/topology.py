"""Indexes that are derived once from an accepted steering configuration."""

from dataclasses import dataclass, field

from wardstair.decisions.blocks import (
    NO_SITE,
    Block,
    BlockTable,
    build_table,
)
from wardstair.version.document import (
    DrainModel,
    HostModel,
    PolicyModel,
    SteeringDocument,
    UpstreamModel,
    WorkloadModel,
)


@dataclass(frozen=True)
class Route:
    """A route with its workload.

    Attributes:
        methods: HTTP methods that it matches.
        prefix: Path prefix that it matches.
        is_once: Whether its requests may run at most once.
        workload: The workload that its requests belong to.
    """

    methods: frozenset[str]
    prefix: str
    is_once: bool
    workload: WorkloadModel


@dataclass(frozen=True)
class CappedShift:
    """A move of a workload's traffic between regions.

    Attributes:
        name: Name of the shift.
        workload: Workload whose traffic moves.
        source: Region that the traffic comes from.
        target: Region that the traffic goes to.
        cap: Maximum number of moved requests in flight in the target region.
    """

    name: str
    workload: str
    source: str
    target: str
    cap: int


@dataclass(frozen=True)
class Topology:
    """An accepted version with the indexes for handling requests.

    Attributes:
        version: Version of the configuration; it never decreases.
        document: The configuration itself.
        routes: Routes, longest prefix first.
        table: Block table, which maps addresses to site numbers.
        site_regions: Region of each site, by site number.
        zone_regions: Region of each zone, by name.
        upstreams: Upstreams by name, drained ones included.
        hosts: Entry hosts by name, drained ones included.
        shifts: Shifts of traffic between regions.
        policies: Steering policies by workload.
        drained: Upstreams, hosts, zones and regions that are drained.
    """

    version: int
    document: SteeringDocument
    routes: tuple[Route, ...]
    table: BlockTable
    site_regions: tuple[str, ...]
    zone_regions: dict[str, str]
    upstreams: dict[str, UpstreamModel]
    hosts: dict[str, HostModel]
    shifts: tuple[CappedShift, ...]
    policies: dict[str, PolicyModel]
    drained: frozenset[DrainModel] = field(default_factory=frozenset)
    _serving: dict[tuple[str, str], tuple[UpstreamModel, ...]] = field(
        default_factory=dict,
    )
    _slots: dict[tuple[str, str], int] = field(default_factory=dict)
    _zone_hosts: dict[str, tuple[HostModel, ...]] = field(
        default_factory=dict,
    )

    def find_route(self, method: str, path: str) -> Route | None:
        """Return the route of a request, or None."""
        for route in self.routes:
            if path.startswith(route.prefix) and method in route.methods:
                return route
        return None

    def caller_region(self, address: int) -> str | None:
        """Return the region that serves the site of a caller's address."""
        site = self.table.find_site(address)
        if site == NO_SITE:
            return None
        return self.site_regions[site]

    def serving(
        self,
        workload: str,
        zone: str,
    ) -> tuple[UpstreamModel, ...]:
        """Return the upstreams of a workload in a zone that are not drained."""
        return self._serving.get((workload, zone), ())

    def slots(self, workload: str, zone: str) -> int:
        """Return the slots of the serving upstreams of a workload in a zone."""
        return self._slots.get((workload, zone), 0)

    def is_upstream_drained(self, upstream: UpstreamModel) -> bool:
        """Return whether the upstream, its zone or its region is drained."""
        return self._has_drain(
            ('upstream', upstream.name),
            ('zone', upstream.zone),
            ('region', self.zone_regions[upstream.zone]),
        )

    def is_host_drained(self, host: HostModel) -> bool:
        """Return whether the host, its zone or its region is drained."""
        return self._has_drain(
            ('host', host.name),
            ('zone', host.zone),
            ('region', self.zone_regions[host.zone]),
        )

    def zone_hosts(self, zone: str) -> tuple[HostModel, ...]:
        """Return the entry hosts of a zone, sorted by name."""
        return self._zone_hosts.get(zone, ())

    def __post_init__(self) -> None:
        """Index the upstreams by workload and zone, and the hosts by zone."""
        for upstream in self.upstreams.values():
            if self.is_upstream_drained(upstream):
                continue
            key = (upstream.workload, upstream.zone)
            self._serving[key] = (*self._serving.get(key, ()), upstream)
            self._slots[key] = self.slots(*key) + upstream.slots
        for host in sorted(self.hosts.values(), key=lambda host: host.name):
            indexed = self._zone_hosts.get(host.zone, ())
            self._zone_hosts[host.zone] = (*indexed, host)

    def _has_drain(self, *targets: tuple[str, str]) -> bool:
        return any(
            (drain.kind, drain.name) in targets for drain in self.drained
        )


def build_topology(
    version: int,
    document: SteeringDocument,
    table: BlockTable | None = None,
) -> Topology:
    """Derive the indexes of a version.

    Args:
        version: Version of the accepted configuration.
        document: The checked configuration.
        table: Block table, if it has already been built from parts; None to
            build it from the blocks of the document.
    """
    site_numbers = {
        site.name: index for index, site in enumerate(document.sites)
    }
    return Topology(
        version=version,
        document=document,
        routes=_routes(document),
        table=table
        or build_table(
            Block(block.network, site_numbers[block.site])
            for block in document.blocks
        ),
        site_regions=tuple(site.region for site in document.sites),
        zone_regions={zone.name: zone.region for zone in document.zones},
        upstreams={upstream.name: upstream for upstream in document.upstreams},
        hosts={host.name: host for host in document.hosts},
        shifts=tuple(
            CappedShift(
                shift.name,
                shift.workload,
                shift.source,
                shift.target,
                shift.cap,
            )
            for shift in document.shifts
        ),
        policies={policy.workload: policy for policy in document.policies},
        drained=frozenset(document.drains),
    )


def _routes(document: SteeringDocument) -> tuple[Route, ...]:
    routes = [
        Route(
            frozenset(route.methods),
            route.prefix,
            route.repeat == 'once',
            workload,
        )
        for workload in document.workloads
        for route in workload.routes
    ]
    return tuple(sorted(routes, key=lambda route: -len(route.prefix)))
