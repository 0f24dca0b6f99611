"""Simulates hosts that resend requests of a failing service, without sockets.

Time is virtual. A resend arrives as it is made.
"""

from bisect import bisect_left
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from random import Random

from lib.upstreams import Clock
from wardstair.decisions.resends import ResendLimit
from wardstair.gateway.resend_budgets import ResendBudgets

SERVICE = 'views'
LIMIT = ResendLimit(ratio=0.2, extra=64, window=10)
ATTEMPTS = 3
# Time after which a caller retries a request that was not served.
RETRY_SECONDS = 0.3


@dataclass(frozen=True, slots=True)
class Restarts:
    """Hosts that lose their memory at one moment.

    Attributes:
        at: Second of the play.
        share: Share of the hosts.
    """

    at: float
    share: float = 1.0


@dataclass(frozen=True, slots=True)
class FailingService:
    """A service whose sends fail for some time.

    Attributes:
        start: Second of the play at which they begin to fail.
        share: Share of the sends that fail.
        requests_per_second: Requests of callers.
        hosts: Number of hosts.
        restarts: Hosts that restart, in order.
        seconds: Length of the play.
    """

    start: float = 9.0
    share: float = 0.9
    requests_per_second: float = 318.0
    hosts: int = 12
    restarts: Sequence[Restarts] = ()
    seconds: float = 24.0


@dataclass(slots=True)
class Played:
    """What callers sent and got, in seconds of the play.

    Attributes:
        requests: When requests were sent, retries of callers included.
        resends: When requests were resent.
        served: When requests were served.
    """

    requests: list[float] = field(default_factory=list)
    resends: list[float] = field(default_factory=list)
    served: list[float] = field(default_factory=list)

    def excess(self) -> float:
        """Return by how much the worst window exceeds the limit.

        The requests are those of the window, the one before or the one half a
        window before, whichever has most.
        """
        return max(
            (self._excess_from(start) for start in self.resends), default=0
        )

    def _excess_from(self, start: float) -> float:
        window = LIMIT.window
        requests = max(
            count_from(self.requests, begin, window)
            for begin in (start, start - window / 2, start - window)
        )
        return count_from(self.resends, start, window) - LIMIT.allowed(requests)


def count_from(times: Sequence[float], start: float, seconds: float) -> int:
    """Return how many of sorted times lie in a span."""
    return bisect_left(times, start + seconds) - bisect_left(times, start)


@dataclass(slots=True)
class _Play:
    service: FailingService
    random: Random
    clock: Clock = field(default_factory=Clock)
    played: Played = field(default_factory=Played)
    hosts: list[ResendBudgets] = field(default_factory=list)

    def run(self) -> None:
        # The hosts start one window before the traffic.
        self.clock.now = 0.0
        self.hosts = [self._start_host() for _ in range(self.service.hosts)]
        restarts = list(self.service.restarts)
        retries: list[float] = []
        for at in self._arrivals():
            while retries and retries[0] < at:
                self._request(retries.pop(0))
            while restarts and restarts[0].at <= at:
                self._restart(restarts.pop(0))
            if not self._request(at):
                retries.append(at + RETRY_SECONDS)

    def _arrivals(self) -> Iterator[float]:
        at = 0.0
        while at < self.service.seconds:
            at += self.random.expovariate(self.service.requests_per_second)
            yield at

    def _start_host(self) -> ResendBudgets:
        return ResendBudgets(
            lambda: LIMIT, lambda: self.service.hosts, lambda: self.clock.now
        )

    def _restart(self, restarts: Restarts) -> None:
        self.clock.now = LIMIT.window + restarts.at
        count = round(self.service.hosts * restarts.share)
        for number in self.random.sample(range(self.service.hosts), count):
            self.hosts[number] = self._start_host()

    def _request(self, at: float) -> bool:
        """Play a request; return whether it is served."""
        self.clock.now = LIMIT.window + at
        host = self.random.choice(self.hosts)
        self.played.requests.append(at)
        host.note_first(SERVICE)
        for _ in range(ATTEMPTS - 1):
            if not self._fails(at):
                break
            if not host.take(SERVICE):
                return False
            self.played.resends.append(at)
        else:
            if self._fails(at):
                return False
        self.played.served.append(at)
        return True

    def _fails(self, at: float) -> bool:
        is_failing = at >= self.service.start
        return is_failing and self.random.random() < self.service.share


def play(service: FailingService, seed: int) -> Played:
    """Play the callers of a failing service.

    Args:
        service: The service and its hosts.
        seed: Seed of all draws.
    """
    one = _Play(service, Random(seed))
    one.run()
    return one.played
