"""Load of the fleet's hosts and zones, from their heartbeats.

Every heartbeat contains the load of its sender. While a limit has to be divided
between hosts, relays also report the load of their zone to other zones, and the
load of other zones to their own.
"""

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from wardstair.decisions.fleet_rate import LoadView
from wardstair.fleet.heartbeats import HeartbeatDatagram, ZoneLoad
from wardstair.fleet.members import FORGOTTEN_SECONDS, GONE_SECONDS, Members

# Time constant of the average load that a host reports. With a shorter one the
# shares would fluctuate randomly, with a longer one they would lag behind
# demand.
LOAD_SECONDS = 3.0
# Maximum number of zones reported in one heartbeat within a zone; if there are
# more, they take turns. This limits the traffic of relays in large fleets.
MAX_REPORTED_ZONES = 16
# Time until the loads of all zones have arrived once the first limit is known:
# two heartbeats to other zones, then four within the zone for 62 zones, and one
# that is lost.
ZONE_REPORTS_SECONDS = 7.0


@dataclass(frozen=True, slots=True)
class _LoadReport:
    """The last report of a zone's load.

    Attributes:
        load: Requests per second.
        at: Monotonic time of the report.
        is_direct: Whether a relay of that zone sent the report.
    """

    load: float
    at: float
    is_direct: bool


@dataclass(slots=True)
class FleetLoads:
    """Load by host and zone; one instance per process.

    Attributes:
        members: The other hosts.
        regions: Returns the region of each zone of the deployment.
        is_needed: Returns whether any limit has to be divided by load.
    """

    members: Members
    regions: Callable[[], Mapping[str, str]]
    is_needed: Callable[[], bool]
    _count: int = 0
    _stepped_at: float | None = None
    _needed_since: float | None = None
    _zones: dict[str, _LoadReport] = field(default_factory=dict)
    _turn: int = 0

    def note_request(self) -> None:
        """Count a request from a caller."""
        self._count += 1

    def step(self) -> None:
        """Update this host's own load; to be called twice a second."""
        now = self.members.clock()
        if self._stepped_at is not None and now > self._stepped_at:
            seconds = now - self._stepped_at
            share = 1 - math.exp(-seconds / LOAD_SECONDS)
            rate = self._count / seconds
            self.members.load += share * (rate - self.members.load)
        self._count = 0
        self._stepped_at = now
        if not self.is_needed():
            self._needed_since = None
        elif self._needed_since is None:
            self._needed_since = now

    def record(self, heartbeat: HeartbeatDatagram) -> None:
        """Store the loads of zones from a heartbeat."""
        now = self.members.clock()
        for report in heartbeat.zone_loads:
            is_direct = report.zone == heartbeat.sender.zone
            if report.zone == self.members.own.zone:
                continue
            if not is_direct and self._is_reported_directly(report.zone):
                continue
            self._zones[report.zone] = _LoadReport(report.load, now, is_direct)

    def _is_reported_directly(self, zone: str) -> bool:
        known = self._zones.get(zone)
        if known is None or not known.is_direct:
            return False
        return self.members.clock() - known.at < FORGOTTEN_SECONDS

    def reported(self, *, to_others: bool) -> tuple[ZoneLoad, ...]:
        """Return the loads of zones for this host's heartbeat.

        Args:
            to_others: Whether the heartbeat goes to other zones.
        """
        if not self.is_needed() or not self.members.is_relay:
            return ()
        if to_others:
            own = sum(self._own_hosts().values())
            return (ZoneLoad(self.members.own.zone, own),)
        known = [
            ZoneLoad(zone, report.load)
            for zone, report in self._zones.items()
            if self._is_reported_directly(zone)
        ]
        if len(known) <= MAX_REPORTED_ZONES:
            return tuple(known)
        turns = range(self._turn, self._turn + MAX_REPORTED_ZONES)
        self._turn += MAX_REPORTED_ZONES
        return tuple(known[turn % len(known)] for turn in turns)

    def view(self, *, is_settled: bool, knows_zones: bool) -> LoadView:
        """Return the current loads by which a limit is divided.

        Args:
            is_settled: Whether this host had time to learn the hosts of its
                zone.
            knows_zones: Whether it had time to learn of all zones.
        """
        members = self.members
        hosts = self._own_hosts()
        heard = {members.own.zone: sum(hosts.values())}
        silent = self._silent_load()
        now = members.clock()
        for zone, report in self._zones.items():
            age = now - report.at
            if age < FORGOTTEN_SECONDS:
                heard[zone] = report.load
            elif age < GONE_SECONDS:
                silent += report.load
        mean = sum(heard.values()) / len(heard)
        for zone in self._unreported_zones(knows_zones=knows_zones):
            heard.setdefault(zone, mean)
        return LoadView(
            own=members.own.name,
            zone=members.own.zone,
            hosts=hosts,
            zones=heard,
            regions=self.regions(),
            silent_load=silent,
            is_settled=is_settled,
        )

    def _own_hosts(self) -> dict[str, float]:
        """Return the load of this zone's hosts, also of recently silent ones.

        A host that is cut off may go on for a while, so its share is not given
        to others at once. If it has stopped, only its share stays unused.
        """
        members = self.members
        hosts = {
            one.peer.name: one.load
            for one in members.in_zone(members.own.zone)
            if members.is_heard(one, FORGOTTEN_SECONDS) and not one.is_leaving
        }
        if not members.is_leaving:
            hosts[members.own.name] = members.load
        return hosts

    def _silent_load(self) -> float:
        members = self.members
        return sum(
            one.load
            for one in members.in_zone(members.own.zone)
            if one.run
            and not one.is_leaving
            and not members.is_heard(one, FORGOTTEN_SECONDS)
        )

    def _unreported_zones(self, *, knows_zones: bool) -> Iterable[str]:
        """Return zones that may have load but have not reported it."""
        since = self._needed_since
        is_new = (
            since is None or self.members.clock() - since < ZONE_REPORTS_SECONDS
        )
        if not knows_zones:
            return self.regions().keys()
        if not is_new:
            return ()
        return self.members.zones() - self._zones.keys()
