"""The entry hosts that this one knows, and which of them it hears.

It hears all hosts of its own availability zone and the relays of the others.
"""

from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field

from wardstair.decisions.entry_expiry import ContactPeriod
from wardstair.decisions.relays import RelayCandidate, choose_relays
from wardstair.decisions.sentinels import Watcher, choose_sentinels
from wardstair.decisions.timing import LEAST_REPLACED_SECONDS
from wardstair.fleet.heartbeats import ContactAge, HeartbeatDatagram, PeerName
from wardstair.fleet.member import Member
from wardstair.process.log import log_event

# Three heartbeats and a little: one or two may be lost on the way. Operators
# let look-ups name a dead host for seconds beyond the time of contact.
SILENT_SECONDS = 3.2
# A host that is silent for this long is taken out of the store.
FORGOTTEN_SECONDS = 30.0
# Until then a silent host counts among those that share the fleet's bounds: it
# may be cut off and go on. Regions lose each other for an hour now and then,
# but a host that is replaced must not take its part along for good.
GONE_SECONDS = 7200.0
# A name that was only heard of and never answered is dropped after this long;
# one that somebody hears is told again and again.
UNHEARD_SECONDS = 60.0
# A gap in this process's own timer above which its silence, not the others',
# explains what it has not heard.
OWN_PAUSE_SECONDS = 1.5


# Times that a host which knows more of the zone is asked for names, each time
# that more are told of. Names of hosts that are gone would otherwise be asked
# for again and again, since each host forgets them at a time of its own.
MOST_ASKED = 12


@dataclass(slots=True)
class Members:
    """All known entry hosts but this one.

    Attributes:
        own: This host.
        clock: Monotonic time in seconds.
        hears_store: Whether this host is in contact with the store.
        relay_timeout: Silence after which a relay is replaced.
        is_settled: Whether this host had time to hear the others.
        sentinel_silence: Silence after which a sentinel is replaced.
        is_sentinel: Whether this host watches the store closely for all.
        is_contact_suspect: Whether this host doubts its contact with the store.
        on_suspect: Called when another host begins to doubt its contact.
        is_busy: Whether this host is short of processor time.
        own_contact: Returns this host's contact with the store; None if there
            is none.
        load: Requests a second of this host's callers.
        lost: Groups of upstreams that this host does not reach.
        is_leaving: Whether this host is about to stop.
        table: Members by name.
        hinted: Relays of other zones, as a host of theirs named them.
        generation: Grows when the set of live hosts changes.
        registered_size: Largest fleet that hosts in the store have stated.
        heard_since: When this process first heard another host, or found in
            the store that there is none; None before.
        has_heard_configured: Whether a host has said that it has a
            configuration.
    """

    own: PeerName
    clock: Callable[[], float]
    hears_store: Callable[[], bool] = field(default=lambda: False)
    relay_timeout: Callable[[], float] = field(
        default=lambda: LEAST_REPLACED_SECONDS,
    )
    is_settled: Callable[[], bool] = field(default=lambda: True)
    sentinel_silence: Callable[[], float] = field(
        default=lambda: LEAST_REPLACED_SECONDS,
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
    _asked_for: int = 0
    _asked: int = 0

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
        """Return this host's rank among those that watch the store for all.

        Args:
            regions: Region of each zone.
            takes_part: Whether this host is in contact and stays.

        Returns:
            0 for the first, None for a host that does not watch for others.
        """
        if not self.is_relay:
            return None
        relays = {self.own.name, *self.relays}
        hosts = [
            Watcher(one.peer.name, one.peer.zone)
            for one in self.table.values()
            if self._may_watch(one)
            and (one.peer.zone != self.own.zone or one.peer.name in relays)
        ]
        if takes_part:
            hosts.append(Watcher(self.own.name, self.own.zone))
        chosen = choose_sentinels(hosts, regions)
        if not chosen:
            # Every relay has to look for itself.
            return 0
        return chosen.index(self.own.name) if self.own.name in chosen else None

    def _may_watch(self, member: Member) -> bool:
        """Return whether a host can watch the store for others."""
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
        """Hosts known in this host's zone, those not heard included."""
        return len(self.in_zone(self.own.zone)) + 1

    @property
    def counted_size(self) -> int:
        """Hosts in all zones, as this host and relays have counted.

        What a relay said last counts also while it is not heard: its zone may
        be cut off and go on.
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
        """Hosts in all zones, as this host or one of its zone has counted."""
        told = [one.fleet_size for one in self.in_zone(self.own.zone)]
        if not self.live():
            # Alone: others may go on whom this host has never heard.
            told.append(self.registered_size)
        return max(self.counted_size, *told, 1)

    def knows_fleet(self, seconds: float) -> bool:
        """Return whether it had time to know the others.

        Time alone does not tell: who is cut off, or whose seeds are gone, has
        heard nobody after any time, and three such hosts of a zone each sent
        what two may send together to a cold upstream. Counted from the first
        answer: a host that is heard names others.

        Args:
            seconds: Time that it takes to hear of them.
        """
        since = self.heard_since
        return since is not None and self.clock() - since >= seconds

    def note_registry(self, names: Collection[str]) -> None:
        """Take in which hosts the store lists.

        A listing without this host was made before it registered, and so may
        lack others that start together with it.

        Args:
            names: Their names.
        """
        if set(names) == {self.own.name}:
            self._note_heard()

    def zones(self) -> set[str]:
        """Return the zones of all known hosts, this one's included."""
        known = {one.peer.zone for one in self.table.values()}
        return known | {self.own.zone}

    def in_zone(self, zone: str) -> list[Member]:
        """Return the known hosts of a zone but this one."""
        return [one for one in self.table.values() if one.peer.zone == zone]

    def learn(
        self,
        peers: Iterable[PeerName],
        *,
        is_second_hand: bool = False,
    ) -> None:
        """Take in names of hosts that somebody else knows.

        Args:
            peers: Their names.
            is_second_hand: Whether who told them does not hear them itself.
                Such names are not passed on: each newcomer would prolong the
                life of those that are gone.
        """
        now = self.clock()
        for peer in peers:
            if peer.name == self.own.name:
                continue
            known = self.table.get(peer.name)
            if known is None:
                # Not heard yet: it counts as live only once it is.
                known = Member(peer, now)
                self.table[peer.name] = known
            elif not known.run:
                known.peer = peer
            if not is_second_hand:
                known.confirmed_at = now

    def confirmed_in_zone(self, zone: str) -> list[PeerName]:
        """Return hosts of a zone that somebody has heard lately."""
        end = self.clock() - FORGOTTEN_SECONDS
        return [
            one.peer for one in self.in_zone(zone) if one.confirmed_at > end
        ]

    def hear(self, beat: HeartbeatDatagram) -> bool:
        """Take in a heartbeat; return whether it is news."""
        if beat.sender.name == self.own.name:
            return False
        now = self.clock()
        member = self.table.get(beat.sender.name)
        if member is None:
            member = Member(beat.sender, now)
            self.table[beat.sender.name] = member
        if member.run == beat.run and member.number >= beat.number:
            return False
        begins_to_doubt = (
            beat.is_contact_suspect and not member.is_contact_suspect
        )
        member.take_in(beat, now)
        if begins_to_doubt:
            self.on_suspect()
        self._note_heard()
        if beat.versions.configuration >= 0 and not self.has_heard_configured:
            self.has_heard_configured = True
            self._has_read_first = self.hears_store()
        if self._has_stepped_down(beat):
            # It lives, but will not be heard from now on.
            member.run = 0
            member.was_live = False
            self.generation += 1
            return True
        if member.is_leaving is not beat.is_leaving or not member.was_live:
            member.is_leaving = beat.is_leaving
            member.was_live = True
            self.generation += 1
            log_event(
                'host-leaving' if beat.is_leaving else 'host-joined',
                host=beat.sender.name,
                zone=beat.sender.zone,
            )
        return True

    def is_heard(self, member: Member, seconds: float) -> bool:
        """Return whether a host was heard within the last seconds."""
        return bool(member.run) and self.clock() - member.heard_at < seconds

    def is_live(self, member: Member) -> bool:
        """Return whether a host was heard lately."""
        return self.is_heard(member, SILENT_SECONDS)

    def may_serve(self, member: Member) -> bool:
        """Return whether a host may be there, heard or named by others."""
        if self.is_live(member):
            return True
        end = self.clock() - FORGOTTEN_SECONDS
        return not member.run and member.confirmed_at > end

    def live(self) -> list[Member]:
        """Return the members heard lately, those leaving included."""
        return [one for one in self.table.values() if self.is_live(one)]

    @property
    def contact_age(self) -> ContactAge | None:
        """Age of this host's contact with the store, if there is any."""
        contact = self.own_contact()
        if contact is None:
            return None
        now = self.clock()
        return ContactAge(now - contact.begin, now - contact.end)

    def contacts(self) -> list[ContactPeriod]:
        """Return the contact of live hosts with the store."""
        return [one.contact for one in self.live() if one.contact is not None]

    def live_names(self) -> set[str]:
        """Return names of heard hosts that serve, this one included."""
        names = {one.peer.name for one in self.live() if not one.is_leaving}
        names.add(self.own.name)
        return names

    def better_informed(self) -> list[Member]:
        """Return hosts of the zone that know more of it, if any is to be asked.

        A seed of another zone knows hardly any, and datagrams are lost.
        """
        heard = [
            one for one in self.in_zone(self.own.zone) if self.is_live(one)
        ]
        most = max((one.zone_size for one in heard), default=0)
        if most > self._asked_for:
            self._asked_for = most
            self._asked = 0
        if most <= self.zone_size or self._asked >= MOST_ASKED:
            return []
        self._asked += 1
        return [one for one in heard if one.zone_size > self.zone_size]

    def known_in_zone(self) -> set[str]:
        """Return names of this zone's hosts, heard or not, this one's too."""
        names = {one.peer.name for one in self.in_zone(self.own.zone)}
        return names | {self.own.name}

    def live_in_zone(self) -> set[str]:
        """Return names of this zone's hosts that serve, this one included."""
        names = {
            one.peer.name
            for one in self.in_zone(self.own.zone)
            if self.is_live(one) and not one.is_leaving
        }
        names.add(self.own.name)
        return names

    def check(self) -> None:
        """Note hosts that have fallen silent; drop those long gone."""
        for member in self.table.values():
            if member.was_live and not self.is_live(member):
                member.was_live = False
                self.generation += 1
                self._tell_silent(member)
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

    def _tell_silent(self, member: Member) -> None:
        # A relay of another zone may live: relays send to two hosts of each
        # zone, and to others once they find them.
        is_own = member.peer.zone == self.own.zone
        log_event(
            'host-lost' if is_own else 'relay-unheard',
            host=member.peer.name,
            zone=member.peer.zone,
            silent=round(self.clock() - member.heard_at, 1),
        )

    def forgive_pause(self, gap: float) -> None:
        """Move all times on after a pause of this process."""
        if self.heard_since is not None:
            # It has heard nobody meanwhile.
            self.heard_since += gap
        for member in self.table.values():
            member.heard_at += gap

    def forgotten(self) -> list[str]:
        """Return hosts of this zone that are silent for so long as to be gone.

        Hosts of other zones are not heard anyway; their own zone cleans up.
        """
        now = self.clock()
        return [
            one.peer.name
            for one in self.in_zone(self.own.zone)
            if now - one.heard_at > FORGOTTEN_SECONDS
        ]

    def _may_relay(self, others: list[RelayCandidate]) -> bool:
        """Return whether this host is to be chosen from beside others.

        One that has just started hears few, and would take itself for a relay
        and read everything from the store: 4 calls for one that joins four
        others, none this way. It leaves that to others as long as one of them
        has what it needs, unless it had read the store before it heard one:
        after a start of all hosts each would leave it to the others.
        """
        if self.is_leaving and others:
            return False
        if self.is_settled() or self._has_read_first:
            return True
        return not self.has_heard_configured

    def _note_heard(self) -> None:
        if self.heard_since is None:
            self.heard_since = self.clock()

    def _has_stepped_down(self, beat: HeartbeatDatagram) -> bool:
        return beat.sender.zone != self.own.zone and not beat.is_relay
