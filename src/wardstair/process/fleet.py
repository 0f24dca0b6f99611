"""This host's view of the fleet, and the gossip that keeps it fresh."""

import asyncio
import time
from collections.abc import Callable, Sequence
from itertools import zip_longest
from random import Random

from wardstair.decisions.ledger import Identity
from wardstair.decisions.membership import (
    RELAYS_A_ZONE,
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

BEATS_A_REPORT = 2
PAUSE_SECONDS = 2.0
ROWS_PASSED_ON = 24
BEAT_LISTENERS = 6
FAR_PARTNERS = 2
AGE_MOST_SECONDS = 86400.0
_MILLISECONDS = 1000


class Fleet:
    """Members of the zone, reports of other zones, and their gossip."""

    def __init__(
        self,
        me: Identity,
        zone: str,
        links: PeerLinks,
        random: Random,
        free: Callable[[str], int],
        beat_seconds: float,
    ) -> None:
        """Start alone.

        Args:
            me: This incarnation.
            zone: Zone of this host.
            links: Links to other hosts.
            random: Source of the choice of partners.
            free: Returns how many requests of a workload could start here.
            beat_seconds: Seconds between heartbeats.
        """
        self.members = MemberTable()
        self.zones = ZoneTable()
        self.is_leaving = False
        self.on_news: Callable[[], None] = lambda: None
        self.config_age: Callable[[], float] = lambda: 0.0
        self.shares_version: Callable[[], int] = lambda: 0
        self.moved: Callable[[], tuple[int, ...]] = tuple
        self.take_reports: Callable[[], tuple[UpstreamReport, ...]] = tuple
        self._me = me
        self._zone = zone
        self._links = links
        self._random = random
        self._free = free
        self._beat_seconds = beat_seconds
        self._topology: Topology | None = None
        self._beat = 0
        self._probed: list[str] = []
        self._probed_for: object = None
        self._own_row = self.row()
        self._last_tick = time.monotonic()
        self._last_report = float('-inf')

    @property
    def is_relay(self) -> bool:
        """Whether this host speaks for its zone now."""
        return self._me.name in self.relays()

    def adopt(self, topology: Topology) -> None:
        """Take over the hosts of a new version, and tell the others."""
        self._topology = topology
        self._links.keep_linked(
            [
                PeerAddress(host.name, host.peers)
                for host in topology.zone_hosts(self._zone)
            ],
        )
        self.beat()
        # Tell the other zones at once too: a restart of everything should
        # not wait for the next report.
        now = time.monotonic()
        self._note_own_zone(now)
        self._gossip(now)

    def relays(self) -> list[str]:
        """Return the hosts that speak for the zone."""
        return rendezvous(self.live_names(), self._zone, RELAYS_A_ZONE)

    def probed_here(self, upstreams: list[str]) -> list[str]:
        """Return the upstreams that this host probes for the zone."""
        wanted = (tuple(upstreams), tuple(self.live_names()))
        if self._probed_for != wanted:
            self._probed_for = wanted
            self._probed = [
                upstream
                for upstream in upstreams
                if rendezvous(wanted[1], upstream, 1) == [self._me.name]
            ]
        return self._probed

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
        """Return this host's own row, made anew for each heartbeat."""
        topology = self._topology
        return HostRow(
            self._me.name,
            self._me.incarnation,
            self._beat,
            0 if topology is None else topology.version,
            round(min(self.config_age(), AGE_MOST_SECONDS), 1),
            self.shares_version(),
            self.is_leaving,
            self._free_row(),
            self.moved(),
        )

    async def run(self) -> None:
        """Tell heartbeats and reports until cancelled."""
        while True:
            self.tick(time.monotonic())
            await asyncio.sleep(self._beat_seconds)

    def tick(self, now: float) -> None:
        """Do what is due.

        Args:
            now: Monotonic time in seconds.
        """
        gap = now - self._last_tick - self._beat_seconds
        self._last_tick = now
        if gap > PAUSE_SECONDS:
            self.members.forgive_pause(gap)
        self._tell_row(self._next_listeners())
        self._note_own_zone(now)
        report_seconds = BEATS_A_REPORT * self._beat_seconds
        if now - self._last_report >= report_seconds:
            self._last_report = now
            self._gossip(now)
        self.on_news()

    def beat(self) -> None:
        """Tell the whole zone this host's row now."""
        self._tell_row([host.name for host in self._zone_peers()])

    def _tell_row(self, names: list[str]) -> None:
        self._beat += 1
        heard = self.members.freshest(ROWS_PASSED_ON, time.monotonic())
        reports = self.take_reports()
        self._own_row = self.row()
        message = Heartbeat(self._own_row, tuple(heard), reports)
        self._links.broadcast(names, message)

    def _next_listeners(self) -> list[str]:
        """Return the peers that this beat goes to.

        Each peer has its turn; what it does not hear from this host it
        hears from others, which pass on the freshest rows.
        """
        names = [host.name for host in self._zone_peers()]
        if len(names) <= BEAT_LISTENERS:
            return names
        start = self._beat * BEAT_LISTENERS % len(names)
        return (names + names)[start : start + BEAT_LISTENERS]

    def on_link(self, name: str) -> None:
        """Tell a host that a new link leads to what it should know."""
        if name in self._zone_names():
            heard = self.members.freshest(ROWS_PASSED_ON, time.monotonic())
            self._links.send(name, Heartbeat(self._own_row, tuple(heard)))
        reports = self.zones.outgoing(time.monotonic())
        self._links.send(name, ZoneGossip(tuple(reports)))

    @property
    def generation(self) -> tuple[object, ...]:
        """Changes whenever the hosts that look-ups may name change."""
        now = time.monotonic()
        near = tuple(
            (row.name, row.incarnation, row.leaving)
            for row in self.members.in_state(now, HostState.live)
        )
        far = tuple(
            known.report.hosts_digest in self.zones.hosts
            and known.report.hosts_digest
            for known in self.zones.zones.values()
        )
        version = 0 if self._topology is None else self._topology.version
        return (version, self.is_leaving, near, far)

    def on_heartbeat(self, message: Heartbeat) -> list[HostRow]:
        """Take in a heartbeat; return the rows that were news."""
        now = time.monotonic()
        rows = (message.row, *message.heard)
        return [
            row
            for row in rows
            if row.name != self._me.name and self.members.apply(row, now)
        ]

    def on_gossip(self, sender: str, message: ZoneGossip) -> None:
        """Take in reports; a relay passes on what is news in its zone."""
        now = time.monotonic()
        news = [
            report
            for report in message.reports
            if report.zone != self._zone and self.zones.apply(report, now)
        ]
        missing = self.zones.missing_hosts()
        if missing:
            self._links.send(sender, HostsAsk(tuple(missing)))
        from_outside = sender not in self._zone_names()
        if news and from_outside:
            self._tell_zone(ZoneGossip(tuple(news)))

    def on_hosts_ask(self, sender: str, message: HostsAsk) -> None:
        """Answer with the lists of hosts that are here."""
        for digest in message.digests:
            hosts = self.zones.hosts.get(digest)
            if hosts is not None:
                self._links.send(sender, HostsGive(hosts))

    def on_hosts_give(self, message: HostsGive) -> None:
        """Take in a list of hosts."""
        self.zones.add_hosts(message.hosts)

    def ranking(self, _workload: str, region: str) -> list[RankedHost]:
        """Return the hosts that look-ups may name, best first.

        Hosts of the region come first, then the others by the delay that
        the configuration gives; hosts that leave or are drained are out.
        """
        topology = self._topology
        if topology is None:
            return []
        delays = _delays(topology, region)
        ranked = [
            RankedHost(model, identity)
            for model in topology.hosts.values()
            if not topology.is_host_drained(model)
            and (identity := self._usable(model)) is not None
        ]
        ranked.sort(
            key=lambda host: (
                delays.get(topology.zone_regions[host.model.zone], 0),
                host.model.name,
            ),
        )
        return ranked

    def far_free(self, zone: str, workload: str) -> int:
        """Return how many requests another zone reported it could start."""
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
        """Return what a zone reported in flight by a shift, or None.

        Args:
            zone: A zone of the shift's target.
            position: Place of the shift among those to that region.
        """
        report = self.zones.report_of(zone, time.monotonic())
        if report is None or position >= len(report.moved):
            return None
        return report.moved[position]

    def far_hosts(self, zone: str) -> list[HostModel]:
        """Return the entry hosts of another zone that take work."""
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
        """Return the lowest version in force and its age, by zone."""
        now = time.monotonic()
        return {
            zone: (known.report.version, now - known.heard_at)
            for zone, known in self.zones.zones.items()
        }

    def _usable(self, model: HostModel) -> Identity | None:
        if model.name == self._me.name:
            return None if self.is_leaving else self._me
        if model.zone == self._zone:
            return self._usable_near(model.name)
        for host in self.zones.hosts_of(model.zone):
            if host.name == model.name and not host.leaving:
                return Identity(host.name, host.incarnation)
        return None

    def _usable_near(self, name: str) -> Identity | None:
        now = time.monotonic()
        if self.members.state_of(name, now) is not HostState.live:
            return None
        row = self.members.members[name].row
        if row.leaving:
            return None
        return Identity(name, row.incarnation)

    def _free_row(self) -> tuple[int, ...]:
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

    def _note_own_zone(self, now: float) -> None:
        heard = self.members.in_state(
            now,
            HostState.live,
            HostState.suspect,
        )
        rows = [*heard, self._own_row]
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
        for host in self._partners():
            if not self._links.send(host.name, message):
                self._links.open_link(PeerAddress(host.name, host.peers))

    def _partners(self) -> list[HostModel]:
        assert self._topology is not None
        zones = [
            zone.name
            for zone in self._topology.document.zones
            if zone.name != self._zone
        ]
        chosen = self._random.sample(zones, min(FAR_PARTNERS, len(zones)))
        partners = [self._speaker(zone) for zone in chosen]
        return [host for host in partners if host is not None]

    def _speaker(self, zone: str) -> HostModel | None:
        """Return a host of another zone to gossip with.

        Mostly one that its zone's hosts also choose as a relay; at times
        any host, so that a wrong list of hosts cannot cut the zone off.
        """
        assert self._topology is not None
        models = {host.name: host for host in self._topology.zone_hosts(zone)}
        reported = [host.name for host in self.zones.hosts_of(zone)]
        known = [name for name in reported if name in models]
        if not models:
            return None
        if not known or self._random.random() < 0.2:
            return models[self._random.choice(sorted(models))]
        relays = rendezvous(known, zone, RELAYS_A_ZONE)
        return models[self._random.choice(relays)]

    def _tell_zone(self, message: ZoneGossip) -> None:
        names = [host.name for host in self._zone_peers()]
        self._links.broadcast(names, message)


def _summed(rows: Sequence[tuple[int, ...]]) -> tuple[int, ...]:
    """Sum rows column by column; a host on another version may be short."""
    return tuple(map(sum, zip_longest(*rows, fillvalue=0)))


def _delays(topology: Topology, region: str) -> dict[str, float]:
    for model in topology.document.regions:
        if model.name == region:
            return {**model.delays_ms, region: -1.0}
    return {}
