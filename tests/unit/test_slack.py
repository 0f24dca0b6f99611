"""Timeout for answers of the store."""

import pytest

from wardstair.decisions.adaptive_timeout import MAX_SAMPLES, AdaptiveTimeout


@pytest.mark.parametrize(
    ('answers', 'timeout'),
    [
        pytest.param([], 0.25, id='none yet'),
        pytest.param([0.01, 0.05], 0.25, id='quick'),
        pytest.param([0.01, 0.4], 0.8, id='one slow answer'),
        pytest.param([3.0], 1.5, id='very slow'),
        pytest.param([-0.01], 0.25, id='earlier than asked'),
        pytest.param([0.4, *[0.01] * MAX_SAMPLES], 0.25, id='quick again'),
    ],
)
def test_timeout_follows_the_answer_times(
    answers: list[float], timeout: float
) -> None:
    adaptive = AdaptiveTimeout()
    for seconds in answers:
        adaptive.note(seconds)
    assert adaptive.timeout(0.25, 1.5) == timeout
