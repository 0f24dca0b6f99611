"""Operators' orders, each of which creates a configuration version.

An order is applied to the newest version by a conditional update, which is
retried if another order came first. The order's key makes it idempotent: the
head contains the key of the order that created it, and the key of each applied
order is stored.
"""

from dataclasses import dataclass, field
from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field
from result import Err, Ok, Result

from wardstair.errors import (
    Fault,
    ObjectMissing,
    PlatformError,
    VersionConflict,
)
from wardstair.process.configuration import HEAD_KIND, HEAD_NAME, PART_KIND
from wardstair.process.platform import PlatformClient, StoredObject
from wardstair.version.document import (
    DrainModel,
    PolicyModel,
    ShiftModel,
    SteeringDocument,
    check_document,
)
from wardstair.version.parts import (
    Head,
    Package,
    head_from_json,
    pack,
    part_as_json,
    part_from_json,
    repack,
    unpack,
)

MAX_ORDER_ATTEMPTS = 10
ORDER_KIND = 'orders'


class _Model(BaseModel):
    model_config = ConfigDict(extra='forbid', frozen=True)


class ApplyDocument(_Model):
    """Replace the whole configuration."""

    verb: Literal['apply']
    document: dict[str, Any]


class StartDrain(_Model):
    """Start a drain."""

    verb: Literal['drain-start']
    drain: DrainModel


class StopDrain(_Model):
    """End a drain."""

    verb: Literal['drain-stop']
    drain: DrainModel


class StartShift(_Model):
    """Start a shift, or change the cap of a running one."""

    verb: Literal['shift-start']
    shift: ShiftModel


class StopShift(_Model):
    """End a shift."""

    verb: Literal['shift-stop']
    name: str


class SetPolicy(_Model):
    """Set the placement policy of a workload."""

    verb: Literal['policy-set']
    policy: PolicyModel


Action = Annotated[
    ApplyDocument | StartDrain | StopDrain | StartShift | StopShift | SetPolicy,
    Field(discriminator='verb'),
]


class Order(_Model):
    """An order of an operator.

    Attributes:
        key: Idempotency key; unique for each intended change.
        operator: Name of the operator who gives the order.
        expected: Version that must be the newest one, or None for any.
        dry_run: Whether to check and forecast the order without applying it.
        force: Whether to apply the order despite an unfavourable forecast.
        action: Change to make.
    """

    key: Annotated[str, Field(min_length=8, max_length=100)]
    operator: str
    expected: int | None = None
    dry_run: bool = False
    force: bool = False
    action: Action


@dataclass(frozen=True)
class OrderAnswer:
    """Result of an order.

    Attributes:
        version: Version that the order created; for a dry run the newest one.
        repeated: Whether the order had already been applied.
        forecast: Forecast of the order's effect, as lines of text.
    """

    version: int
    repeated: bool
    forecast: list[str] = field(default_factory=list)

    def as_json(self) -> dict[str, Any]:
        """Return the answer as JSON values."""
        return {
            'version': self.version,
            'repeated': self.repeated,
            'forecast': self.forecast,
        }


@dataclass(frozen=True)
class _Current:
    version: int
    head: Head
    document: SteeringDocument


class OrderExecutor:
    """Applies orders by storing new versions on the platform."""

    def __init__(self, platform: PlatformClient) -> None:
        """Create an executor.

        Args:
            platform: Client of the platform, which stores the versions.
        """
        self._platform = platform

    async def execute(
        self,
        order: Order,
    ) -> Result[OrderAnswer, list[Fault]]:
        """Apply an order, at most once for its key.

        Returns:
            The answer, or the faults for which the order was rejected. After
            a platform fault the outcome may be unknown; the order can safely
            be repeated with the same key.
        """
        recorded = await self._platform.read(ORDER_KIND, order.key)
        match recorded:
            case Ok(stored) if stored.value.get('version'):
                version = stored.value['version']
                return Ok(OrderAnswer(version, repeated=True))
            case Ok() | Err(ObjectMissing()):
                return await self._apply_with_retries(order)
            case Err(error):
                return _platform_fault(error)

    async def _apply_with_retries(
        self,
        order: Order,
    ) -> Result[OrderAnswer, list[Fault]]:
        for _ in range(MAX_ORDER_ATTEMPTS):
            found = await self._platform.read(HEAD_KIND, HEAD_NAME)
            match found:
                case Ok(stored):
                    head = head_from_json(stored.value)
                    current = await self._load_current(stored, head)
                case Err(ObjectMissing()):
                    current = Ok(None)
                case Err(error):
                    return _platform_fault(error)
            if isinstance(current, Err):
                return current
            done = await self._apply_once(order, current.ok_value)
            if done is not None:
                return done
        hint = 'other orders were applied first; try again'
        return Err(
            [Fault('order', order.key, 'the version kept changing', hint)]
        )

    async def _load_current(
        self,
        stored: StoredObject,
        head: Head,
    ) -> Result[_Current | None, list[Fault]]:
        found = await self._platform.read(PART_KIND, head.base)
        match found:
            case Ok(part):
                parts = {head.base: part_from_json(part.value)}
                without_blocks = Head(
                    head.base,
                    (),
                    head.command,
                    head.operator,
                )
                return unpack(without_blocks, parts).map(
                    lambda unpacked: _Current(
                        stored.version,
                        head,
                        unpacked.document,
                    ),
                )
            case Err(error):
                return _platform_fault(error)

    async def _apply_once(
        self,
        order: Order,
        current: _Current | None,
    ) -> Result[OrderAnswer, list[Fault]] | None:
        """Apply an order; return None if the newest version has changed."""
        if current is not None and current.head.command == order.key:
            return Ok(OrderAnswer(current.version, repeated=True))
        version = 0 if current is None else current.version
        if order.expected is not None and order.expected != version:
            message = f'the newest version is {version}, not {order.expected}'
            hint = 'check what changed, then repeat the order'
            return Err([Fault('order', 'expected', message, hint)])
        package = _build_package(order, current)
        if isinstance(package, Err):
            return package
        if order.dry_run:
            return Ok(OrderAnswer(version, repeated=False))
        return await self._store(order, package.ok_value, version)

    async def _store(
        self,
        order: Order,
        package: Package,
        version: int,
    ) -> Result[OrderAnswer, list[Fault]] | None:
        for digest, part in package.parts.items():
            value = part_as_json(part)
            written = await self._platform.write(PART_KIND, digest, value, 0)
            match written:
                case Err(VersionConflict()) | Ok():
                    # A part is named by its digest: an existing one is equal.
                    continue
                case Err(error):
                    return _platform_fault(error)
        written = await self._platform.write_with_read_back(
            HEAD_KIND,
            HEAD_NAME,
            package.head.as_json(),
            version,
        )
        match written:
            case Ok(stored):
                await self._record_order(order, stored.version)
                return Ok(OrderAnswer(stored.version, repeated=False))
            case Err(VersionConflict()):
                return None
            case Err(error):
                return _platform_fault(error)

    async def _record_order(self, order: Order, version: int) -> None:
        record = {
            'version': version,
            'operator': order.operator,
            'action': order.action.model_dump(
                mode='json',
                exclude={'document'},
            ),
        }
        await self._platform.write(ORDER_KIND, order.key, record, 0)


def apply_action(
    document: SteeringDocument,
    action: StartDrain | StopDrain | StartShift | StopShift | SetPolicy,
) -> Result[SteeringDocument, list[Fault]]:
    """Apply an action to a configuration and check the outcome.

    Args:
        document: Configuration to change.
        action: Change to make.

    Returns:
        The changed configuration, or its faults.
    """
    match action:
        case StartDrain(drain=drain):
            changed = _with_drain(document, drain)
        case StopDrain(drain=drain):
            changed = _without_drain(document, drain)
        case StartShift(shift=shift):
            changed = _with_shift(document, shift)
        case StopShift(name=name):
            changed = _without_shift(document, name)
        case SetPolicy(policy=policy):
            changed = _with_policy(document, policy)
    content = changed.model_dump(mode='json')
    return check_document(content, 'order')


def _with_drain(
    document: SteeringDocument,
    drain: DrainModel,
) -> SteeringDocument:
    kept = _without_drain(document, drain).drains
    return document.model_copy(update={'drains': (*kept, drain)})


def _without_drain(
    document: SteeringDocument,
    drain: DrainModel,
) -> SteeringDocument:
    kept = tuple(one for one in document.drains if one != drain)
    return document.model_copy(update={'drains': kept})


def _with_shift(
    document: SteeringDocument,
    shift: ShiftModel,
) -> SteeringDocument:
    kept = _without_shift(document, shift.name).shifts
    return document.model_copy(update={'shifts': (*kept, shift)})


def _without_shift(
    document: SteeringDocument,
    name: str,
) -> SteeringDocument:
    kept = tuple(one for one in document.shifts if one.name != name)
    return document.model_copy(update={'shifts': kept})


def _with_policy(
    document: SteeringDocument,
    policy: PolicyModel,
) -> SteeringDocument:
    kept = tuple(
        one for one in document.policies if one.workload != policy.workload
    )
    return document.model_copy(update={'policies': (*kept, policy)})


def _build_package(
    order: Order,
    current: _Current | None,
) -> Result[Package, list[Fault]]:
    action = order.action
    match action:
        case ApplyDocument(document=content):
            return check_document(content, 'order').and_then(
                lambda document: _pack_document(order, document, current),
            )
        case _ if current is None:
            hint = 'apply a configuration first'
            return Err(
                [Fault('order', 'verb', 'no configuration exists', hint)]
            )
        case _:
            head = Head('', current.head.blocks, order.key, order.operator)
            return apply_action(current.document, action).map(
                lambda document: repack(head, document),
            )


def _pack_document(
    order: Order,
    document: SteeringDocument,
    current: _Current | None,
) -> Result[Package, list[Fault]]:
    faults = (
        []
        if current is None
        else find_changed_targets(current.document, document)
    )
    if faults:
        return Err(faults)
    return Ok(pack(document, order.key, order.operator))


def find_changed_targets(
    before: SteeringDocument,
    after: SteeringDocument,
) -> list[Fault]:
    """Return a fault for each running shift whose target's zones change.

    The zones of the target region divide the cap of a shift among them. While
    some zones apply the new division and others still the old one, their
    shares could sum to more than the cap.

    Args:
        before: Newest version.
        after: Version that the order would create.
    """
    running = {shift.name for shift in before.shifts}
    return [
        Fault(
            'order',
            f'shifts.{shift.name}.target',
            f'the zones of {shift.target} change under a running shift',
            'stop the shift, change the zones, then start it again',
        )
        for shift in after.shifts
        if shift.name in running
        and _zone_names(before, shift.target)
        != _zone_names(after, shift.target)
    ]


def _zone_names(document: SteeringDocument, region: str) -> set[str]:
    return {zone.name for zone in document.zones if zone.region == region}


def _platform_fault(error: PlatformError) -> Err[list[Fault]]:
    hint = f'{error.hint}; repeating the order with the same key is safe'
    return Err([Fault('platform', 'call', str(error), hint)])
