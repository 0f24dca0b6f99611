"""Streams of answers of two versions of a service, for tests of the verdict."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from wardstair.decisions.rollout_trial import RolloutTrial
from wardstair.decisions.rollout_verdict import (
    AnswerTally,
    Judgement,
    Tallies,
    TallyKey,
    Verdict,
)

USUAL_BAD = 1 / 250
STEP_SECONDS = 0.25
ROUTES = {1: 0.6, 2: 0.3, 3: 0.1}


@dataclass(frozen=True)
class Answer:
    """Where and when a request is answered."""

    seconds: float
    is_new: bool
    route: int
    upstream: int


# Probability that an answer is bad.
BadShare = Callable[[Answer], float]


def usual(_answer: Answer) -> float:
    """Fail as an upstream in order does."""
    return USUAL_BAD


def never(_answer: Answer) -> float:
    """Answer in the usual time."""
    return 0


@dataclass
class Stream:
    """A roll-out of which each step's answers are judged.

    Upstreams of the old version have numbers from 1000.

    Attributes:
        seed: Seed of all that is random.
        failing: Probability of a failure.
        slow: Probability that an answer that is none is slow.
        seconds: Time until the deadline.
        rate: Requests per second.
        share: Share of the new version in the test.
        upstreams: Upstreams of the new version.
        old_upstreams: Upstreams of the old version.
        moves: Whether the share rises after the test.
        bad: Bad answers of the new version.
        judgement: The last judgement.
    """

    seed: int
    failing: BadShare = usual
    slow: BadShare = never
    seconds: float = 14.0
    rate: float = 660.0
    share: float = 0.06
    upstreams: int = 5
    old_upstreams: int = 26
    moves: bool = False
    bad: int = 0
    judgement: Judgement = field(default_factory=lambda: Judgement(Verdict.bad))

    def __post_init__(self) -> None:
        """Prepare the counters."""
        self._random = random.Random(self.seed)
        self._new: dict[TallyKey, AnswerTally] = {}
        self._old: dict[TallyKey, AnswerTally] = {}
        self._trial = RolloutTrial()

    @property
    def sums(self) -> tuple[Tallies, Tallies]:
        """All answers of the new version and of the old one."""
        return self._new, self._old

    def run(self) -> Judgement:
        """Play the roll-out until it is judged bad; return the judgement."""
        for step in range(int(self.seconds / STEP_SECONDS)):
            at = step * STEP_SECONDS
            share = self._share_at(at)
            routes = self._random.choices(
                list(ROUTES),
                list(ROUTES.values()),
                k=int(self.rate * STEP_SECONDS),
            )
            for route in routes:
                self._answer(at, self._random.random() < share, route)
            self.judgement = self._trial.judge(self._new, self._old, at)
            if self.judgement.verdict is Verdict.bad:
                break
        return self.judgement

    def _share_at(self, at: float) -> float:
        begin = self.seconds * 0.55
        if not self.moves or at < begin:
            return self.share
        part = min((at - begin) / (self.seconds / 7), 1.0)
        return self.share + (0.99 - self.share) * part**2

    def _answer(self, at: float, is_new: bool, route: int) -> None:
        count = self.upstreams if is_new else self.old_upstreams
        upstream = int(self._random.random() * count) + (not is_new) * 1000
        answer = Answer(at, is_new, route, upstream)
        failed = self._random.random() < self.failing(answer)
        slow = not failed and self._random.random() < self.slow(answer)
        tallies = self._new if is_new else self._old
        key = TallyKey(route, upstream)
        tallies[key] = tallies.get(key, AnswerTally()) + AnswerTally(
            1, int(failed), int(slow)
        )
        if is_new:
            self.bad += failed or slow
