"""One entry host as another sees it."""

from dataclasses import dataclass, field

from wardstair.decisions.entry_expiry import ContactPeriod
from wardstair.fleet.heartbeats import HeartbeatDatagram, PeerName, Versions


@dataclass(slots=True)
class Member:
    """An entry host as this one sees it.

    Attributes:
        peer: Who it is.
        heard_at: Monotonic time of its last heartbeat, or of when this host
            first learned its name.
        confirmed_at: When it was last heard, or named by a host that hears it.
        run: Its process's run; 0 before the first heartbeat.
        number: Number of its last heartbeat.
        is_leaving: Whether it said that it is about to stop.
        hears_store: Whether it said that it is in contact with the store.
        is_sentinel: Whether it said that it watches the store closely for all.
        is_contact_suspect: Whether it said that a watch of the store is late.
        is_busy: Whether it said that it is short of processor time.
        is_relay: Whether it said that it is a relay of its zone.
        zone_size: Hosts that it knows of in its zone.
        fleet_size: Hosts that it knows of in all zones.
        versions: How new it said its state is.
        load: Requests a second of its callers, as it said.
        contact: Its contact with the store, in this host's time; None if it
            said that it has none.
        was_live: Whether it counted as live when last looked at.
        lost: Groups of upstreams that it said it does not reach.
    """

    peer: PeerName
    heard_at: float
    confirmed_at: float = float('-inf')
    run: int = 0
    number: int = 0
    is_leaving: bool = False
    hears_store: bool = False
    is_sentinel: bool = False
    is_contact_suspect: bool = False
    is_busy: bool = False
    is_relay: bool = False
    zone_size: int = 0
    fleet_size: int = 0
    versions: Versions = field(default_factory=Versions)
    load: float = 0.0
    contact: ContactPeriod | None = None
    was_live: bool = False
    lost: frozenset[str] = frozenset()

    def take_in(self, beat: HeartbeatDatagram, now: float) -> None:
        """Note what a heartbeat says."""
        self.peer = beat.sender
        self.heard_at = now
        self.confirmed_at = now
        self.run = beat.run
        self.number = beat.number
        self.hears_store = beat.hears_store
        self.is_sentinel = beat.is_sentinel
        self.is_contact_suspect = beat.is_contact_suspect
        self.is_busy = beat.is_busy
        self.is_relay = beat.is_relay
        self.zone_size = beat.zone_size
        self.fleet_size = beat.fleet_size
        self.versions = beat.versions
        self.load = beat.load
        self.lost = frozenset(beat.lost)
        self.contact = None
        if beat.contact is not None:
            age = beat.contact
            self.contact = ContactPeriod(now - age.begin, now - age.proof)
