"""How late an answer of the store may be."""

import pytest

from wardstair.decisions.adaptive_timeout import MAX_SAMPLES, AdaptiveTimeout


@pytest.mark.parametrize(
    ('answers', 'slack'),
    [
        pytest.param([], 0.25, id='none yet'),
        pytest.param([0.01, 0.05], 0.25, id='quick'),
        pytest.param([0.01, 0.4], 0.8, id='one slow answer'),
        pytest.param([3.0], 1.5, id='very slow'),
        pytest.param([-0.01], 0.25, id='earlier than asked'),
        pytest.param([0.4, *[0.01] * MAX_SAMPLES], 0.25, id='quick again'),
    ],
)
def test_slack_follows_the_answers(answers: list[float], slack: float) -> None:
    followed = AdaptiveTimeout()
    for seconds in answers:
        followed.note(seconds)
    assert followed.timeout(0.25, 1.5) == slack
