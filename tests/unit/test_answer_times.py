"""Detection of slow upstreams and hedging by answer times."""

import pytest

from wardstair.decisions.answer_times import hedge_delay, slowdown_ratio


@pytest.mark.parametrize(
    ('seconds', 'is_known_warm', 'ratio'),
    [
        # The key was certainly warm: every time shows the upstream's speed.
        (0.2, True, 1.0),
        (0.8, True, 4.0),
        # The run may have been cold: short times show a normal upstream, times
        # that a cold run would explain show nothing, and longer ones show a
        # slow upstream.
        (0.2, False, 1.0),
        (0.1, False, 0.5),
        (0.4, False, None),
        (0.6, False, None),
        (0.85, False, None),
        (3.0, False, 5.0),
    ],
)
def test_times_that_a_cold_run_explains_do_not_count_as_slow(
    seconds: float,
    is_known_warm: bool,
    ratio: float | None,
) -> None:
    found = slowdown_ratio(
        seconds, warm=0.2, cold=0.6, is_known_warm=is_known_warm
    )
    assert found == (None if ratio is None else pytest.approx(ratio))


@pytest.mark.parametrize(
    ('expected', 'longest', 'seconds'),
    [
        # Certainly warm: a multiple of the expected time.
        (0.2, 0.2, 0.5),
        # Possibly cold: after a cold run would have ended.
        (0.2, 0.6, 0.84),
        (0.01, 0.03, 0.25),
    ],
)
def test_hedging_waits_until_a_cold_run_would_have_ended(
    expected: float,
    longest: float,
    seconds: float,
) -> None:
    assert hedge_delay(expected, longest) == pytest.approx(seconds)
