"""This host's parts of the fleet's limits on resends; one per service."""

import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from wardstair.decisions.resends import (
    ResendBudget,
    ResendLimit,
    host_limit,
)
from wardstair.process.log import log_event

# Time between two lines on one service.
LINE_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class ResendUsage:
    """How much of its part a host uses for one service.

    Attributes:
        service: The service.
        firsts: First sends in the window.
        resends: Resends in the window.
        allowed: Resends that the host may make in the window.
    """

    service: str
    firsts: int
    resends: int
    allowed: float


@dataclass(slots=True)
class ResendBudgets:
    """Counts the sends of this host; one per process.

    Attributes:
        fleet_limit: Returns the fleet's limit.
        fleet_size: Returns the number of hosts in the fleet.
        clock: Monotonic time in seconds.
        started_at: Time at which the process started.
    """

    fleet_limit: Callable[[], ResendLimit]
    fleet_size: Callable[[], int]
    clock: Callable[[], float] = time.monotonic
    started_at: float = field(init=False)
    _budgets: dict[str, ResendBudget] = field(default_factory=dict)
    _logged_at: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Take the current time as the start of the process."""
        self.started_at = self.clock()

    def note_first(self, service: str) -> None:
        """Count the first send of a request to a service."""
        self._of(service).note_first(self.clock())

    def drop_first(self, service: str) -> None:
        """Take back the last first send, as another host makes it."""
        self._of(service).drop_first()

    def take(self, service: str) -> bool:
        """Use one resend to a service; return False if none is left."""
        now = self.clock()
        if self._of(service).take(self._limit(), now):
            return True
        self._log_spent(service, now)
        return False

    def usages(self) -> Iterator[ResendUsage]:
        """Return how much of its part this host uses, by service."""
        now = self.clock()
        for service in self._budgets:
            yield self._usage(service, now)

    def _of(self, service: str) -> ResendBudget:
        return self._budgets.setdefault(service, ResendBudget())

    def _limit(self) -> ResendLimit:
        running = self.clock() - self.started_at
        return host_limit(self.fleet_limit(), self.fleet_size(), running)

    def _usage(self, service: str, now: float) -> ResendUsage:
        limit = self._limit()
        budget = self._of(service)
        firsts, resends = budget.counts(limit.window, now)
        return ResendUsage(service, firsts, resends, limit.allowed(firsts))

    def _log_spent(self, service: str, now: float) -> None:
        logged_at = self._logged_at.get(service)
        if logged_at is not None and now - logged_at < LINE_SECONDS:
            return
        self._logged_at[service] = now
        usage = self._usage(service, now)
        log_event(
            'resends-spent',
            service=service,
            firsts=usage.firsts,
            resends=usage.resends,
            allowed=round(usage.allowed, 1),
            hosts=self.fleet_size(),
            running=round(now - self.started_at, 1),
        )
