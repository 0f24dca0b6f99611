"""The capacities of one zone under one version."""

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

SETTLE_UNBOUNDED_SECONDS = 5.0
HOLD_MARGIN_SECONDS = 1.0


@dataclass(frozen=True)
class Resource:
    """One capacity of the zone.

    Attributes:
        name: Its name in the shares.
        workload: The workload it serves.
        size: Its tokens.
        hold_seconds: Most seconds that work holds one, or None.
    """

    name: str
    workload: str
    size: int
    hold_seconds: float | None

    @property
    def settle_seconds(self) -> float:
        """Seconds that a new owner of a token waits out.

        Infinite where work has no longest time: there the other hosts have
        to say what they hold.
        """
        if self.hold_seconds is None:
            return float('inf')
        return settle_seconds(self.hold_seconds)

    @property
    def orphaned_work_seconds(self) -> float:
        """Seconds in which an upstream may still work for a dead host."""
        if self.hold_seconds is None:
            # An upload ends when its connection breaks.
            return SETTLE_UNBOUNDED_SECONDS
        return self.hold_seconds


def zone_resources(topology: Topology, zone: str) -> dict[str, Resource]:
    """Return the capacities of a zone, by name.

    Args:
        topology: The version.
        zone: The zone.
    """
    found = [
        *_upstreams(topology, zone),
        *_outside(topology, zone),
        *_shifts(topology, zone),
    ]
    return {resource.name: resource for resource in found}


def shifts_to(topology: Topology, region: str) -> tuple[ActiveShift, ...]:
    """Return the shifts that bring traffic to a region."""
    return tuple(
        ActiveShift(shift.name, shift.workload, shift.source, shift.cap)
        for shift in topology.shifts
        if shift.target == region
    )


def _hold(workload: WorkloadModel) -> float | None:
    if workload.deadline_seconds is None:
        return None
    return workload.deadline_seconds + HOLD_MARGIN_SECONDS


def _upstreams(topology: Topology, zone: str) -> Iterator[Resource]:
    holds = {one.name: _hold(one) for one in topology.document.workloads}
    for model in topology.upstreams.values():
        if model.zone == zone:
            yield Resource(
                model.name,
                model.workload,
                model.slots,
                holds[model.workload],
            )


def _outside(topology: Topology, zone: str) -> Iterator[Resource]:
    region = topology.zone_regions[zone]
    share = next(
        one.outside_share
        for one in topology.document.regions
        if one.name == region
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
            _hold(workload),
        )


def _shifts(topology: Topology, zone: str) -> Iterator[Resource]:
    region = topology.zone_regions[zone]
    zones = sorted(
        name for name, own in topology.zone_regions.items() if own == region
    )
    workloads = {one.name: one for one in topology.document.workloads}
    for shift in shifts_to(topology, region):
        yield Resource(
            shift_resource(shift.name),
            shift.workload,
            zone_part(shift.cap, zones, zone),
            _hold(workloads[shift.workload]),
        )
