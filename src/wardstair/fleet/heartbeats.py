"""Heartbeats between entry hosts, encoded in CBOR as UDP datagrams.

UDP is used instead of a connection per pair of hosts, because the next
heartbeat replaces a lost one and an unreachable peer blocks nothing. Heartbeats
contain the versions of state, not the state itself. `heartbeat_endpoint`
decides who sends to whom.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

import cbor2

from wardstair.decisions.agreement import ListedState
from wardstair.decisions.state_age import ReportedAge
from wardstair.fleet.fields import (
    DECODE_ERRORS,
    MAX_WHOLE,
    as_name,
    as_number,
    as_whole,
    usable,
)
from wardstair.state.revision import NO_REVISION, Revision

# Hosts drop datagrams of another format, so that two versions of the program in
# one fleet do not misread each other.
_FORMAT = 13
# More hosts than any fleet has, and more cores than any of them.
_MAX_HOSTS = 100_000
_MAX_CORES = 10_000.0
_MIN_CORES = 0.001
# A clock that steps back may make an age negative.
_MIN_AGE = -MAX_WHOLE
# Maximum number of hosts named in one datagram, so that it stays small.
MAX_NAMED = 16


class HeartbeatKind(IntEnum):
    """Purpose of a datagram."""

    heartbeat = 0
    # Requests the names of other hosts; a host sends it when it starts.
    hello = 1
    # Names the relays of the sender's zone, for a relay of another zone that
    # wrongly sent to this host as a relay.
    redirect = 2
    # Answers a hello with names of hosts that the sender knows.
    answer = 3


@dataclass(frozen=True, slots=True)
class PeerName:
    """Name and addresses of an entry host.

    Attributes:
        name: Name of the host.
        zone: Its availability zone.
        address: Its IP address.
        front: Its address for callers, `ip:port`.
        size: Number of processor cores that it may use.
    """

    name: str
    zone: str
    address: str
    front: str
    size: float = 1.0


@dataclass(frozen=True, slots=True)
class Versions:
    """Versions of a host's state; a larger number is newer.

    Attributes:
        configuration: Version of the configuration in force; -1 for none.
        evacuations: Store revision of its list of evacuations.
        upstreams: Store revision of its list of upstreams.
        suspects: Digest of its evidence on requests that end upstreams. Digests
            have no order; they are only compared for equality.
        limits: Digest of the limits that upstreams have stated.
        kept: Digest of the evacuations that it keeps after a restore of the
            store; 0 for none.
        listed: Digest of the upstreams that the store lists at the revision
            `upstreams`.
        rollouts: Store revision up to which it knows all orders of roll-outs;
            none if they are not in use.
        past_rollouts: Digest of what it knows of roll-outs beyond the store's
            list; 0 for nothing.
    """

    configuration: int = -1
    evacuations: Revision = NO_REVISION
    upstreams: Revision = NO_REVISION
    suspects: int = 0
    limits: int = 0
    kept: int = 0
    listed: int = 0
    rollouts: Revision = NO_REVISION
    past_rollouts: int = 0

    @property
    def listed_state(self) -> ListedState:
        """What the host believes that the store lists."""
        return ListedState(self.upstreams, self.listed)

    @property
    def numbers(self) -> list[int]:
        """The versions as encoded; `versions_of` decodes them."""
        return [
            self.configuration,
            self.evacuations.era,
            self.evacuations.number,
            self.upstreams.era,
            self.upstreams.number,
            self.suspects,
            self.limits,
            self.kept,
            self.listed,
            self.rollouts.era,
            self.rollouts.number,
            self.past_rollouts,
        ]


def versions_of(numbers: Iterable[int]) -> Versions:
    """Decode versions from numbers.

    Raises:
        ValueError: The count differs from that of `Versions.numbers`.
    """
    configuration, *rest = numbers
    as_whole(configuration, least=-1)
    for one in rest:
        as_whole(one)
    evacuations_era, evacuations, *rest = rest
    upstreams_era, upstreams, *rest = rest
    suspects, limits, *rest = rest
    kept, listed, *rest = rest
    rollouts_era, rollouts, past_rollouts = rest
    return Versions(
        configuration,
        Revision(evacuations_era, evacuations),
        Revision(upstreams_era, upstreams),
        suspects,
        limits,
        kept,
        listed,
        Revision(rollouts_era, rollouts),
        past_rollouts,
    )


@dataclass(frozen=True, slots=True)
class ZoneLoad:
    """The load of an availability zone.

    Attributes:
        zone: The zone.
        load: Requests per second from callers, of all its hosts.
    """

    zone: str
    load: float


@dataclass(frozen=True, slots=True)
class ContactAge:
    """Age of a host's contact period with the store.

    Attributes:
        begin: Seconds since the uninterrupted contact began.
        proof: Seconds since the store last answered.
    """

    begin: float
    proof: float


@dataclass(frozen=True, slots=True)
class HeartbeatDatagram:
    """A heartbeat.

    Attributes:
        kind: Purpose of the datagram.
        sender: The sending host.
        run: Identifies the run of the sender's process.
        number: Sequence number within the run.
        is_leaving: Whether the sender is about to stop.
        hears_store: Whether the sender is in contact with the store.
        is_busy: Whether the sender is short of processor time.
        is_relay: Whether the sender is a relay, which represents its zone in
            other zones.
        zone_size: Number of hosts that the sender knows in its zone, itself
            included.
        fleet_size: Number of hosts that the sender knows in all zones.
        versions: Versions of the sender's state.
        named: Other hosts that the sender knows.
        load: Requests per second from the sender's callers.
        zone_loads: Load of zones, while hosts need it.
        contact: Age of the sender's contact with the store; None if it has
            none.
        is_sentinel: Whether the sender is a sentinel, which watches the store
            for all.
        is_contact_suspect: Whether a watch of the store by the sender is late.
        lost: Groups of upstreams that the sender does not reach.
        state_age: Age of the sender's state; None if it was never known to be
            complete.
    """

    kind: HeartbeatKind
    sender: PeerName
    run: int
    number: int
    is_leaving: bool
    hears_store: bool
    is_busy: bool
    is_relay: bool
    zone_size: int
    fleet_size: int
    versions: Versions
    named: tuple[PeerName, ...] = ()
    load: float = 0.0
    zone_loads: tuple[ZoneLoad, ...] = ()
    contact: ContactAge | None = None
    is_sentinel: bool = False
    is_contact_suspect: bool = False
    lost: tuple[str, ...] = ()
    state_age: ReportedAge | None = None


def encode_heartbeat(heartbeat: HeartbeatDatagram) -> bytes:
    """Encode a heartbeat as one datagram."""
    return cbor2.dumps(
        [
            _FORMAT,
            int(heartbeat.kind),
            _name_row(heartbeat.sender),
            heartbeat.run,
            heartbeat.number,
            heartbeat.is_leaving,
            heartbeat.hears_store,
            heartbeat.is_busy,
            heartbeat.is_relay,
            heartbeat.zone_size,
            heartbeat.fleet_size,
            heartbeat.versions.numbers,
            [_name_row(peer) for peer in heartbeat.named],
            round(heartbeat.load, 1),
            [[one.zone, round(one.load, 1)] for one in heartbeat.zone_loads],
            _contact_row(heartbeat.contact),
            heartbeat.is_sentinel,
            heartbeat.is_contact_suspect,
            heartbeat.lost,
            age_row(heartbeat.state_age),
        ]
    )


def decode_heartbeat(datagram: bytes) -> HeartbeatDatagram | None:
    """Decode a datagram; return None if it is not a valid heartbeat."""
    try:
        row = cbor2.loads(datagram)
        if row[0] != _FORMAT:
            return None
        return HeartbeatDatagram(
            HeartbeatKind(as_whole(row[1])),
            _peer(row[2]),
            as_whole(row[3]),
            as_whole(row[4]),
            bool(row[5]),
            bool(row[6]),
            bool(row[7]),
            bool(row[8]),
            as_whole(row[9], most=_MAX_HOSTS),
            as_whole(row[10], most=_MAX_HOSTS),
            versions_of(row[11]),
            usable(_peer, row[12]),
            as_number(row[13]),
            usable(_zone_load, row[14]),
            ContactAge(*map(_age, row[15])) if row[15] else None,
            bool(row[16]),
            bool(row[17]),
            usable(as_name, row[18]),
            age_of(row[19]),
        )
    except DECODE_ERRORS:
        return None


def age_row(age: ReportedAge | None) -> list[float]:
    """Encode an age; `age_of` decodes it."""
    return [] if age is None else [round(age.seconds, 3), age.hops]


def age_of(row: list[float]) -> ReportedAge | None:
    """Decode an age.

    Raises:
        ValueError: The row was not encoded by `age_row`.
    """
    if not row:
        return None
    seconds, hops = row
    return ReportedAge(_age(seconds), as_whole(hops))


def _age(field: object) -> float:
    return as_number(field, least=_MIN_AGE)


def _peer(row: list[object]) -> PeerName:
    own_name, zone, *rest = row
    address, front, size = rest
    return PeerName(
        as_name(own_name),
        as_name(zone),
        as_name(address),
        as_name(front),
        as_number(size, _MIN_CORES, _MAX_CORES),
    )


def _zone_load(row: list[object]) -> ZoneLoad:
    zone, load = row
    return ZoneLoad(as_name(zone), as_number(load))


def _contact_row(contact: ContactAge | None) -> list[float]:
    if contact is None:
        return []
    return [round(contact.begin, 1), round(contact.proof, 1)]


def _name_row(peer: PeerName) -> list[object]:
    return [peer.name, peer.zone, peer.address, peer.front, peer.size]
