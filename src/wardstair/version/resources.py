"""The capacities that the hosts of a zone share under one version."""

from collections.abc import Iterator
from dataclasses import dataclass

from wardstair.decisions.cross_region import (
    ActiveShift,
    cross_region_resource,
    cross_region_tokens,
    shift_resource,
    zone_part,
)
from wardstair.decisions.ledger import settle_seconds
from wardstair.version.document import WorkloadModel
from wardstair.version.topology import Topology

# Stands in for the holding time of work that has no deadline, such as uploads.
UNBOUNDED_ORPHAN_SECONDS = 5.0
HOLD_MARGIN_SECONDS = 1.0


@dataclass(frozen=True)
class Resource:
    """One capacity of the zone, divided into tokens.

    Attributes:
        name: Its name in the shares of the hosts.
        workload: The workload that it serves.
        size: Number of tokens.
        hold_seconds: Longest time in seconds for which work holds a token;
            None if unlimited.
    """

    name: str
    workload: str
    size: int
    hold_seconds: float | None

    @property
    def settle_seconds(self) -> float:
        """Seconds that a new owner waits before it uses a token.

        Infinite if work may hold a token for any time: the new owner then
        needs the other hosts' reports of the tokens that they hold.
        """
        if self.hold_seconds is None:
            return float('inf')
        return settle_seconds(self.hold_seconds)

    @property
    def orphaned_work_seconds(self) -> float:
        """Seconds for which upstreams may still run work of a dead host."""
        if self.hold_seconds is None:
            # Work without a deadline is an upload, which ends soon after its
            # connection breaks.
            return UNBOUNDED_ORPHAN_SECONDS
        return self.hold_seconds


def zone_resources(topology: Topology, zone: str) -> dict[str, Resource]:
    """Return the capacities of a zone, by name.

    Args:
        topology: Topology of the version.
        zone: Name of the zone.
    """
    resources = [
        *_upstream_resources(topology, zone),
        *_cross_region_resources(topology, zone),
        *_shift_resources(topology, zone),
    ]
    return {resource.name: resource for resource in resources}


def shifts_to(topology: Topology, region: str) -> tuple[ActiveShift, ...]:
    """Return the shifts that move traffic to a region."""
    return tuple(
        ActiveShift(shift.name, shift.workload, shift.source, shift.cap)
        for shift in topology.shifts
        if shift.target == region
    )


def _hold_seconds(workload: WorkloadModel) -> float | None:
    if workload.deadline_seconds is None:
        return None
    return workload.deadline_seconds + HOLD_MARGIN_SECONDS


def _upstream_resources(topology: Topology, zone: str) -> Iterator[Resource]:
    hold_seconds = {
        workload.name: _hold_seconds(workload)
        for workload in topology.document.workloads
    }
    for model in topology.upstreams.values():
        if model.zone == zone:
            yield Resource(
                model.name,
                model.workload,
                model.slots,
                hold_seconds[model.workload],
            )


def _cross_region_resources(
    topology: Topology,
    zone: str,
) -> Iterator[Resource]:
    region_name = topology.zone_regions[zone]
    share = next(
        region.outside_share
        for region in topology.document.regions
        if region.name == region_name
    )
    for workload in topology.document.workloads:
        slots = sum(
            model.slots
            for model in topology.upstreams.values()
            if model.zone == zone and model.workload == workload.name
        )
        yield Resource(
            cross_region_resource(workload.name),
            workload.name,
            cross_region_tokens(slots, share),
            _hold_seconds(workload),
        )


def _shift_resources(topology: Topology, zone: str) -> Iterator[Resource]:
    region = topology.zone_regions[zone]
    zones = sorted(
        name
        for name, zone_region in topology.zone_regions.items()
        if zone_region == region
    )
    workloads = {
        workload.name: workload for workload in topology.document.workloads
    }
    for shift in shifts_to(topology, region):
        yield Resource(
            shift_resource(shift.name),
            shift.workload,
            zone_part(shift.cap, zones, zone),
            _hold_seconds(workloads[shift.workload]),
        )
