"""What this host sends to upstreams that name a limit."""

from collections import Counter
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from wardstair.decisions.fleet_rate import (
    NOTHING,
    Allowance,
    FleetBound,
    LoadView,
    Part,
    part_of,
)
from wardstair.process.log import log_event
from wardstair.state.limits import LimitTable
from wardstair.state.upstream import Upstream

# What is borne of an upstream that names a limit, by the users' rules, which no
# setting gives: half more than it names and five requests, in any four seconds.
LIMIT_OVERSHOOT = 1.5
LIMIT_SLACK = 5.0
LIMIT_WINDOW = 4.0
# Requests a second of all hosts to an upstream that names zero or hardly more:
# one in ten seconds, since only its answers tell when it takes more.
LEAST_RATE = 0.1
# How often it is looked at whether this host has requests enough for its part.
STEP_SECONDS = 2.0
# Requests for each that its part allows. Drawn by chance, twice as many use
# 0.84 of the part, as many 0.62 and half as many 0.39.
WANTED = 2.0
# Step by which keys are drawn to an upstream, and the most: beyond it, keys
# would leave homes all over the service for one that takes few.
DRAW_STEP = 1.5
MAX_WEIGHT_FACTOR = 32.0
# Change of a part that is worth a log line: parts follow the load, and with
# each change told one upstream made three lines a second.
TOLD_CHANGE = 0.5
# Part of its time that a caller waits at most, by the users' pages.
MAX_WAIT_FRACTION = 1 / 3
# Longest that a caller is told to wait: limits change within seconds.
MAX_WAIT_SECONDS = 30.0


@dataclass(slots=True)
class LimitedUpstream:
    """What is kept of one upstream with a limit.

    Attributes:
        allowance: What this host may send to it now.
        wanted: Requests whose first choice it was, since the last step.
        part: This host's part.
        told: The rate of it that the log told last.
    """

    allowance: Allowance = field(default_factory=Allowance)
    wanted: int = 0
    part: Part = NOTHING
    told: float = 0.0
    _rate: float = -1.0
    _view: LoadView | None = None

    def part_for(self, upstream: Upstream, rate: float, view: LoadView) -> Part:
        """Return this host's part; worked out anew when it may differ."""
        if rate != self._rate or view is not self._view:
            self._rate = rate
            self._view = view
            bound = FleetBound(
                max(rate, LEAST_RATE),
                LIMIT_OVERSHOOT,
                LIMIT_SLACK,
                LIMIT_WINDOW,
            )
            entry = upstream.entry
            self.part = part_of(entry.name, entry.zone, bound, view)
        return self.part


class LimitedSends:
    """Keeps this host to its part of limits; one a process.

    Attributes:
        sent: Requests sent to upstreams with a limit, by service.
    """

    def __init__(
        self,
        limits: LimitTable,
        view: Callable[[], LoadView],
    ) -> None:
        """Prepare without knowledge.

        Args:
            limits: What upstreams name.
            view: Returns whom this host knows now, with their load.
        """
        self.sent = Counter[str]()
        self._limits = limits
        self._view = view
        self._kept: dict[str, LimitedUpstream] = {}
        self._stepped_at = 0.0
        # When the next caller may come again, by service.
        self._next_at: dict[str, float] = {}

    @property
    def is_idle(self) -> bool:
        """Whether no upstream has named anything."""
        return not self._limits.rows

    def is_limited(self, upstream: Upstream) -> bool:
        """Return whether an upstream names a limit."""
        return self._limits.rate_of(upstream) is not None

    def may_send(self, upstream: Upstream, now: float) -> bool:
        """Return whether an upstream may get a request from here now."""
        rate = self._limits.rate_of(upstream)
        if rate is None:
            return True
        kept = self._keep(upstream)
        part = kept.part_for(upstream, rate, self._view())
        return kept.allowance.is_due(part.rate, now)

    def note_first_choice(self, upstream: Upstream) -> None:
        """Count a request that would go to an upstream, limit or not."""
        if self.is_limited(upstream):
            self._keep(upstream).wanted += 1

    def take(self, upstream: Upstream) -> None:
        """Count a request that goes to an upstream."""
        if not self.is_limited(upstream):
            return
        kept = self._keep(upstream)
        kept.allowance.take()
        self.sent[upstream.entry.service] += 1
        if abs(kept.part.rate - kept.told) > kept.told * TOLD_CHANGE:
            kept.told = kept.part.rate
            self._tell(upstream, kept)

    def step(self, upstreams: Collection[Upstream], now: float) -> bool:
        """Draw keys to upstreams whose part here is not used, or let them go.

        Few hosts may send to an upstream that takes little, and each has only
        its own callers' requests for it: the four of 189 hosts that may send
        to one that names 3.6 a second used 0.05 of that, and 0.83 with keys
        drawn to it (16 requests a second for it, played without sockets).

        Args:
            upstreams: All upstreams.
            now: Monotonic time in seconds.

        Returns:
            Whether the weight of an upstream has changed.
        """
        if now - self._stepped_at < STEP_SECONDS:
            return False
        seconds = min(now - self._stepped_at, STEP_SECONDS * 2)
        self._stepped_at = now
        is_changed = False
        for upstream in upstreams:
            drawn = self._drawn(upstream, seconds)
            if drawn != upstream.drawn:
                upstream.drawn = drawn
                is_changed = True
        return is_changed

    def wait(
        self,
        upstreams: Collection[Upstream],
        hosts: int,
        seconds_left: float,
        now: float,
    ) -> float:
        """Return when a caller should come again, in seconds.

        Each that is told gets the next place of this host's even part of what
        the upstreams take together, whoever may send: a caller comes back to
        another host. Of callers in bursts, 60 a second for two seconds and 8
        for eight, at six upstreams that name 4, 0.70 are served; all told 0.4 s
        0.66, all told 0.2 s 0.64 (played without sockets, 16 seeds).

        Args:
            upstreams: Those that would do, all with a limit.
            hosts: Hosts of the fleet.
            seconds_left: How long the caller goes on trying. One that will
                not wait so long takes no place.
            now: Monotonic time in seconds.
        """
        rates = [self._limits.rate_of(one) for one in upstreams]
        total = sum(max(rate, LEAST_RATE) for rate in rates if rate is not None)
        service = next(iter(upstreams)).entry.service
        place = max(now, self._next_at.get(service, now)) + hosts / total
        wait = min(place - now, MAX_WAIT_SECONDS)
        if wait < seconds_left * MAX_WAIT_FRACTION:
            self._next_at[service] = place
        return wait

    def forget(self, names: Collection[str]) -> None:
        """Drop what is kept for upstreams that are gone.

        Args:
            names: Names of the upstreams that are still there.
        """
        for name in self._kept.keys() - set(names):
            self._kept.pop(name)

    def forget_one(self, name: str) -> None:
        """Drop what is kept for an upstream that has started again.

        Args:
            name: Its name.
        """
        self._kept.pop(name, None)

    def _keep(self, upstream: Upstream) -> LimitedUpstream:
        return self._kept.setdefault(upstream.name, LimitedUpstream())

    def _drawn(self, upstream: Upstream, seconds: float) -> float:
        """Return the factor on an upstream's weight from now on."""
        kept = self._kept.get(upstream.name)
        rate = self._limits.rate_of(upstream)
        if kept is None or rate is None:
            return 1.0
        wanted = kept.wanted / seconds
        kept.wanted = 0
        part = kept.part_for(upstream, rate, self._view())
        most = min(MAX_WEIGHT_FACTOR, max(1.0, part.stands_for))
        if part.rate <= 0:
            return 1.0
        if wanted < part.rate * WANTED:
            return min(most, upstream.drawn * DRAW_STEP)
        if wanted > part.rate * WANTED * DRAW_STEP**2:
            return max(1.0, upstream.drawn / DRAW_STEP)
        return min(most, upstream.drawn)

    def _tell(self, upstream: Upstream, kept: LimitedUpstream) -> None:
        view = self._view()
        log_event(
            'limited-upstream-used',
            upstream=upstream.name,
            service=upstream.entry.service,
            zone=upstream.entry.zone,
            limit=self._limits.rate_of(upstream),
            rate=round(kept.part.rate, 3),
            drawn=round(upstream.drawn, 2),
            hosts=len(view.hosts),
            zones=len(view.zones),
            silent=round(view.silent, 1),
        )
