"""What one entry host hands another that is behind: whole parts of state."""

from dataclasses import dataclass

import cbor2

from wardstair.fleet.beats import Versions
from wardstair.state.entries import UpstreamEntry, UpstreamPhase

_FORMAT = 1
UNREADABLE = (cbor2.CBORDecodeError, ValueError, TypeError, LookupError)


@dataclass(frozen=True, slots=True)
class SharedConfiguration:
    """The configuration as the platform stores it.

    Attributes:
        revision: Store revision of the object.
        document: Its contents, to be decoded by the platform's adapter.
    """

    revision: int
    document: object


@dataclass(frozen=True, slots=True)
class SharedEvacuations:
    """Availability zones that get nothing.

    Attributes:
        revision: Store revision of the set.
        zones: The zones.
    """

    revision: int
    zones: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class SharedUpstreams:
    """All upstreams.

    Attributes:
        revision: Store revision of the list.
        entries: The upstreams, with the cold time that is left.
    """

    revision: int
    entries: tuple[UpstreamEntry, ...]


@dataclass(frozen=True, slots=True)
class SharedState:
    """The parts in which the sender is ahead; None for the others."""

    configuration: SharedConfiguration | None = None
    evacuations: SharedEvacuations | None = None
    upstreams: SharedUpstreams | None = None


def encode_state(state: SharedState) -> bytes:
    """Encode parts of state."""
    configuration = state.configuration
    evacuations = state.evacuations
    upstreams = state.upstreams
    return cbor2.dumps(
        [
            _FORMAT,
            configuration and [configuration.revision, configuration.document],
            evacuations and [evacuations.revision, list(evacuations.zones)],
            upstreams
            and [
                upstreams.revision,
                [_entry_row(entry) for entry in upstreams.entries],
            ],
        ]
    )


def decode_state(encoded: bytes) -> SharedState | None:
    """Decode parts of state; None if they are not of this format."""
    try:
        row = cbor2.loads(encoded)
        if row[0] != _FORMAT:
            return None
        return SharedState(
            row[1] and SharedConfiguration(*row[1]),
            row[2] and SharedEvacuations(row[2][0], tuple(row[2][1])),
            row[3]
            and SharedUpstreams(
                row[3][0],
                tuple(_entry(entry) for entry in row[3][1]),
            ),
        )
    except UNREADABLE:
        return None


def encode_versions(versions: Versions) -> str:
    """Return the query by which a host says how far it is."""
    numbers = (
        versions.configuration,
        versions.evacuations,
        versions.upstreams,
    )
    return '.'.join(str(number) for number in numbers)


def decode_versions(text: str) -> Versions | None:
    """Decode such a query; None if it is none."""
    try:
        configuration, evacuations, upstreams = (
            int(number) for number in text.split('.')
        )
    except ValueError:
        return None
    return Versions(configuration, evacuations, upstreams)


def _entry_row(entry: UpstreamEntry) -> list[object]:
    return [
        entry.name,
        entry.service,
        entry.host,
        entry.port,
        entry.zone,
        entry.slots,
        entry.phase.value,
        round(entry.cold_seconds, 3),
    ]


def _entry(row: list[str]) -> UpstreamEntry:
    name, service, *rest = row
    host, port, zone, *rest = rest
    slots, phase, cold = rest
    return UpstreamEntry(
        name=name,
        service=service,
        host=host,
        port=int(port),
        zone=zone,
        slots=int(slots),
        phase=UpstreamPhase(phase),
        cold_seconds=float(cold),
    )
