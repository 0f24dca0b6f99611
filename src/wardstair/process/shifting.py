"""Paces the shifts that start in this region, on this host's look-ups."""

import time

from wardstair.decisions.shifts import ShiftRamp, TargetView, next_ramp
from wardstair.process.fleet import Fleet
from wardstair.process.log import log_event
from wardstair.request.lookup import ShiftShare
from wardstair.version.resources import shifts_to
from wardstair.version.topology import CappedShift, Topology

SETTLE_FACTOR = 1.5


class ShiftRampController:
    """Keeps the pace of each shift in force."""

    def __init__(self, fleet: Fleet) -> None:
        """Start without shifts.

        Args:
            fleet: Reports of the targets.
        """
        self.paces: dict[str, ShiftRamp] = {}
        self._fleet = fleet

    def decide(
        self,
        topology: Topology,
    ) -> dict[tuple[str, str], ShiftShare]:
        """Return the shares of look-ups by workload and source region."""
        now = time.monotonic()
        names = {shift.name for shift in topology.shifts}
        for gone in self.paces.keys() - names:
            self.paces.pop(gone)
        return {
            (shift.workload, shift.source): ShiftShare(
                shift.target,
                self._paced(topology, shift, now).per_mille,
            )
            for shift in topology.shifts
        }

    def _paced(
        self,
        topology: Topology,
        shift: CappedShift,
        now: float,
    ) -> ShiftRamp:
        before = self.paces.get(shift.name, ShiftRamp())
        settle = topology.document.lookup_ttl_seconds * SETTLE_FACTOR
        target = self._target(topology, shift)
        pace = next_ramp(before, target, shift.cap, settle, now)
        self.paces[shift.name] = pace
        if pace.per_mille != before.per_mille:
            log_event(
                'shift-paced',
                shift=shift.name,
                per_mille=pace.per_mille,
                movement=pace.movement,
                in_flight=target.in_flight,
                free=target.free,
            )
        return pace

    def _target(self, topology: Topology, shift: CappedShift) -> TargetView:
        there = shifts_to(topology, shift.target)
        position = [one.name for one in there].index(shift.name)
        zones = [
            zone
            for zone, region in topology.zone_regions.items()
            if region == shift.target
        ]
        moved = [self._fleet.moved_in(zone, position) for zone in zones]
        ages = [self._fleet.report_age(zone) for zone in zones]
        is_known = bool(zones) and None not in moved
        return TargetView(
            in_flight=sum(count or 0 for count in moved),
            slots=sum(topology.slots(shift.workload, zone) for zone in zones),
            free=sum(
                self._fleet.far_free(zone, shift.workload) for zone in zones
            ),
            age=max(ages) if is_known else float('inf'),
        )
