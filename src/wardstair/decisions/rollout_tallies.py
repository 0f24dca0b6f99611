"""Answers of the upstreams of a version, and those that do not count.

Some upstreams are bad by themselves: they fail a part of their requests, are
cut off or overloaded. They are few, while a bad version is bad on most.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass

# Upstreams that are left out at most: a fraction, and for few upstreams a
# number, but not more than half of them.
LEFT_OUT_FRACTION = 0.2
LEFT_OUT_FEW = 2
# Log likelihood ratio by which the bad answers of an upstream have to differ
# from those of the others for it to be left out.
OUTLIER_EVIDENCE = 4.0
# Answers that an upstream needs if no other one of its version has answered: it
# may be bad by itself.
ALONE_ANSWERS = 20
# Answers assumed in addition to those of the other upstreams, 0.2 bad ones
# among them.
_ASSUMED_ANSWERS = 10
_ASSUMED_BAD = 0.2


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


def without_outliers(tallies: Tallies) -> frozenset[int]:
    """Return the upstreams that have answered like most others.

    Args:
        tallies: All answers of a version.
    """
    by_upstream: dict[int, _Sum] = {}
    for key, tally in tallies.items():
        by_upstream.setdefault(key.upstream, _Sum()).add(tally)
    answered = sorted(
        (name for name, one in by_upstream.items() if one.answers),
        key=lambda name: by_upstream[name].bad / by_upstream[name].answers,
    )
    if len(answered) == 1 and by_upstream[answered[0]].answers < ALONE_ANSWERS:
        return frozenset()
    usual_number = len(answered) - _most_left_out(len(answered))
    usual = _Sum()
    for name in answered[:usual_number]:
        usual.add(by_upstream[name])
    return frozenset(answered[:usual_number]) | {
        name
        for name in answered[usual_number:]
        if not _is_outlier(by_upstream[name], usual)
    }


@dataclass(slots=True)
class _Sum:
    answers: int = 0
    bad: int = 0

    def add(self, other: 'AnswerTally | _Sum') -> None:
        """Add answers."""
        self.answers += other.answers
        self.bad += other.bad


def _most_left_out(upstreams: int) -> int:
    fraction = math.ceil(upstreams * LEFT_OUT_FRACTION)
    return min(upstreams // 2, max(fraction, LEFT_OUT_FEW))


def _is_outlier(one: _Sum, others: _Sum) -> bool:
    usual = (others.bad + _ASSUMED_BAD) / (others.answers + _ASSUMED_ANSWERS)
    share = one.bad / one.answers
    if share <= usual:
        return False
    evidence = one.bad * math.log(share / usual)
    if share < 1:
        good = one.answers - one.bad
        evidence += good * math.log((1 - share) / (1 - usual))
    return evidence > OUTLIER_EVIDENCE
