"""What is derived once from an accepted steering configuration."""

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
    """One route with the workload that it belongs to."""

    methods: frozenset[str]
    prefix: str
    is_once: bool
    workload: WorkloadModel


@dataclass(frozen=True)
class CappedShift:
    """A shift in force."""

    name: str
    workload: str
    source: str
    target: str
    cap: int


@dataclass(frozen=True)
class Topology:
    """An accepted version with the indexes that requests need.

    Attributes:
        version: Version of the configuration; it only grows.
        document: The configuration itself.
        routes: Routes, longest prefix first.
        table: Block table from address to site number.
        site_regions: Region of each site, by site number.
        zone_regions: Region of each zone, by name.
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
        """Return the upstreams of a workload in a zone, drained ones not."""
        return self._serving.get((workload, zone), ())

    def slots(self, workload: str, zone: str) -> int:
        """Return the slots of the upstreams that serve a workload there."""
        return self._slots.get((workload, zone), 0)

    def is_upstream_drained(self, upstream: UpstreamModel) -> bool:
        """Return whether an order drains the upstream or its place."""
        return self._has_drain(
            ('upstream', upstream.name),
            ('zone', upstream.zone),
            ('region', self.zone_regions[upstream.zone]),
        )

    def is_host_drained(self, host: HostModel) -> bool:
        """Return whether an order drains the host or its place."""
        return self._has_drain(
            ('host', host.name),
            ('zone', host.zone),
            ('region', self.zone_regions[host.zone]),
        )

    def zone_hosts(self, zone: str) -> tuple[HostModel, ...]:
        """Return the entry hosts of a zone, by name."""
        return self._zone_hosts.get(zone, ())

    def __post_init__(self) -> None:
        """Index upstreams and hosts by place, once a version."""
        for upstream in self.upstreams.values():
            if self.is_upstream_drained(upstream):
                continue
            place = (upstream.workload, upstream.zone)
            self._serving[place] = (*self._serving.get(place, ()), upstream)
            self._slots[place] = self.slots(*place) + upstream.slots
        for host in sorted(self.hosts.values(), key=lambda one: one.name):
            here = self._zone_hosts.get(host.zone, ())
            self._zone_hosts[host.zone] = (*here, host)

    def _has_drain(self, *places: tuple[str, str]) -> bool:
        return any((drain.kind, drain.name) in places for drain in self.drained)


def build_topology(
    version: int,
    document: SteeringDocument,
    table: BlockTable | None = None,
) -> Topology:
    """Derive the indexes of a version.

    Args:
        version: Version of the accepted configuration.
        document: The checked configuration.
        table: Block table, if it was built from parts already.
    """
    numbers = {site.name: index for index, site in enumerate(document.sites)}
    return Topology(
        version=version,
        document=document,
        routes=_routes(document),
        table=table
        or build_table(
            Block(block.network, numbers[block.site])
            for block in document.blocks
        ),
        site_regions=tuple(site.region for site in document.sites),
        zone_regions={zone.name: zone.region for zone in document.zones},
        upstreams={one.name: one for one in document.upstreams},
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
