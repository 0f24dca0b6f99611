"""The entry hosts that this one knows, and which of them it hears."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from wardstair.fleet.beats import Beat, PeerName, Versions
from wardstair.process.log import log_event

# Three heartbeats and a little: one or two may be lost on the way.
SILENT_SECONDS = 3.2
# A host that is silent for this long is taken out of the store.
FORGOTTEN_SECONDS = 30.0
# Until then a silent host counts among those that share the fleet's bounds: it
# may be cut off and go on. Regions lose each other for an hour now and then,
# but a host that is replaced must not take its part along for good.
GONE_SECONDS = 7200.0
# A gap in this process's own timer above which its silence, not the others',
# explains what it has not heard.
OWN_PAUSE_SECONDS = 1.5


@dataclass(slots=True)
class Member:
    """An entry host as this one sees it.

    Attributes:
        peer: Who it is.
        heard_at: Monotonic time of its last heartbeat, or of when this host
            first learned its name.
        run: Its process's run; 0 before the first heartbeat.
        number: Number of its last heartbeat.
        is_leaving: Whether it said that it is about to stop.
        hears_store: Whether it said that it is in contact with the store.
        versions: How new it said its state is.
        was_live: Whether it counted as live when last looked at.
    """

    peer: PeerName
    heard_at: float
    run: int = 0
    number: int = 0
    is_leaving: bool = False
    hears_store: bool = False
    versions: Versions = field(default_factory=Versions)
    was_live: bool = False


@dataclass(slots=True)
class Members:
    """All known entry hosts but this one.

    Attributes:
        own: This host.
        clock: Monotonic time in seconds.
        table: Members by name.
        generation: Grows when the set of live hosts changes.
    """

    own: PeerName
    clock: Callable[[], float]
    table: dict[str, Member] = field(default_factory=dict)
    generation: int = 0

    def learn(self, peers: Iterable[PeerName]) -> None:
        """Take in names of hosts that somebody else knows."""
        now = self.clock()
        for peer in peers:
            if peer.name == self.own.name:
                continue
            known = self.table.get(peer.name)
            if known is None:
                # Not heard yet: it counts as live only once it is.
                self.table[peer.name] = Member(peer, now)
            elif not known.run:
                known.peer = peer

    def hear(self, beat: Beat) -> bool:
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
        member.peer = beat.sender
        member.heard_at = now
        member.run = beat.run
        member.number = beat.number
        member.hears_store = beat.hears_store
        member.versions = beat.versions
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

    def is_live(self, member: Member) -> bool:
        """Return whether a host was heard lately."""
        silence = self.clock() - member.heard_at
        return bool(member.run) and silence < SILENT_SECONDS

    def live(self) -> list[Member]:
        """Return the members heard lately, those leaving included."""
        return [one for one in self.table.values() if self.is_live(one)]

    def live_names(self) -> set[str]:
        """Return names of hosts that serve, this one included."""
        names = {one.peer.name for one in self.live() if not one.is_leaving}
        names.add(self.own.name)
        return names

    def check(self) -> None:
        """Note hosts that have fallen silent; drop those long gone."""
        for member in self.table.values():
            if member.was_live and not self.is_live(member):
                member.was_live = False
                self.generation += 1
                log_event(
                    'host-lost',
                    host=member.peer.name,
                    zone=member.peer.zone,
                    silent=round(self.clock() - member.heard_at, 1),
                )
        end = self.clock() - GONE_SECONDS
        self.table = {
            name: member
            for name, member in self.table.items()
            if member.heard_at > end
        }

    def forgive_pause(self, gap: float) -> None:
        """Move all times on after a pause of this process."""
        for member in self.table.values():
            member.heard_at += gap

    def forgotten(self) -> list[str]:
        """Return hosts that are silent for so long that they are gone."""
        now = self.clock()
        return [
            name
            for name, member in self.table.items()
            if now - member.heard_at > FORGOTTEN_SECONDS
        ]
