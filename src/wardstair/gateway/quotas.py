"""Enforces the quotas of organisations across all hosts."""

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from wardstair.decisions.quota import (
    DemandView,
    QuotaBound,
    SlidingCount,
    allowed_requests,
    extrapolate,
    rounded_at_random,
)
from wardstair.decisions.ranking import unit_hash
from wardstair.fleet.demand import DemandTable, number_of
from wardstair.fleet.former_demand import Memory
from wardstair.gateway.settings import OrganisationBounds
from wardstair.version.organisations import Organisation, Quota

# Age, in reports, of the counts received from other hosts. A count waits for
# two reports before it arrives.
EARLIER_REPORTS = 2
# Fraction of a quota above which changes in demand are reported at once.
URGENT_FRACTION = 0.6
# A caller is expected to retry if the wait is below this fraction of its
# remaining time.
RETRY_FRACTION = 1 / 3
# Requests that a host admits before it reports them at once, as a fraction of
# the reserve of the quota. If the host is killed, nobody knows of them.
UNREPORTED_FRACTION = 0.1


@dataclass(slots=True)
class _Usage:
    """The requests of an organisation on this host.

    Attributes:
        number: Identifies the organisation in reports.
        offered: Requests received.
        admitted: Requests admitted.
        reported: Counts in the latest reports, oldest first.
        next_at: Monotonic time of the latest retry assigned to a refused
            caller.
        unreported: Requests admitted since the latest report.
    """

    number: int
    offered: SlidingCount
    admitted: SlidingCount
    unreported: int = 0
    reported: deque[int] = field(
        default_factory=lambda: deque([0], maxlen=EARLIER_REPORTS),
    )
    next_at: float = 0.0


@dataclass(frozen=True, slots=True)
class OverQuota:
    """A refused request and the numbers behind the decision.

    Attributes:
        view: The demand known to this host.
        allowed: Requests that this host may admit in a window.
        wait: Seconds after which the caller should retry.
    """

    view: DemandView
    allowed: float
    wait: float

    @property
    def memory(self) -> str:
        """Name of what this host knows of the requests in the window."""
        if self.view.is_cautious:
            return Memory.heard_of.name
        return (Memory.none if self.view.is_starting else Memory.whole).name


@dataclass(slots=True)
class Quotas:
    """Admits requests within quotas; one per process.

    Attributes:
        clock: Monotonic time in seconds.
        bounds: Returns the bounds in force.
        assumed_hosts: Returns the number of hosts assumed to have callers
            before any report is received; 0 afterwards.
        table: Reports of other hosts.
        started_at: Time at which the process started.
        on_hasty: Called when a report is due at once.
    """

    clock: Callable[[], float]
    bounds: Callable[[], OrganisationBounds]
    assumed_hosts: Callable[[], int]
    table: DemandTable = field(init=False)
    started_at: float = field(init=False)
    on_hasty: Callable[[], None] = field(default=lambda: None)
    _usages: dict[str, _Usage] = field(default_factory=dict)
    _urgent: set[int] = field(default_factory=set)

    def __post_init__(self) -> None:
        """Take the current time as the start of the process."""
        self.started_at = self.clock()

    def attach_table(self, table: DemandTable) -> None:
        """Set the table of reports by which quotas are shared.

        Args:
            table: Reports of other hosts.
        """
        self.table = table
        table.urgent = self._urgent

    def admit(
        self,
        organisation: Organisation,
        seconds_left: float,
    ) -> OverQuota | None:
        """Admit a request, or return why it exceeds the quota.

        Args:
            organisation: The organisation of the caller.
            seconds_left: Time until the caller's deadline.
        """
        if organisation.quota is None:
            return None
        now = self.clock()
        usage = self._usage_of(organisation.name)
        usage.offered.add(now)
        view = self._view(usage, now)
        bound = self._bound(organisation.quota)
        self._note_urgency(usage, bound, view)
        allowed = allowed_requests(bound, view)
        chance = unit_hash(f'{self.table.own} {usage.number}')
        admitted = usage.admitted.count(now) + self._former(usage)
        if admitted < rounded_at_random(allowed, chance):
            usage.admitted.add(now)
            self._note_unreported(usage, bound)
            return None
        return OverQuota(
            view, allowed, self._wait(usage, allowed, seconds_left)
        )

    def give_back(self, organisation: Organisation | None) -> None:
        """Release the quota of an admitted request that did not run."""
        if organisation is None or organisation.quota is None:
            return
        usage = self._usage_of(organisation.name)
        now = self.clock()
        if usage.admitted.count(now):
            usage.admitted.add(now, -1)

    def own_counts(self) -> Mapping[int, int]:
        """Return the requests received here, by the organisation's number.

        The counts of a host that has just started are extrapolated to a window.
        """
        now = self.clock()
        counts = {
            usage.number: self._extrapolated(usage.offered, now)
            for usage in self._usages.values()
        }
        return {number: count for number, count in counts.items() if count}

    def own_refused(self) -> Mapping[int, int]:
        """Return the refused requests, by the organisation's number."""
        now = self.clock()
        refused = {
            usage.number: self._extrapolated(usage.offered, now)
            - self._extrapolated(usage.admitted, now)
            for usage in self._usages.values()
        }
        return {number: count for number, count in refused.items() if count > 0}

    def note_reported(self) -> None:
        """Record the demand of this host at the time of a report."""
        now = self.clock()
        for usage in self._usages.values():
            usage.reported.append(self._extrapolated(usage.offered, now))
            usage.unreported = 0

    def forget(self, names: Mapping[str, Organisation]) -> None:
        """Drop the counts of organisations that no longer exist.

        Args:
            names: The existing organisations by name.
        """
        for name in self._usages.keys() - names.keys():
            self._usages.pop(name)

    def _note_urgency(
        self,
        usage: _Usage,
        bound: QuotaBound,
        view: DemandView,
    ) -> None:
        if view.own + view.others > bound.unrestricted * URGENT_FRACTION:
            self._urgent.add(usage.number)
        else:
            self._urgent.discard(usage.number)

    def _note_unreported(self, usage: _Usage, bound: QuotaBound) -> None:
        usage.unreported += 1
        most = max(bound.reserve * UNREPORTED_FRACTION, 1.0)
        if usage.unreported >= most and not self.table.is_hasty:
            self.table.is_hasty = True
            self.on_hasty()

    def _usage_of(self, name: str) -> _Usage:
        known = self._usages.get(name)
        if known is None:
            window = self.bounds().quota_window
            known = _Usage(
                number_of(name),
                SlidingCount(window),
                SlidingCount(window),
            )
            self._usages[name] = known
        return known

    def _view(self, usage: _Usage, now: float) -> DemandView:
        table = self.table
        others = table.others.get(usage.number, 0)
        admitted = others - table.refused.get(usage.number, 0)
        former = self._former(usage)
        reserved = table.reserved.get(usage.number, 0.0)
        return DemandView(
            own=self._extrapolated(usage.offered, now) + former,
            earlier=usage.reported[0] + former,
            others=others,
            admitted=admitted
            + self._extrapolated(usage.admitted, now)
            + former,
            reserved=min(1.0, reserved + table.unheard_part),
            assumed_hosts=self.assumed_hosts(),
            is_starting=table.memory is not Memory.whole,
            is_cautious=table.memory is Memory.heard_of,
        )

    def _former(self, usage: _Usage) -> int:
        """Return what this host admitted before it restarted."""
        return self.table.former.of(self.table.own).get(usage.number, 0)

    def _extrapolated(self, counter: SlidingCount, now: float) -> int:
        fraction = 1.0
        if self.table.memory is not Memory.whole:
            fraction = self.age() / self.bounds().quota_window
        return extrapolate(counter.count(now), fraction)

    def age(self) -> float:
        """Return the time in seconds since the process started."""
        return self.clock() - self.started_at

    def window(self) -> float:
        """Return the length in seconds of the window in force."""
        return self.bounds().quota_window

    def _bound(self, quota: Quota) -> QuotaBound:
        bounds = self.bounds()
        return QuotaBound(
            quota.rate,
            quota.burst,
            bounds.quota_window,
            bounds.quota_overshoot,
            bounds.quota_slack,
        )

    def _wait(
        self, usage: _Usage, allowed: float, seconds_left: float
    ) -> float:
        """Return the seconds after which a refused caller should retry.

        Retry times are spaced by the rate at which this host can admit
        requests, so that callers do not retry all at once. A caller that is
        not expected to wait that long takes no slot.
        """
        now = self.clock()
        window = usage.offered.window
        slot = max(now, usage.next_at) + window / max(allowed, 1.0)
        wait = min(slot - now, window)
        if wait < seconds_left * RETRY_FRACTION:
            usage.next_at = slot
        return wait
