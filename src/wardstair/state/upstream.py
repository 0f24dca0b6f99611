"""One upstream as a host sees it: what it registered and how it behaves.

Load, latency and failures come from this host's own requests.
"""

import math
from dataclasses import dataclass, field
from enum import StrEnum

from wardstair.decisions.answer_times import overdue_after
from wardstair.decisions.warmth import WarmKeys
from wardstair.process.log import log_event
from wardstair.state.entries import UpstreamEntry, UpstreamPhase

# A load report tells little about the present after this long.
REPORT_SECONDS = 1.5
LATENCY_SHARE = 0.15
# How far back told loads count towards how crowded an upstream is.
CROWDING_SECONDS = 2.0
# After this long without an answer, half of what made it look slow is gone.
SLOWNESS_HALF_SECONDS = 2.0
LEAST_SLOWNESS = 0.8
# Averaged time beside the usual from which an upstream is left out.
EJECT_SLOWNESS = 2.5
EJECT_SECONDS = 2.0
MOST_EJECT_FACTOR = 4
# One that was not slow for this long starts anew.
FORGIVEN_SECONDS = 6.0
# How fast the share of failed requests follows the last ones, and the share
# from which an upstream is left out: two failures among the last few. Sound
# upstreams were seen to fail one request in 250.
ERROR_WEIGHT = 0.2
EJECT_ERROR_SHARE = 0.3
# What is left of the share when it is tried again: one more failure is enough.
KEPT_ERROR_SHARE = 0.15
# How long an upstream that may have started again is taken for cold: the
# longest distrust, after which it is next tried, and time for its entry.
ASSUMED_COLD_SECONDS = 6.0
_FIRST_DISTRUST_SECONDS = 0.5
_LONGEST_DISTRUST_SECONDS = 4.0


class EjectReason(StrEnum):
    """Why an upstream is left out."""

    slow = 'slow'
    failing = 'failing'


@dataclass(frozen=True, slots=True)
class RunningSend:
    """A request of this host that an upstream has not answered yet.

    Attributes:
        started_at: Monotonic time when it was sent.
        expected: Expected seconds of its answer.
        longest: The same if the upstream does not remember its key after all.
    """

    started_at: float
    expected: float
    longest: float


@dataclass(slots=True)
class Upstream:
    """One life of an upstream as this host sees it.

    Attributes:
        entry: What it registered.
        cold_until: Monotonic time until which it is cold.
        refused_until: Monotonic time until which this host alone takes it for
            cold, since it refused a connection.
        gone_at: When its entry was deleted, or None.
        reported_load: Load it told last: running and waiting.
        own_when_reported: This host's requests at it when it told that.
        reported_at: When it told that.
        utilization: Told load for each slot, averaged over the last seconds.
        rebalance_factor: Factor on its weight in the key ranking; below 1 after
            its utilization was higher than that of others.
        weight_factor: Factor on that weight; above 1 where few hosts may send
            to it, so that each of them gets enough requests.
        slowness: Its time beside what was expected, averaged.
        avoided_until: Monotonic time until which it is avoided.
        failures: Failures in a row.
        error_share: Share of failures among its answers lately.
        slowness_at: When that was last measured.
        ejected_until: Monotonic time until which it is left out as slow.
        ejections: How often that happened in a row.
        running: This host's requests at it, in the order they were sent.
        warm: Keys that it has answered lately.
        has_ended: Whether another upstream answered at its address; its
            entry may stay for a while and does not bring it back.
    """

    entry: UpstreamEntry
    cold_until: float = 0.0
    refused_until: float = 0.0
    gone_at: float | None = None
    reported_load: int = 0
    own_when_reported: int = 0
    reported_at: float = float('-inf')
    utilization: float = 0.0
    rebalance_factor: float = 1.0
    weight_factor: float = 1.0
    slowness: float = 1.0
    avoided_until: float = 0.0
    failures: int = 0
    error_share: float = 0.0
    slowness_at: float = 0.0
    ejected_until: float = 0.0
    ejections: int = 0
    running: dict[int, RunningSend] = field(default_factory=dict)
    warm: WarmKeys = field(default_factory=WarmKeys)
    has_ended: bool = False

    @property
    def name(self) -> str:
        """Its name, which it may keep when it starts again."""
        return self.entry.name

    @property
    def incarnation(self) -> str:
        """Names this life of it among all hosts."""
        return f'{self.entry.name}@{self.entry.born}'

    @property
    def in_flight(self) -> int:
        """Requests of this host at it now."""
        return len(self.running)

    @property
    def takes_work(self) -> bool:
        """Whether it is registered and not leaving."""
        is_ready = self.entry.phase is UpstreamPhase.ready
        return is_ready and self.gone_at is None

    @property
    def cold_end(self) -> float:
        """Monotonic time until which this host takes it for cold."""
        return max(self.cold_until, self.refused_until)

    def is_cold(self, now: float) -> bool:
        """Return whether it bears only a bounded rate now."""
        return now < self.cold_end

    def is_avoided(self, now: float) -> bool:
        """Return whether it failed lately or is far slower than others."""
        if now < self.avoided_until or now < self.ejected_until:
            return True
        return self.is_overdue(now)

    def state_now(self, now: float) -> str:
        """Return its state in one word, for people and metrics."""
        if self.gone_at is not None:
            return 'gone'
        if self.entry.phase is UpstreamPhase.draining:
            return 'draining'
        if self.is_cold(now):
            return 'cold'
        return 'avoided' if self.is_avoided(now) else 'ready'

    def is_overdue(self, now: float) -> bool:
        """Return whether its oldest request takes far longer than usual."""
        return self._waiting_ratio(now) > 0

    def assume_cold(self, now: float) -> None:
        """Take whoever listens there next for cold, until its entry is read.

        An upstream that starts again under its name is cold, and its hosts know
        no better than to go on: 21 requests in a second came to one that bears
        8.
        """
        self.cold_until = max(self.cold_until, now + ASSUMED_COLD_SECONDS)

    def assume_cold_locally(self, now: float) -> None:
        """Do the same on the word of a refused connection of this host.

        Other hosts are not told: it may be the way that is cut.
        """
        self.refused_until = now + ASSUMED_COLD_SECONDS

    def reset_failures(self) -> None:
        """Forget failures that were those of the way."""
        self.failures = 0
        self.avoided_until = 0.0
        self.refused_until = 0.0
        self.error_share = 0.0
        self.ejected_until = 0.0
        self.ejections = 0
        self.slowness = 1.0

    def load(self, now: float) -> float:
        """Return the requests that are probably at it now, of all hosts."""
        age = now - self.reported_at
        if age >= REPORT_SECONDS:
            return float(self.in_flight)
        freshness = 1 - age / REPORT_SECONDS
        others = max(0, self.reported_load - self.own_when_reported) * freshness
        return others + self.in_flight

    def note_load(self, running_and_waiting: int, now: float) -> None:
        """Take in a load report; this host's answered request is over."""
        share = 1 - math.exp((self.reported_at - now) / CROWDING_SECONDS)
        told = running_and_waiting / self.entry.slots
        self.utilization += share * (told - self.utilization)
        self.reported_load = running_and_waiting
        self.own_when_reported = self.in_flight
        self.reported_at = now

    def slowness_now(self, now: float) -> float:
        """Return its time beside the usual; old figures count for less.

        An upstream that looks slow gets little, so its figure would stay for
        good if it did not fade: after a while it is tried again.
        """
        age = max(0.0, now - self.slowness_at)
        kept = math.exp2(-age / SLOWNESS_HALF_SECONDS)
        faded = 1 + (self.slowness - 1) * kept
        waiting = self._waiting_ratio(now)
        return max(faded, waiting, LEAST_SLOWNESS)

    def note_answer(self) -> None:
        """Take in an answer whose time tells nothing."""
        self.failures = 0
        self.avoided_until = 0.0
        self.error_share *= 1 - ERROR_WEIGHT

    def note_error(self, now: float) -> None:
        """Take in a failure that it answered itself, or a silence."""
        self.error_share += ERROR_WEIGHT * (1 - self.error_share)
        if self.error_share >= EJECT_ERROR_SHARE and now >= self.ejected_until:
            self._eject(now, EjectReason.failing)
            self.error_share = KEPT_ERROR_SHARE

    def note_success(self, ratio: float, now: float) -> None:
        """Take in an answer.

        Args:
            ratio: Its time beside the time that was expected.
            now: Monotonic time in seconds.
        """
        self.note_answer()
        self.slowness += LATENCY_SHARE * (ratio - self.slowness)
        self.slowness_at = now
        if self.slowness >= EJECT_SLOWNESS and now >= self.ejected_until:
            self._eject(now, EjectReason.slow)

    def _waiting_ratio(self, now: float) -> float:
        """Return how overdue its oldest request is, beside what is usual."""
        if not self.running:
            return 0.0
        oldest = next(iter(self.running.values()))
        waited = now - oldest.started_at
        # A single long request is nothing; work differs from one to another.
        if waited <= overdue_after(oldest.expected, oldest.longest):
            return 0.0
        return waited / oldest.expected

    def _eject(self, now: float, reason: EjectReason) -> None:
        """Leave it out for a while; longer each time it does not recover."""
        if now - self.ejected_until > FORGIVEN_SECONDS:
            self.ejections = 0
        self.ejections += 1
        seconds = EJECT_SECONDS * min(self.ejections, MOST_EJECT_FACTOR)
        log_event(
            'upstream-ejected',
            upstream=self.name,
            service=self.entry.service,
            reason=reason,
            slowness=round(self.slowness, 2),
            errors=round(self.error_share, 2),
            seconds=seconds,
        )
        self.ejected_until = now + seconds
        # When it is back it is judged by what it does then.
        self.slowness = 1.0

    def note_failure(self, now: float) -> float:
        """Take in a failure; return for how long it is avoided, seconds."""
        self.failures += 1
        self.note_error(now)
        seconds = min(
            _FIRST_DISTRUST_SECONDS * 2.0 ** (self.failures - 1),
            _LONGEST_DISTRUST_SECONDS,
        )
        self.avoided_until = now + seconds
        return seconds
