"""Decides whether the new version of a service is worse than the old one."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum


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


def judge(new: Tallies, old: Tallies) -> Judgement:
    """Compare the answers of two versions since the order.

    Args:
        new: Answers of the new version.
        old: Answers of the old version in the same time.
    """
    raise NotImplementedError


def is_slow(
    seconds: float,
    *,
    warm: float,
    cold: float,
    is_known_warm: bool,
) -> bool:
    """Return whether an answer took a multiple of the expected time.

    Args:
        seconds: Time until the answer, or until the host stopped waiting.
        warm: Expected seconds if the key is warm at the upstream.
        cold: Expected seconds if it is not.
        is_known_warm: Whether the key was certainly warm.
    """
    raise NotImplementedError
