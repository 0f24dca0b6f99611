"""Ramps the shifts that start in this region in this host's look-up answers."""

import time

from wardstair.decisions.shifts import ShiftRamp, TargetView, next_ramp
from wardstair.process.fleet import Fleet
from wardstair.process.log import log_event
from wardstair.request.lookup import ShiftShare
from wardstair.version.resources import shifts_to
from wardstair.version.topology import CappedShift, Topology

# Time until a step takes full effect, in lifetimes of a look-up answer.
SETTLE_FACTOR = 1.5


class ShiftRampController:
    """Controls the ramp of each shift in force."""

    def __init__(self, fleet: Fleet) -> None:
        """Create a controller without shifts.

        Args:
            fleet: Source of the reports from target regions.
        """
        self.ramps: dict[str, ShiftRamp] = {}
        self._fleet = fleet

    def decide(
        self,
        topology: Topology,
    ) -> dict[tuple[str, str], ShiftShare]:
        """Return the share of each shift, by workload and source region."""
        now = time.monotonic()
        names = {shift.name for shift in topology.shifts}
        for ended in self.ramps.keys() - names:
            self.ramps.pop(ended)
        return {
            (shift.workload, shift.source): ShiftShare(
                shift.target,
                self._advance(topology, shift, now).per_mille,
            )
            for shift in topology.shifts
        }

    def _advance(
        self,
        topology: Topology,
        shift: CappedShift,
        now: float,
    ) -> ShiftRamp:
        previous = self.ramps.get(shift.name, ShiftRamp())
        settle_seconds = topology.document.lookup_ttl_seconds * SETTLE_FACTOR
        target = self._target_view(topology, shift)
        ramp = next_ramp(previous, target, shift.cap, settle_seconds, now)
        self.ramps[shift.name] = ramp
        if ramp.per_mille != previous.per_mille:
            log_event(
                'shift-paced',
                shift=shift.name,
                per_mille=ramp.per_mille,
                movement=ramp.movement,
                in_flight=target.in_flight,
                free=target.free,
            )
        return ramp

    def _target_view(
        self, topology: Topology, shift: CappedShift
    ) -> TargetView:
        incoming = shifts_to(topology, shift.target)
        position = [other.name for other in incoming].index(shift.name)
        zones = [
            zone
            for zone, region in topology.zone_regions.items()
            if region == shift.target
        ]
        moved_in = [self._fleet.moved_in(zone, position) for zone in zones]
        ages = [self._fleet.report_age(zone) for zone in zones]
        is_known = bool(zones) and None not in moved_in
        return TargetView(
            in_flight=sum(count or 0 for count in moved_in),
            slots=sum(topology.slots(shift.workload, zone) for zone in zones),
            free=sum(
                self._fleet.free_in_zone(zone, shift.workload) for zone in zones
            ),
            age=max(ages) if is_known else float('inf'),
        )
