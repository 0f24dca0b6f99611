"""State of another entry host, from its heartbeats."""

from dataclasses import dataclass, field

from wardstair.decisions.entry_expiry import ContactPeriod
from wardstair.fleet.heartbeats import HeartbeatDatagram, PeerName, Versions


@dataclass(slots=True)
class Member:
    """Another entry host, as known from its heartbeats.

    Attributes:
        peer: Name and addresses of the host.
        heard_at: Monotonic time of its last heartbeat; before the first one,
            when this host learned its name.
        confirmed_at: Monotonic time when it was last heard, or named by a host
            that hears it.
        run: Identifies the run of its process; 0 before the first heartbeat.
        number: Sequence number of its last heartbeat.
        is_leaving: Whether it is about to stop.
        hears_store: Whether it is in contact with the store.
        is_sentinel: Whether it is a sentinel, which watches the store for all.
        is_contact_suspect: Whether one of its watches of the store is late.
        is_busy: Whether it is short of processor time.
        is_relay: Whether it is a relay of its zone.
        zone_size: Number of hosts that it knows in its zone.
        fleet_size: Number of hosts that it knows in all zones.
        versions: Versions of its state.
        load: Requests per second from its callers.
        contact: Its contact period with the store, in this host's monotonic
            time; None if it has no contact.
        was_live: Whether it was live at the last check.
        lost: Groups of upstreams that it does not reach.
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

    def update(self, heartbeat: HeartbeatDatagram, now: float) -> None:
        """Update the state from a heartbeat."""
        self.peer = heartbeat.sender
        self.heard_at = now
        self.confirmed_at = now
        self.run = heartbeat.run
        self.number = heartbeat.number
        self.hears_store = heartbeat.hears_store
        self.is_sentinel = heartbeat.is_sentinel
        self.is_contact_suspect = heartbeat.is_contact_suspect
        self.is_busy = heartbeat.is_busy
        self.is_relay = heartbeat.is_relay
        self.zone_size = heartbeat.zone_size
        self.fleet_size = heartbeat.fleet_size
        self.versions = heartbeat.versions
        self.load = heartbeat.load
        self.lost = frozenset(heartbeat.lost)
        self.contact = None
        if heartbeat.contact is not None:
            age = heartbeat.contact
            self.contact = ContactPeriod(now - age.begin, now - age.proof)
