"""Decides whether the new version of a service is worse than the old one.

Under load, or when a zone or a link fails, both versions have bad answers. So
the new version is compared with the old one in the same time, by route and for
all routes together, in a sequential test that may be evaluated at any time.

The test bounds two probabilities: `FALSE_ALARM_RATE` and `MISS_RATE`. It
accumulates the likelihood ratio of a bad version, which has a share of bad
answers that is higher by at least 0.08, to a good one, which has at most 0.02
more than the old version. Since a version may turn bad later, the test counts
from the start of any slice of time; later starts and further routes need a
higher ratio, so that the sum of the probabilities keeps to the bound.
"""

import math
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from itertools import accumulate

from wardstair.decisions.answer_times import slowdown_ratio
from wardstair.decisions.rollout_evidence import (
    Counts,
    LogLikelihoods,
    log_likelihoods,
)

# Probability that a good version is judged bad during its roll-out.
FALSE_ALARM_RATE = 0.002
# Probability that a bad version is judged good before it is judged bad.
MISS_RATE = 0.01
# The same for a version that is bad on one route only. A route with a tenth of
# the requests has too few answers in a short test for the lower rate.
ROUTE_MISS_RATE = 0.1
# Routes with a smaller share of the answers may have any number of them when a
# version is judged good.
MIN_ROUTE_SHARE = 0.05
# Upstreams that are left out at most: a fraction, and for few upstreams a
# number, but not more than half of them.
LEFT_OUT_FRACTION = 0.2
LEFT_OUT_FEW = 2
# Log likelihood ratio by which the bad answers of an upstream have to differ
# from those of the others for it to be left out.
OUTLIER_EVIDENCE = 4.0
# Answers assumed in addition to those of the other upstreams, half a bad one
# among them.
_ASSUMED_ANSWERS = 10
_ASSUMED_BAD = 0.5
# Work varies; the longest takes about three times the mean.
SLOW_RATIO = 3.0


@dataclass(frozen=True, slots=True)
class AnswerTally:
    """Answers of one upstream on one route.

    Attributes:
        answers: All answers, including failed and slow ones.
        failed: Answers by which the upstream reported a failure.
        slow: Other answers that took a multiple of the expected time, also
            those that had not arrived when the host stopped waiting.
    """

    answers: int = 0
    failed: int = 0
    slow: int = 0

    @property
    def bad(self) -> int:
        """Failed and slow answers."""
        return self.failed + self.slow

    def __add__(self, other: 'AnswerTally') -> 'AnswerTally':
        """Return the sum of two tallies."""
        return AnswerTally(
            self.answers + other.answers,
            self.failed + other.failed,
            self.slow + other.slow,
        )


@dataclass(frozen=True, slots=True)
class TallyKey:
    """What a tally counts.

    Attributes:
        route: Number that identifies the route.
        upstream: Number that identifies the incarnation of the upstream.
    """

    route: int
    upstream: int


Tallies = Mapping[TallyKey, AnswerTally]


class Verdict(StrEnum):
    """What the answers so far show of the new version."""

    undecided = 'undecided'
    good = 'good'
    bad = 'bad'


@dataclass(frozen=True, slots=True)
class Judgement:
    """A verdict and what it rests on.

    Attributes:
        verdict: The verdict.
        route: Number of the route that decided it; None if all routes
            together did.
        evidence: Logarithm of the likelihood ratio of the comparison that
            decided, positive if it speaks for a bad version.
        answers: Answers of the new version that were compared.
        bad: Bad ones among them.
        old_bad_share: Share of bad answers of the old version.
    """

    verdict: Verdict
    route: int | None = None
    evidence: float = 0.0
    answers: int = 0
    bad: int = 0
    old_bad_share: float = 0.0


@dataclass(frozen=True, slots=True)
class TallySlice:
    """Answers of both versions in the same time.

    Attributes:
        new: Answers of the new version.
        old: Answers of the old version.
        number: Number of slices that began before.
    """

    new: Tallies
    old: Tallies
    number: int = 0


def judge(new: Tallies, old: Tallies) -> Judgement:
    """Compare the answers of two versions since the order.

    Args:
        new: Answers of the new version.
        old: Answers of the old version in the same time.
    """
    return judge_slices([TallySlice(new, old)])


def judge_slices(slices: Sequence[TallySlice]) -> Judgement:
    """Compare the answers of two versions, each slice of time by itself.

    Slices are needed if the load or the share of the new version changes, as
    the new version then has its answers at another time than the old one.

    Args:
        slices: The slices since the order in order of time.
    """
    kept_new = _without_outliers(one.new for one in slices)
    kept_old = _without_outliers(one.old for one in slices)
    compared = [
        _Compared(
            one.number,
            _counts_by_route(one, kept_new, kept_old),
        )
        for one in slices
    ]
    routes = sorted({route for one in compared for route in one.routes})
    tests = [_route_test(route, compared) for route in routes]
    tests.append(_test_of_all(tests, compared))
    worst = max(tests, key=lambda test: test.for_bad)
    penalty = math.log(len(tests))
    if worst.for_bad - penalty >= -math.log(FALSE_ALARM_RATE):
        return worst.judgement(Verdict.bad, worst.for_bad - penalty)
    everything = tests[-1]
    if worst.for_bad <= penalty and _are_all_good(tests):
        return everything.judgement(Verdict.good, -everything.for_good)
    return worst.judgement(Verdict.undecided, worst.for_bad - penalty)


def is_slow(
    seconds: float,
    *,
    warm: float,
    cold: float,
    is_known_warm: bool,
) -> bool:
    """Return whether an answer took a multiple of the expected time.

    What a first run on a key explains does not count.

    Args:
        seconds: Time until the answer, or until the host stopped waiting.
        warm: Expected seconds if the key is warm at the upstream.
        cold: Expected seconds if it is not.
        is_known_warm: Whether the key was certainly warm.
    """
    ratio = slowdown_ratio(
        seconds,
        warm=warm,
        cold=cold,
        is_known_warm=is_known_warm,
    )
    return ratio is not None and ratio > SLOW_RATIO


@dataclass(frozen=True, slots=True)
class _Compared:
    number: int
    routes: Mapping[int, Counts]


@dataclass(frozen=True, slots=True)
class _Test:
    """The comparison on one route, or on all routes if it is None.

    Attributes:
        route: Number of the route.
        likelihoods: Likelihoods by slice.
        counts: Sum of the answers.
        for_bad: Largest log likelihood ratio of a bad version from the start of
            any slice, less the logarithm of the number of starts.
    """

    route: int | None
    likelihoods: Sequence[LogLikelihoods]
    counts: Counts
    for_bad: float

    @property
    def for_good(self) -> float:
        """Log likelihood ratio of a good version over all slices."""
        return sum(self.likelihoods, start=LogLikelihoods()).for_good

    def judgement(self, verdict: Verdict, evidence: float) -> Judgement:
        """Return a judgement that rests on this test."""
        counts = self.counts
        return Judgement(
            verdict,
            self.route,
            evidence,
            counts.new_answers,
            counts.new_bad,
            counts.old_bad / max(counts.old_answers, 1),
        )


def _route_test(route: int, compared: Sequence[_Compared]) -> _Test:
    by_slice = [one.routes.get(route, Counts()) for one in compared]
    return _test(
        route,
        [log_likelihoods(counts) for counts in by_slice],
        _sum_of(by_slice),
        compared,
    )


def _test_of_all(
    tests: Sequence[_Test],
    compared: Sequence[_Compared],
) -> _Test:
    by_slice = [LogLikelihoods() for _ in compared]
    for test in tests:
        by_slice = [
            one + another
            for one, another in zip(by_slice, test.likelihoods, strict=True)
        ]
    return _test(
        None,
        by_slice,
        _sum_of(test.counts for test in tests),
        compared,
    )


def _test(
    route: int | None,
    likelihoods: Sequence[LogLikelihoods],
    counts: Counts,
    compared: Sequence[_Compared],
) -> _Test:
    # Start k may raise a false alarm with a probability of 1 / (k + 1) (k + 2)
    # of the total; these fractions add up to 1.
    suffixes = accumulate(reversed(likelihoods))
    numbers = [one.number for one in reversed(compared)]
    return _Test(
        route,
        likelihoods,
        counts,
        max(
            suffix.for_bad - math.log((number + 1) * (number + 2))
            for suffix, number in zip(suffixes, numbers, strict=True)
        ),
    )


def _are_all_good(tests: Sequence[_Test]) -> bool:
    everything = tests[-1]
    total = everything.counts.old_answers + everything.counts.new_answers
    return everything.for_good >= -math.log(MISS_RATE) and all(
        test.for_good >= -math.log(ROUTE_MISS_RATE)
        for test in tests[:-1]
        if test.counts.old_answers + test.counts.new_answers
        >= total * MIN_ROUTE_SHARE
    )


def _counts_by_route(
    one: TallySlice,
    kept_new: Collection[int],
    kept_old: Collection[int],
) -> dict[int, Counts]:
    new = _by_route(one.new, kept_new)
    old = _by_route(one.old, kept_old)
    none = AnswerTally()
    return {
        route: Counts(
            new.get(route, none).answers,
            new.get(route, none).bad,
            old.get(route, none).answers,
            old.get(route, none).bad,
        )
        for route in new.keys() | old.keys()
    }


def _by_route(
    tallies: Tallies,
    kept: Collection[int],
) -> dict[int, AnswerTally]:
    sums: dict[int, AnswerTally] = {}
    for key, tally in tallies.items():
        if key.upstream in kept:
            sums[key.route] = sums.get(key.route, AnswerTally()) + tally
    return sums


def _sum_of(counts: Iterable[Counts]) -> Counts:
    total = Counts()
    for one in counts:
        total = Counts(
            total.new_answers + one.new_answers,
            total.new_bad + one.new_bad,
            total.old_answers + one.old_answers,
            total.old_bad + one.old_bad,
        )
    return total


def _without_outliers(slices: Iterable[Tallies]) -> frozenset[int]:
    by_upstream: dict[int, AnswerTally] = {}
    for tallies in slices:
        for key, tally in tallies.items():
            by_upstream[key.upstream] = (
                by_upstream.get(key.upstream, AnswerTally()) + tally
            )
    answered = sorted(
        (name for name, tally in by_upstream.items() if tally.answers),
        key=lambda name: by_upstream[name].bad / by_upstream[name].answers,
    )
    usual_number = len(answered) - _most_left_out(len(answered))
    usual = sum(
        (by_upstream[name] for name in answered[:usual_number]),
        start=AnswerTally(),
    )
    return frozenset(answered[:usual_number]) | {
        name
        for name in answered[usual_number:]
        if not _is_outlier(by_upstream[name], usual)
    }


def _most_left_out(upstreams: int) -> int:
    fraction = math.ceil(upstreams * LEFT_OUT_FRACTION)
    return min(upstreams // 2, max(fraction, LEFT_OUT_FEW))


def _is_outlier(tally: AnswerTally, others: AnswerTally) -> bool:
    usual = (others.bad + _ASSUMED_BAD) / (others.answers + _ASSUMED_ANSWERS)
    share = tally.bad / tally.answers
    if share <= usual:
        return False
    evidence = tally.bad * math.log(share / usual)
    if share < 1:
        good = tally.answers - tally.bad
        evidence += good * math.log((1 - share) / (1 - usual))
    return evidence > OUTLIER_EVIDENCE
