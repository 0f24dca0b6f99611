"""Heartbeats between entry hosts: small datagrams in CBOR.

Datagrams fit better than a link a pair: a heartbeat that is lost is replaced
by the next, and a peer that is cut off holds nothing up. State itself never
travels in them, only its versions. Who sends to whom: see `radio`.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

import cbor2

from wardstair.decisions.state_age import ToldAge
from wardstair.state.revision import NO_REVISION, Revision

# Two versions of the program in one fleet drop each other's datagrams
# instead of misreading them.
_FORMAT = 11
_UNREADABLE = (cbor2.CBORDecodeError, ValueError, TypeError, LookupError)
# Hosts named in one answer to a newcomer, so that a datagram holds them.
MAX_NAMED = 16


class HeartbeatKind(IntEnum):
    """What a datagram is for."""

    heartbeat = 0
    # From a host that has just started; answered by names of others.
    hello = 1
    # To a host of another zone that took this one for a relay of its zone:
    # names the hosts that are.
    redirect = 2
    # To a host that has asked: names hosts the sender hears or was told of.
    answer = 3


@dataclass(frozen=True, slots=True)
class PeerName:
    """Where an entry host is.

    Attributes:
        name: Its name.
        zone: Its availability zone.
        address: Its IP address.
        front: Its address for callers, `ip:port`.
        size: Processor cores that it may use.
    """

    name: str
    zone: str
    address: str
    front: str
    size: float = 1.0


@dataclass(frozen=True, slots=True)
class Versions:
    """How new the state of a host is; a larger number is newer.

    Attributes:
        configuration: Version of the configuration in force; -1 for none.
        evacuations: Store revision of its list of evacuations.
        upstreams: Store revision of its list of upstreams.
        suspects: Digest of what it knows of requests that end upstreams; not
            newer or older, but the same or another.
        limits: Digest of what it knows of limits that upstreams name; likewise.
        kept: Digest of the evacuations that it keeps after a restore of the
            store; 0 for none.
    """

    configuration: int = -1
    evacuations: Revision = NO_REVISION
    upstreams: Revision = NO_REVISION
    suspects: int = 0
    limits: int = 0
    kept: int = 0

    @property
    def numbers(self) -> list[int]:
        """As they travel; `versions_of` is the inverse."""
        return [
            self.configuration,
            self.evacuations.era,
            self.evacuations.number,
            self.upstreams.era,
            self.upstreams.number,
            self.suspects,
            self.limits,
            self.kept,
        ]


def versions_of(numbers: Iterable[int]) -> Versions:
    """Return the versions that travelled as numbers.

    Raises:
        ValueError: There are more or fewer than `Versions.numbers` gives.
    """
    configuration, *rest = numbers
    evacuations_era, evacuations, *rest = rest
    upstreams_era, upstreams, *rest = rest
    suspects, limits, kept = rest
    return Versions(
        configuration,
        Revision(evacuations_era, evacuations),
        Revision(upstreams_era, upstreams),
        suspects,
        limits,
        kept,
    )


@dataclass(frozen=True, slots=True)
class ZoneLoad:
    """The load of an availability zone.

    Attributes:
        zone: The zone.
        load: Requests a second of callers, of all its hosts.
    """

    zone: str
    load: float


@dataclass(frozen=True, slots=True)
class ContactAge:
    """How long ago a host's contact with the store began and was proved.

    Attributes:
        begin: Seconds since it began; it was not interrupted.
        proof: Seconds since the store last answered.
    """

    begin: float
    proof: float


@dataclass(frozen=True, slots=True)
class HeartbeatDatagram:
    """One heartbeat.

    Attributes:
        kind: What it is for.
        sender: Who sends it.
        run: Names the run of the sender's process.
        number: Grows with each heartbeat of a run.
        is_leaving: Whether the sender is about to stop.
        hears_store: Whether the sender is in contact with the store.
        is_busy: Whether the sender is short of processor time.
        is_relay: Whether the sender speaks for its zone to other zones.
        zone_size: Hosts that the sender knows of in its zone, itself included.
        fleet_size: Hosts that the sender knows of in all zones.
        versions: How new its state is.
        named: Other hosts that the sender hears.
        load: Requests a second of the sender's callers.
        zone_loads: Load of zones, while it is needed.
        contact: Age of the sender's contact with the store; None if it has
            none.
        is_sentinel: Whether the sender watches the store closely for all.
        is_contact_suspect: Whether a watch of the sender is late.
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
    state_age: ToldAge | None = None


def encode_heartbeat(beat: HeartbeatDatagram) -> bytes:
    """Encode a heartbeat as one datagram."""
    return cbor2.dumps(
        [
            _FORMAT,
            int(beat.kind),
            _name_row(beat.sender),
            beat.run,
            beat.number,
            beat.is_leaving,
            beat.hears_store,
            beat.is_busy,
            beat.is_relay,
            beat.zone_size,
            beat.fleet_size,
            beat.versions.numbers,
            [_name_row(peer) for peer in beat.named],
            round(beat.load, 1),
            [[told.zone, round(told.load, 1)] for told in beat.zone_loads],
            _contact_row(beat.contact),
            beat.is_sentinel,
            beat.is_contact_suspect,
            beat.lost,
            age_row(beat.state_age),
        ]
    )


def decode_heartbeat(datagram: bytes) -> HeartbeatDatagram | None:
    """Decode a datagram; None if it is no heartbeat of this format."""
    try:
        row = cbor2.loads(datagram)
        if row[0] != _FORMAT:
            return None
        return HeartbeatDatagram(
            HeartbeatKind(row[1]),
            PeerName(*row[2]),
            int(row[3]),
            int(row[4]),
            bool(row[5]),
            bool(row[6]),
            bool(row[7]),
            bool(row[8]),
            int(row[9]),
            int(row[10]),
            versions_of(row[11]),
            tuple(PeerName(*peer) for peer in row[12]),
            float(row[13]),
            tuple(ZoneLoad(zone, float(load)) for zone, load in row[14]),
            ContactAge(*map(float, row[15])) if row[15] else None,
            bool(row[16]),
            bool(row[17]),
            tuple(str(group) for group in row[18]),
            age_of(row[19]),
        )
    except _UNREADABLE:
        return None


def age_row(age: ToldAge | None) -> list[float]:
    """Return an age as it travels; `age_of` is the inverse."""
    return [] if age is None else [round(age.seconds, 3), age.hops]


def age_of(row: list[float]) -> ToldAge | None:
    """Return the age that travelled as a row.

    Raises:
        ValueError: It is no row of `age_row`.
    """
    if not row:
        return None
    seconds, hops = row
    return ToldAge(float(seconds), int(hops))


def _contact_row(contact: ContactAge | None) -> list[float]:
    if contact is None:
        return []
    return [round(contact.begin, 1), round(contact.proof, 1)]


def _name_row(peer: PeerName) -> list[object]:
    return [peer.name, peer.zone, peer.address, peer.front, peer.size]
