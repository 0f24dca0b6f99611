"""What a planned stop or shift would do, before it is ordered."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

SAFE_SHARE = 0.9


@dataclass(frozen=True)
class ZoneLoad:
    """Use of one workload in one zone.

    Attributes:
        zone: Its name.
        region: Its region.
        slots: Slots of its upstreams.
        in_use: Slots in use now.
    """

    zone: str
    region: str
    slots: int
    in_use: int


@dataclass(frozen=True)
class Forecast:
    """What would remain for one workload in one region.

    Attributes:
        workload: Its name.
        region: The region.
        slots_left: Slots that would remain.
        needed: Slots in use now in the region.
    """

    workload: str
    region: str
    slots_left: int
    needed: int

    @property
    def is_safe(self) -> bool:
        """Whether the rest would carry it with something to spare.

        A region without any slot is never safe, even if it is idle now.
        """
        has_room = self.needed <= self.slots_left * SAFE_SHARE
        return self.slots_left > 0 and has_room


def forecast_drain(
    loads: Mapping[str, Iterable[ZoneLoad]],
    drained: Mapping[tuple[str, str], int],
) -> list[Forecast]:
    """Forecast the regions after a drain.

    Args:
        loads: Use by workload.
        drained: Slots that the drain takes away, by workload and zone.
    """
    forecasts: list[Forecast] = []
    for workload, zones in loads.items():
        left: dict[str, int] = {}
        needed: dict[str, int] = {}
        touched: set[str] = set()
        for load in zones:
            gone = drained.get((workload, load.zone), 0)
            if gone:
                touched.add(load.region)
            left[load.region] = left.get(load.region, 0) + load.slots - gone
            needed[load.region] = needed.get(load.region, 0) + load.in_use
        forecasts.extend(
            Forecast(workload, region, left[region], needed[region])
            for region in sorted(touched)
        )
    return forecasts


def forecast_shift(
    loads: Iterable[ZoneLoad],
    workload: str,
    target: str,
    cap: int,
) -> list[Forecast]:
    """Forecast the target region of a shift that reaches its cap.

    Args:
        loads: Use of the workload in all zones.
        workload: Its name.
        target: Region that traffic moves to.
        cap: Requests in flight that the shift may bring.
    """
    there = [load for load in loads if load.region == target]
    slots = sum(load.slots for load in there)
    in_use = sum(load.in_use for load in there)
    return [Forecast(workload, target, slots, in_use + cap)]
