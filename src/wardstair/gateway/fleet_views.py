"""Maintains the views of the fleet by which requests are placed."""

from wardstair.decisions.cold_upstreams import UNSETTLED_FLEET_SIZE, HostView
from wardstair.decisions.fleet_rate import LoadView
from wardstair.decisions.timing import SETTLE_SECONDS
from wardstair.fleet.loads import FleetLoads
from wardstair.fleet.members import Members
from wardstair.gateway.choosing import Chooser
from wardstair.process.log import log_event

# Time until this host knows a host of each zone. With 62 zones it took 32
# heartbeats.
ZONE_DISCOVERY_SECONDS = 45.0


class FleetViews:
    """Keeps the views of the fleet up to date; one per process.

    Attributes:
        settle_seconds: Time in seconds until this host knows the others.
    """

    def __init__(
        self,
        members: Members,
        loads: FleetLoads,
        chooser: Chooser,
    ) -> None:
        """Create the views of a host that starts now.

        Args:
            members: The other hosts.
            loads: The load of the other hosts.
            chooser: Uses the views to place requests.
        """
        self.settle_seconds = SETTLE_SECONDS
        self._members = members
        self._loads = loads
        self._chooser = chooser
        self._started_at = members.clock()

    @property
    def is_settled(self) -> bool:
        """Whether this host has run long enough to know the others."""
        age = self._members.clock() - self._started_at
        return age > self.settle_seconds

    def refresh(self) -> None:
        """Update the views from the hosts that are known and live."""
        before = self._chooser.view
        self._chooser.view = self._view()
        if self._chooser.view.is_settled and not before.is_settled:
            self._log_settled(self._chooser.view)
        self.refresh_loads()

    def refresh_loads(self) -> None:
        """Update the load by which limits are divided among hosts."""
        view = self._chooser.view
        own = self._members.own
        if self._chooser.limited_sends.is_idle:
            # Discard the load, so that a later limit is not divided by old
            # figures.
            self._chooser.load_view = LoadView(own.name, own.zone)
            return
        self._chooser.load_view = self._loads.view(
            is_settled=view.is_settled,
            knows_zones=view.knows_zones,
        )

    def _view(self) -> HostView:
        members = self._members
        is_settled = members.knows_fleet(self.settle_seconds)
        # A host that gets no answer but the store's takes the fleet size from
        # the registry there.
        is_fleet_counted = is_settled or members.registered_size > 1
        min_fleet_size = 0 if is_fleet_counted else UNSETTLED_FLEET_SIZE
        return HostView(
            own=members.own.name,
            zone=members.own.zone,
            live=sorted(members.live_in_zone()),
            known=sorted(members.known_in_zone()),
            fleet_size=max(members.fleet_size, min_fleet_size),
            zones=frozenset(members.zones()),
            is_settled=is_settled,
            knows_zones=members.knows_fleet(ZONE_DISCOVERY_SECONDS),
        )

    def _log_settled(self, view: HostView) -> None:
        log_event(
            'fleet-known',
            live=len(view.live),
            known=len(view.known),
            fleet=view.fleet_size,
            zones=','.join(sorted(view.zones)),
            after=round(self._members.clock() - self._started_at, 2),
        )
