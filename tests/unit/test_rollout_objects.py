"""Orders and records of roll-outs by any writer."""

from typing import Any

import pytest
from lib.logs import logged

from wardstair.decisions.rollouts import RolloutStage, RolloutState
from wardstair.platform.objects import Metadata, StoredObject
from wardstair.platform.rollouts import (
    decode_record,
    decode_rollout,
    encode_record,
)
from wardstair.state.revision import Revision
from wardstair.state.rollouts import (
    Rollout,
    RolloutOrder,
    RolloutRecord,
    UnusableRollout,
)

ORDER = {'service': 'views', 'target_version': 'v2', 'duration_s': 12}
STATUS = {'target_version': 'v2', 'state': 'running'}


def stored(spec: object, status: object = None) -> StoredObject:
    metadata = Metadata(name='views', revision=7)
    return StoredObject(metadata=metadata, spec=spec, status=status, era=2)


def test_an_order_is_decoded() -> None:
    order = RolloutOrder('views', 'v2', 12.0)
    assert decode_rollout(stored(ORDER)) == Rollout(order, None, Revision(2, 7))


@pytest.mark.parametrize(
    ('field', 'value'),
    [
        ('service', 'orders'),
        ('service', ''),
        ('service', None),
        ('service', 5),
        ('target_version', ''),
        ('target_version', None),
        ('target_version', 2),
        ('duration_s', 0),
        ('duration_s', -1),
        ('duration_s', '12'),
        ('duration_s', True),
        ('duration_s', None),
        ('duration_s', float('nan')),
        ('duration_s', float('inf')),
    ],
)
def test_an_order_that_cannot_be_used_names_the_field(
    field: str, value: object
) -> None:
    unusable = decode_rollout(stored({**ORDER, field: value}))
    assert isinstance(unusable, UnusableRollout)
    assert unusable.field == field
    assert unusable.expected
    assert unusable.service == 'views'
    expected_version = '' if field == 'target_version' else 'v2'
    assert unusable.version == expected_version
    assert unusable.revision == Revision(2, 7)


@pytest.mark.parametrize('spec', [None, [], 'x', 7, {}])
def test_a_spec_that_is_no_order_is_unusable(spec: object) -> None:
    unusable = decode_rollout(stored(spec))
    assert isinstance(unusable, UnusableRollout)
    assert unusable.field
    assert unusable.refusal is None


@pytest.mark.parametrize('state', list(RolloutState))
@pytest.mark.parametrize('stage', list(RolloutStage))
def test_a_record_survives_encoding(
    state: RolloutState, stage: RolloutStage
) -> None:
    record = RolloutRecord('v2', state, stage, 50, 431, 17.5, 'host-a', 'good')
    assert decode_record(stored(ORDER, encode_record(record))) == record


@pytest.mark.parametrize(
    ('word', 'state'),
    [
        ('running', RolloutState.running),
        ('complete', RolloutState.complete),
        ('rolled_back', RolloutState.rolled_back),
    ],
)
def test_states_have_the_words_of_the_platform(
    word: str, state: RolloutState
) -> None:
    status = {'target_version': 'v2', 'state': word}
    record = decode_record(stored(ORDER, status))
    assert record == RolloutRecord('v2', state)
    assert encode_record(record)['state'] == word


@pytest.mark.parametrize(
    'status',
    [
        'running',
        7,
        [],
        {},
        {**STATUS, 'state': 'paused'},
        {**STATUS, 'state': 'complete\n'},
        {**STATUS, 'state': None},
        {**STATUS, 'target_version': ''},
        {**STATUS, 'target_version': 2},
        {**STATUS, 'stage': 'waiting'},
        {**STATUS, 'reserved': -1},
        {**STATUS, 'reserved': 2.5},
        {**STATUS, 'requests': '9'},
        {**STATUS, 'began_at': float('nan')},
        {**STATUS, 'reason': 5},
    ],
)
def test_a_status_of_an_unknown_form_is_no_record(status: object) -> None:
    with logged() as lines:
        rollout = decode_rollout(stored(ORDER, status))
    assert isinstance(rollout, Rollout)
    assert rollout.record is None
    assert any('rollout-status-unreadable' in line for line in lines)


def test_an_end_counts_whatever_else_its_record_has() -> None:
    status: dict[str, Any] = {**STATUS, 'state': 'complete', 'stage': 'paused'}
    expected = RolloutRecord('v2', RolloutState.complete)
    assert decode_record(stored(ORDER, status)) == expected


def test_a_record_of_an_earlier_order_is_not_the_orders_own() -> None:
    status = {'target_version': 'v1', 'state': 'complete'}
    rollout = decode_rollout(stored(ORDER, status))
    assert isinstance(rollout, Rollout)
    assert rollout.record == RolloutRecord('v1', RolloutState.complete)
    assert rollout.own_record is None
    assert rollout.state is RolloutState.running


def test_a_corrected_order_is_not_ended_by_its_refusal() -> None:
    unusable = decode_rollout(stored({**ORDER, 'duration_s': 0}))
    assert isinstance(unusable, UnusableRollout)
    refusal = unusable.refusal
    assert refusal is not None
    status = encode_record(refusal)
    assert status['state'] == 'rolled_back'
    again = decode_rollout(stored({**ORDER, 'duration_s': 0}, status))
    assert isinstance(again, UnusableRollout)
    assert again.refusal is None
    corrected = decode_rollout(stored(ORDER, status))
    assert isinstance(corrected, Rollout)
    assert corrected.state is RolloutState.running
