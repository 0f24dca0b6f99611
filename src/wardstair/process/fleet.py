"""This host's view of the fleet, and the gossip that keeps it up to date."""

import asyncio
import time
from collections.abc import Callable, Sequence
from itertools import zip_longest
from random import Random

from wardstair.decisions.ledger import Identity
from wardstair.decisions.membership import (
    RELAYS_PER_ZONE,
    FarHost,
    HostRow,
    HostState,
    MemberTable,
    UpstreamReport,
    ZoneReport,
    ZoneTable,
    hosts_digest,
    rendezvous,
)
from wardstair.process.messages import (
    Heartbeat,
    HostsAsk,
    HostsGive,
    ZoneGossip,
)
from wardstair.process.peers import PeerAddress, PeerLinks
from wardstair.request.lookup import RankedHost
from wardstair.version.document import HostModel
from wardstair.version.topology import Topology

HEARTBEATS_PER_REPORT = 2
# A tick that is later than this shows that the process was paused.
PAUSE_THRESHOLD_SECONDS = 2.0
# Rows of other hosts that a heartbeat forwards.
MAX_FORWARDED_ROWS = 24
RECEIVERS_PER_HEARTBEAT = 6
ZONES_PER_GOSSIP = 2
MAX_AGE_SECONDS = 86400.0
_MILLISECONDS = 1000


class Fleet:
    """Hosts of this zone and reports of other zones, exchanged by gossip."""

    def __init__(
        self,
        me: Identity,
        zone: str,
        links: PeerLinks,
        random: Random,
        free: Callable[[str], int],
        heartbeat_seconds: float,
    ) -> None:
        """Start without other hosts.

        Args:
            me: This incarnation.
            zone: Zone of this host.
            links: Links to other hosts.
            random: Source of the choice of gossip partners.
            free: Returns how many requests of a workload this host could start.
            heartbeat_seconds: Seconds between heartbeats.
        """
        self.members = MemberTable()
        self.zones = ZoneTable()
        self.is_leaving = False
        self.on_update: Callable[[], None] = lambda: None
        self.config_age: Callable[[], float] = lambda: 0.0
        self.shares_version: Callable[[], int] = lambda: 0
        self.moved: Callable[[], tuple[int, ...]] = tuple
        self.take_reports: Callable[[], tuple[UpstreamReport, ...]] = tuple
        self._me = me
        self._zone = zone
        self._links = links
        self._random = random
        self._free = free
        self._heartbeat_seconds = heartbeat_seconds
        self._topology: Topology | None = None
        self._heartbeat_number = 0
        self._assigned_upstreams: list[str] = []
        self._assignment_inputs: object = None
        self._own_row = self.row()
        self._last_tick = time.monotonic()
        self._last_report = float('-inf')

    @property
    def is_relay(self) -> bool:
        """Whether this host is a relay of its zone now."""
        return self._me.name in self.relays()

    def adopt(self, topology: Topology) -> None:
        """Apply the hosts of a new version, and announce the version."""
        self._topology = topology
        self._links.keep_linked(
            [
                PeerAddress(host.name, host.peers)
                for host in topology.zone_hosts(self._zone)
            ],
        )
        self.broadcast_heartbeat()
        # The other zones are informed at once too: after a restart of the whole
        # fleet, hosts should not have to wait for the next report.
        now = time.monotonic()
        self._update_own_report(now)
        self._gossip(now)

    def relays(self) -> list[str]:
        """Return the hosts that gossip with other zones for this zone."""
        return rendezvous(self.live_names(), self._zone, RELAYS_PER_ZONE)

    def probed_here(self, upstreams: list[str]) -> list[str]:
        """Return the upstreams that this host probes for the zone."""
        inputs = (tuple(upstreams), tuple(self.live_names()))
        if self._assignment_inputs != inputs:
            self._assignment_inputs = inputs
            self._assigned_upstreams = [
                upstream
                for upstream in upstreams
                if rendezvous(inputs[1], upstream, 1) == [self._me.name]
            ]
        return self._assigned_upstreams

    def live_names(self) -> list[str]:
        """Return the live hosts of the zone, this one included."""
        now = time.monotonic()
        rows = self.members.in_state(now, HostState.live)
        return sorted({row.name for row in rows} | {self._me.name})

    def incarnation_of(self, name: str) -> str | None:
        """Return the last known incarnation of a host, or None."""
        if name == self._me.name:
            return self._me.incarnation
        member = self.members.members.get(name)
        if member is not None:
            return member.row.incarnation
        for zone in self.zones.zones:
            for host in self.zones.hosts_of(zone):
                if host.name == name:
                    return host.incarnation
        return None

    def row(self) -> HostRow:
        """Build this host's current row for a heartbeat."""
        topology = self._topology
        return HostRow(
            self._me.name,
            self._me.incarnation,
            self._heartbeat_number,
            0 if topology is None else topology.version,
            round(min(self.config_age(), MAX_AGE_SECONDS), 1),
            self.shares_version(),
            self.is_leaving,
            self._free_by_workload(),
            self.moved(),
        )

    async def run(self) -> None:
        """Send heartbeats and reports until cancelled."""
        while True:
            self.tick(time.monotonic())
            await asyncio.sleep(self._heartbeat_seconds)

    def tick(self, now: float) -> None:
        """Send the heartbeat, and the report if it is due.

        Args:
            now: Monotonic time in seconds.
        """
        gap = now - self._last_tick - self._heartbeat_seconds
        self._last_tick = now
        if gap > PAUSE_THRESHOLD_SECONDS:
            self.members.forgive_pause(gap)
        self._send_heartbeat(self._next_receivers())
        self._update_own_report(now)
        report_seconds = HEARTBEATS_PER_REPORT * self._heartbeat_seconds
        if now - self._last_report >= report_seconds:
            self._last_report = now
            self._gossip(now)
        self.on_update()

    def broadcast_heartbeat(self) -> None:
        """Send this host's row to all hosts of the zone now."""
        self._send_heartbeat([host.name for host in self._zone_peers()])

    def _send_heartbeat(self, names: list[str]) -> None:
        self._heartbeat_number += 1
        forwarded = self.members.freshest(MAX_FORWARDED_ROWS, time.monotonic())
        reports = self.take_reports()
        self._own_row = self.row()
        message = Heartbeat(self._own_row, tuple(forwarded), reports)
        self._links.broadcast(names, message)

    def _next_receivers(self) -> list[str]:
        """Return the peers that receive this heartbeat.

        The peers take turns. Between its turns, a peer receives this host's
        row from others, which forward the rows that they received last.
        """
        names = [host.name for host in self._zone_peers()]
        if len(names) <= RECEIVERS_PER_HEARTBEAT:
            return names
        start = self._heartbeat_number * RECEIVERS_PER_HEARTBEAT % len(names)
        return (names + names)[start : start + RECEIVERS_PER_HEARTBEAT]

    def on_link(self, name: str) -> None:
        """Send the known rows and reports to a host over a new link."""
        if name in self._zone_names():
            forwarded = self.members.freshest(
                MAX_FORWARDED_ROWS, time.monotonic()
            )
            self._links.send(name, Heartbeat(self._own_row, tuple(forwarded)))
        reports = self.zones.outgoing(time.monotonic())
        self._links.send(name, ZoneGossip(tuple(reports)))

    @property
    def generation(self) -> tuple[object, ...]:
        """Value that changes with the set of hosts that look-ups may name."""
        now = time.monotonic()
        own_zone = tuple(
            (row.name, row.incarnation, row.leaving)
            for row in self.members.in_state(now, HostState.live)
        )
        other_zones = tuple(
            known.report.hosts_digest in self.zones.hosts
            and known.report.hosts_digest
            for known in self.zones.zones.values()
        )
        version = 0 if self._topology is None else self._topology.version
        return (version, self.is_leaving, own_zone, other_zones)

    def on_heartbeat(self, message: Heartbeat) -> list[HostRow]:
        """Process a heartbeat; return those of its rows that are new."""
        now = time.monotonic()
        rows = (message.row, *message.heard)
        return [
            row
            for row in rows
            if row.name != self._me.name and self.members.apply(row, now)
        ]

    def on_gossip(self, sender: str, message: ZoneGossip) -> None:
        """Process reports of zones.

        New reports that a host of another zone sent are forwarded to all
        hosts of this zone.
        """
        now = time.monotonic()
        new_reports = [
            report
            for report in message.reports
            if report.zone != self._zone and self.zones.apply(report, now)
        ]
        missing = self.zones.missing_hosts()
        if missing:
            self._links.send(sender, HostsAsk(tuple(missing)))
        is_from_other_zone = sender not in self._zone_names()
        if new_reports and is_from_other_zone:
            self._broadcast_to_zone(ZoneGossip(tuple(new_reports)))

    def on_hosts_ask(self, sender: str, message: HostsAsk) -> None:
        """Send the requested lists of hosts that this host has."""
        for digest in message.digests:
            hosts = self.zones.hosts.get(digest)
            if hosts is not None:
                self._links.send(sender, HostsGive(hosts))

    def on_hosts_give(self, message: HostsGive) -> None:
        """Store a list of hosts."""
        self.zones.add_hosts(message.hosts)

    def ranking(self, _workload: str, region: str) -> list[RankedHost]:
        """Return the hosts that look-ups may name, best first.

        Hosts of the region come first, then the others by the delay in the
        configuration. Hosts that leave or are drained are not included.
        """
        topology = self._topology
        if topology is None:
            return []
        delays = _delays(topology, region)
        ranked = [
            RankedHost(model, identity)
            for model in topology.hosts.values()
            if not topology.is_host_drained(model)
            and (identity := self._usable_identity(model)) is not None
        ]
        ranked.sort(
            key=lambda host: (
                delays.get(topology.zone_regions[host.model.zone], 0),
                host.model.name,
            ),
        )
        return ranked

    def free_in_zone(self, zone: str, workload: str) -> int:
        """Return how many requests a zone could start; 0 without a report."""
        topology = self._topology
        report = self.zones.report_of(zone, time.monotonic())
        if topology is None or report is None:
            return 0
        names = [one.name for one in topology.document.workloads]
        if workload not in names or len(report.free) != len(names):
            return 0
        return report.free[names.index(workload)]

    def report_age(self, zone: str) -> float:
        """Return the age of a zone's report in seconds, or infinity."""
        return self.zones.age_of(zone, time.monotonic())

    def moved_in(self, zone: str, position: int) -> int | None:
        """Return the requests in flight of a shift in a zone, or None.

        Args:
            zone: A zone of the shift's target region.
            position: Index of the shift among the shifts to that region.
        """
        report = self.zones.report_of(zone, time.monotonic())
        if report is None or position >= len(report.moved):
            return None
        return report.moved[position]

    def far_hosts(self, zone: str) -> list[HostModel]:
        """Return the entry hosts of another zone that accept requests."""
        topology = self._topology
        if topology is None:
            return []
        reported = {
            host.name for host in self.zones.hosts_of(zone) if not host.leaving
        }
        return [
            host
            for host in topology.zone_hosts(zone)
            if host.name in reported and not topology.is_host_drained(host)
        ]

    def lowest_versions(self) -> dict[str, tuple[int, float]]:
        """Return the lowest version in force and the report's age, by zone."""
        now = time.monotonic()
        return {
            zone: (known.report.version, now - known.heard_at)
            for zone, known in self.zones.zones.items()
        }

    def _usable_identity(self, model: HostModel) -> Identity | None:
        if model.name == self._me.name:
            return None if self.is_leaving else self._me
        if model.zone == self._zone:
            return self._usable_in_zone(model.name)
        for host in self.zones.hosts_of(model.zone):
            if host.name == model.name and not host.leaving:
                return Identity(host.name, host.incarnation)
        return None

    def _usable_in_zone(self, name: str) -> Identity | None:
        now = time.monotonic()
        if self.members.state_of(name, now) is not HostState.live:
            return None
        row = self.members.members[name].row
        if row.leaving:
            return None
        return Identity(name, row.incarnation)

    def _free_by_workload(self) -> tuple[int, ...]:
        if self._topology is None:
            return ()
        return tuple(
            self._free(workload.name)
            for workload in self._topology.document.workloads
        )

    def _zone_peers(self) -> list[HostModel]:
        if self._topology is None:
            return []
        return [
            host
            for host in self._topology.zone_hosts(self._zone)
            if host.name != self._me.name
        ]

    def _zone_names(self) -> set[str]:
        return {host.name for host in self._zone_peers()}

    def _update_own_report(self, now: float) -> None:
        peer_rows = self.members.in_state(
            now,
            HostState.live,
            HostState.suspect,
        )
        rows = [*peer_rows, self._own_row]
        live = set(self.live_names())
        hosts = tuple(
            sorted(
                (
                    FarHost(row.name, row.incarnation, row.leaving)
                    for row in rows
                    if row.name in live
                ),
                key=lambda host: host.name,
            ),
        )
        report = ZoneReport(
            zone=self._zone,
            number=int(time.time() * _MILLISECONDS),
            age=0.0,
            version=min(row.version for row in rows),
            free=_summed([row.free for row in rows]),
            hosts_digest=hosts_digest(hosts),
            moved=_summed([row.moved for row in rows]),
        )
        self.zones.apply(report, now)
        self.zones.add_hosts(hosts)

    def _gossip(self, now: float) -> None:
        if not self.is_relay or self._topology is None:
            return
        message = ZoneGossip(tuple(self.zones.outgoing(now)))
        for host in self._gossip_partners():
            if not self._links.send(host.name, message):
                self._links.open_link(PeerAddress(host.name, host.peers))

    def _gossip_partners(self) -> list[HostModel]:
        assert self._topology is not None
        zones = [
            zone.name
            for zone in self._topology.document.zones
            if zone.name != self._zone
        ]
        chosen = self._random.sample(zones, min(ZONES_PER_GOSSIP, len(zones)))
        partners = [self._gossip_partner_in(zone) for zone in chosen]
        return [host for host in partners if host is not None]

    def _gossip_partner_in(self, zone: str) -> HostModel | None:
        """Return a host of another zone to gossip with.

        It is usually one of the relays that the zone's hosts choose too, and
        sometimes any host, so that a wrong list of hosts cannot isolate the
        zone.
        """
        assert self._topology is not None
        models = {host.name: host for host in self._topology.zone_hosts(zone)}
        reported = [host.name for host in self.zones.hosts_of(zone)]
        known = [name for name in reported if name in models]
        if not models:
            return None
        if not known or self._random.random() < 0.2:
            return models[self._random.choice(sorted(models))]
        relays = rendezvous(known, zone, RELAYS_PER_ZONE)
        return models[self._random.choice(relays)]

    def _broadcast_to_zone(self, message: ZoneGossip) -> None:
        names = [host.name for host in self._zone_peers()]
        self._links.broadcast(names, message)


def _summed(rows: Sequence[tuple[int, ...]]) -> tuple[int, ...]:
    """Sum rows by column; rows of hosts on other versions may be shorter."""
    return tuple(map(sum, zip_longest(*rows, fillvalue=0)))


def _delays(topology: Topology, region: str) -> dict[str, float]:
    for model in topology.document.regions:
        if model.name == region:
            return {**model.delays_ms, region: -1.0}
    return {}
