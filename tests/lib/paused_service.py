"""A service whose upstreams all pause, and callers that come back once.

Sockets and the choice of an upstream are left out: the slots are one pool.
"""

import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from itertools import count
from random import Random

from wardstair.gateway.limited_sends import MAX_WAIT_FRACTION

# How long a caller goes on, and within what it wants its answer.
PATIENCE = 3.0
AIM = 0.5
# What a caller is told that finds no room after the pause.
OVERLOADED_WAIT = 0.4
QUEUE_SHARE = 1 / 3


@dataclass(frozen=True, order=True)
class Attempt:
    """An attempt of a caller.

    Attributes:
        at: When.
        number: Breaks ties.
        began: When its first attempt was.
        is_first: Whether this is it.
    """

    at: float
    number: int
    began: float
    is_first: bool = True


@dataclass
class Outcome:
    """What callers got.

    Attributes:
        in_aim: Answered within their aim, from the first attempt on.
        late: Answered later.
        lost: Not answered.
    """

    in_aim: int = 0
    late: int = 0
    lost: int = 0

    @property
    def all(self) -> int:
        """Callers in all."""
        return self.in_aim + self.late + self.lost


@dataclass
class PausedService:
    """One pool of slots that takes nothing during a pause.

    Attributes:
        rate: New callers a second.
        slots: Requests that it works on at once.
        work: Mean seconds of work.
        pause: Length of the pause in seconds.
        seed: Draws callers and work.
    """

    rate: float
    slots: int
    work: float
    pause: float
    seed: int
    _random: Random = field(init=False)
    # Ends of work, with the first attempts of its callers.
    _running: list[tuple[float, float]] = field(default_factory=list)
    _waiting: deque[float] = field(default_factory=deque)

    def play(
        self,
        return_after: Callable[[float], float],
        begin: float = 2.0,
        seconds: float = 8.0,
    ) -> Outcome:
        """Play callers and return what they got.

        Args:
            return_after: Returns what a caller is told, by the seconds that
                are left of the pause.
            begin: When the pause begins.
            seconds: For how long new callers come.
        """
        self._random = Random(self.seed)
        numbers = count()
        attempts = [
            Attempt(at, next(numbers), at) for at in self._arrivals(seconds)
        ]
        heapq.heapify(attempts)
        outcome = Outcome()
        while attempts:
            one = heapq.heappop(attempts)
            self._work_until(one.at, outcome)
            left = begin + self.pause - one.at
            if one.at < begin or left <= 0:
                wait = self._take(one)
            else:
                wait = return_after(left)
            if wait is None:
                continue
            if not one.is_first:
                outcome.lost += 1
                continue
            heeded = (one.began + PATIENCE - one.at) * MAX_WAIT_FRACTION
            at = one.at + min(wait, heeded)
            again = replace(one, at=at, number=next(numbers), is_first=False)
            heapq.heappush(attempts, again)
        self._work_until(float('inf'), outcome)
        return outcome

    def _arrivals(self, seconds: float) -> list[float]:
        times = []
        now = self._random.expovariate(self.rate)
        while now < seconds:
            times.append(now)
            now += self._random.expovariate(self.rate)
        return times

    def _take(self, one: Attempt) -> float | None:
        """Take an attempt in; return what its caller is told if it is full."""
        if len(self._running) < self.slots:
            self._start(one.began, one.at)
            return None
        if len(self._waiting) < self.slots * QUEUE_SHARE:
            self._waiting.append(one.began)
            return None
        return OVERLOADED_WAIT

    def _start(self, began: float, now: float) -> None:
        end = now + self._random.expovariate(1 / self.work)
        heapq.heappush(self._running, (end, began))

    def _work_until(self, now: float, outcome: Outcome) -> None:
        """End the work that is done by then, and start what waits."""
        while self._running and self._running[0][0] <= now:
            end, began = heapq.heappop(self._running)
            if end - began <= AIM:
                outcome.in_aim += 1
            elif end - began <= PATIENCE:
                outcome.late += 1
            else:
                outcome.lost += 1
            if self._waiting:
                self._start(self._waiting.popleft(), end)
