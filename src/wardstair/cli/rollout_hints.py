"""What an operator can do about a roll-out."""

from collections.abc import Mapping
from types import MappingProxyType

from wardstair.cli.rollout_rows import RUNNING, RolloutRow

NOTHING_TO_DO = 'nothing to do'
_WITHDRAW = 'withdraw the order or order another version'
# What to do while a roll-out is running, by reason.
_BY_REASON: Mapping[str, str] = MappingProxyType(
    {
        'bad-answers': f'the record follows; then {_WITHDRAW}',
        'stopped': f'the record follows; then {_WITHDRAW}',
        'open-verdict': f'wait for more answers, or {_WITHDRAW}',
        'no-new-upstreams': f'start upstreams of the version, or {_WITHDRAW}',
        'capacity': f'start more upstreams of the version, or {_WITHDRAW}',
        'exposure': f'wait, order a longer duration, or {_WITHDRAW}',
        'overdue': f'wait, as it is completed late, or {_WITHDRAW}',
        'no-contact': 'look at the store: no later stage begins without it',
    }
)


def hint_of(row: RolloutRow) -> str:
    """Return what an operator can do about a roll-out or a refused order.

    Args:
        row: The roll-out or the order.
    """
    if row.is_refused:
        return (
            f'correct the field {row.field} of the order '
            f'(expected: {row.expected}), order another version, '
            'or withdraw the order'
        )
    if row.state == RUNNING:
        return _BY_REASON.get(row.reason, NOTHING_TO_DO)
    if row.state == 'complete':
        return NOTHING_TO_DO
    return f'{_WITHDRAW}; this version gets no requests any more'
