"""Streams of answers of two versions of a service, for tests of the verdict."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from wardstair.decisions.rollout_trial import RolloutTrial
from wardstair.decisions.rollout_verdict import (
    AnswerTally,
    Judgement,
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
    """Answer as an upstream in order does."""
    return USUAL_BAD


@dataclass
class Stream:
    """A roll-out of which each step's answers are judged.

    Upstreams of the old version have numbers from 1000.
    """

    bad_share: BadShare
    seed: int
    seconds: float = 14.0
    rate: float = 660.0
    share: float = 0.06
    upstreams: int = 5
    old_upstreams: int = 26
    moves: bool = False
    answers: int = 0
    bad: int = 0
    judgement: Judgement = field(default_factory=lambda: Judgement(Verdict.bad))

    def __post_init__(self) -> None:
        """Prepare the counters."""
        self._random = random.Random(self.seed)
        self._tallies: dict[bool, dict[TallyKey, AnswerTally]] = {
            True: {},
            False: {},
        }
        self._trial = RolloutTrial()

    def run(self) -> Judgement:
        """Play the roll-out until it is judged bad; return the judgement."""
        for step in range(int(self.seconds / STEP_SECONDS)):
            at = step * STEP_SECONDS
            for _ in range(int(self.rate * STEP_SECONDS)):
                self._answer(at)
            self.judgement = self._trial.judge(
                self._tallies[True],
                self._tallies[False],
                at,
            )
            if self.judgement.verdict is Verdict.bad:
                break
        return self.judgement

    def share_at(self, at: float) -> float:
        """Return the share of the new version: constant, then rising."""
        begin = self.seconds * 0.55
        if not self.moves or at < begin:
            return self.share
        part = min((at - begin) / (self.seconds / 7), 1.0)
        return self.share + (0.99 - self.share) * part**2

    def _answer(self, at: float) -> None:
        is_new = self._random.random() < self.share_at(at)
        count = self.upstreams if is_new else self.old_upstreams
        upstream = self._random.randrange(count) + (0 if is_new else 1000)
        route = self._random.choices(list(ROUTES), list(ROUTES.values()))[0]
        answer = Answer(at, is_new, route, upstream)
        is_bad = self._random.random() < self.bad_share(answer)
        tallies = self._tallies[is_new]
        key = TallyKey(route, upstream)
        tallies[key] = tallies.get(key, AnswerTally()) + AnswerTally(
            1, int(is_bad)
        )
        if is_new:
            self.answers += 1
            self.bad += is_bad
