"""Forecasts of the effect of orders, based on reports of the fleet."""

from collections.abc import Callable
from dataclasses import dataclass

from wardstair.decisions.forecast import (
    Forecast,
    ZoneLoad,
    forecast_drain,
    forecast_shift,
)
from wardstair.process.orders import Action, StartDrain, StartShift
from wardstair.version.document import DrainModel, UpstreamModel
from wardstair.version.topology import Topology


@dataclass(frozen=True)
class OrderForecast:
    """The expected effect of an order.

    Attributes:
        lines: Summary for operators, one line per workload and region.
        is_safe: Whether the remaining slots can serve the load.
    """

    lines: list[str]
    is_safe: bool


def forecast_order(
    topology: Topology,
    action: Action,
    free: Callable[[str, str], int],
) -> OrderForecast:
    """Forecast the effect of an order.

    Args:
        topology: The version in force.
        action: The action of the order.
        free: Returns the free slots of a zone for a workload, given zone and
            workload; 0 without a fresh report.
    """
    loads = {
        workload.name: [
            _zone_load(topology, zone, workload.name, free)
            for zone in topology.zone_regions
        ]
        for workload in topology.document.workloads
    }
    match action:
        case StartDrain(drain=drain):
            forecasts = forecast_drain(loads, _drained_slots(topology, drain))
        case StartShift(shift=shift):
            forecasts = forecast_shift(
                loads[shift.workload],
                shift.workload,
                shift.target,
                shift.cap,
            )
        case _:
            forecasts = []
    lines = [_summary_line(one) for one in forecasts]
    return OrderForecast(lines, all(one.is_safe for one in forecasts))


def _zone_load(
    topology: Topology,
    zone: str,
    workload: str,
    free: Callable[[str, str], int],
) -> ZoneLoad:
    slots = topology.slots(workload, zone)
    in_use = max(slots - free(zone, workload), 0)
    return ZoneLoad(zone, topology.zone_regions[zone], slots, in_use)


def _drained_slots(
    topology: Topology,
    drain: DrainModel,
) -> dict[tuple[str, str], int]:
    drained: dict[tuple[str, str], int] = {}
    for upstream in topology.upstreams.values():
        if _is_drained(topology, upstream, drain):
            place = (upstream.workload, upstream.zone)
            drained[place] = drained.get(place, 0) + upstream.slots
    return drained


def _is_drained(
    topology: Topology,
    upstream: UpstreamModel,
    drain: DrainModel,
) -> bool:
    match drain.kind:
        case 'upstream':
            return upstream.name == drain.name
        case 'zone':
            return upstream.zone == drain.name
        case 'region':
            return topology.zone_regions[upstream.zone] == drain.name
        case _:
            return False


def _summary_line(one: Forecast) -> str:
    verdict = 'fits' if one.is_safe else 'DOES NOT FIT'
    return (
        f'{one.workload} in {one.region}: {one.needed} in use, '
        f'{one.slots_left} slots left: {verdict}'
    )
