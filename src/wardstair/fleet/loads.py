"""The load of the fleet's hosts and zones, as they tell it in heartbeats.

Every heartbeat has its sender's load. While a limit has to be divided, relays
also tell other zones the load of their own, and their own zone that of others.
"""

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from wardstair.decisions.fleet_rate import LoadView
from wardstair.fleet.heartbeats import HeartbeatDatagram, ZoneLoad
from wardstair.fleet.members import FORGOTTEN_SECONDS, GONE_SECONDS, Members

# How far back requests count towards the load that a host tells. Shorter,
# chance would move parts to and fro; longer, they would follow callers late.
LOAD_SECONDS = 3.0
# Zones that one heartbeat inside a zone tells of; more take turns. With all of
# 62 a relay would send 22 KB a second to 18 hosts, with these 6 (by encoding).
MAX_REPORTED_ZONES = 16
# Time for the loads of all zones to be told once the first limit is known: two
# heartbeats to the other zones, and inside the zone four for 62 and one lost.
ZONE_REPORTS_SECONDS = 7.0


@dataclass(frozen=True, slots=True)
class _Told:
    """What was told of a zone.

    Attributes:
        load: Requests a second.
        at: When, in monotonic seconds.
        is_direct: Whether a relay of that zone told it itself.
    """

    load: float
    at: float
    is_direct: bool


@dataclass(slots=True)
class FleetLoads:
    """Load by host and zone; one a process.

    Attributes:
        members: The other hosts.
        regions: Region of each zone of the deployment.
        is_needed: Whether there is something to be divided by load.
    """

    members: Members
    regions: Callable[[], Mapping[str, str]]
    is_needed: Callable[[], bool]
    _count: int = 0
    _stepped_at: float | None = None
    _needed_since: float | None = None
    _zones: dict[str, _Told] = field(default_factory=dict)
    _turn: int = 0

    def note_request(self) -> None:
        """Count a request of a caller."""
        self._count += 1

    def step(self) -> None:
        """Bring this host's own load up to date; call it twice a second."""
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

    def record(self, beat: HeartbeatDatagram) -> None:
        """Take in what a heartbeat tells of zones."""
        now = self.members.clock()
        for told in beat.zone_loads:
            is_direct = told.zone == beat.sender.zone
            if told.zone == self.members.own.zone:
                continue
            if not is_direct and self._is_told_directly(told.zone):
                continue
            self._zones[told.zone] = _Told(told.load, now, is_direct)

    def _is_told_directly(self, zone: str) -> bool:
        known = self._zones.get(zone)
        if known is None or not known.is_direct:
            return False
        return self.members.clock() - known.at < FORGOTTEN_SECONDS

    def reported(self, *, to_others: bool) -> tuple[ZoneLoad, ...]:
        """Return what this host's heartbeat tells of zones.

        Args:
            to_others: Whether it goes to other zones.
        """
        if not self.is_needed() or not self.members.is_relay:
            return ()
        if to_others:
            own = sum(self._own_hosts().values())
            return (ZoneLoad(self.members.own.zone, own),)
        known = [
            ZoneLoad(zone, told.load)
            for zone, told in self._zones.items()
            if self._is_told_directly(zone)
        ]
        if len(known) <= MAX_REPORTED_ZONES:
            return tuple(known)
        turns = range(self._turn, self._turn + MAX_REPORTED_ZONES)
        self._turn += MAX_REPORTED_ZONES
        return tuple(known[turn % len(known)] for turn in turns)

    def view(self, *, is_settled: bool, knows_zones: bool) -> LoadView:
        """Return by what load a limit is divided now.

        Args:
            is_settled: Whether this host had time to know its zone.
            knows_zones: Whether it had time to hear of all zones.
        """
        members = self.members
        hosts = self._own_hosts()
        heard = {members.own.zone: sum(hosts.values())}
        silent = self._silent_hosts()
        now = members.clock()
        for zone, told in self._zones.items():
            age = now - told.at
            if age < FORGOTTEN_SECONDS:
                heard[zone] = told.load
            elif age < GONE_SECONDS:
                silent += told.load
        mean = sum(heard.values()) / len(heard)
        for zone in self._untold(knows_zones=knows_zones):
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
        """Return the load of this zone's hosts, those silent lately included.

        One that is cut off goes on for a while, so its part is not given to
        another at once; what it leaves is short of one part of one limit.
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

    def _silent_hosts(self) -> float:
        members = self.members
        return sum(
            one.load
            for one in members.in_zone(members.own.zone)
            if one.run
            and not one.is_leaving
            and not members.is_heard(one, FORGOTTEN_SECONDS)
        )

    def _untold(self, *, knows_zones: bool) -> Iterable[str]:
        """Return zones whose load is not told but may be there."""
        since = self._needed_since
        is_new = (
            since is None or self.members.clock() - since < ZONE_REPORTS_SECONDS
        )
        if not knows_zones:
            return self.regions().keys()
        if not is_new:
            return ()
        return self.members.zones() - self._zones.keys()
