"""Who is in the fleet, from heartbeats of the zone and reports of others.

Inside a zone every host tells its heartbeat to the others, and passes on
those it heard, so a broken link between two hosts does not make either look
dead. Between zones, a few hosts exchange one report a zone.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from enum import StrEnum
from hashlib import blake2b

from xxhash import xxh64_intdigest

SUSPECT_SECONDS = 3.0
DEAD_SECONDS = 8.0
REPORT_STALE_SECONDS = 15.0
RELAYS_PER_ZONE = 2


class HostState(StrEnum):
    """How a host looks from here."""

    live = 'live'
    suspect = 'suspect'
    dead = 'dead'


@dataclass(frozen=True)
class HostRow:
    """What a host says of itself in a heartbeat.

    Attributes:
        name: Its name.
        incarnation: Its incarnation; later ones sort higher.
        beat: Counts its heartbeats.
        version: Version of the configuration it has in force.
        config_age: Seconds since that version was known to be the newest.
        shares: Version of the zone's shares that it has adopted.
        leaving: Whether it is leaving.
        free: Requests it could start now, by workload in order.
        moved: Requests in flight here by shifts to this region, in order.
    """

    name: str
    incarnation: str
    beat: int
    version: int
    config_age: float
    shares: int
    leaving: bool
    free: tuple[int, ...]
    moved: tuple[int, ...] = ()

    @property
    def age_order(self) -> tuple[str, int]:
        """Sort key: later heartbeats sort higher."""
        return self.incarnation, self.beat


@dataclass(frozen=True)
class UpstreamReport:
    """What an upstream said when a host of the zone probed it.

    Attributes:
        upstream: Its name.
        load: Load it reports.
        is_leaving: Whether it says that it is leaving.
    """

    upstream: str
    load: float
    is_leaving: bool


@dataclass
class Member:
    """A host and when its last heartbeat came."""

    row: HostRow
    heard_at: float


@dataclass
class MemberTable:
    """The hosts of one's own zone.

    Attributes:
        members: By name.
    """

    members: dict[str, Member] = field(default_factory=dict)

    def apply(self, row: HostRow, now: float) -> bool:
        """Take in a heartbeat; return whether it was news."""
        member = self.members.get(row.name)
        if member is not None and member.row.age_order >= row.age_order:
            return False
        self.members[row.name] = Member(row, now)
        return True

    def state_of(self, name: str, now: float) -> HostState:
        """Return how a host looks from here."""
        member = self.members.get(name)
        if member is None:
            return HostState.dead
        silence = now - member.heard_at
        if silence >= DEAD_SECONDS:
            return HostState.dead
        if silence >= SUSPECT_SECONDS:
            return HostState.suspect
        return HostState.live

    def in_state(self, now: float, *states: HostState) -> list[HostRow]:
        """Return the rows of hosts in the given states, by name."""
        return [
            member.row
            for name, member in sorted(self.members.items())
            if self.state_of(name, now) in states
        ]

    def freshest(self, most: int, now: float) -> list[HostRow]:
        """Return the rows heard last, to be passed on."""
        live = [
            member
            for member in self.members.values()
            if now - member.heard_at < SUSPECT_SECONDS
        ]
        live.sort(key=lambda member: -member.heard_at)
        return [member.row for member in live[:most]]

    def forgive_pause(self, gap: float) -> None:
        """Move all times on after a pause of this process.

        What looks like the silence of all others was one's own.
        """
        for member in self.members.values():
            member.heard_at += gap


@dataclass(frozen=True)
class FarHost:
    """A host of another zone as its zone reports it."""

    name: str
    incarnation: str
    leaving: bool


@dataclass(frozen=True)
class ZoneReport:
    """What a zone tells the others about itself.

    Attributes:
        zone: Its name.
        number: Grows with each report; wall clock milliseconds.
        age: Seconds since it was made, summed over the way here.
        version: Lowest version in force in the zone.
        free: Requests the zone could start now, by workload in order.
        hosts_digest: Digest of the list of its hosts.
        moved: Requests in flight there by shifts to its region, in order.
    """

    zone: str
    number: int
    age: float
    version: int
    free: tuple[int, ...]
    hosts_digest: bytes
    moved: tuple[int, ...] = ()


@dataclass
class _KnownZone:
    report: ZoneReport
    heard_at: float


@dataclass
class ZoneTable:
    """The reports of all zones, and the host lists that they name."""

    zones: dict[str, _KnownZone] = field(default_factory=dict)
    hosts: dict[bytes, tuple[FarHost, ...]] = field(default_factory=dict)

    def apply(self, report: ZoneReport, now: float) -> bool:
        """Take in a report; return whether it was news."""
        known = self.zones.get(report.zone)
        if known is not None and known.report.number >= report.number:
            return False
        self.zones[report.zone] = _KnownZone(report, now - report.age)
        return True

    def add_hosts(self, hosts: tuple[FarHost, ...]) -> None:
        """Take in a list of hosts and drop lists that no zone names."""
        self.hosts[hosts_digest(hosts)] = hosts
        named = {known.report.hosts_digest for known in self.zones.values()}
        for digest in self.hosts.keys() - named:
            if digest != hosts_digest(hosts):
                self.hosts.pop(digest)

    def missing_hosts(self) -> list[bytes]:
        """Return digests of host lists that are named but not here."""
        return [
            known.report.hosts_digest
            for known in self.zones.values()
            if known.report.hosts_digest not in self.hosts
        ]

    def age_of(self, zone: str, now: float) -> float:
        """Return the age of a zone's report in seconds, or infinity."""
        known = self.zones.get(zone)
        return float('inf') if known is None else now - known.heard_at

    def report_of(self, zone: str, now: float) -> ZoneReport | None:
        """Return a zone's report unless it is too old to act on."""
        if self.age_of(zone, now) > REPORT_STALE_SECONDS:
            return None
        return self.zones[zone].report

    def hosts_of(self, zone: str) -> tuple[FarHost, ...]:
        """Return the hosts of a zone by its last report, however old."""
        known = self.zones.get(zone)
        if known is None:
            return ()
        return self.hosts.get(known.report.hosts_digest, ())

    def outgoing(self, now: float) -> list[ZoneReport]:
        """Return all reports with their present ages."""
        return [
            replace(known.report, age=now - known.heard_at)
            for known in self.zones.values()
            if now - known.heard_at < REPORT_STALE_SECONDS
        ]


def hosts_digest(hosts: Iterable[FarHost]) -> bytes:
    """Return the digest that names a list of hosts."""
    digest = blake2b(digest_size=8)
    for host in hosts:
        line = f'{host.name} {host.incarnation} {host.leaving}\n'
        digest.update(line.encode())
    return digest.digest()


def rendezvous(
    names: Iterable[str],
    purpose: str,
    count: int,
) -> list[str]:
    """Choose hosts for a purpose, the same on every host that asks.

    Highest random weight: when a host leaves, only its own place changes.

    Args:
        names: Hosts to choose from.
        purpose: What they are chosen for.
        count: How many.
    """
    ranked = sorted(
        names,
        key=lambda name: (xxh64_intdigest(f'{purpose} {name}'.encode()), name),
        reverse=True,
    )
    return ranked[:count]
