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
from dataclasses import dataclass, field
from enum import StrEnum
from itertools import accumulate

from wardstair.decisions.answer_times import slowdown_ratio
from wardstair.decisions.rollout_evidence import (
    Counts,
    LogLikelihoods,
    Memory,
    log_likelihoods,
)
from wardstair.decisions.rollout_tallies import (
    AnswerTally,
    Tallies,
    TallyKey,
    without_outliers,
)

__all__ = (
    'AnswerTally',
    'Comparison',
    'Judgement',
    'Tallies',
    'TallyKey',
    'TallySlice',
    'Verdict',
    'compare',
    'is_slow',
    'judge',
    'judge_slices',
)

# Probability that a good version is judged bad during its roll-out.
FALSE_ALARM_RATE = 0.0005
# Probability that a bad version is judged good before it is judged bad.
MISS_RATE = 0.01
# The same for a version that is bad on one route only. A route with a tenth of
# the requests has too few answers in a short test for the lower rate.
ROUTE_MISS_RATE = 0.1
# Routes with a smaller share of the answers may have any number of them when a
# version is judged good.
MIN_ROUTE_SHARE = 0.05
# Answers of the old version relative to those of the new one without which
# slow answers do not count.
MIN_OLD_RATIO = 0.2
# Work varies; the longest takes about three times the mean.
SLOW_RATIO = 3.0


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


@dataclass(frozen=True, slots=True)
class Comparison:
    """Comparison of the answers in a slice of time by route.

    Attributes:
        number: Number of slices that began before.
        counts: The answers that count.
        likelihoods: Their likelihoods.
        memory: Answers of the old version until the end of the slice.
    """

    number: int = 0
    counts: Mapping[int, Counts] = field(default_factory=dict)
    likelihoods: Mapping[int, LogLikelihoods] = field(default_factory=dict)
    memory: Mapping[int, Memory] = field(default_factory=dict)


def judge(new: Tallies, old: Tallies) -> Judgement:
    """Compare the answers of two versions since the order.

    If the load or the share of the new version changes, the new version has its
    answers at another time than the old one; `RolloutTrial` allows for that.

    Args:
        new: Answers of the new version.
        old: Answers of the old version in the same time.
    """
    comparison = compare(
        TallySlice(new, old),
        without_outliers(new),
        without_outliers(old),
        Comparison(),
    )
    return judge_slices([comparison])


def compare(
    one: TallySlice,
    kept_new: Collection[int],
    kept_old: Collection[int],
    before: Comparison,
) -> Comparison:
    """Compare the answers in a slice of time.

    Args:
        one: The slice.
        kept_new: Upstreams of the new version that count.
        kept_old: The same for the old version.
        before: The comparison of the slice before.
    """
    new = _by_route(one.new, kept_new)
    old = _by_route(one.old, kept_old)
    none = AnswerTally()
    counts = {
        route: _comparable(new.get(route, none), old.get(route, none))
        for route in new.keys() | old.keys()
    }
    memory = dict(before.memory)
    likelihoods = {}
    for route, found in counts.items():
        known = memory.get(route, Memory())
        likelihoods[route] = log_likelihoods(found, known)
        memory[route] = known.after(found)
    return Comparison(one.number, counts, likelihoods, memory)


def _by_route(
    tallies: Tallies,
    kept: Collection[int],
) -> dict[int, AnswerTally]:
    sums: dict[int, list[int]] = {}
    for key, tally in tallies.items():
        if key.upstream in kept:
            one = sums.setdefault(key.route, [0, 0, 0])
            one[0] += tally.answers
            one[1] += tally.failed
            one[2] += tally.slow
    return {route: AnswerTally(*one) for route, one in sums.items()}


def _comparable(new: AnswerTally, old: AnswerTally) -> Counts:
    if old.answers >= new.answers * MIN_OLD_RATIO:
        return Counts(new.answers, new.bad, old.answers, old.bad)
    # Load makes answers slow, and too few of the old version show the load.
    return Counts(
        new.answers - new.slow,
        new.failed,
        old.answers - old.slow,
        old.failed,
    )


def judge_slices(slices: Sequence[Comparison]) -> Judgement:
    """Return the judgement on the slices since the order in order of time."""
    routes = sorted({route for one in slices for route in one.counts})
    tests = [_route_test(route, slices) for route in routes]
    tests.append(_test_of_all(tests, slices))
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


def _route_test(route: int, slices: Sequence[Comparison]) -> _Test:
    return _test(
        route,
        [one.likelihoods.get(route, LogLikelihoods()) for one in slices],
        _sum_of(one.counts.get(route, Counts()) for one in slices),
        slices,
    )


def _test_of_all(
    tests: Sequence[_Test],
    slices: Sequence[Comparison],
) -> _Test:
    return _test(
        None,
        [
            sum(one.likelihoods.values(), start=LogLikelihoods())
            for one in slices
        ],
        _sum_of(test.counts for test in tests),
        slices,
    )


def _test(
    route: int | None,
    likelihoods: Sequence[LogLikelihoods],
    counts: Counts,
    slices: Sequence[Comparison],
) -> _Test:
    # Start k may raise a false alarm with a probability of 1 / (k + 1) (k + 2)
    # of the total; these fractions add up to 1.
    suffixes = accumulate(reversed(likelihoods))
    numbers = [one.number for one in reversed(slices)]
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
