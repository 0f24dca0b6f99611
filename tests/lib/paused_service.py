"""Simulates a service whose upstreams all pause, and callers that retry once.

There are no sockets and no choice of an upstream: all slots form one pool.
"""

import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from itertools import count
from random import Random

from wardstair.gateway.limited_sends import MAX_WAIT_FRACTION

# Time after which a caller gives up, and time within which it wants its answer.
CALLER_TIMEOUT_SECONDS = 3.0
OBJECTIVE_SECONDS = 0.5
# Seconds until a retry for a caller that finds the queue full.
OVERLOADED_WAIT_SECONDS = 0.4
# Capacity of the queue, as a share of the slots.
QUEUE_SHARE = 1 / 3


@dataclass(frozen=True, order=True)
class Attempt:
    """An attempt of a caller.

    Attributes:
        at: When it arrives, in seconds.
        number: Breaks ties in the order of arrivals.
        began: When the first attempt of its caller arrived, in seconds.
        is_first: Whether this is the first attempt.
    """

    at: float
    number: int
    began: float
    is_first: bool = True


@dataclass
class Outcome:
    """Results of the callers.

    Attributes:
        in_aim: Callers answered within the objective, counted from the first
            attempt.
        late: Callers answered later.
        lost: Callers not answered in time.
    """

    in_aim: int = 0
    late: int = 0
    lost: int = 0

    @property
    def all(self) -> int:
        """Number of all callers."""
        return self.in_aim + self.late + self.lost


@dataclass
class PausedService:
    """A pool of slots that accepts nothing during a pause.

    Attributes:
        rate: New callers per second.
        slots: Number of requests processed at once.
        work: Mean processing time of a request, in seconds.
        pause: Length of the pause, in seconds.
        seed: Seed of arrivals and processing times.
    """

    rate: float
    slots: int
    work: float
    pause: float
    seed: int
    _random: Random = field(init=False)
    # End of processing and time of the first attempt, for each request.
    _running: list[tuple[float, float]] = field(default_factory=list)
    _waiting: deque[float] = field(default_factory=deque)

    def play(
        self,
        return_after: Callable[[float], float],
        begin: float = 2.0,
        seconds: float = 8.0,
    ) -> Outcome:
        """Simulate callers and return their results.

        Args:
            return_after: Returns the seconds until a retry that a caller
                receives, by the remaining seconds of the pause.
            begin: When the pause begins, in seconds.
            seconds: Duration for which new callers arrive.
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
            self._advance_to(one.at, outcome)
            left = begin + self.pause - one.at
            if one.at < begin or left <= 0:
                wait = self._accept(one)
            else:
                wait = return_after(left)
            if wait is None:
                continue
            if not one.is_first:
                outcome.lost += 1
                continue
            max_wait = (
                one.began + CALLER_TIMEOUT_SECONDS - one.at
            ) * MAX_WAIT_FRACTION
            at = one.at + min(wait, max_wait)
            retry = replace(one, at=at, number=next(numbers), is_first=False)
            heapq.heappush(attempts, retry)
        self._advance_to(float('inf'), outcome)
        return outcome

    def _arrivals(self, seconds: float) -> list[float]:
        times = []
        now = self._random.expovariate(self.rate)
        while now < seconds:
            times.append(now)
            now += self._random.expovariate(self.rate)
        return times

    def _accept(self, one: Attempt) -> float | None:
        """Start or queue an attempt; return the wait if the queue is full."""
        if len(self._running) < self.slots:
            self._start(one.began, one.at)
            return None
        if len(self._waiting) < self.slots * QUEUE_SHARE:
            self._waiting.append(one.began)
            return None
        return OVERLOADED_WAIT_SECONDS

    def _start(self, began: float, now: float) -> None:
        end = now + self._random.expovariate(1 / self.work)
        heapq.heappush(self._running, (end, began))

    def _advance_to(self, now: float, outcome: Outcome) -> None:
        """Finish requests that end until a time, and start queued ones."""
        while self._running and self._running[0][0] <= now:
            end, began = heapq.heappop(self._running)
            if end - began <= OBJECTIVE_SECONDS:
                outcome.in_aim += 1
            elif end - began <= CALLER_TIMEOUT_SECONDS:
                outcome.late += 1
            else:
                outcome.lost += 1
            if self._waiting:
                self._start(self._waiting.popleft(), end)
