"""Divides the answers of a roll-out into slices of time for the verdict.

Answers are reported as sums since the order. The share of the new version and
the load change meanwhile: without slices, a burst that comes when the new
version has most of the requests would count against it.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from wardstair.decisions.rollout_tallies import (
    AnswerTally,
    Tallies,
    TallyKey,
    without_outliers,
)
from wardstair.decisions.rollout_verdict import (
    Comparison,
    Judgement,
    TallySlice,
    compare,
    judge_slices,
)

# A slice ends when it is so long and has so many answers of the new version.
SLICE_SECONDS = 0.5
SLICE_ANSWERS = 8
# Slices beyond this number are joined, the smallest of the older half first.
MAX_SLICES = 16


@dataclass(slots=True)
class RolloutTrial:
    """The answers of both versions since the order, by slices of time."""

    _slices: list[TallySlice] = field(default_factory=list)
    _comparisons: list[Comparison] = field(default_factory=list)
    _kept_new: frozenset[int] = frozenset()
    _kept_old: frozenset[int] = frozenset()
    _ended_new: Mapping[TallyKey, AnswerTally] = field(default_factory=dict)
    _ended_old: Mapping[TallyKey, AnswerTally] = field(default_factory=dict)
    _ended_at: float | None = None
    _ended_number: int = 0

    def judge(self, new: Tallies, old: Tallies, now: float) -> Judgement:
        """Compare the versions by all answers so far.

        Args:
            new: Answers of the new version since the order.
            old: Answers of the old version since the order.
            now: Monotonic time in seconds.
        """
        if self._ended_at is None:
            self._ended_at = now
        current = TallySlice(
            _difference(new, self._ended_new),
            _difference(old, self._ended_old),
            self._ended_number,
        )
        self._compare_ended(without_outliers(new), without_outliers(old))
        comparison = self._compare(current, self._comparisons)
        judgement = judge_slices([*self._comparisons, comparison])
        answers = sum(tally.answers for tally in current.new.values())
        is_long = now - self._ended_at >= SLICE_SECONDS
        if is_long and answers >= SLICE_ANSWERS:
            self._slices.append(current)
            self._comparisons.append(comparison)
            self._ended_new = dict(new)
            self._ended_old = dict(old)
            self._ended_at = now
            self._ended_number += 1
            self._join_slices()
        return judgement

    def _compare_ended(
        self,
        kept_new: frozenset[int],
        kept_old: frozenset[int],
    ) -> None:
        if (kept_new, kept_old) == (self._kept_new, self._kept_old):
            return
        self._kept_new = kept_new
        self._kept_old = kept_old
        self._comparisons = []
        for one in self._slices:
            self._comparisons.append(self._compare(one, self._comparisons))

    def _compare(
        self,
        one: TallySlice,
        before: Sequence[Comparison],
    ) -> Comparison:
        last = before[-1] if before else Comparison()
        return compare(one, self._kept_new, self._kept_old, last)

    def _join_slices(self) -> None:
        if len(self._slices) < MAX_SLICES:
            return
        sizes = [
            sum(tally.answers for tally in one.new.values())
            for one in self._slices[: MAX_SLICES // 2]
        ]
        first = min(
            range(len(sizes) - 1),
            key=lambda place: sizes[place] + sizes[place + 1],
        )
        other = self._slices.pop(first + 1)
        one = self._slices[first]
        self._slices[first] = TallySlice(
            _sum(one.new, other.new),
            _sum(one.old, other.old),
            one.number,
        )
        self._comparisons.pop(first + 1)
        self._comparisons[first] = self._compare(
            self._slices[first],
            self._comparisons[:first],
        )


def _difference(tallies: Tallies, earlier: Tallies) -> Tallies:
    none = AnswerTally()
    return {
        key: _growth(tally, earlier.get(key, none))
        for key, tally in tallies.items()
    }


def _growth(tally: AnswerTally, earlier: AnswerTally) -> AnswerTally:
    # The sums fall if the reports of a host are missing for a time.
    answers = max(tally.answers - earlier.answers, 0)
    failed = min(max(tally.failed - earlier.failed, 0), answers)
    slow = min(max(tally.slow - earlier.slow, 0), answers - failed)
    return AnswerTally(answers, failed, slow)


def _sum(one: Tallies, other: Tallies) -> Tallies:
    none = AnswerTally()
    return {
        key: one.get(key, none) + other.get(key, none)
        for key in one.keys() | other.keys()
    }
