"""Simulates a service of rate-limited upstreams and callers that retry.

Hosts apply their shares of the limits with the product's own code; there are
no sockets.
"""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from itertools import count
from random import Random

from lib.upstreams import ENTRY
from wardstair.decisions.fleet_rate import LoadView
from wardstair.decisions.ranking import WeightedUpstream, rank
from wardstair.gateway.limited_sends import MAX_WAIT_FRACTION, LimitedSends
from wardstair.platform.headers import ReportedLimit
from wardstair.state.limits import LimitTable
from wardstair.state.upstream import Upstream

ZONES = ('z0', 'z1', 'z2')
KEYS = 400
# Time within which a caller wants its response.
CALLER_TIMEOUT_SECONDS = 3.0


@dataclass(frozen=True, order=True)
class Arrival:
    """An attempt of a caller.

    Attributes:
        at: When it arrives, in seconds.
        number: Breaks ties in the order of arrivals.
        began: When the first attempt of its caller arrived, in seconds.
        key: Affinity key.
        tries: Number of attempts before this one.
    """

    at: float
    number: int
    began: float
    key: str
    tries: int = 0


@dataclass
class Served:
    """Results of the callers.

    Attributes:
        first: Callers served at the first attempt.
        later: Callers served at a retry.
        refused: Callers not served.
        tries: Attempts of all callers.
        came: Times at which requests arrived, by upstream.
    """

    first: int = 0
    later: int = 0
    refused: int = 0
    tries: int = 0
    came: dict[str, list[float]] = field(default_factory=dict)

    @property
    def all(self) -> int:
        """Number of all callers."""
        return self.first + self.later + self.refused


class LimitedService:
    """Hosts in three zones, and upstreams that may announce limits."""

    def __init__(
        self,
        limits: list[float | None],
        seed: int = 1,
        hosts_a_zone: int = 2,
    ) -> None:
        self.random = Random(seed)
        self.upstreams = [
            Upstream(
                replace(ENTRY, name=f'u{number}', zone=ZONES[number % 3]),
            )
            for number in range(len(limits))
        ]
        names = [
            (f'{zone}-{number}', zone)
            for zone in ZONES
            for number in range(hosts_a_zone)
        ]
        self.hosts = [self._host(name, zone, names) for name, zone in names]
        for host in self.hosts:
            for upstream, limit in zip(self.upstreams, limits, strict=True):
                if limit is not None:
                    host.table.note(upstream, ReportedLimit(limit))

    def _host(
        self,
        name: str,
        zone: str,
        names: list[tuple[str, str]],
    ) -> 'ServiceHost':
        view = LoadView(
            name,
            zone,
            {peer: 10.0 for peer, at in names if at == zone},
            dict.fromkeys(ZONES, 10.0 * len(names) / len(ZONES)),
            dict.fromkeys(ZONES, 'r'),
            is_settled=True,
        )
        return ServiceHost(view)

    def play(
        self,
        rate: Callable[[float], float],
        seconds: float,
        fixed_wait: float | None = None,
    ) -> Served:
        """Simulate callers and return their results.

        Args:
            rate: Returns the new callers per second at a time.
            seconds: Duration for which new callers arrive.
            fixed_wait: Seconds until a retry for all callers; computed by the
                product if not given.
        """
        numbers = count()
        arrivals: list[Arrival] = []
        now = 0.0
        while now < seconds:
            now += self.random.expovariate(max(rate(now), 0.01))
            key = str(self.random.randrange(KEYS))
            arrivals.append(Arrival(now, next(numbers), now, key))
        heapq.heapify(arrivals)
        served = Served()
        while arrivals:
            arrival = heapq.heappop(arrivals)
            served.tries += 1
            host = self.random.choice(self.hosts)
            name = host.choose_upstream(self.upstreams, arrival)
            if name is not None:
                served.came.setdefault(name, []).append(arrival.at)
                if arrival.tries:
                    served.later += 1
                else:
                    served.first += 1
                continue
            left = arrival.began + CALLER_TIMEOUT_SECONDS - arrival.at
            wait = fixed_wait
            if wait is None:
                wait = host.sends.wait(
                    self.upstreams,
                    len(self.hosts),
                    left,
                    arrival.at,
                )
            if arrival.tries or wait >= left:
                served.refused += 1
                continue
            wait = min(wait, left * MAX_WAIT_FRACTION)
            retry = replace(arrival, at=arrival.at + wait, tries=1)
            heapq.heappush(arrivals, retry)
        return served


class ServiceHost:
    """A host with its shares of the limits."""

    def __init__(self, view: LoadView) -> None:
        self.table = LimitTable(lambda: 0.0)
        self.sends = LimitedSends(self.table, lambda: view)

    def choose_upstream(
        self,
        upstreams: list[Upstream],
        arrival: Arrival,
    ) -> str | None:
        """Choose the first upstream that may get an attempt, and count it."""
        by_name = {upstream.name: upstream for upstream in upstreams}
        candidates = [WeightedUpstream(name, 1.0) for name in by_name]
        ranked = [by_name[name] for name in rank(arrival.key, candidates)]
        due = [each for each in ranked if self.sends.may_send(each, arrival.at)]
        if not due:
            return None
        self.sends.take(due[0])
        return due[0].name
