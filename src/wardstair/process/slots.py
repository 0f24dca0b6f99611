"""Pool of the upstream slots of one host, with a queue of waiting requests."""

import asyncio
import itertools
import time
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field, replace
from random import Random

from wardstair.decisions.admission import (
    Enqueued,
    Rejected,
    Waiter,
    WaitingQueue,
)
from wardstair.decisions.choice import Candidate, choose
from wardstair.decisions.health import (
    UpstreamHealth,
    record_failure,
    record_leaving,
    record_success,
    set_drained,
)
from wardstair.decisions.ledger import Ledger, LoanReturn, Slot
from wardstair.version.document import UpstreamModel
from wardstair.version.topology import Topology

# Weight of a new sample in the moving average of the latency.
LATENCY_WEIGHT = 0.2
INITIAL_LATENCY_SECONDS = 0.01
# A failed attempt raises the average as an answer of this latency would.
FAILURE_LATENCY_SECONDS = 1.0


@dataclass
class UpstreamView:
    """State of one upstream of the zone, as known to this host.

    Attributes:
        model: Its configuration.
        ledger: The slots that this host holds.
        health: Health state, which decides whether it gets requests.
        latency: Moving average of the latency in seconds.
        reported_load: Load in its last report.
        reported_at: Monotonic time of that report in seconds.
    """

    model: UpstreamModel
    ledger: Ledger
    health: UpstreamHealth = field(default_factory=UpstreamHealth)
    latency: float = INITIAL_LATENCY_SECONDS
    reported_load: float = 0.0
    reported_at: float = float('-inf')

    def candidate(self, now: float) -> Candidate:
        """Return the upstream as a candidate for load balancing."""
        free = 0
        if self.health.may_serve(now):
            free = self.ledger.available(now)
        return Candidate(
            name=self.model.name,
            free_slots=free,
            in_flight=self.ledger.in_use,
            latency=self.latency,
            reported_load=self.reported_load,
            report_age=now - self.reported_at,
            in_service_seconds=now - self.health.in_service_since,
        )


@dataclass(frozen=True)
class HeldSlot:
    """A slot taken for one attempt."""

    upstream: UpstreamModel
    slot: Slot
    ledger: Ledger


@dataclass(frozen=True)
class SlotRequest:
    """A request for a slot.

    Attributes:
        workload: Workload of the request to send.
        importance: Its importance, 0 to 9.
        deadline: Monotonic time in seconds after which an answer is useless.
        tried: Upstreams that it must not be sent to again.
    """

    workload: str
    importance: int
    deadline: float
    tried: frozenset[str] = frozenset()


@dataclass
class _WaitingRequest:
    request: SlotRequest
    ready: asyncio.Future[HeldSlot | None]


class SlotPool:
    """Allocates the slots of the upstreams in this host's zone."""

    def __init__(self, waiting_limit: int, random: Random) -> None:
        """Create a pool without upstreams.

        Args:
            waiting_limit: Maximum number of requests that wait for a slot.
            random: Random number generator for choosing an upstream.
        """
        self.views: dict[str, UpstreamView] = {}
        self.on_shortage: Callable[[str], None] = lambda upstream: None
        self.on_release: Callable[[str], None] = lambda upstream: None
        self.on_loan_return: Callable[[str, LoanReturn], None] = (
            lambda upstream, loan: None
        )
        self._random = random
        self._queue = WaitingQueue(waiting_limit)
        self._waiting: dict[int, _WaitingRequest] = {}
        self._numbers = itertools.count(1)

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._waiting)

    def demand(self, workload: str) -> int:
        """Return how many requests of a workload wait for a slot."""
        return sum(
            waiting.request.workload == workload
            for waiting in self._waiting.values()
        )

    def adopt(
        self,
        topology: Topology,
        zone: str,
        ledgers: Mapping[str, Ledger],
    ) -> None:
        """Update the upstreams to those of a new version.

        Args:
            topology: Topology of the version.
            zone: Zone of this host.
            ledgers: The slots that this host holds, by upstream.
        """
        now = time.monotonic()
        models = {
            model.name: model
            for model in topology.upstreams.values()
            if model.zone == zone
        }
        for name in self.views.keys() - models.keys():
            # Slots in use stay valid: each HeldSlot refers to its ledger.
            self.views.pop(name)
        for model in models.values():
            view = self.views.get(model.name)
            if view is None:
                view = UpstreamView(model, ledgers[model.name])
                self.views[model.name] = view
            view.model = model
            view.health = set_drained(
                view.health,
                now,
                is_drained=topology.is_upstream_drained(model),
            )

    def of_workload(self, workload: str) -> Iterator[UpstreamView]:
        """Iterate over the upstreams of a workload in this zone."""
        return (
            view
            for view in self.views.values()
            if view.model.workload == workload
        )

    def free(self, workload: str) -> int:
        """Return how many requests of a workload could start now."""
        now = time.monotonic()
        return sum(
            view.ledger.available(now)
            for view in self.of_workload(workload)
            if view.health.may_serve(now)
        )

    def has_upstream(self, request: SlotRequest) -> bool:
        """Return whether waiting can help, as some upstream may serve."""
        now = time.monotonic()
        return any(
            view.health.may_serve(now) and view.model.name not in request.tried
            for view in self.of_workload(request.workload)
        )

    def take(self, request: SlotRequest) -> HeldSlot | None:
        """Take a slot of the best upstream; None if no slot is free."""
        now = time.monotonic()
        views = list(self.of_workload(request.workload))
        candidates = [view.candidate(now) for view in views]
        chosen = choose(candidates, request.tried, self._random)
        if chosen is None:
            return None
        view = self.views[chosen.name]
        slot = view.ledger.take(now)
        if slot is None:
            return None
        if chosen.free_slots == 1:
            self.on_shortage(chosen.name)
        return HeldSlot(view.model, slot, view.ledger)

    async def wait(
        self, request: SlotRequest, seconds: float
    ) -> HeldSlot | None:
        """Wait for a slot; None if no slot became free in time.

        Args:
            request: The request for a slot.
            seconds: Maximum wait in seconds.
        """
        number = next(self._numbers)
        waiter = Waiter(number, request.importance, request.deadline)
        match self._queue.add(waiter):
            case Rejected():
                return None
            case Enqueued(displaced=displaced):
                self._drop_displaced(displaced)
        loop = asyncio.get_running_loop()
        waiting = _WaitingRequest(request, loop.create_future())
        self._waiting[number] = waiting
        for view in self.of_workload(request.workload):
            self.on_shortage(view.model.name)
        timeout = min(seconds, max(request.deadline - time.monotonic(), 0))
        timer = loop.call_later(timeout, self._end_wait, number)
        try:
            return await waiting.ready
        except asyncio.CancelledError:
            self._release_unused(waiting)
            raise
        finally:
            timer.cancel()
            self._remove(number)

    def release(self, held: HeldSlot) -> None:
        """Release a slot and assign free slots to waiting requests."""
        loan = held.ledger.put_back(
            held.slot.token,
            time.monotonic(),
            keeps_loans=self.demand(held.upstream.workload) > 0,
        )
        if loan is not None:
            self.on_loan_return(held.upstream.name, loan)
        self.on_release(held.upstream.name)
        self.serve_waiting()

    def serve_waiting(self) -> None:
        """Assign free slots to waiting requests, most important first."""
        for expired in self._queue.drop_expired(time.monotonic(), 0):
            self._end_wait(expired.number)
        for waiter in self._queue.by_priority():
            waiting = self._waiting[waiter.number]
            held = self.take(waiting.request)
            if held is None:
                continue
            self._queue.remove(waiter.number)
            waiting.ready.set_result(held)

    def note_answer(self, upstream: str, seconds: float) -> None:
        """Record a complete answer and its latency in seconds."""
        view = self.views.get(upstream)
        if view is None:
            return
        view.health = record_success(view.health)
        view.latency += LATENCY_WEIGHT * (seconds - view.latency)

    def note_failure(self, upstream: str) -> None:
        """Record an attempt that ended without an answer."""
        view = self.views.get(upstream)
        if view is None:
            return
        view.health = record_failure(view.health, time.monotonic())
        gap = FAILURE_LATENCY_SECONDS - view.latency
        view.latency += LATENCY_WEIGHT * max(gap, 0)

    def note_leaving(self, upstream: str) -> None:
        """Record that the upstream or the platform announced its end."""
        view = self.views.get(upstream)
        if view is not None:
            view.health = record_leaving(view.health, time.monotonic())

    def note_report(self, upstream: str, load: float) -> None:
        """Record a load report."""
        view = self.views.get(upstream)
        if view is not None:
            view.reported_load = load
            view.reported_at = time.monotonic()

    def forget_failures(self, upstream: str) -> None:
        """Return an ejected upstream to service after a successful probe."""
        view = self.views.get(upstream)
        if view is None or not view.health.failures:
            return
        now = time.monotonic()
        view.health = replace(
            record_success(view.health),
            ejected_until=now,
            in_service_since=now,
        )

    def _drop_displaced(self, displaced: tuple[Waiter, ...]) -> None:
        for waiter in displaced:
            self._end_wait(waiter.number)

    def _end_wait(self, number: int) -> None:
        self._queue.remove(number)
        waiting = self._waiting.get(number)
        if waiting is not None and not waiting.ready.done():
            waiting.ready.set_result(None)

    def _release_unused(self, waiting: _WaitingRequest) -> None:
        if not waiting.ready.done() or waiting.ready.cancelled():
            return
        held = waiting.ready.result()
        if held is not None:
            self.release(held)

    def _remove(self, number: int) -> None:
        self._queue.remove(number)
        self._waiting.pop(number, None)
