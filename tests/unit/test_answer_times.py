"""What the time of an answer tells of its upstream."""

import pytest

from wardstair.decisions.answer_times import hedge_delay, slowdown_ratio


@pytest.mark.parametrize(
    ('seconds', 'is_known_warm', 'shown'),
    [
        # The key was warm for certain: every time counts.
        (0.2, True, 1.0),
        (0.8, True, 4.0),
        # Not known: quick answers show a sound upstream, times of a first run
        # show nothing, and longer ones a slow upstream.
        (0.2, False, 1.0),
        (0.1, False, 0.5),
        (0.4, False, None),
        (0.6, False, None),
        (0.85, False, None),
        (3.0, False, 5.0),
    ],
)
def test_a_time_tells_of_the_upstream_only_if_not_of_the_key(
    seconds: float,
    is_known_warm: bool,
    shown: float | None,
) -> None:
    found = slowdown_ratio(
        seconds, warm=0.2, cold=0.6, is_known_warm=is_known_warm
    )
    assert found == (None if shown is None else pytest.approx(shown))


@pytest.mark.parametrize(
    ('expected', 'longest', 'seconds'),
    [
        # Certain of the key: a few times the expected time.
        (0.2, 0.2, 0.5),
        # Not certain: a first run on the key may end first.
        (0.2, 0.6, 0.84),
        (0.01, 0.03, 0.25),
    ],
)
def test_a_second_upstream_is_tried_after_a_first_run_would_have_ended(
    expected: float,
    longest: float,
    seconds: float,
) -> None:
    assert hedge_delay(expected, longest) == pytest.approx(seconds)
