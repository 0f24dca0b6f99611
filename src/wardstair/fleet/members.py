"""Known entry hosts, and which of them are live.

A host receives heartbeats from all hosts of its own availability zone and from
the relays of the other zones.
"""

from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field

from wardstair.decisions.entry_expiry import ContactPeriod
from wardstair.decisions.relays import RelayCandidate, choose_relays
from wardstair.decisions.sentinels import SentinelCandidate, choose_sentinels
from wardstair.decisions.timing import MIN_RELAY_TIMEOUT_SECONDS
from wardstair.fleet.heartbeats import ContactAge, HeartbeatDatagram, PeerName
from wardstair.fleet.member import Member
from wardstair.process.log import log_event

# Silence after which a host is no longer live: three heartbeats plus a margin,
# as one or two may be lost. Operators accept that look-ups return a dead host
# for seconds beyond the contact time.
SILENT_SECONDS = 3.2
# Silence after which a host is removed from the store.
FORGOTTEN_SECONDS = 30.0
# Time for which a silent host keeps its share of the limits of the fleet, since
# it may be cut off and still serving. Regions are disconnected for an hour at
# times, but a host that was replaced must not keep its share forever.
GONE_SECONDS = 7200.0
# Time after which a named host that was never heard is dropped. The name of a
# host that others hear is received again and again.
UNHEARD_SECONDS = 60.0
# Lateness of this process's own timer above which missing heartbeats are
# attributed to a pause of this process, not to silence of the other hosts.
OWN_PAUSE_SECONDS = 1.5
# Maximum number of requests for names to hosts that know more of the zone; the
# count restarts when a larger zone is reported. Without a limit, names of hosts
# that are gone would be requested repeatedly, as each host forgets them at a
# different time.
MAX_NAME_REQUESTS = 12


@dataclass(slots=True)
class Members:
    """All known entry hosts except this one.

    Attributes:
        own: Name and addresses of this host.
        clock: Returns monotonic time in seconds.
        hears_store: Returns whether this host is in contact with the store.
        relay_timeout: Returns the silence in seconds after which a relay is
            replaced.
        is_settled: Returns whether this host had time to hear the others.
        sentinel_silence: Returns the silence in seconds after which a sentinel
            is replaced.
        is_sentinel: Returns whether this host is a sentinel, which watches the
            store for all.
        is_contact_suspect: Returns whether this host suspects that its contact
            with the store is lost.
        on_suspect: Called when another host starts to suspect its contact.
        is_busy: Whether this host is short of processor time.
        own_contact: Returns this host's contact period with the store; None if
            there is no contact.
        load: Requests per second from this host's callers.
        lost: Groups of upstreams that this host does not reach.
        is_leaving: Whether this host is about to stop.
        table: Members by name.
        hinted: Names of relays by zone, from redirects by hosts of that zone.
        generation: Number that grows when the set of live hosts changes.
        registered_size: Largest fleet size in the store's host entries.
        heard_since: Monotonic time when this process first heard another host,
            or learned from the store that there is none; None before.
        has_heard_configured: Whether another host has reported that it has a
            configuration.
    """

    own: PeerName
    clock: Callable[[], float]
    hears_store: Callable[[], bool] = field(default=lambda: False)
    relay_timeout: Callable[[], float] = field(
        default=lambda: MIN_RELAY_TIMEOUT_SECONDS,
    )
    is_settled: Callable[[], bool] = field(default=lambda: True)
    sentinel_silence: Callable[[], float] = field(
        default=lambda: MIN_RELAY_TIMEOUT_SECONDS,
    )
    is_sentinel: Callable[[], bool] = field(default=lambda: False)
    is_contact_suspect: Callable[[], bool] = field(default=lambda: False)
    on_suspect: Callable[[], None] = field(default=lambda: None)
    is_busy: bool = False
    own_contact: Callable[[], ContactPeriod | None] = field(
        default=lambda: None,
    )
    load: float = 0.0
    lost: frozenset[str] = frozenset()
    is_leaving: bool = False
    table: dict[str, Member] = field(default_factory=dict)
    hinted: dict[str, tuple[str, ...]] = field(default_factory=dict)
    generation: int = 0
    registered_size: int = 0
    heard_since: float | None = None
    has_heard_configured: bool = False
    _has_read_first: bool = False
    _requested_size: int = 0
    _name_requests: int = 0

    @property
    def relays(self) -> tuple[str, ...]:
        """The relays of this host's zone."""
        silent = self.relay_timeout()
        candidates = [
            RelayCandidate(one.peer.name, one.hears_store)
            for one in self.in_zone(self.own.zone)
            if self.is_heard(one, silent) and not one.is_leaving
        ]
        if self._may_relay(candidates):
            own = RelayCandidate(self.own.name, self.hears_store())
            candidates.append(own)
        return choose_relays(candidates, self.own.zone)

    @property
    def is_relay(self) -> bool:
        """Whether this host is a relay of its zone."""
        return self.own.name in self.relays

    def sentinel_rank(
        self,
        regions: Mapping[str, str],
        *,
        takes_part: bool,
    ) -> int | None:
        """Return this host's rank among the sentinels.

        Args:
            regions: Region of each zone.
            takes_part: Whether this host has contact and is not leaving.

        Returns:
            The rank, from 0; None if this host is not a sentinel.
        """
        if not self.is_relay:
            return None
        relays = {self.own.name, *self.relays}
        hosts = [
            SentinelCandidate(one.peer.name, one.peer.zone)
            for one in self.table.values()
            if self._may_watch(one)
            and (one.peer.zone != self.own.zone or one.peer.name in relays)
        ]
        if takes_part:
            hosts.append(SentinelCandidate(self.own.name, self.own.zone))
        chosen = choose_sentinels(hosts, regions)
        if not chosen:
            # Without sentinels every relay has to watch the store itself.
            return 0
        return chosen.index(self.own.name) if self.own.name in chosen else None

    def _may_watch(self, member: Member) -> bool:
        """Return whether a host can be a sentinel."""
        if (
            member.is_leaving
            or not member.hears_store
            or member.is_contact_suspect
        ):
            return False
        silence = self.relay_timeout()
        if member.is_sentinel:
            silence = min(silence, self.sentinel_silence())
        return self.is_heard(member, silence)

    @property
    def zone_size(self) -> int:
        """Number of known hosts in this zone, including those not heard."""
        return len(self.in_zone(self.own.zone)) + 1

    @property
    def counted_size(self) -> int:
        """Number of hosts in all zones, from this host's and relays' counts.

        The last count of a relay is used even while the relay is not heard, as
        its zone may be cut off and still serving.
        """
        sizes: dict[str, int] = {}
        for one in self.table.values():
            zone = one.peer.zone
            sizes[zone] = sizes.get(zone, 0) + 1
        sizes[self.own.zone] = self.zone_size
        for one in self.table.values():
            zone = one.peer.zone
            sizes[zone] = max(sizes[zone], one.zone_size)
        return sum(sizes.values())

    @property
    def fleet_size(self) -> int:
        """Number of hosts in all zones, as counted by hosts of this zone."""
        counts = [one.fleet_size for one in self.in_zone(self.own.zone)]
        if not self.live():
            # No other host is heard, but hosts never heard may be serving.
            counts.append(self.registered_size)
        return max(self.counted_size, *counts, 1)

    def knows_fleet(self, seconds: float) -> bool:
        """Return whether this host had time to learn of the other hosts.

        The time counts from the first answer, because a host that answers names
        others. The time since the start is no measure: a host that is cut off,
        or whose seeds are gone, never hears another one. Otherwise each of
        three such hosts of a zone sent to a cold upstream as much as two may
        send together.

        Args:
            seconds: Time in seconds that it takes to hear of them.
        """
        since = self.heard_since
        return since is not None and self.clock() - since >= seconds

    def note_registry(self, names: Collection[str]) -> None:
        """Record which hosts the store lists.

        A list without this host is older than its registration, and so may lack
        other hosts that start at the same time.

        Args:
            names: Names of the listed hosts.
        """
        if set(names) == {self.own.name}:
            self._note_heard()

    def zones(self) -> set[str]:
        """Return the zones of all known hosts, including this one."""
        known = {one.peer.zone for one in self.table.values()}
        return known | {self.own.zone}

    def in_zone(self, zone: str) -> list[Member]:
        """Return the known hosts of a zone, except this one."""
        return [one for one in self.table.values() if one.peer.zone == zone]

    def learn(
        self,
        peers: Iterable[PeerName],
        *,
        is_second_hand: bool = False,
    ) -> None:
        """Add hosts that another host has named.

        Args:
            peers: The named hosts.
            is_second_hand: Whether the host that named them may not hear them
                itself. Such names are not passed on; otherwise every new host
                would keep the names of departed hosts alive.
        """
        now = self.clock()
        for peer in peers:
            if peer.name == self.own.name:
                continue
            known = self.table.get(peer.name)
            if known is None:
                # It counts as live only once it is heard.
                known = Member(peer, now)
                self.table[peer.name] = known
            elif not known.run:
                known.peer = peer
            if not is_second_hand:
                known.confirmed_at = now

    def confirmed_in_zone(self, zone: str) -> list[PeerName]:
        """Return hosts of a zone that were recently heard by any host."""
        end = self.clock() - FORGOTTEN_SECONDS
        return [
            one.peer for one in self.in_zone(zone) if one.confirmed_at > end
        ]

    def hear(self, heartbeat: HeartbeatDatagram) -> bool:
        """Record a heartbeat; return False if it is old or this host's own."""
        if heartbeat.sender.name == self.own.name:
            return False
        now = self.clock()
        member = self.table.get(heartbeat.sender.name)
        if member is None:
            member = Member(heartbeat.sender, now)
            self.table[heartbeat.sender.name] = member
        if member.run == heartbeat.run and member.number >= heartbeat.number:
            return False
        is_newly_suspect = (
            heartbeat.is_contact_suspect and not member.is_contact_suspect
        )
        member.update(heartbeat, now)
        if is_newly_suspect:
            self.on_suspect()
        self._note_heard()
        if (
            heartbeat.versions.configuration >= 0
            and not self.has_heard_configured
        ):
            self.has_heard_configured = True
            self._has_read_first = self.hears_store()
        if self._has_stepped_down(heartbeat):
            # It is alive, but will send no more heartbeats to this host.
            member.run = 0
            member.was_live = False
            self.generation += 1
            return True
        if member.is_leaving is not heartbeat.is_leaving or not member.was_live:
            member.is_leaving = heartbeat.is_leaving
            member.was_live = True
            self.generation += 1
            log_event(
                'host-leaving' if heartbeat.is_leaving else 'host-joined',
                host=heartbeat.sender.name,
                zone=heartbeat.sender.zone,
            )
        return True

    def is_heard(self, member: Member, seconds: float) -> bool:
        """Return whether a host was heard within the last seconds."""
        return bool(member.run) and self.clock() - member.heard_at < seconds

    def is_live(self, member: Member) -> bool:
        """Return whether a host was heard recently."""
        return self.is_heard(member, SILENT_SECONDS)

    def may_serve(self, member: Member) -> bool:
        """Return whether a host may be serving: it is live or was named."""
        if self.is_live(member):
            return True
        end = self.clock() - FORGOTTEN_SECONDS
        return not member.run and member.confirmed_at > end

    def live(self) -> list[Member]:
        """Return the live hosts, including those that are leaving."""
        return [one for one in self.table.values() if self.is_live(one)]

    @property
    def contact_age(self) -> ContactAge | None:
        """Age of this host's contact period with the store, if any."""
        contact = self.own_contact()
        if contact is None:
            return None
        now = self.clock()
        return ContactAge(now - contact.begin, now - contact.end)

    def contacts(self) -> list[ContactPeriod]:
        """Return the contact periods of live hosts with the store."""
        return [one.contact for one in self.live() if one.contact is not None]

    def live_names(self) -> set[str]:
        """Return names of live hosts that stay, including this one."""
        names = {one.peer.name for one in self.live() if not one.is_leaving}
        names.add(self.own.name)
        return names

    def better_informed(self) -> list[Member]:
        """Return hosts to ask for names: those that know more of the zone.

        A seed of another zone knows few of its hosts, and datagrams get lost.
        """
        heard = [
            one for one in self.in_zone(self.own.zone) if self.is_live(one)
        ]
        most = max((one.zone_size for one in heard), default=0)
        if most > self._requested_size:
            self._requested_size = most
            self._name_requests = 0
        if most <= self.zone_size or self._name_requests >= MAX_NAME_REQUESTS:
            return []
        self._name_requests += 1
        return [one for one in heard if one.zone_size > self.zone_size]

    def known_in_zone(self) -> set[str]:
        """Return names of all known hosts of this zone, including this one."""
        names = {one.peer.name for one in self.in_zone(self.own.zone)}
        return names | {self.own.name}

    def live_in_zone(self) -> set[str]:
        """Return names of live hosts of this zone that stay, with this one."""
        names = {
            one.peer.name
            for one in self.in_zone(self.own.zone)
            if self.is_live(one) and not one.is_leaving
        }
        names.add(self.own.name)
        return names

    def check(self) -> None:
        """Log hosts that have become silent; drop those that are gone."""
        for member in self.table.values():
            if member.was_live and not self.is_live(member):
                member.was_live = False
                self.generation += 1
                self._log_silent(member)
        self.table = {
            name: member
            for name, member in self.table.items()
            if self._is_kept(member)
        }

    def _is_kept(self, member: Member) -> bool:
        now = self.clock()
        if member.run:
            return now - member.heard_at < GONE_SECONDS
        known_at = max(member.heard_at, member.confirmed_at)
        return now - known_at < UNHEARD_SECONDS

    def _log_silent(self, member: Member) -> None:
        # A silent relay of another zone may be alive: relays send to only two
        # hosts of each zone, which change over time.
        is_own = member.peer.zone == self.own.zone
        log_event(
            'host-lost' if is_own else 'relay-unheard',
            host=member.peer.name,
            zone=member.peer.zone,
            silent=round(self.clock() - member.heard_at, 1),
        )

    def forgive_pause(self, gap: float) -> None:
        """Shift recorded times forward by a pause of this process."""
        if self.heard_since is not None:
            # It received nothing during the pause.
            self.heard_since += gap
        for member in self.table.values():
            member.heard_at += gap

    def forgotten(self) -> list[str]:
        """Return hosts of this zone that have been silent for too long.

        Most hosts of other zones are never heard; their own zone removes them.
        """
        now = self.clock()
        return [
            one.peer.name
            for one in self.in_zone(self.own.zone)
            if now - one.heard_at > FORGOTTEN_SECONDS
        ]

    def _may_relay(self, others: list[RelayCandidate]) -> bool:
        """Return whether this host is a candidate for relay of its zone.

        A host that has just started hears few others. It would choose itself as
        relay and read all state from the store. So it is no candidate until it
        has settled if another host already has a configuration. It is one if it
        had read the store before it heard such a host; otherwise, after a start
        of all hosts, each would leave the role to the others.
        """
        if self.is_leaving and others:
            return False
        if self.is_settled() or self._has_read_first:
            return True
        return not self.has_heard_configured

    def _note_heard(self) -> None:
        if self.heard_since is None:
            self.heard_since = self.clock()

    def _has_stepped_down(self, heartbeat: HeartbeatDatagram) -> bool:
        return heartbeat.sender.zone != self.own.zone and not heartbeat.is_relay
