"""Slices of time of a verdict: sums that fall, and a long roll-out."""

import pytest

from wardstair.decisions.rollout_tallies import without_outliers
from wardstair.decisions.rollout_trial import RolloutTrial
from wardstair.decisions.rollout_verdict import (
    AnswerTally,
    TallyKey,
    Verdict,
)

OLD = TallyKey(1, 9)
NEW = (TallyKey(1, 1), TallyKey(1, 2))


def sums(
    answers: int, failed: int = 0, slow: int = 0
) -> dict[TallyKey, AnswerTally]:
    return {key: AnswerTally(answers, failed, slow) for key in NEW}


def old_sums(answers: int, slow: int = 0) -> dict[TallyKey, AnswerTally]:
    return {OLD: AnswerTally(answers, answers // 250, slow)}


def test_version_that_turns_bad_late_is_condemned_soon() -> None:
    trial = RolloutTrial()
    for second in range(600):
        judgement = trial.judge(
            sums(20 * second), old_sums(500 * second), second
        )
        assert judgement.verdict is not Verdict.bad
    bad = trial.judge(sums(12000, 10), old_sums(300000), 600)
    assert bad.verdict is Verdict.bad


def test_sums_that_fall_for_a_time_condemn_nobody() -> None:
    """Reports of a host may be missing, and come back."""
    trial = RolloutTrial()
    for second in range(40):
        # Two thirds of the answers are missing every third second.
        part = 1 if second % 3 else 3
        judgement = trial.judge(
            sums(20 * second // part, 0, 2 * second // part),
            old_sums(500 * second // part, 25 * second // part),
            second,
        )
        assert judgement.verdict is not Verdict.bad


@pytest.mark.parametrize(('old_answers', 'verdict'), [(2000, 'bad'), (2, '')])
def test_slow_answers_need_a_comparison(old_answers: int, verdict: str) -> None:
    """Load makes answers slow, also while nearly all requests have moved."""
    trial = RolloutTrial()
    trial.judge(sums(500), old_sums(2000), 0)
    trial.judge(sums(1000), old_sums(4000), 1)
    judgement = trial.judge(sums(1200, 0, 60), old_sums(4000 + old_answers), 2)
    assert (judgement.verdict is Verdict.bad) is bool(verdict)


def test_failures_condemn_without_a_comparison() -> None:
    trial = RolloutTrial()
    trial.judge(sums(500), old_sums(2000), 0)
    trial.judge(sums(1000), old_sums(4000), 1)
    verdicts = [
        trial.judge(
            sums(1000 + 60 * step, 20 * step), old_sums(4000), 1 + step / 2
        ).verdict
        for step in range(8)
    ]
    assert Verdict.bad in verdicts


@pytest.mark.parametrize(
    ('answers', 'left_out'),
    [
        # Answers and bad ones by upstream.
        ([(100, 0), (100, 45)], {1}),
        ([(10, 0), (10, 5)], {1}),
        ([(100, 1), (100, 2), (100, 1)], set()),
        # A version that is bad on all of them.
        ([(50, 10), (50, 12), (50, 8), (50, 14)], set()),
        # A fifth, or two of few.
        ([(100, 1)] * 4 + [(100, 45)] * 2, {4, 5}),
        ([(100, 1)] * 15 + [(100, 45)] * 4, {15, 16, 17, 18}),
        ([(100, 1)] * 10 + [(100, 45)] * 5, {12, 13, 14}),
        # The only one that has answered, with few and with enough answers.
        ([(19, 9)], {0}),
        ([(20, 9)], set()),
        ([(20, 9), (0, 0)], set()),
        ([], set()),
    ],
)
def test_upstreams_that_are_bad_by_themselves_are_left_out(
    answers: list[tuple[int, int]],
    left_out: set[int],
) -> None:
    tallies = {
        TallyKey(1, upstream): AnswerTally(total, bad)
        for upstream, (total, bad) in enumerate(answers)
    }
    answered = {number for number, one in enumerate(answers) if one[0]}
    assert answered - without_outliers(tallies) == left_out
