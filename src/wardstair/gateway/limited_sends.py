"""Limits what this host sends to upstreams that report a rate limit."""

from collections import Counter
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from wardstair.decisions.fleet_rate import (
    NO_SHARE,
    Allowance,
    FleetRateLimit,
    HostShare,
    LoadView,
    host_share,
)
from wardstair.process.log import log_event
from wardstair.state.limits import LimitTable
from wardstair.state.upstream import Upstream

# Limits that the fleet must keep to. They are fixed by the user requirements
# rather than by settings: in any four seconds an upstream may get 1.5 times its
# reported rate plus five requests.
LIMIT_OVERSHOOT = 1.5
LIMIT_SLACK = 5.0
LIMIT_WINDOW = 4.0
# Requests a second of the fleet to an upstream that reports zero or hardly
# more: one in ten seconds, since only its answers show when it accepts more.
MIN_RATE = 0.1
# Interval at which this host compares its requests with its share.
STEP_SECONDS = 2.0
# First-choice requests wanted for each request that the share allows. With
# random arrivals, a ratio of 2 uses 0.84 of the share, 1 uses 0.62 and 0.5 uses
# 0.39.
DEMAND_RATIO = 2.0
# Factor by which an upstream's weight changes in one step, and the largest
# factor on the weight. A larger one would move keys away from their preferred
# upstreams across the service to an upstream that accepts few requests.
WEIGHT_STEP = 1.5
MAX_WEIGHT_FACTOR = 32.0
# Relative change of a share that is logged. Shares follow the load; logging
# every change produced three lines a second for one upstream.
LOG_CHANGE_FRACTION = 0.5
# A caller waits at most this fraction of its remaining time before it retries,
# according to the user documentation.
MAX_WAIT_FRACTION = 1 / 3
# Longest wait reported to a caller, since limits change within seconds.
MAX_WAIT_SECONDS = 30.0


@dataclass(slots=True)
class LimitRecord:
    """The state kept for one upstream with a limit.

    Attributes:
        allowance: What this host may send to it now.
        first_choices: Requests since the last step that ranked it first.
        share: This host's share of the limit.
        logged_rate: The rate of the share that was logged last.
    """

    allowance: Allowance = field(default_factory=Allowance)
    first_choices: int = 0
    share: HostShare = NO_SHARE
    logged_rate: float = 0.0
    _rate: float = -1.0
    _view: LoadView | None = None

    def current_share(
        self, upstream: Upstream, rate: float, view: LoadView
    ) -> HostShare:
        """Return this host's share, computed again when its inputs changed."""
        if rate != self._rate or view is not self._view:
            self._rate = rate
            self._view = view
            bound = FleetRateLimit(
                max(rate, MIN_RATE),
                LIMIT_OVERSHOOT,
                LIMIT_SLACK,
                LIMIT_WINDOW,
            )
            entry = upstream.entry
            self.share = host_share(entry.name, entry.zone, bound, view)
        return self.share


class LimitedSends:
    """Keeps this host within its shares of limits; one per process.

    Attributes:
        sent: Requests sent to upstreams with a limit, by service.
    """

    def __init__(
        self,
        limits: LimitTable,
        view: Callable[[], LoadView],
    ) -> None:
        """Start without records.

        Args:
            limits: The limits that upstreams report.
            view: Returns the hosts known to this host, with their load.
        """
        self.sent = Counter[str]()
        self._limits = limits
        self._view = view
        self._records: dict[str, LimitRecord] = {}
        self._stepped_at = 0.0
        # Latest retry time assigned to a refused caller, by service.
        self._next_at: dict[str, float] = {}

    @property
    def is_idle(self) -> bool:
        """Whether no upstream has reported a limit."""
        return not self._limits.rows

    def is_limited(self, upstream: Upstream) -> bool:
        """Return whether an upstream reports a limit."""
        return self._limits.rate_of(upstream) is not None

    def may_send(self, upstream: Upstream, now: float) -> bool:
        """Return whether this host may send to an upstream now."""
        rate = self._limits.rate_of(upstream)
        if rate is None:
            return True
        record = self._record_of(upstream)
        share = record.current_share(upstream, rate, self._view())
        return record.allowance.is_due(share.rate, now)

    def note_first_choice(self, upstream: Upstream) -> None:
        """Count a request that ranks an upstream first, limit or not."""
        if self.is_limited(upstream):
            self._record_of(upstream).first_choices += 1

    def take(self, upstream: Upstream) -> None:
        """Count a request that is sent to an upstream."""
        if not self.is_limited(upstream):
            return
        record = self._record_of(upstream)
        record.allowance.take()
        self.sent[upstream.entry.service] += 1
        if (
            abs(record.share.rate - record.logged_rate)
            > record.logged_rate * LOG_CHANGE_FRACTION
        ):
            record.logged_rate = record.share.rate
            self._log_use(upstream, record)

    def step(self, upstreams: Collection[Upstream], now: float) -> bool:
        """Adjust upstream weights so that this host uses its shares.

        Only a few hosts may send to an upstream with a low limit, and each has
        only the requests of its own callers for it. With 16 requests a second
        for an upstream that reports 3.6, the four of 189 hosts that may send to
        it used 0.05 of the limit, and 0.83 with a raised weight.

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
            drawn = self._weight_factor(upstream, seconds)
            if drawn != upstream.weight_factor:
                upstream.weight_factor = drawn
                is_changed = True
        return is_changed

    def wait(
        self,
        upstreams: Collection[Upstream],
        hosts: int,
        seconds_left: float,
        now: float,
    ) -> float:
        """Return after how many seconds a refused caller should retry.

        Each caller gets the next slot in an even share, for this host, of what
        the upstreams accept together. The share does not depend on which hosts
        may send, since the caller may retry at another host. With six upstreams
        that report 4 requests a second, and bursts of 60 requests a second for
        two seconds followed by 8 for eight, 0.70 of the callers are served.
        With a fixed wait of 0.4 s for all it is 0.66, with 0.2 s 0.64.

        Args:
            upstreams: The upstreams that could serve the request, all with a
                limit.
            hosts: Number of hosts of the fleet.
            seconds_left: Time until the caller's deadline. A caller that is not
                expected to wait for the slot does not take it.
            now: Monotonic time in seconds.
        """
        rates = [self._limits.rate_of(one) for one in upstreams]
        total = sum(max(rate, MIN_RATE) for rate in rates if rate is not None)
        service = next(iter(upstreams)).entry.service
        slot = max(now, self._next_at.get(service, now)) + hosts / total
        wait = min(slot - now, MAX_WAIT_SECONDS)
        if wait < seconds_left * MAX_WAIT_FRACTION:
            self._next_at[service] = slot
        return wait

    def forget(self, names: Collection[str]) -> None:
        """Drop the records of upstreams that no longer exist.

        Args:
            names: Names of the existing upstreams.
        """
        for name in self._records.keys() - set(names):
            self._records.pop(name)

    def forget_one(self, name: str) -> None:
        """Drop the record of an upstream that has restarted.

        Args:
            name: The upstream's name.
        """
        self._records.pop(name, None)

    def _record_of(self, upstream: Upstream) -> LimitRecord:
        return self._records.setdefault(upstream.name, LimitRecord())

    def _weight_factor(self, upstream: Upstream, seconds: float) -> float:
        """Return the new factor on an upstream's weight."""
        record = self._records.get(upstream.name)
        rate = self._limits.rate_of(upstream)
        if record is None or rate is None:
            return 1.0
        first_choice_rate = record.first_choices / seconds
        record.first_choices = 0
        share = record.current_share(upstream, rate, self._view())
        max_factor = min(MAX_WEIGHT_FACTOR, max(1.0, share.load_multiple))
        if share.rate <= 0:
            return 1.0
        if first_choice_rate < share.rate * DEMAND_RATIO:
            return min(max_factor, upstream.weight_factor * WEIGHT_STEP)
        if first_choice_rate > share.rate * DEMAND_RATIO * WEIGHT_STEP**2:
            return max(1.0, upstream.weight_factor / WEIGHT_STEP)
        return min(max_factor, upstream.weight_factor)

    def _log_use(self, upstream: Upstream, record: LimitRecord) -> None:
        view = self._view()
        log_event(
            'limited-upstream-used',
            upstream=upstream.name,
            service=upstream.entry.service,
            zone=upstream.entry.zone,
            limit=self._limits.rate_of(upstream),
            rate=round(record.share.rate, 3),
            drawn=round(upstream.weight_factor, 2),
            hosts=len(view.hosts),
            zones=len(view.zones),
            silent=round(view.silent_load, 1),
        )
