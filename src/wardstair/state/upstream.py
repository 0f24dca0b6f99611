"""An upstream as seen by this host: its entry and its observed behaviour.

Load, latency and failures are observed in this host's own requests.
"""

import math
from dataclasses import dataclass, field
from enum import StrEnum

from wardstair.decisions.answer_times import overdue_delay
from wardstair.decisions.warm_keys import WarmKeys
from wardstair.process.log import log_event
from wardstair.state.entries import UpstreamEntry, UpstreamPhase

# Age at which a load report no longer counts.
REPORT_SECONDS = 1.5
# Weight of the last answer in the average of the slowness.
LATENCY_SHARE = 0.15
# Time constant of the average of the reported utilization.
UTILIZATION_SECONDS = 2.0
# Half-life of the slowness of an upstream without answers.
SLOWNESS_HALF_LIFE_SECONDS = 2.0
MIN_SLOWNESS = 0.8
# Average ratio of observed to expected time from which an upstream is ejected.
EJECT_SLOWNESS = 2.5
EJECT_SECONDS = 2.0
MAX_EJECT_FACTOR = 4
# Time without ejection after which the ejection time starts again at its
# minimum.
EJECTION_RESET_SECONDS = 6.0
# Weight of the last request in the average share of failed requests, and the
# share from which an upstream is ejected: two failures among the last few
# requests. Healthy upstreams fail about one request in 250.
ERROR_WEIGHT = 0.2
EJECT_ERROR_SHARE = 0.3
# Share after an ejection: one more failure ejects the upstream again.
KEPT_ERROR_SHARE = 0.15
# How long an upstream that may have restarted is assumed to be cold: the
# longest time for which it is avoided before the next attempt, plus the time
# until its new entry is read.
ASSUMED_COLD_SECONDS = 6.0
_MIN_AVOIDED_SECONDS = 0.5
_MAX_AVOIDED_SECONDS = 4.0


class EjectReason(StrEnum):
    """Why an upstream is ejected."""

    slow = 'slow'
    failing = 'failing'


@dataclass(frozen=True, slots=True)
class RunningSend:
    """A request of this host that an upstream has not answered yet.

    Attributes:
        started_at: Monotonic time in seconds at which it was sent.
        expected: Expected seconds until its answer.
        longest: The same if its key turns out not to be warm.
    """

    started_at: float
    expected: float
    longest: float


@dataclass(slots=True)
class Upstream:
    """One incarnation of an upstream as seen by this host.

    Attributes:
        entry: Its entry in the store.
        cold_until: Monotonic time until which it is cold.
        refused_until: Monotonic time until which this host alone treats it as
            cold, because it refused a connection.
        gone_at: Monotonic time at which its entry was deleted, or None.
        reported_load: Running and waiting requests in its last load report.
        in_flight_at_report: This host's requests in flight at that report.
        reported_at: Monotonic time of that report.
        utilization: Reported load per slot, averaged over the last seconds.
        rebalance_factor: Factor on its weight in the key ranking; below 1 after
            its utilization was higher than that of others.
        weight_factor: Factor on that weight; above 1 where few hosts may send
            to it, so that each of them gets enough requests.
        slowness: Average ratio of observed to expected time.
        avoided_until: Monotonic time until which it is avoided after a failure.
        failures: Number of consecutive failures.
        error_share: Average share of failures among the last requests.
        slowness_at: Monotonic time of the last measurement of the slowness.
        ejected_until: Monotonic time until which it is ejected.
        ejections: Number of consecutive ejections.
        running: This host's requests in flight, in the order they were sent.
        warm: Keys of its recent answers.
        has_ended: Whether it is known to have exited. Its entry may remain for
            a while and does not make it available again.
    """

    entry: UpstreamEntry
    cold_until: float = 0.0
    refused_until: float = 0.0
    gone_at: float | None = None
    reported_load: int = 0
    in_flight_at_report: int = 0
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
        """Its name, which it may keep when it restarts."""
        return self.entry.name

    @property
    def incarnation(self) -> str:
        """Identifier of this incarnation among all hosts."""
        return f'{self.entry.name}@{self.entry.born}'

    @property
    def in_flight(self) -> int:
        """Number of requests of this host in flight."""
        return len(self.running)

    @property
    def takes_work(self) -> bool:
        """Whether it is registered and not draining."""
        is_ready = self.entry.phase is UpstreamPhase.ready
        return is_ready and self.gone_at is None

    @property
    def cold_end(self) -> float:
        """Monotonic time until which this host treats it as cold."""
        return max(self.cold_until, self.refused_until)

    def is_cold(self, now: float) -> bool:
        """Return whether it can take only a limited rate now."""
        return now < self.cold_end

    def is_avoided(self, now: float) -> bool:
        """Return whether it failed recently or is ejected or overdue."""
        if now < self.avoided_until or now < self.ejected_until:
            return True
        return self.is_overdue(now)

    def state_now(self, now: float) -> str:
        """Return its state as one word, for operators and metrics."""
        if self.gone_at is not None:
            return 'gone'
        if self.entry.phase is UpstreamPhase.draining:
            return 'draining'
        if self.is_cold(now):
            return 'cold'
        return 'avoided' if self.is_avoided(now) else 'ready'

    def is_overdue(self, now: float) -> bool:
        """Return whether its oldest request takes much longer than expected."""
        return self._overdue_ratio(now) > 0

    def assume_cold(self, now: float) -> None:
        """Treat the next process at its address as cold until it registers.

        A restarted upstream is cold, but hosts continue to send at full rate
        until they read its new entry: 21 requests in one second reached an
        upstream that can take 8.
        """
        self.cold_until = max(self.cold_until, now + ASSUMED_COLD_SECONDS)

    def assume_cold_locally(self, now: float) -> None:
        """Treat it as cold after it refused a connection of this host.

        The time is not sent to other hosts, because only the network path of
        this host may be broken.
        """
        self.refused_until = now + ASSUMED_COLD_SECONDS

    def reset_failures(self) -> None:
        """Discard failures that were caused by the network path."""
        self.failures = 0
        self.avoided_until = 0.0
        self.refused_until = 0.0
        self.error_share = 0.0
        self.ejected_until = 0.0
        self.ejections = 0
        self.slowness = 1.0

    def load(self, now: float) -> float:
        """Return the estimated number of requests in flight of all hosts."""
        age = now - self.reported_at
        if age >= REPORT_SECONDS:
            return float(self.in_flight)
        freshness = 1 - age / REPORT_SECONDS
        others = (
            max(0, self.reported_load - self.in_flight_at_report) * freshness
        )
        return others + self.in_flight

    def note_load(self, running_and_waiting: int, now: float) -> None:
        """Record a load report, with the answered request already removed.

        Args:
            running_and_waiting: Reported number of requests.
            now: Monotonic time in seconds.
        """
        weight = 1 - math.exp((self.reported_at - now) / UTILIZATION_SECONDS)
        reported = running_and_waiting / self.entry.slots
        self.utilization += weight * (reported - self.utilization)
        self.reported_load = running_and_waiting
        self.in_flight_at_report = self.in_flight
        self.reported_at = now

    def slowness_now(self, now: float) -> float:
        """Return the ratio of its time to the expected time, with decay.

        A slow upstream receives few requests, so without decay its ratio would
        never be corrected. With decay it is tried again after a while.
        """
        age = max(0.0, now - self.slowness_at)
        kept = math.exp2(-age / SLOWNESS_HALF_LIFE_SECONDS)
        decayed = 1 + (self.slowness - 1) * kept
        overdue = self._overdue_ratio(now)
        return max(decayed, overdue, MIN_SLOWNESS)

    def note_answer(self) -> None:
        """Record an answer whose time is not representative."""
        self.failures = 0
        self.avoided_until = 0.0
        self.error_share *= 1 - ERROR_WEIGHT

    def note_error(self, now: float) -> None:
        """Record an error answer or a missing answer."""
        self.error_share += ERROR_WEIGHT * (1 - self.error_share)
        if self.error_share >= EJECT_ERROR_SHARE and now >= self.ejected_until:
            self._eject(now, EjectReason.failing)
            self.error_share = KEPT_ERROR_SHARE

    def note_success(self, ratio: float, now: float) -> None:
        """Record an answer.

        Args:
            ratio: Ratio of its time to the expected time.
            now: Monotonic time in seconds.
        """
        self.note_answer()
        self.slowness += LATENCY_SHARE * (ratio - self.slowness)
        self.slowness_at = now
        if self.slowness >= EJECT_SLOWNESS and now >= self.ejected_until:
            self._eject(now, EjectReason.slow)

    def _overdue_ratio(self, now: float) -> float:
        """Return the waiting time of its oldest request if it is overdue.

        Returns:
            The ratio to the expected time; 0 if the request is not overdue.
        """
        if not self.running:
            return 0.0
        oldest = next(iter(self.running.values()))
        waited = now - oldest.started_at
        # The work of requests varies, so a moderate excess is normal.
        if waited <= overdue_delay(oldest.expected, oldest.longest):
            return 0.0
        return waited / oldest.expected

    def _eject(self, now: float, reason: EjectReason) -> None:
        """Eject it for a while; longer each time it does not recover."""
        if now - self.ejected_until > EJECTION_RESET_SECONDS:
            self.ejections = 0
        self.ejections += 1
        seconds = EJECT_SECONDS * min(self.ejections, MAX_EJECT_FACTOR)
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
        # After the ejection only new measurements count.
        self.slowness = 1.0

    def note_failure(self, now: float) -> float:
        """Record a failure.

        Args:
            now: Monotonic time in seconds.

        Returns:
            The seconds for which it is avoided.
        """
        self.failures += 1
        self.note_error(now)
        seconds = min(
            _MIN_AVOIDED_SECONDS * 2.0 ** (self.failures - 1),
            _MAX_AVOIDED_SECONDS,
        )
        self.avoided_until = now + seconds
        return seconds
