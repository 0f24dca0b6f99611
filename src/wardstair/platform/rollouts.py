"""Validates and decodes the platform's orders of roll-outs and their records.

An operator writes the order; the system records the state of the roll-out in
the object's status.
"""

from typing import Annotated

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    StrictInt,
    StrictStr,
    StringConstraints,
    ValidationError,
)

from wardstair.decisions.rollouts import RolloutStage, RolloutState
from wardstair.fleet.fields import MAX_NAME_LENGTH, MAX_TEXT_LENGTH
from wardstair.platform.objects import StoredObject, check_readable
from wardstair.process.log import log_warning
from wardstair.state.rollout_orders import (
    Rollout,
    RolloutOrder,
    RolloutRecord,
    UnusableRollout,
)

ROLLOUT_KIND = 'rollouts'
_STATES = {
    'running': RolloutState.running,
    'complete': RolloutState.complete,
    'rolled_back': RolloutState.rolled_back,
}
_WORDS = {state: word for word, state in _STATES.items()}
_STAGES = {stage.name: stage for stage in RolloutStage}
_Name = Annotated[
    StrictStr,
    StringConstraints(min_length=1, max_length=MAX_NAME_LENGTH),
    AfterValidator(check_readable),
]
# They go to other hosts and into logs.
_Note = Annotated[StrictStr, StringConstraints(max_length=MAX_TEXT_LENGTH)]
# Longer than any roll-out, and more than all of its requests.
_MAX_SECONDS = 1e9
_MAX_UNIX_SECONDS = 1e10
_Count = Annotated[StrictInt, Field(ge=0, le=2**53)]


class _Model(BaseModel):
    model_config = ConfigDict(extra='ignore', frozen=True)


class _Order(_Model):
    service: _Name
    target_version: _Name
    duration_s: float = Field(
        gt=0, le=_MAX_SECONDS, strict=True, allow_inf_nan=False
    )


class _Target(_Model):
    target_version: _Name


class _Status(_Model):
    target_version: _Name
    state: Annotated[StrictStr, Field(pattern=f'^({"|".join(_STATES)})$')]


class _Record(_Status):
    # The platform defines the fields above, wardstair those below.
    stage: Annotated[StrictStr, Field(pattern=f'^({"|".join(_STAGES)})$')] = (
        RolloutStage.testing.name
    )
    reserved: _Count = 0
    requests: _Count = 0
    began_at: float = Field(
        default=0,
        ge=0,
        le=_MAX_UNIX_SECONDS,
        strict=True,
        allow_inf_nan=False,
    )
    coordinator: _Note = ''
    reason: _Note = ''


def decode_rollout(stored: StoredObject) -> Rollout | UnusableRollout:
    """Decode the order of a roll-out and its record."""
    name = stored.metadata.name
    record = decode_record(stored)
    try:
        order = _Order.model_validate(stored.spec)
    except ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        return UnusableRollout(
            '.'.join(str(part) for part in first['loc']) or 'spec',
            first['msg'],
            name,
            _target_version(stored.spec),
            record,
            stored.revision,
        )
    if order.service != name:
        return UnusableRollout(
            'service',
            f'the name of the object, {name}',
            name,
            order.target_version,
            record,
            stored.revision,
        )
    return Rollout(
        RolloutOrder(order.service, order.target_version, order.duration_s),
        record,
        stored.revision,
    )


def decode_record(stored: StoredObject) -> RolloutRecord | None:
    """Decode the record on an order.

    Returns:
        The record; None if there is none or if it is invalid. An end counts
        even if fields that only wardstair defines are invalid.
    """
    if stored.status is None:
        return None
    try:
        return _record(_Record.model_validate(stored.status))
    except ValidationError as error:
        _log_unreadable(stored, error)
    try:
        status = _Status.model_validate(stored.status)
    except ValidationError:
        # The record above is logged with its first invalid field.
        return None
    state = _STATES[status.state]
    if not state.is_final:
        return None
    return RolloutRecord(status.target_version, state)


def encode_record(record: RolloutRecord) -> dict[str, object]:
    """Return the status that records a roll-out."""
    return {
        'target_version': record.version,
        'state': _WORDS[record.state],
        'stage': record.stage.name,
        'reserved': record.reserved,
        'requests': record.requests,
        'began_at': record.began_at,
        'coordinator': record.coordinator,
        'reason': record.reason,
    }


def _record(status: _Record) -> RolloutRecord:
    return RolloutRecord(
        status.target_version,
        _STATES[status.state],
        _STAGES[status.stage],
        status.reserved,
        status.requests,
        status.began_at,
        status.coordinator,
        status.reason,
    )


def _target_version(spec: object) -> str:
    """Return the target version of an unusable order; '' if it has none."""
    try:
        return _Target.model_validate(spec).target_version
    except ValidationError:
        return ''


def _log_unreadable(stored: StoredObject, error: ValidationError) -> None:
    first = error.errors(include_url=False, include_input=False)[0]
    log_warning(
        'rollout-status-unreadable',
        service=stored.metadata.name,
        field='.'.join(str(part) for part in first['loc']) or 'status',
        expected=first['msg'],
        revision=stored.revision,
    )
