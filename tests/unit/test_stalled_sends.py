"""How a peer that reads late differs from one that is cut off."""

import pytest

from wardstair.connection.silence import UNACKNOWLEDGED_SECONDS
from wardstair.connection.stalled_sends import SendState, TcpState, classify

LONG = UNACKNOWLEDGED_SECONDS + 0.1
SHORT = UNACKNOWLEDGED_SECONDS - 0.1


@pytest.mark.parametrize(
    ('state', 'silent_seconds', 'expected'),
    [
        pytest.param(TcpState(0, 0, 0, LONG), 0, 'done', id='all acknowledged'),
        pytest.param(TcpState(0, 3, 900, 0.1), 0, 'sending', id='under way'),
        # The user timeout ends it as early as without a watch.
        pytest.param(TcpState(0, 3, 900, LONG), 0, 'sending', id='cut'),
        pytest.param(TcpState(0, 0, 900, LONG), 0, 'stalled', id='no room'),
        pytest.param(TcpState(1, 0, 900, 0.2), 0.4, 'stalled', id='probed'),
        pytest.param(
            TcpState(1, 0, 900, LONG), SHORT, 'stalled', id='probe under way'
        ),
        pytest.param(
            TcpState(1, 0, 900, SHORT), LONG, 'stalled', id='answered since'
        ),
        pytest.param(
            TcpState(2, 0, 900, LONG), LONG, 'silent', id='cut while stalled'
        ),
    ],
)
def test_a_late_reader_is_told_from_a_silent_one(
    state: TcpState, silent_seconds: float, expected: str
) -> None:
    assert classify(state, silent_seconds) is SendState(expected)
