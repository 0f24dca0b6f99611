"""Roll-outs of a service for tests, and a host that knows them."""

from dataclasses import replace

from lib.revisions import at
from lib.specs import Stored, configuration_spec
from lib.upstreams import ENTRY, Clock
from wardstair.decisions.rollouts import RolloutStage, RolloutState
from wardstair.platform.objects import Metadata, StoredObject
from wardstair.state.catalog import Catalog
from wardstair.state.entries import UpstreamEntry
from wardstair.state.local_state import LocalState
from wardstair.state.revision import Revision
from wardstair.state.rollouts import (
    Rollout,
    RolloutOrder,
    RolloutRecord,
    RolloutTable,
    VersionRole,
)

SERVICE = ENTRY.service
# How long operators may take to write again what a restored store lacks.
PERIOD = 6.0


def order_spec(version: str = 'v2', **fields: object) -> Stored:
    """Return the spec of an operator's order."""
    return {
        'service': SERVICE,
        'target_version': version,
        'duration_s': 12,
        **fields,
    }


def rollout_of(
    version: str,
    revision: Revision,
    record: RolloutRecord | None = None,
    service: str = SERVICE,
) -> Rollout:
    return Rollout(RolloutOrder(service, version, 12.0), record, revision)


def record_of(
    version: str, state: RolloutState = RolloutState.running, reserved: int = 0
) -> RolloutRecord:
    stage = RolloutStage.stopped if state.is_final else RolloutStage.testing
    return RolloutRecord(version, state, stage, reserved, 0, 10.0, 'host-a')


def entry_of(version: str, number: int = 1, era: int = 1) -> UpstreamEntry:
    """Return the entry of an upstream of a version."""
    return replace(
        ENTRY,
        name=f'i-{version}-{number}',
        version=version,
        revision=at(number, era),
    )


class KnowingHost:
    """The state of a host with a configuration, where roll-outs are in use."""

    def __init__(self, clock: Clock | None = None) -> None:
        self.clock = clock or Clock()
        self.table = RolloutTable()
        self.state = LocalState(
            self.clock, Catalog(self.clock), rollouts=self.table
        )
        self.state.restoration.period = lambda: PERIOD
        self.changes = 0
        self.table.on_change = self._count
        stored = StoredObject(
            metadata=Metadata(name='main', revision=1),
            spec=configuration_spec(1),
        )
        assert self.state.offer_configuration(stored, 'test')

    def serve(self, *versions: str) -> None:
        """Let the service have an upstream of each version."""
        revision = Revision(
            self.state.catalog.revision.era or 1,
            self.state.catalog.revision.number + 1,
        )
        self.state.catalog.replace_all(
            [entry_of(version) for version in versions],
            revision,
            store_was_away=False,
        )

    def read(self, revision: Revision, *rollouts: Rollout) -> bool:
        """Take a listing of the store."""
        return self.table.replace_all(rollouts, revision, 'listing')

    def hear(self, other: 'KnowingHost') -> None:
        """Take what another host knows."""
        age = other.state.restoration.age
        if age is not None and other.state.restoration.is_recent:
            era = other.state.restoration.era
            self.state.restoration.merge_peer_report(era, age)
        self.table.merge_peer(other.table.shared, 'host:other')

    def roles(self, *versions: str, number: int = 1) -> list[VersionRole]:
        return [
            self.table.role_of(entry_of(version, number))
            for version in versions
        ]

    def _count(self) -> None:
        self.changes += 1
