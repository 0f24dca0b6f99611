"""Fleet membership, from heartbeats in a zone and reports of other zones.

Inside a zone every host sends its heartbeat to the others and forwards those
that it received, so a broken link between two hosts does not make either look
dead. Between zones, a few hosts exchange one report for each zone.
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
    """State of a host, as seen by this host."""

    live = 'live'
    suspect = 'suspect'
    dead = 'dead'


@dataclass(frozen=True)
class HostRow:
    """What a host reports about itself in a heartbeat.

    Attributes:
        name: Name of the host.
        incarnation: Its incarnation; later ones sort higher.
        beat: Sequence number of the heartbeat.
        version: Version of the configuration that the host has in force.
        config_age: Seconds since that version was known to be the newest.
        shares: Version of the zone's shares that the host has adopted.
        leaving: Whether the host is leaving.
        free: Requests that the host could start now, by workload in order.
        moved: Requests in flight on the host for each shift to its region, in
            order.
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
    """What an upstream reported when a host of the zone probed it.

    Attributes:
        upstream: Name of the upstream.
        load: Load that it reported.
        is_leaving: Whether it reported that it is leaving.
    """

    upstream: str
    load: float
    is_leaving: bool


@dataclass
class Member:
    """A host and the time at which its last heartbeat was received."""

    row: HostRow
    heard_at: float


@dataclass
class MemberTable:
    """The hosts of this host's zone.

    Attributes:
        members: Hosts by name.
    """

    members: dict[str, Member] = field(default_factory=dict)

    def apply(self, row: HostRow, now: float) -> bool:
        """Apply a heartbeat; return whether it was newer than the known one."""
        member = self.members.get(row.name)
        if member is not None and member.row.age_order >= row.age_order:
            return False
        self.members[row.name] = Member(row, now)
        return True

    def state_of(self, name: str, now: float) -> HostState:
        """Return the state of a host."""
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
        """Return the rows of the hosts in the given states, sorted by name."""
        return [
            member.row
            for name, member in sorted(self.members.items())
            if self.state_of(name, now) in states
        ]

    def freshest(self, most: int, now: float) -> list[HostRow]:
        """Return the most recently received rows, to be forwarded."""
        live = [
            member
            for member in self.members.values()
            if now - member.heard_at < SUSPECT_SECONDS
        ]
        live.sort(key=lambda member: -member.heard_at)
        return [member.row for member in live[:most]]

    def forgive_pause(self, gap: float) -> None:
        """Advance all times by the length of a pause of this process.

        During such a pause no heartbeat is processed, so all other hosts would
        look silent.
        """
        for member in self.members.values():
            member.heard_at += gap


@dataclass(frozen=True)
class FarHost:
    """A host of another zone, as reported by that zone."""

    name: str
    incarnation: str
    leaving: bool


@dataclass(frozen=True)
class ZoneReport:
    """What a zone reports about itself to the other zones.

    Attributes:
        zone: Name of the zone.
        number: Increases with each report; wall clock time in milliseconds.
        age: Seconds since the report was made, summed over the hosts that
            forwarded it.
        version: Lowest version in force in the zone.
        free: Requests that the zone could start now, by workload in order.
        hosts_digest: Digest of the list of its hosts.
        moved: Requests in flight there for each shift to its region, in order.
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
    """The reports of all zones and the host lists that they refer to."""

    zones: dict[str, _KnownZone] = field(default_factory=dict)
    hosts: dict[bytes, tuple[FarHost, ...]] = field(default_factory=dict)

    def apply(self, report: ZoneReport, now: float) -> bool:
        """Apply a report; return whether it was newer than the known one."""
        known = self.zones.get(report.zone)
        if known is not None and known.report.number >= report.number:
            return False
        self.zones[report.zone] = _KnownZone(report, now - report.age)
        return True

    def add_hosts(self, hosts: tuple[FarHost, ...]) -> None:
        """Add a list of hosts; drop the lists that no report refers to."""
        self.hosts[hosts_digest(hosts)] = hosts
        named = {known.report.hosts_digest for known in self.zones.values()}
        for digest in self.hosts.keys() - named:
            if digest != hosts_digest(hosts):
                self.hosts.pop(digest)

    def missing_hosts(self) -> list[bytes]:
        """Return digests of host lists that are referred to but missing."""
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
        """Return the report of a zone, or None if it is missing or stale."""
        if self.age_of(zone, now) > REPORT_STALE_SECONDS:
            return None
        return self.zones[zone].report

    def hosts_of(self, zone: str) -> tuple[FarHost, ...]:
        """Return the hosts in a zone's last report, regardless of its age."""
        known = self.zones.get(zone)
        if known is None:
            return ()
        return self.hosts.get(known.report.hosts_digest, ())

    def outgoing(self, now: float) -> list[ZoneReport]:
        """Return the reports that are not stale, with their current ages."""
        return [
            replace(known.report, age=now - known.heard_at)
            for known in self.zones.values()
            if now - known.heard_at < REPORT_STALE_SECONDS
        ]


def hosts_digest(hosts: Iterable[FarHost]) -> bytes:
    """Return the digest that identifies a list of hosts."""
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
    """Choose hosts for a purpose, with the same result on every host.

    Uses rendezvous hashing (highest random weight): when a host leaves, only
    its own place is reassigned.

    Args:
        names: Hosts to choose from.
        purpose: What the hosts are chosen for; part of the hash input.
        count: Number of hosts to choose.
    """
    ranked = sorted(
        names,
        key=lambda name: (xxh64_intdigest(f'{purpose} {name}'.encode()), name),
        reverse=True,
    )
    return ranked[:count]
