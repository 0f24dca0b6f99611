"""Slots of upstreams on one host: who has them, and who waits for them."""

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

LATENCY_WEIGHT = 0.2
FIRST_LATENCY_SECONDS = 0.01
FAILURE_LATENCY_SECONDS = 1.0


@dataclass
class UpstreamView:
    """One upstream of the zone as this host sees it.

    Attributes:
        model: Its configuration.
        ledger: The slots that this host holds.
        health: Whether it gets new work.
        latency: Smoothed latency in seconds.
        reported_load: Last load report.
        reported_at: Monotonic time of that report.
    """

    model: UpstreamModel
    ledger: Ledger
    health: UpstreamHealth = field(default_factory=UpstreamHealth)
    latency: float = FIRST_LATENCY_SECONDS
    reported_load: float = 0.0
    reported_at: float = float('-inf')

    def candidate(self, now: float) -> Candidate:
        """Return the upstream as the choice sees it."""
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
    """What a request needs.

    Attributes:
        workload: Its workload.
        importance: 0 to 9.
        deadline: Monotonic time after which it is useless.
        tried: Upstreams that it must not go to again.
    """

    workload: str
    importance: int
    deadline: float
    tried: frozenset[str] = frozenset()


@dataclass
class _Waiting:
    wish: SlotRequest
    ready: asyncio.Future[HeldSlot | None]


class SlotPool:
    """Hands out the slots of the upstreams in this host's zone."""

    def __init__(self, waiting_limit: int, random: Random) -> None:
        """Make a pool without upstreams.

        Args:
            waiting_limit: Most requests that wait for a slot at once.
            random: Source of randomness of the choice.
        """
        self.views: dict[str, UpstreamView] = {}
        self.on_shortage: Callable[[str], None] = lambda upstream: None
        self.on_release: Callable[[str], None] = lambda upstream: None
        self.on_loan_return: Callable[[str, LoanReturn], None] = (
            lambda upstream, loan: None
        )
        self._random = random
        self._line = WaitingQueue(waiting_limit)
        self._waiting: dict[int, _Waiting] = {}
        self._numbers = itertools.count(1)

    @property
    def waiting(self) -> int:
        """Requests that wait now."""
        return len(self._waiting)

    def demand(self, workload: str) -> int:
        """Return how many requests of a workload wait now."""
        return sum(
            waiting.wish.workload == workload
            for waiting in self._waiting.values()
        )

    def adopt(
        self,
        topology: Topology,
        zone: str,
        ledgers: Mapping[str, Ledger],
    ) -> None:
        """Take over the upstreams of a new version.

        Args:
            topology: The version.
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
            # Slots in use end in peace: their holders keep the view.
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
        """Return the upstreams of a workload in this zone."""
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

    def has_upstream(self, wish: SlotRequest) -> bool:
        """Return whether waiting can help: some upstream may serve."""
        now = time.monotonic()
        return any(
            view.health.may_serve(now) and view.model.name not in wish.tried
            for view in self.of_workload(wish.workload)
        )

    def take(self, wish: SlotRequest) -> HeldSlot | None:
        """Take a slot of the best upstream, or return None."""
        now = time.monotonic()
        views = list(self.of_workload(wish.workload))
        candidates = [view.candidate(now) for view in views]
        chosen = choose(candidates, wish.tried, self._random)
        if chosen is None:
            return None
        view = self.views[chosen.name]
        slot = view.ledger.take(now)
        if slot is None:
            return None
        if chosen.free_slots == 1:
            self.on_shortage(chosen.name)
        return HeldSlot(view.model, slot, view.ledger)

    async def wait(self, wish: SlotRequest, seconds: float) -> HeldSlot | None:
        """Wait for a slot; None if none came free in time.

        Args:
            wish: What the request needs.
            seconds: Longest wait.
        """
        number = next(self._numbers)
        waiter = Waiter(number, wish.importance, wish.deadline)
        match self._line.add(waiter):
            case Rejected():
                return None
            case Enqueued(displaced=displaced):
                self._refuse(displaced)
        loop = asyncio.get_running_loop()
        waiting = _Waiting(wish, loop.create_future())
        self._waiting[number] = waiting
        for view in self.of_workload(wish.workload):
            self.on_shortage(view.model.name)
        left = min(seconds, max(wish.deadline - time.monotonic(), 0))
        timer = loop.call_later(left, self._give_up, number)
        try:
            return await waiting.ready
        except asyncio.CancelledError:
            self._take_back(waiting)
            raise
        finally:
            timer.cancel()
            self._remove(number)

    def release(self, held: HeldSlot) -> None:
        """End the work on a slot and serve who waits."""
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
        """Give free slots to those who wait, most important first."""
        for late in self._line.drop_expired(time.monotonic(), 0):
            self._give_up(late.number)
        for waiter in self._line.by_priority():
            waiting = self._waiting[waiter.number]
            held = self.take(waiting.wish)
            if held is None:
                continue
            self._line.remove(waiter.number)
            waiting.ready.set_result(held)

    def note_answer(self, upstream: str, seconds: float) -> None:
        """Count a whole answer."""
        view = self.views.get(upstream)
        if view is None:
            return
        view.health = record_success(view.health)
        view.latency += LATENCY_WEIGHT * (seconds - view.latency)

    def note_failure(self, upstream: str) -> None:
        """Count an attempt without an answer."""
        view = self.views.get(upstream)
        if view is None:
            return
        view.health = record_failure(view.health, time.monotonic())
        gap = FAILURE_LATENCY_SECONDS - view.latency
        view.latency += LATENCY_WEIGHT * max(gap, 0)

    def note_leaving(self, upstream: str) -> None:
        """Note a sign of leaving from the upstream or the platform."""
        view = self.views.get(upstream)
        if view is not None:
            view.health = record_leaving(view.health, time.monotonic())

    def note_report(self, upstream: str, load: float) -> None:
        """Note a load report."""
        view = self.views.get(upstream)
        if view is not None:
            view.reported_load = load
            view.reported_at = time.monotonic()

    def forget_failures(self, upstream: str) -> None:
        """Let an ejected upstream serve again after a good probe."""
        view = self.views.get(upstream)
        if view is None or not view.health.failures:
            return
        now = time.monotonic()
        view.health = replace(
            record_success(view.health),
            ejected_until=now,
            in_service_since=now,
        )

    def _refuse(self, displaced: tuple[Waiter, ...]) -> None:
        for waiter in displaced:
            self._give_up(waiter.number)

    def _give_up(self, number: int) -> None:
        self._line.remove(number)
        waiting = self._waiting.get(number)
        if waiting is not None and not waiting.ready.done():
            waiting.ready.set_result(None)

    def _take_back(self, waiting: _Waiting) -> None:
        if not waiting.ready.done() or waiting.ready.cancelled():
            return
        held = waiting.ready.result()
        if held is not None:
            self.release(held)

    def _remove(self, number: int) -> None:
        self._line.remove(number)
        self._waiting.pop(number, None)
