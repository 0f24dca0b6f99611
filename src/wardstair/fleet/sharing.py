"""Encoding of the state that an entry host sends to one that is behind.

The configuration is sent complete and compressed, since its routes are similar.
The evacuations and the roll-outs are sent complete, the upstreams as changes
since the revision that the other host has.
"""

import zlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

import cbor2

from wardstair.decisions.state_age import ReportedAge
from wardstair.decisions.suspicion import Evidence
from wardstair.fleet.fields import (
    DECODE_ERRORS,
    as_document,
    as_name,
    as_number,
    as_port,
    as_whole,
    is_ip,
    unpacked,
    usable,
)
from wardstair.fleet.heartbeats import Versions, age_of, age_row, versions_of
from wardstair.fleet.rollout_rows import rollouts_of, rollouts_row
from wardstair.state.catalog import CatalogChanges
from wardstair.state.entries import UpstreamEntry, UpstreamPhase
from wardstair.state.limits import SharedLimit
from wardstair.state.removals import Gap, Removal
from wardstair.state.revision import Revision
from wardstair.state.shared_rollouts import SharedRollouts

_FORMAT = 8
# The store keeps at most about a megabyte in one object.
_MAX_DOCUMENT_BYTES = 8_388_608
_REQUEST_BYTES = 8
_MAX_SLOTS = 10_000
_MAX_COLD_SECONDS = 1e6
# The fastest zlib level is enough, as routes are similar.
_COMPRESSION_LEVEL = 1


@dataclass(frozen=True, slots=True)
class SharedConfiguration:
    """The configuration as stored by the platform.

    Attributes:
        revision: Store revision of the object.
        document: Its contents; the platform's adapter decodes them.
    """

    revision: Revision
    document: object


@dataclass(frozen=True, slots=True)
class SharedEvacuations:
    """Evacuated availability zones, which receive no requests.

    Attributes:
        revision: Store revision of the list.
        zones: The zones.
    """

    revision: Revision
    zones: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class SharedRestore:
    """A recent restore of the store.

    Attributes:
        era: Era of the store that began with the restore.
        age: Seconds since the sender learned of it.
        zones: Availability zones that the sender keeps evacuated although they
            are missing in the restored store.
    """

    era: int
    age: float
    zones: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class SharedState:
    """Parts of the state in which the sender is ahead; None for other parts.

    Attributes:
        age: Age of the sender's state; None if it was never known to be
            complete, or if some parts are missing.
    """

    configuration: SharedConfiguration | None = None
    evacuations: SharedEvacuations | None = None
    upstreams: CatalogChanges | None = None
    suspects: Mapping[str, Evidence] = field(default_factory=dict)
    limits: Mapping[str, SharedLimit] = field(default_factory=dict)
    restore: SharedRestore | None = None
    age: ReportedAge | None = None
    rollouts: SharedRollouts | None = None


@dataclass(slots=True)
class StateEncoder:
    """Encodes parts of state; caches the last encoded configuration.

    All hosts of a zone request a new version at about the same time.
    """

    _revision: Revision | None = None
    _compressed: bytes = field(default=b'')

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
                    self._compress(configuration),
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
                state.rollouts and rollouts_row(state.rollouts),
            ]
        )

    def _compress(self, configuration: SharedConfiguration) -> bytes:
        if configuration.revision != self._revision:
            document = cbor2.dumps(configuration.document)
            self._compressed = zlib.compress(document, _COMPRESSION_LEVEL)
            self._revision = configuration.revision
        return self._compressed


def decode_state(encoded: bytes) -> SharedState | None:
    """Decode parts of state; return None if they are not valid."""
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
            row[8] and rollouts_of(row[8]),
        )
    except DECODE_ERRORS:
        return None


def encode_versions(versions: Versions) -> str:
    """Encode the versions of a host's state as a query."""
    return '.'.join(str(number) for number in versions.numbers)


def decode_versions(text: str) -> Versions | None:
    """Decode a query of versions; return None if it is not valid."""
    try:
        return versions_of(int(number) for number in text.split('.'))
    except ValueError:
        return None


def _revision_row(revision: Revision) -> list[int]:
    return [revision.era, revision.number]


def _revision(row: list[Any]) -> Revision:
    era, revision = row
    return Revision(as_whole(era), as_whole(revision))


def _configuration(
    era: int,
    revision: int,
    compressed: bytes,
) -> SharedConfiguration:
    encoded = unpacked(compressed, _MAX_DOCUMENT_BYTES)
    return SharedConfiguration(
        _revision([era, revision]), as_document(cbor2.loads(encoded))
    )


def _evacuations(
    era: int,
    revision: int,
    zones: Iterable[str],
) -> SharedEvacuations:
    return SharedEvacuations(_revision([era, revision]), usable(as_name, zones))


def _restore_row(restore: SharedRestore) -> list[object]:
    return [restore.era, round(restore.age, 3), list(restore.zones)]


def _restore(era: int, age: float, zones: Iterable[str]) -> SharedRestore:
    return SharedRestore(as_whole(era), as_number(age), usable(as_name, zones))


def _suspects_row(suspects: Mapping[str, Evidence]) -> list[object]:
    """Encode each incarnation once; requests refer to it by index."""
    indexes: dict[str, int] = {}
    rows: list[object] = []
    for request, one in suspects.items():
        ended = [
            [indexes.setdefault(incarnation, len(indexes)), at]
            for incarnation, at in one.ended.items()
        ]
        answered = [
            indexes.setdefault(incarnation, len(indexes))
            for incarnation in one.answered
        ]
        rows.append([bytes.fromhex(request), ended, answered, one.lifted_at])
    return [list(indexes), rows]


def _suspects(
    incarnations: list[str],
    rows: list[list[Any]],
) -> dict[str, Evidence]:
    def read(row: list[Any]) -> tuple[str, Evidence]:
        request, ended, answered, lifted_at = row
        if not isinstance(request, bytes) or len(request) != _REQUEST_BYTES:
            raise ValueError('expected the digest of a request')
        return request.hex(), Evidence(
            {
                as_name(incarnations[as_whole(one)]): as_whole(at)
                for one, at in ended
            },
            frozenset(as_name(incarnations[as_whole(one)]) for one in answered),
            as_whole(lifted_at),
        )

    return dict(usable(read, rows))


def _limits(rows: list[list[Any]]) -> dict[str, SharedLimit]:
    return dict(usable(_limit, rows))


def _limit(row: list[Any]) -> tuple[str, SharedLimit]:
    upstream, born, rate, age = row
    limit = None if rate is None else as_number(rate)
    return as_name(upstream), SharedLimit(as_whole(born), limit, as_number(age))


def _changes_row(changes: CatalogChanges) -> list[object]:
    return [
        _revision_row(changes.since),
        _revision_row(changes.revision),
        [_entry_row(entry) for entry in changes.entries],
        [
            [one.name, *_revision_row(one.revision), one.born, one.is_listed]
            for one in changes.removals
        ],
        {name: round(left, 3) for name, left in changes.missing.items()},
        [_entry_row(entry) for entry in changes.stale],
        [
            _revision_row(gap.after) + _revision_row(gap.before)
            for gap in changes.gaps
        ],
    ]


def _changes(row: list[Any]) -> CatalogChanges:
    since, revision, entries, *rest = row
    removals, missing, *rest = rest
    stale, gaps = rest
    return CatalogChanges(
        _revision(since),
        _revision(revision),
        usable(_entry, entries),
        usable(_removal, removals),
        dict(usable(_left, missing.items())),
        usable(_entry, stale),
        tuple(Gap(_revision(gap[:2]), _revision(gap[2:])) for gap in gaps),
    )


def _removal(row: list[Any]) -> Removal:
    upstream, era, revision, *rest = row
    born, is_listed = rest
    return Removal(
        _revision([era, revision]),
        as_name(upstream),
        as_whole(born),
        is_listed=bool(is_listed),
    )


def _left(row: tuple[object, object]) -> tuple[str, float]:
    upstream, seconds = row
    return as_name(upstream), as_number(seconds, least=-_MAX_COLD_SECONDS)


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
        entry.version,
    ]


def _entry(row: list[Any]) -> UpstreamEntry:
    upstream, service, *rest = row
    host, own_port, zone, *rest = rest
    slots, phase, *rest = rest
    cold, era, revision, *rest = rest
    born, version = rest
    if not is_ip(as_name(host)):
        raise ValueError('expected an IPv4 address')
    return UpstreamEntry(
        name=as_name(upstream),
        service=as_name(service),
        host=host,
        port=as_port(own_port),
        zone=as_name(zone),
        slots=as_whole(slots, least=1, most=_MAX_SLOTS),
        phase=UpstreamPhase(phase),
        cold_seconds=as_number(cold, most=_MAX_COLD_SECONDS),
        revision=_revision([era, revision]),
        born=as_whole(born),
        version=as_name(version),
    )
