"""What one entry host hands another that is behind.

The configuration travels whole and deflated (its routes look alike), the
evacuations whole, the upstreams as changes since what the other knows.
"""

import zlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

import cbor2

from wardstair.decisions.state_age import ToldAge
from wardstair.decisions.suspicion import Evidence
from wardstair.fleet.heartbeats import Versions, age_of, age_row, versions_of
from wardstair.state.catalog import CatalogChanges
from wardstair.state.entries import UpstreamEntry, UpstreamPhase
from wardstair.state.limits import SharedLimit
from wardstair.state.revision import Revision

_FORMAT = 6
UNREADABLE = (
    cbor2.CBORDecodeError,
    zlib.error,
    ValueError,
    TypeError,
    LookupError,
)
# Level of deflation: the fastest one; routes look alike enough for it.
_DEFLATION = 1


@dataclass(frozen=True, slots=True)
class SharedConfiguration:
    """The configuration as the platform stores it.

    Attributes:
        revision: Store revision of the object.
        document: Its contents, to be decoded by the platform's adapter.
    """

    revision: Revision
    document: object


@dataclass(frozen=True, slots=True)
class SharedEvacuations:
    """Availability zones that get nothing.

    Attributes:
        revision: Store revision of the set.
        zones: The zones.
    """

    revision: Revision
    zones: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class SharedRestore:
    """A restore of the store that is some seconds old.

    Attributes:
        era: The era that began with it.
        age: Seconds since the sender knows of it.
        zones: Availability zones that the sender keeps evacuated though the
            store lacks them.
    """

    era: int
    age: float
    zones: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class SharedState:
    """The parts in which the sender is ahead; None for the others.

    Attributes:
        age: Age of the sender's state; None if it was never known to be
            complete, or if not all parts are there.
    """

    configuration: SharedConfiguration | None = None
    evacuations: SharedEvacuations | None = None
    upstreams: CatalogChanges | None = None
    suspects: Mapping[str, Evidence] = field(default_factory=dict)
    limits: Mapping[str, SharedLimit] = field(default_factory=dict)
    restore: SharedRestore | None = None
    age: ToldAge | None = None


@dataclass(slots=True)
class StateEncoder:
    """Encodes parts of state; keeps the configuration it encoded last.

    All hosts of a zone ask for a new version within a moment.
    """

    _revision: Revision | None = None
    _deflated: bytes = field(default=b'')

    def encode(self, state: SharedState) -> bytes:
        """Encode parts of state."""
        configuration = state.configuration
        evacuations = state.evacuations
        return cbor2.dumps(
            [
                _FORMAT,
                configuration
                and [
                    *_revision_row(configuration.revision),
                    self._deflate(configuration),
                ],
                evacuations
                and [
                    *_revision_row(evacuations.revision),
                    list(evacuations.zones),
                ],
                state.upstreams and _changes_row(state.upstreams),
                _suspects_row(state.suspects),
                [
                    [name, one.born, one.rate, round(one.age, 3)]
                    for name, one in state.limits.items()
                ],
                state.restore and _restore_row(state.restore),
                age_row(state.age),
            ]
        )

    def _deflate(self, configuration: SharedConfiguration) -> bytes:
        if configuration.revision != self._revision:
            document = cbor2.dumps(configuration.document)
            self._deflated = zlib.compress(document, _DEFLATION)
            self._revision = configuration.revision
        return self._deflated


def decode_state(encoded: bytes) -> SharedState | None:
    """Decode parts of state; None if they are not of this format."""
    try:
        row = cbor2.loads(encoded)
        if row[0] != _FORMAT:
            return None
        return SharedState(
            row[1] and _configuration(*row[1]),
            row[2] and _evacuations(*row[2]),
            row[3] and _changes(row[3]),
            _suspects(*row[4]),
            _limits(row[5]),
            row[6] and _restore(*row[6]),
            age_of(row[7]),
        )
    except UNREADABLE:
        return None


def encode_versions(versions: Versions) -> str:
    """Return the query by which a host says how far it is."""
    return '.'.join(str(number) for number in versions.numbers)


def decode_versions(text: str) -> Versions | None:
    """Decode such a query; None if it is none."""
    try:
        return versions_of(int(number) for number in text.split('.'))
    except ValueError:
        return None


def _revision_row(revision: Revision) -> list[int]:
    return [revision.era, revision.number]


def _revision(row: list[Any]) -> Revision:
    era, number = row
    return Revision(int(era), int(number))


def _configuration(
    era: int,
    number: int,
    deflated: bytes,
) -> SharedConfiguration:
    document = cbor2.loads(zlib.decompress(deflated))
    return SharedConfiguration(Revision(era, number), document)


def _evacuations(
    era: int,
    number: int,
    zones: Iterable[str],
) -> SharedEvacuations:
    return SharedEvacuations(Revision(era, number), tuple(zones))


def _restore_row(restore: SharedRestore) -> list[object]:
    return [restore.era, round(restore.age, 3), list(restore.zones)]


def _restore(era: int, age: float, zones: Iterable[str]) -> SharedRestore:
    return SharedRestore(int(era), float(age), tuple(zones))


def _suspects_row(suspects: Mapping[str, Evidence]) -> list[object]:
    """Return lives once, and requests with numbers of lives."""
    lives: dict[str, int] = {}
    rows: list[object] = []
    for request, one in suspects.items():
        ended = [
            [lives.setdefault(life, len(lives)), at]
            for life, at in one.ended.items()
        ]
        answered = [lives.setdefault(life, len(lives)) for life in one.answered]
        rows.append([bytes.fromhex(request), ended, answered, one.lifted_at])
    return [list(lives), rows]


def _suspects(lives: list[str], rows: list[list[Any]]) -> dict[str, Evidence]:
    return {
        bytes(request).hex(): Evidence(
            {str(lives[number]): int(at) for number, at in ended},
            frozenset(str(lives[number]) for number in answered),
            int(lifted_at),
        )
        for request, ended, answered, lifted_at in rows
    }


def _limits(rows: list[list[Any]]) -> dict[str, SharedLimit]:
    return {
        str(name): SharedLimit(
            int(born),
            None if rate is None else float(rate),
            float(age),
        )
        for name, born, rate, age in rows
    }


def _changes_row(changes: CatalogChanges) -> list[object]:
    return [
        _revision_row(changes.since),
        _revision_row(changes.revision),
        [_entry_row(entry) for entry in changes.entries],
        list(changes.removed),
        {name: round(left, 3) for name, left in changes.missing.items()},
        [_entry_row(entry) for entry in changes.doubted],
    ]


def _changes(row: list[Any]) -> CatalogChanges:
    since, revision, entries, *rest = row
    removed, missing, doubted = rest
    return CatalogChanges(
        _revision(since),
        _revision(revision),
        tuple(_entry(entry) for entry in entries),
        tuple(removed),
        {name: float(left) for name, left in missing.items()},
        tuple(_entry(entry) for entry in doubted),
    )


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
        *_revision_row(entry.revision),
        entry.born,
    ]


def _entry(row: list[str]) -> UpstreamEntry:
    name, service, *rest = row
    host, port, zone, *rest = rest
    slots, phase, *rest = rest
    cold, era, number, born = rest
    return UpstreamEntry(
        name=name,
        service=service,
        host=host,
        port=int(port),
        zone=zone,
        slots=int(slots),
        phase=UpstreamPhase(phase),
        cold_seconds=float(cold),
        revision=Revision(int(era), int(number)),
        born=int(born),
    )
