"""Simulates a fleet that sends to rate-limited upstreams, without sockets.

Each host knows the load of the others as of about a second ago, and decides
with the product's own code.
"""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from random import Random

from wardstair.decisions.fleet_rate import (
    NO_SHARE,
    Allowance,
    FleetRateLimit,
    HostShare,
    LoadView,
    host_share,
)

OVERSHOOT = 1.5
SLACK = 5.0
WINDOW = 4.0
# Zone of the simulated upstream.
ZONE = 'z0'


def bound_of(rate: float) -> FleetRateLimit:
    """Return the limit of an upstream that reports a rate."""
    return FleetRateLimit(rate, OVERSHOOT, SLACK, WINDOW)


def most_in_window(times: list[float], window: float = WINDOW) -> int:
    """Return the maximum number of arrivals in any window."""
    times = sorted(times)
    most = 0
    start = 0
    for place, at in enumerate(times):
        while times[start] <= at - window:
            start += 1
        most = max(most, place - start + 1)
    return most


@dataclass
class PlayedHost:
    """A simulated host.

    Attributes:
        name: Its name.
        zone: Its zone.
        load: Current requests per second of its callers.
        told: Load that it reported last.
        view: Loads of the fleet as it knows them now.
        allowances: Its allowances by upstream.
        knows_at: Time from which on it knows the limit, in seconds.
    """

    name: str
    zone: str
    load: float
    told: float = 0.0
    view: LoadView = field(default_factory=lambda: LoadView('', ''))
    allowances: dict[str, Allowance] = field(default_factory=dict)
    knows_at: float = 0.0
    _share_inputs: tuple[FleetRateLimit, int] | None = None
    _share: HostShare = NO_SHARE

    def may_send(
        self,
        upstream: str,
        zone: str,
        bound: FleetRateLimit,
        now: float,
    ) -> bool:
        """Count a request to an upstream, if this host's share allows it."""
        if self._share_inputs != (bound, id(self.view)):
            self._share_inputs = (bound, id(self.view))
            self._share = host_share(upstream, zone, bound, self.view)
        share = self._share
        allowance = self.allowances.setdefault(upstream, Allowance())
        if not allowance.is_due(share.rate, now):
            return False
        allowance.take()
        return True


@dataclass
class PlayedFleet:
    """Simulated hosts of several zones.

    Attributes:
        hosts: The hosts.
        random: Source of requests and delays.
        delay: Longest time until reported load is known, in seconds.
        hears: Whether the first host receives the reports of the second;
            always by default.
    """

    hosts: list[PlayedHost]
    random: Random
    delay: float = 1.2
    hears: Callable[[PlayedHost, PlayedHost], bool] = lambda _one, _other: True

    @classmethod
    def of(
        cls,
        zones: int,
        hosts_a_zone: int,
        load: float,
        seed: int = 1,
    ) -> 'PlayedFleet':
        """Return a fleet with the same load at each host."""
        hosts = [
            PlayedHost(f'h{zone}-{number}', f'z{zone}', load)
            for zone in range(zones)
            for number in range(hosts_a_zone)
        ]
        return cls(hosts, Random(seed))

    def refresh(self, host: PlayedHost) -> None:
        """Update the view of a host from the reports of the others."""
        heard = [one for one in self.hosts if self.hears(host, one)]
        silent = [one.told for one in self.hosts if not self.hears(host, one)]
        zones: dict[str, float] = {}
        for one in heard:
            zones[one.zone] = zones.get(one.zone, 0.0) + one.told
        host.view = LoadView(
            host.name,
            host.zone,
            {one.name: one.told for one in heard if one.zone == host.zone},
            zones,
            {zone: f'r{int(zone[1:]) // 2}' for zone in zones},
            silent_load=sum(silent),
            is_settled=True,
        )

    def play(
        self,
        wanted: Callable[[PlayedHost, float], float],
        bound: Callable[[float], FleetRateLimit],
        seconds: float,
        upstream: str = 'u',
        most: float = 20.0,
    ) -> list[float]:
        """Return the times at which requests arrived at one upstream.

        Args:
            wanted: Returns the requests per second of a host at a time.
            bound: Returns the limit of the upstream at a time.
            seconds: Simulated duration.
            upstream: Name of the upstream.
            most: Maximum that `wanted` returns.
        """
        arrivals = []
        for host in self.hosts:
            host.told = host.load
        for host in self.hosts:
            self.refresh(host)
        # When each host next receives heartbeats and may next have a request.
        due = [(self.random.uniform(0, 1), host, True) for host in self.hosts]
        due += [(self._gap(most), host, False) for host in self.hosts]
        numbers = count()
        events = [
            (at, next(numbers), host, is_heartbeat)
            for at, host, is_heartbeat in due
        ]
        heapq.heapify(events)
        while events[0][0] < seconds:
            now, _, host, is_heartbeat = heapq.heappop(events)
            asked = wanted(host, now)
            if is_heartbeat:
                # Heartbeats arrive with a delay that is drawn each time.
                gap = self.random.uniform(0.8, self.delay)
                host.told = host.load
                self.refresh(host)
            else:
                gap = self._gap(most)
                is_one = self.random.random() * most < asked
                if is_one and self._is_sent(host, now, bound(now), upstream):
                    arrivals.append(now + self.random.uniform(0, 0.08))
            heapq.heappush(
                events, (now + gap, next(numbers), host, is_heartbeat)
            )
        return arrivals

    def _gap(self, most: float) -> float:
        return self.random.expovariate(most)

    def _is_sent(
        self,
        host: PlayedHost,
        now: float,
        bound: FleetRateLimit,
        upstream: str,
    ) -> bool:
        knows = now >= host.knows_at
        return not knows or host.may_send(upstream, ZONE, bound, now)


def steady(rate: float) -> Callable[[float], FleetRateLimit]:
    """Return a limit that does not change over time."""
    bound = bound_of(rate)
    return lambda _now: bound
