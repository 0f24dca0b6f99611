"""A fleet that sends to upstreams which name limits, played without sockets.

Each host knows the others by what it was told a second ago or so; what it
decides is the product's own code.
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
# Of the upstream that is played.
ZONE = 'z0'


def bound_of(rate: float) -> FleetRateLimit:
    """Return what is borne of an upstream that names a rate."""
    return FleetRateLimit(rate, OVERSHOOT, SLACK, WINDOW)


def most_in_window(times: list[float], window: float = WINDOW) -> int:
    """Return the most arrivals in any window."""
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
    """One host of the play.

    Attributes:
        name: Its name.
        zone: Its zone.
        load: Requests a second of its callers, now.
        told: What it told last of its load.
        view: What it knows now.
        allowances: Its allowances by upstream.
        knows_at: From when on it knows the limit.
    """

    name: str
    zone: str
    load: float
    told: float = 0.0
    view: LoadView = field(default_factory=lambda: LoadView('', ''))
    allowances: dict[str, Allowance] = field(default_factory=dict)
    knows_at: float = 0.0
    _worked_out: tuple[FleetRateLimit, int] | None = None
    _part: HostShare = NO_SHARE

    def may_send(
        self,
        upstream: str,
        zone: str,
        bound: FleetRateLimit,
        now: float,
    ) -> bool:
        """Take a request for an upstream, if this host's part allows it."""
        if self._worked_out != (bound, id(self.view)):
            self._worked_out = (bound, id(self.view))
            self._part = host_share(upstream, zone, bound, self.view)
        part = self._part
        allowance = self.allowances.setdefault(upstream, Allowance())
        if not allowance.is_due(part.rate, now):
            return False
        allowance.take()
        return True


@dataclass
class PlayedFleet:
    """Hosts of several zones.

    Attributes:
        hosts: The hosts.
        random: Draws requests and delays.
        delay: Longest time until told load is known, in seconds.
        hears: Whether the first host hears the second one; all do by default.
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
        """Let a host know what the others have told."""
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
        """Return when requests came to one upstream.

        Args:
            wanted: Requests a second that a host has for it at a time.
            bound: What it takes at a time.
            seconds: How long to play.
            upstream: Its name.
            most: The most that a host may want.
        """
        came = []
        for host in self.hosts:
            host.told = host.load
        for host in self.hosts:
            self.refresh(host)
        # When each host next hears heartbeats, and when it may have a request.
        due = [(self.random.uniform(0, 1), host, True) for host in self.hosts]
        due += [(self._gap(most), host, False) for host in self.hosts]
        numbers = count()
        events = [(at, next(numbers), host, beats) for at, host, beats in due]
        heapq.heapify(events)
        while events[0][0] < seconds:
            now, _, host, beats = heapq.heappop(events)
            asked = wanted(host, now)
            if beats:
                # A heartbeat's worth of delay, another each time.
                gap = self.random.uniform(0.8, self.delay)
                host.told = host.load
                self.refresh(host)
            else:
                gap = self._gap(most)
                is_one = self.random.random() * most < asked
                if is_one and self._is_sent(host, now, bound(now), upstream):
                    came.append(now + self.random.uniform(0, 0.08))
            heapq.heappush(events, (now + gap, next(numbers), host, beats))
        return came

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
    """Return a limit that stays."""
    bound = bound_of(rate)
    return lambda _now: bound
