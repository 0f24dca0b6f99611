"""Roll-outs of versions as this host knows them."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum

from wardstair.decisions.rollouts import RolloutStage, RolloutState
from wardstair.state.entries import UpstreamEntry
from wardstair.state.revision import NO_REVISION, Revision
from wardstair.state.roles import ignore


class VersionRole(Enum):
    """Whether an upstream may receive requests, by its version."""

    # No roll-out concerns it.
    usual = 'usual'
    # A roll-out of its service is running; it has another version.
    old = 'old'
    # A roll-out of its service is running; it has the target version.
    new = 'new'
    # No order is known for its version yet.
    withheld = 'withheld'
    # Its version was rolled back or withdrawn, or was replaced by another one.
    excluded = 'excluded'


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """An operator's order.

    Attributes:
        service: The service.
        version: The target version.
        seconds: Time in which the roll-out is to be complete.
    """

    service: str
    version: str
    seconds: float


@dataclass(frozen=True, slots=True)
class RolloutRecord:
    """What the fleet has recorded of a roll-out in the store.

    Attributes:
        version: The target version that it concerns.
        state: The state.
        stage: The stage that the coordinator had reached.
        reserved: Sum of the allowances that hosts may have been given.
        requests: Requests of the service that back that sum.
        began_at: Unix time in seconds at which the roll-out began.
        coordinator: Name of the host that wrote it.
        reason: Why the roll-out is at this stage, or has ended.
    """

    version: str
    state: RolloutState
    stage: RolloutStage = RolloutStage.testing
    reserved: int = 0
    requests: int = 0
    began_at: float = 0.0
    coordinator: str = ''
    reason: str = ''


@dataclass(frozen=True, slots=True)
class Rollout:
    """An order with its record.

    Attributes:
        order: The order.
        record: The record; None if there is none yet. It may concern an
            earlier order for the service.
        revision: Revision of the object that holds both.
    """

    order: RolloutOrder
    record: RolloutRecord | None
    revision: Revision

    @property
    def own_record(self) -> RolloutRecord | None:
        """The record, if it concerns this order."""
        record = self.record
        if record is None or record.version != self.order.version:
            return None
        return record

    @property
    def state(self) -> RolloutState:
        """The state of this order's roll-out."""
        record = self.own_record
        return RolloutState.running if record is None else record.state


class RolloutTable:
    """The roll-outs of all services; one per process.

    Attributes:
        revision: Store revision up to which all orders are known.
        on_change: Called after orders or records have changed.
    """

    def __init__(self) -> None:
        """Create an empty table."""
        self.revision: Revision = NO_REVISION
        self.on_change: Callable[[], None] = ignore

    def of_service(self, service: str) -> Rollout | None:
        """Return the roll-out of a service; None without an order."""
        raise NotImplementedError

    @property
    def running(self) -> tuple[Rollout, ...]:
        """The roll-outs that have not ended."""
        raise NotImplementedError

    def role_of(self, entry: UpstreamEntry) -> VersionRole:
        """Return whether an upstream may receive requests, by its version."""
        raise NotImplementedError

    def replace_all(
        self, rollouts: Iterable[Rollout], revision: Revision, source: str
    ) -> bool:
        """Replace all roll-outs by a listing of the store or of a peer.

        Args:
            rollouts: All roll-outs.
            revision: Store revision of the listing.
            source: Where it came from, for the log.

        Returns:
            Whether anything has changed.
        """
        raise NotImplementedError
