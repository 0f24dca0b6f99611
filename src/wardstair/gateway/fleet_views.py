"""What this host takes the fleet to be, for those that place requests by it."""

from wardstair.decisions.cold import UNSETTLED_FLEET_SIZE, HostView
from wardstair.decisions.fleet_rate import LoadView
from wardstair.decisions.timing import SETTLE_SECONDS
from wardstair.fleet.loads import FleetLoads
from wardstair.fleet.members import Members
from wardstair.gateway.choosing import Chooser
from wardstair.process.log import log_event

# Time to hear of a host in each zone, which took 32 heartbeats with 62 zones.
ZONE_DISCOVERY_SECONDS = 45.0


class FleetViews:
    """Keeps the views of the fleet up to date; one a process.

    Attributes:
        settle_seconds: Time that this host takes to know the others.
    """

    def __init__(
        self,
        members: Members,
        loads: FleetLoads,
        chooser: Chooser,
    ) -> None:
        """Prepare, for a host that starts now.

        Args:
            members: The other hosts.
            loads: Their load.
            chooser: Places requests by the views.
        """
        self.settle_seconds = SETTLE_SECONDS
        self._members = members
        self._loads = loads
        self._chooser = chooser
        self._started_at = members.clock()

    @property
    def is_settled(self) -> bool:
        """Whether this host has run for long enough to have heard others."""
        age = self._members.clock() - self._started_at
        return age > self.settle_seconds

    def refresh(self) -> None:
        """Let requests be placed by whom this host knows and hears now."""
        before = self._chooser.view
        self._chooser.view = self._view()
        if self._chooser.view.is_settled and not before.is_settled:
            self._tell(self._chooser.view)
        self.refresh_loads()

    def refresh_loads(self) -> None:
        """Let limits be divided by the load that hosts have told."""
        view = self._chooser.view
        own = self._members.own
        if self._chooser.limited_sends.is_idle:
            # The next limit is not divided by the load of hours before.
            self._chooser.load_view = LoadView(own.name, own.zone)
            return
        self._chooser.load_view = self._loads.view(
            is_settled=view.is_settled,
            knows_zones=view.knows_zones,
        )

    def _view(self) -> HostView:
        members = self._members
        is_settled = members.knows_fleet(self.settle_seconds)
        # Others have counted the fleet for a host that only the store answers.
        is_counted = is_settled or members.registered_size > 1
        least = 0 if is_counted else UNSETTLED_FLEET_SIZE
        return HostView(
            own=members.own.name,
            zone=members.own.zone,
            live=sorted(members.live_in_zone()),
            known=sorted(members.known_in_zone()),
            fleet_size=max(members.fleet_size, least),
            zones=frozenset(members.zones()),
            is_settled=is_settled,
            knows_zones=members.knows_fleet(ZONE_DISCOVERY_SECONDS),
        )

    def _tell(self, view: HostView) -> None:
        log_event(
            'fleet-known',
            live=len(view.live),
            known=len(view.known),
            fleet=view.fleet_size,
            zones=','.join(sorted(view.zones)),
            after=round(self._members.clock() - self._started_at, 2),
        )
