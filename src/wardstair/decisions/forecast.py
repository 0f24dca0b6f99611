"""Forecasts the effect of a planned drain or shift on the regions' load."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

# Highest share of the remaining slots in use at which a plan counts as safe.
SAFE_UTILIZATION = 0.9


@dataclass(frozen=True)
class ZoneLoad:
    """Slots of one workload in one zone.

    Attributes:
        zone: Name of the zone.
        region: Region of the zone.
        slots: Slots of the workload's upstreams in the zone.
        in_use: Number of them in use now.
    """

    zone: str
    region: str
    slots: int
    in_use: int


@dataclass(frozen=True)
class Forecast:
    """Slots that would remain for one workload in one region.

    Attributes:
        workload: Name of the workload.
        region: Name of the region.
        slots_left: Slots that would remain.
        needed: Slots that would be in use.
    """

    workload: str
    region: str
    slots_left: int
    needed: int

    @property
    def is_safe(self) -> bool:
        """Whether the remaining slots would carry the load with a margin.

        A region without slots is never safe, even if it is idle now.
        """
        has_capacity = self.needed <= self.slots_left * SAFE_UTILIZATION
        return self.slots_left > 0 and has_capacity


def forecast_drain(
    loads: Mapping[str, Iterable[ZoneLoad]],
    drained: Mapping[tuple[str, str], int],
) -> list[Forecast]:
    """Return forecasts for the regions that a drain affects.

    Args:
        loads: Slots and their use by zone, for each workload.
        drained: Slots that the drain removes, by workload and zone.
    """
    forecasts: list[Forecast] = []
    for workload, zones in loads.items():
        left: dict[str, int] = {}
        needed: dict[str, int] = {}
        affected: set[str] = set()
        for load in zones:
            removed = drained.get((workload, load.zone), 0)
            if removed:
                affected.add(load.region)
            left[load.region] = left.get(load.region, 0) + load.slots - removed
            needed[load.region] = needed.get(load.region, 0) + load.in_use
        forecasts.extend(
            Forecast(workload, region, left[region], needed[region])
            for region in sorted(affected)
        )
    return forecasts


def forecast_shift(
    loads: Iterable[ZoneLoad],
    workload: str,
    target: str,
    cap: int,
) -> list[Forecast]:
    """Return the forecast for the target region of a shift at its cap.

    Args:
        loads: Slots of the workload and their use in all zones.
        workload: Name of the workload.
        target: Region that receives the traffic.
        cap: Maximum number of requests in flight that the shift may add.
    """
    in_target = [load for load in loads if load.region == target]
    slots = sum(load.slots for load in in_target)
    in_use = sum(load.in_use for load in in_target)
    return [Forecast(workload, target, slots, in_use + cap)]
