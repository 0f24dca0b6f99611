"""Orders to roll out a version of a service, and what is recorded of them."""

from dataclasses import dataclass

from wardstair.decisions.rollouts import RolloutStage, RolloutState
from wardstair.state.revision import NO_REVISION, Revision

_REFUSED = 'refused'


@dataclass(frozen=True, slots=True, order=True)
class ServiceVersion:
    """A version of a service."""

    service: str
    version: str


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

    @property
    def target(self) -> ServiceVersion:
        """The service with the target version."""
        return ServiceVersion(self.service, self.version)


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

    @property
    def is_refusal(self) -> bool:
        """Whether it states that an order was refused.

        It ends no roll-out: the operator may correct the order.
        """
        is_rolled_back = self.state is RolloutState.rolled_back
        return is_rolled_back and self.reason.startswith(_REFUSED)


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
    def service(self) -> str:
        """The service."""
        return self.order.service

    @property
    def own_record(self) -> RolloutRecord | None:
        """The record, if it concerns this order."""
        record = self.record
        if record is None or record.is_refusal:
            return None
        return record if record.version == self.order.version else None

    @property
    def state(self) -> RolloutState:
        """The state of this order's roll-out."""
        record = self.own_record
        return RolloutState.running if record is None else record.state


@dataclass(frozen=True, slots=True)
class UnusableRollout:
    """An order that cannot be carried out.

    Attributes:
        field: Dotted path of the invalid field.
        expected: Description of a valid value.
        service: Name of the object, which names the service.
        version: The target version; empty if the order names none.
        record: What is recorded on the object; None if nothing is.
        revision: Revision of the object.
    """

    field: str
    expected: str
    service: str
    version: str = ''
    record: RolloutRecord | None = None
    revision: Revision = NO_REVISION

    @property
    def target(self) -> ServiceVersion:
        """The service with the target version."""
        return ServiceVersion(self.service, self.version)

    @property
    def refusal(self) -> RolloutRecord | None:
        """The record that tells the operator why the order is refused.

        Returns:
            The record; None if it stands on the object, or if the order names
            no version.
        """
        record = RolloutRecord(
            self.version,
            RolloutState.rolled_back,
            RolloutStage.stopped,
            reason=f'{_REFUSED}: {self.field}: {self.expected}',
        )
        known = self.record
        has_ended = (
            known is not None
            and known.version == self.version
            and known.state.is_final
        )
        return record if self.version and not has_ended else None
