"""A service whose upstreams all name limits, and callers that come back.

Hosts keep to their parts by the product's own code; sockets are left out.
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
# How long a caller goes on.
PATIENCE = 3.0


@dataclass(frozen=True, order=True)
class Arrival:
    """A try of a caller.

    Attributes:
        at: When.
        number: Breaks ties.
        began: When its first try was.
        key: What it concerns.
        tries: Tries before this one.
    """

    at: float
    number: int
    began: float
    key: str
    tries: int = 0


@dataclass
class Served:
    """What callers got.

    Attributes:
        first: Served at the first try.
        later: Served when they came back.
        refused: Not served.
        tries: Tries of all of them.
        came: When requests came to each upstream.
    """

    first: int = 0
    later: int = 0
    refused: int = 0
    tries: int = 0
    came: dict[str, list[float]] = field(default_factory=dict)

    @property
    def all(self) -> int:
        """Callers in all."""
        return self.first + self.later + self.refused


class LimitedService:
    """Hosts, two a zone, and upstreams that each name a limit."""

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
            {one: 10.0 for one, at in names if at == zone},
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
        """Play callers and return what they got.

        Args:
            rate: New callers a second at a time.
            seconds: For how long new ones come.
            fixed_wait: What all are told to wait, in place of the product's.
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
            one = heapq.heappop(arrivals)
            served.tries += 1
            host = self.random.choice(self.hosts)
            name = host.place(self.upstreams, one)
            if name is not None:
                served.came.setdefault(name, []).append(one.at)
                if one.tries:
                    served.later += 1
                else:
                    served.first += 1
                continue
            left = one.began + PATIENCE - one.at
            wait = fixed_wait
            if wait is None:
                wait = host.sends.wait(
                    self.upstreams,
                    len(self.hosts),
                    left,
                    one.at,
                )
            if one.tries or wait >= left:
                served.refused += 1
                continue
            wait = min(wait, left * MAX_WAIT_FRACTION)
            again = replace(one, at=one.at + wait, tries=1)
            heapq.heappush(arrivals, again)
        return served


class ServiceHost:
    """One host with its parts of the limits."""

    def __init__(self, view: LoadView) -> None:
        self.table = LimitTable(lambda: 0.0)
        self.sends = LimitedSends(self.table, lambda: view)

    def place(self, upstreams: list[Upstream], one: Arrival) -> str | None:
        """Send a try to the first upstream that takes it."""
        by_name = {upstream.name: upstream for upstream in upstreams}
        places = [WeightedUpstream(name, 1.0) for name in by_name]
        ranked = [by_name[name] for name in rank(one.key, places)]
        due = [each for each in ranked if self.sends.may_send(each, one.at)]
        if not due:
            return None
        self.sends.take(due[0])
        return due[0].name
