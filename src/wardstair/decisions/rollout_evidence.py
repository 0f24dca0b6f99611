"""Likelihood of the answers of two versions by the difference between them.

The share of bad answers of the old version is unknown and changes with the
load, so it is averaged out in each slice of time: over the values of `BASES`,
with probabilities that depend on the answers before.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass

# Additional share of bad answers of the new version. The first ones describe a
# good version, the others a bad one.
GOOD_DIFFERENCES = (0.0, 0.02)
BAD_DIFFERENCES = (0.08, 0.2, 0.4, 0.8)
DIFFERENCES = GOOD_DIFFERENCES + BAD_DIFFERENCES
# Shares of bad answers of the old version. An upstream in order fails about
# once in 250 answers; higher shares are the less probable the higher they are.
BASES = (*(0.003 * 1.6**step for step in range(13)), 0.97)
BASE_DECAY = 0.8
# Probability that the share is another one than before.
CHANGE_PROBABILITY = 0.5
# Most answers that are remembered from before, and the weight of each slice of
# time relative to the next one.
MEMORY_ANSWERS = 40
MEMORY_DECAY = 0.5
# Terms smaller than the largest by this logarithm do not count in a sum.
_NEGLIGIBLE = 25.0


@dataclass(frozen=True, slots=True)
class Counts:
    """Answers of both versions in the same time on the same route.

    Attributes:
        new_answers: Answers of the new version.
        new_bad: Bad ones among them.
        old_answers: Answers of the old version.
        old_bad: Bad ones among them.
    """

    new_answers: int = 0
    new_bad: int = 0
    old_answers: int = 0
    old_bad: int = 0


@dataclass(frozen=True, slots=True)
class Memory:
    """Answers of the old version before a slice of time.

    Attributes:
        answers: Number of answers; the older they are the less they count.
        bad: Bad ones among them.
    """

    answers: float = 0.0
    bad: float = 0.0

    def after(self, counts: Counts) -> 'Memory':
        """Return the memory after further answers."""
        return Memory(
            self.answers * MEMORY_DECAY + counts.old_answers,
            self.bad * MEMORY_DECAY + counts.old_bad,
        )


@dataclass(frozen=True, slots=True)
class LogLikelihoods:
    """Logarithms of the likelihood of answers, up to a common constant.

    Attributes:
        by_difference: One for each of `DIFFERENCES`.
    """

    by_difference: tuple[float, ...] = (0.0,) * len(DIFFERENCES)

    @property
    def for_bad(self) -> float:
        """Log likelihood ratio of a bad version to a good one."""
        return log_mean(self._of_bad) - log_mean(self._of_good)

    @property
    def for_good(self) -> float:
        """The reverse ratio, to the bad version that is hardest to exclude."""
        return log_mean(self._of_good) - max(self._of_bad)

    @property
    def _of_good(self) -> tuple[float, ...]:
        return self.by_difference[: len(GOOD_DIFFERENCES)]

    @property
    def _of_bad(self) -> tuple[float, ...]:
        return self.by_difference[len(GOOD_DIFFERENCES) :]

    def __add__(self, other: 'LogLikelihoods') -> 'LogLikelihoods':
        """Return the likelihoods of both sets of answers together."""
        return LogLikelihoods(
            tuple(
                one + another
                for one, another in zip(
                    self.by_difference,
                    other.by_difference,
                    strict=True,
                )
            ),
        )


def _logs(share: float) -> tuple[float, float]:
    return math.log(share), math.log(1 - share)


_BASE_LOGS = tuple(_logs(base) for base in BASES)
_NEW_LOGS = tuple(
    tuple(_logs(base + (1 - base) * extra) for extra in DIFFERENCES)
    for base in BASES
)

_FIRST_WEIGHTS = tuple(
    step * math.log(BASE_DECAY)
    - math.log(sum(BASE_DECAY**other for other, _ in enumerate(BASES)))
    for step, _ in enumerate(BASES)
)


def log_likelihoods(
    counts: Counts,
    before: Memory,
) -> LogLikelihoods:
    """Return the likelihoods of answers, apart from constant factors.

    Args:
        counts: The answers.
        before: Answers of the old version before.
    """
    if not counts.new_answers:
        return LogLikelihoods()
    of_old = [
        weight + likelihood
        for weight, likelihood in zip(
            _base_weights(before),
            _of_bases(counts.old_answers, counts.old_bad),
            strict=True,
        )
    ]
    new_good = counts.new_answers - counts.new_bad
    return LogLikelihoods(
        tuple(
            _log_sum(
                [
                    old + counts.new_bad * bad + new_good * good
                    for old, (bad, good) in zip(of_old, logs, strict=True)
                ],
            )
            for logs in zip(*_NEW_LOGS, strict=True)
        ),
    )


def _of_bases(answers: float, bad: float) -> list[float]:
    return [
        bad * log_bad + (answers - bad) * log_good
        for log_bad, log_good in _BASE_LOGS
    ]


def _base_weights(before: Memory) -> list[float]:
    """Return the logarithms of the probabilities of `BASES`."""
    if not before.answers:
        return list(_FIRST_WEIGHTS)
    part = min(MEMORY_ANSWERS / before.answers, 1.0)
    remembered = [
        first + likelihood
        for first, likelihood in zip(
            _FIRST_WEIGHTS,
            _of_bases(before.answers * part, before.bad * part),
            strict=True,
        )
    ]
    total = _log_sum(remembered)
    return [
        math.log(
            CHANGE_PROBABILITY * math.exp(first)
            + (1 - CHANGE_PROBABILITY) * math.exp(known - total),
        )
        for first, known in zip(_FIRST_WEIGHTS, remembered, strict=True)
    ]


def log_mean(logarithms: Sequence[float]) -> float:
    """Return the logarithm of the mean of numbers given by logarithms."""
    return _log_sum(logarithms) - math.log(len(logarithms))


def _log_sum(logarithms: Sequence[float]) -> float:
    largest = max(logarithms)
    return largest + math.log(
        sum(
            math.exp(term - largest)
            for term in logarithms
            if largest - term < _NEGLIGIBLE
        ),
    )
