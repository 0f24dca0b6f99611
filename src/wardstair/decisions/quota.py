"""Quotas of organisations: how many requests one host may admit.

A quota limits the requests admitted by all hosts together in a sliding window.
Each host counts the requests of its callers in that window, receives the counts
of the other hosts, and takes a share of the quota in proportion to its demand.
"""

import math
from collections import deque
from dataclasses import dataclass, field

# Fraction of `QuotaBound.max_per_window` below which every request is admitted.
# It takes effect for small quotas, where the slack is large relative to the
# quota.
MAX_FRACTION_USED = 0.82
# Fraction of `QuotaBound.unrestricted` divided among hosts when demand exceeds
# it. The rest covers demand that has not yet been reported to other hosts.
SHARED_FRACTION = 0.97
# Fraction of `QuotaBound.reserve` divided among hosts that have just started.
RESERVE_FRACTION = 0.7
# Upper bound of the factor by which demand on other hosts is assumed to have
# grown since their reports; the factor is estimated from the growth on this
# host. Without the bound, callers who move to one host would look like a rise
# on all hosts.
MAX_GROWTH = 1.3
# Fraction of the quota that a restarted fleet divides by the demand that it has
# counted, as nobody remembers what was admitted before. Usual demand is below.
FORGOTTEN_FRACTION = 0.7
BUCKETS_PER_WINDOW = 50
# Fraction of a window below which its events are not extrapolated any further.
MIN_COUNTED_FRACTION = 0.1


@dataclass(frozen=True, slots=True)
class QuotaBound:
    """The limits of an organisation in any window, over all hosts.

    Attributes:
        rate: Requests per second.
        burst: Requests allowed at once in addition to the rate.
        window: Length of a window in seconds.
        overshoot: Fraction by which rate and burst may be exceeded.
        slack: Further requests allowed in a window.
    """

    rate: float
    burst: float
    window: float
    overshoot: float
    slack: float

    @property
    def guaranteed(self) -> float:
        """Requests in a window that the quota guarantees to callers."""
        return self.rate * self.window + self.burst

    @property
    def max_per_window(self) -> float:
        """Maximum number of requests that may run in a window."""
        return self.guaranteed * (1 + self.overshoot) + self.slack

    @property
    def unrestricted(self) -> float:
        """Requests in a window below which all are admitted."""
        return max(self.guaranteed, self.max_per_window * MAX_FRACTION_USED)

    @property
    def reserve(self) -> float:
        """Requests in a window that hosts never admit together."""
        return self.max_per_window - self.unrestricted


@dataclass(frozen=True, slots=True)
class DemandView:
    """The demand of one organisation in a window, as a host knows it.

    Attributes:
        own: Requests of this host's callers.
        earlier: The same count at about the time of the other hosts' reports.
        others: Requests at other hosts whose reports are current.
        admitted: Requests admitted by those hosts and this one.
        reserved: Fraction of the quota, from 0 to 1, reserved for hosts that
            no longer report.
        assumed_hosts: Number of hosts assumed to have callers before this one
            has received a report; 0 afterwards.
        is_starting: Whether this host has run for less than a window and does
            not know what it admitted before it restarted.
        is_cautious: Whether others know that and are about to tell.
    """

    own: int
    earlier: int = 0
    others: int = 0
    admitted: int = 0
    reserved: float = 0.0
    assumed_hosts: int = 0
    is_starting: bool = False
    is_cautious: bool = False


def allowed_requests(bound: QuotaBound, view: DemandView) -> float:
    """Return how many requests this host may admit in a window.

    If total demand fits in the quota, every request is admitted. Otherwise
    hosts divide the quota in proportion to their demand, and hosts that have
    just started the requests that the quota leaves over. While the quota is
    used up, no host admits requests, since a host whose demand starts late
    cannot determine which requests came before its own.

    Args:
        bound: The quota.
        view: The demand.
    """
    if view.assumed_hosts:
        if view.is_starting:
            return bound.reserve * RESERVE_FRACTION / view.assumed_hosts
        return bound.unrestricted * SHARED_FRACTION / view.assumed_hosts
    available = bound.unrestricted * (1 - view.reserved)
    fitting = available
    if view.is_starting:
        fitting *= FORGOTTEN_FRACTION
    growth = view.own / max(view.earlier, 1)
    growth = min(max(growth, 1.0), MAX_GROWTH)
    fits = (
        view.own + view.others <= fitting
        and view.own + view.others * growth <= available
    )
    if fits and not view.is_cautious:
        return fitting - view.others
    own = min(view.own, max(view.earlier, 1))
    if view.is_starting:
        share = own / (own + view.others)
        reserve = bound.reserve * (1 - view.reserved)
        return reserve * RESERVE_FRACTION * share
    if view.admitted >= available:
        return 0.0
    return available * SHARED_FRACTION * own / (own + view.others)


def extrapolate(count: int, fraction: float) -> int:
    """Return the expected events of a window, from those of its latest part.

    Args:
        count: Events counted.
        fraction: Fraction of the window for which events were counted.
    """
    return round(count / min(max(fraction, MIN_COUNTED_FRACTION), 1.0))


def rounded_at_random(requests: float, chance: float) -> int:
    """Round to a whole number, keeping the mean over all hosts.

    Rounding down would admit nothing if every host may admit less than one
    request. The chance must be constant for a host: if it were redrawn, further
    hosts would admit requests while those of the first are still in the window.

    Args:
        requests: A number of requests.
        chance: A number from 0 to 1 that differs between hosts.
    """
    return math.floor(requests + chance)


@dataclass(slots=True)
class SlidingCount:
    """Counts the events of a sliding window in buckets.

    The count covers the whole window and up to one bucket more.

    Attributes:
        window: Length of the window in seconds.
        total: Events in the window, as of the last call.
    """

    window: float
    total: int = 0
    _buckets: deque[tuple[int, int]] = field(default_factory=deque)

    def add(self, now: float, amount: int = 1) -> None:
        """Count events.

        Args:
            now: Monotonic time in seconds.
            amount: Number of events; negative to remove events counted before.
        """
        self.count(now)
        bucket = int(now / self.window * BUCKETS_PER_WINDOW)
        if self._buckets and self._buckets[-1][0] == bucket:
            amount += self._buckets.pop()[1]
        self._buckets.append((bucket, amount))
        self.total = sum(events for _, events in self._buckets)

    def count(self, now: float) -> int:
        """Return the number of events in the window that ends now.

        Args:
            now: Monotonic time in seconds.
        """
        first = int(now / self.window * BUCKETS_PER_WINDOW) - BUCKETS_PER_WINDOW
        while self._buckets and self._buckets[0][0] < first:
            self.total -= self._buckets.popleft()[1]
        return self.total
