"""The entry host: creates its components, starts and stops its tasks."""

import asyncio
import contextlib
import secrets
import time
from collections.abc import Sequence
from dataclasses import replace
from random import Random
from typing import Any

from result import Err, Ok, Result

from wardstair.connection.client import close_client, make_client
from wardstair.decisions.ledger import Identity
from wardstair.errors import Fault, Refusal
from wardstair.process.admission import CrossRegionAdmission
from wardstair.process.calls import CallExecutor
from wardstair.process.capacity import Capacity
from wardstair.process.configuration import Configuration
from wardstair.process.dispatch import Dispatcher
from wardstair.process.entry_gauges import add_entry_gauges
from wardstair.process.fleet import Fleet
from wardstair.process.forecasts import OrderForecast, forecast_order
from wardstair.process.journal import Journal, JournalEntry
from wardstair.process.listeners import MAX_BODY_BYTES, HostPorts, Listeners
from wardstair.process.loans import Loans
from wardstair.process.log import log_event
from wardstair.process.messages import Hello
from wardstair.process.metrics import Metrics
from wardstair.process.operators import operator_application
from wardstair.process.orders import Order, OrderAnswer, OrderExecutor
from wardstair.process.peers import PeerAddress, PeerLinks, Received
from wardstair.process.placement import Placement
from wardstair.process.platform import PlatformClient
from wardstair.process.probing import Prober
from wardstair.process.settings import (
    EntrySettings,
)
from wardstair.process.shifting import ShiftRampController
from wardstair.process.slots import SlotPool
from wardstair.process.supervision import Supervisor
from wardstair.process.tokens import TokenBook
from wardstair.process.views import HostViews
from wardstair.request import problem
from wardstair.request.at_most_once import (
    KeyRegistry,
)
from wardstair.request.call import (
    AnswerSink,
    Call,
    CallEnd,
)
from wardstair.request.caller import CallerServer
from wardstair.request.forwarding import Forwarder
from wardstair.request.lookup import LookupAnswers
from wardstair.version.resources import shifts_to, zone_resources
from wardstair.version.topology import Topology

IDLE_SWEEP_SECONDS = 1.0
# Margin after the TTL of look-ups before a leaving host refuses requests.
LEAVE_MARGIN_SECONDS = 2.0
DRAIN_POLL_SECONDS = 0.05
HOST_LIST_INTERVAL_SECONDS = 10.0
SEED_RETRY_SECONDS = 0.5
INCARNATION_BYTES = 4
MAX_AGE_SECONDS = 1e6


def new_incarnation() -> str:
    """Return an incarnation that sorts after all earlier ones."""
    milliseconds = time.time_ns() // 1_000_000
    return f'{milliseconds:013x}{secrets.token_hex(INCARNATION_BYTES)}'


class EntryHost:
    """One entry host of the fleet."""

    def __init__(self, settings: EntrySettings, random: Random) -> None:
        """Create the components of the host without opening any listener.

        Args:
            settings: Validated settings.
            random: Source of randomness that need not be secret.
        """
        self.me = Identity(settings.host.name, new_incarnation())
        self.settings = settings
        self.metrics = Metrics()
        self.journal = Journal()
        self.ports = HostPorts(0, 0, 0, 0)
        self.is_control_on = True
        self._inbox: asyncio.Queue[Received] = asyncio.Queue(4096)
        self._client = make_client(
            settings.limits.upstream_transfers,
            MAX_BODY_BYTES,
        )
        self._platform = PlatformClient(
            settings.platform.url,
            settings.platform.timeout_seconds,
            settings.platform.calls_per_second,
            self._count_platform_call,
        )
        self.pool = SlotPool(settings.limits.waiting_requests, random)
        self.links = PeerLinks(
            Hello(self.me, settings.host.zone, ''),
            self._inbox,
            random,
        )
        self.fleet = Fleet(
            self.me,
            settings.host.zone,
            self.links,
            random,
            self.pool.free,
            settings.timing.beat_seconds,
        )
        self.configuration = Configuration(
            self._platform,
            self.links.send,
            random,
        )
        book = TokenBook()
        self.loans = Loans(self.me, book, self.links, self.fleet, random)
        self.capacity = Capacity(
            self.me,
            settings.host.zone,
            self._platform,
            self.loans,
            book,
            self.fleet,
            random,
        )
        self.cross_region = CrossRegionAdmission(
            settings.host.region,
            self.capacity,
            self.loans,
            lambda: self.configuration.age,
        )
        self.key_registry = KeyRegistry(
            self.me,
            settings.limits.once_keys,
            self._platform,
        )
        self.placement = Placement(
            settings.host.zone,
            settings.host.region,
            self.fleet,
            random,
        )
        self.forwarder = Forwarder(
            self._client,
            self.pool,
            self.metrics,
            self.placement,
            settings.host.region,
        )
        self._calls = CallExecutor(
            self.configuration,
            self.fleet,
            self.forwarder,
            self.key_registry,
            self.journal,
            self.metrics,
        )
        self.pacer = ShiftRampController(self.fleet)
        self.prober = Prober(self._client, self.pool)
        self._dispatcher = Dispatcher(
            self._inbox,
            self.fleet,
            self.configuration,
            self.capacity,
            self.loans,
            self.prober,
            self._render_lookups,
        )
        self._views = HostViews(
            self.me,
            settings.host,
            self.configuration,
            self.capacity,
            self.fleet,
            self.pool,
        )
        self._order_executor = OrderExecutor(self._platform)
        self._lookup_answers: LookupAnswers | None = None
        self._lookup_generation: object = None
        self._callers = CallerServer(self, is_internal=False)
        self._forwarded = CallerServer(self, is_internal=True)
        self._listeners = Listeners(settings.limits)
        self._supervisor = Supervisor(self._count_task_failure)
        self._leaving_since: float | None = None
        self._refuses_new = False
        self._connect_callbacks()

    @property
    def topology(self) -> Topology | None:
        """The version in force, or None before the first."""
        return self.configuration.topology

    @property
    def is_stopping(self) -> bool:
        """Whether the host refuses new requests."""
        return self._refuses_new

    @property
    def once_body_limit(self) -> int:
        """Maximum body size in bytes of a request that must not be repeated."""
        return self.settings.limits.once_body_bytes

    async def start(self) -> None:
        """Open the listeners and start the tasks."""
        listen = self.settings.listen
        callers = self._listeners.open(self._callers, listen.callers)
        forward = self._listeners.open(self._forwarded, listen.forward)
        operators = self._listeners.open(
            operator_application(self, self.settings.operator_token_hashes),
            listen.operators,
        )
        address, _, port = listen.peers.address.rpartition(':')
        await self.links.start(address, int(port))
        self.ports = HostPorts(callers, self.links.port, forward, operators)
        log_event(
            'started',
            host=self.me.name,
            incarnation=self.me.incarnation,
            zone=self.settings.host.zone,
            callers=callers,
        )
        await self.configuration.load()
        if not self.is_control_on:
            return
        tasks = {
            'configuration-platform': self.configuration.watch_platform,
            'configuration-peers': self.configuration.adopt_from_peers,
            'capacity': self.capacity.run,
            'fleet': self.fleet.run,
            'prober': self.prober.run,
            'inbox': self._dispatcher.run,
            'sweep': self._sweep,
            'host-list': self._poll_host_list,
            'seeds': self._connect_to_seeds,
        }
        for name, work in tasks.items():
            self._supervisor.spawn(name, work)

    def cut_platform(self) -> None:
        """Simulate a lost connection to the platform, for tests."""
        self._platform.cut()

    async def drain(self) -> float:
        """Leave the fleet without interrupting any request.

        Returns:
            Seconds from the start of the drain to the end of the last request.
        """
        if self._leaving_since is None:
            self._leaving_since = time.monotonic()
        started = self._leaving_since
        self.fleet.is_leaving = True
        self.fleet.broadcast_heartbeat()
        self._render_lookups()
        log_event('leaving', host=self.me.name, open=self.open_requests)
        await asyncio.sleep(self._lookup_ttl() + LEAVE_MARGIN_SECONDS)
        self._refuses_new = True
        while self.open_requests:  # noqa: ASYNC110
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        seconds = time.monotonic() - started
        log_event('drained', host=self.me.name, seconds=round(seconds, 2))
        await self.capacity.transfer_all()
        return seconds

    async def stop(self) -> None:
        """Stop all tasks and close all connections immediately."""
        await self._supervisor.stop()
        await self.loans.stop()
        await self.prober.stop()
        self._listeners.refuse_new()
        await self.links.stop()
        await self._listeners.close()
        self._platform.close()
        close_client(self._client)
        self.metrics.close()

    @property
    def open_requests(self) -> int:
        """Number of requests of callers and other hosts in progress."""
        callers = len(self._callers.open_requests)
        return callers + len(self._forwarded.open_requests)

    def answer_lookup(
        self,
        workload: str | None,
        address: str,
    ) -> bytes | Refusal:
        """Return the answer to a look-up, or why it is refused."""
        answers = self._lookup_answers
        if answers is None:
            return problem.stopping()
        query = answers.parse(workload, address)
        if isinstance(query, Refusal):
            return query
        age = min(self.configuration.age, MAX_AGE_SECONDS)
        answer = answers.answer(query, self.key_registry.issue, age)
        if answer is None:
            return problem.no_upstream(query.workload, not_run=True)
        self.metrics.lookups.add(query.workload)
        return answer

    def is_trusted_resolver(self, address: str) -> bool:
        """Whether an address may look up on behalf of other callers."""
        return address in self.settings.trusted_resolvers

    def admit_cross_region(self, call: Call) -> Refusal | None:
        """Refuse calls while stopping, and those over a cross-region cap."""
        if self._refuses_new:
            return problem.stopping()
        return self.cross_region.admit(call)

    def release_cross_region(self, call: Call) -> None:
        """Release the tokens of an admitted call that has ended."""
        self.cross_region.release(call)

    async def execute_call(self, call: Call, sink: AnswerSink) -> CallEnd:
        """Execute a call until it ends."""
        return await self._calls.execute(call, sink)

    def note_end(self, call: Call, end: CallEnd, seconds: float) -> None:
        """Count and record the end of a call."""
        self._calls.note_end(call, end, seconds)

    def note_refusal(self, workload: str, refusal: Refusal) -> None:
        """Count a refusal."""
        self._calls.note_refusal(workload, refusal)

    def status(self) -> dict[str, Any]:
        """Return the current status of the host, as JSON values."""
        return {
            'leaving': self.fleet.is_leaving,
            'open_requests': self.open_requests,
            'keys': self.key_registry.size,
            **self._views.status(),
        }

    def upstreams(self) -> list[dict[str, Any]]:
        """Return the upstreams of the zone, as JSON values."""
        return self._views.upstreams()

    def fleet_hosts(self) -> list[dict[str, Any]]:
        """Return the known entry hosts, as JSON values."""
        return self._views.fleet_hosts()

    def config_status(self) -> dict[str, Any]:
        """Return which version is in force where, as JSON values."""
        return self._views.config_status()

    def config_document(self) -> dict[str, Any] | None:
        """Return the configuration in force, as JSON values."""
        if self.topology is None:
            return None
        return self.topology.document.model_dump(mode='json')

    def explain(self, subject: str) -> JournalEntry | None:
        """Return the journal entry of a subject, or None."""
        return self.journal.find(subject)

    def render_metrics(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return self.metrics.render()

    async def give_order(
        self,
        order: Order,
    ) -> Result[OrderAnswer, list[Fault]]:
        """Execute an order and put its version in force on this host.

        An order whose forecast is not safe is refused, unless it is forced or
        a dry run.
        """
        forecast = self._forecast(order)
        if not (forecast.is_safe or order.force or order.dry_run):
            hint = 'wait, reduce the order, or repeat it with force'
            return Err(
                [
                    Fault('order', order.action.verb, line, hint)
                    for line in forecast.lines
                ]
            )
        answer = await self._order_executor.execute(order)
        match answer:
            case Ok(done):
                log_event(
                    'order',
                    key=order.key,
                    operator=order.operator,
                    verb=order.action.verb,
                    version=done.version,
                )
                await self.configuration.load()
                return Ok(replace(done, forecast=forecast.lines))
            case Err(faults):
                log_event('order-refused', key=order.key, fault=faults[0])
                return answer

    def _forecast(self, order: Order) -> OrderForecast:
        if self.topology is None:
            return OrderForecast([], is_safe=True)
        return forecast_order(self.topology, order.action, self._free_in)

    def _free_in(self, zone: str, workload: str) -> int:
        # Covers this host's zone too, of which the fleet also keeps a report.
        return self.fleet.free_in_zone(zone, workload)

    def _connect_callbacks(self) -> None:
        self.configuration.on_adopt = self._adopt
        self.configuration.is_watcher = lambda: self.fleet.is_relay
        self.fleet.on_update = self._render_lookups
        self.fleet.config_age = lambda: self.configuration.age
        self.fleet.shares_version = lambda: self.capacity.shares_version
        self.fleet.moved = self.cross_region.moved
        self.fleet.take_reports = self.prober.take_reports
        self.prober.on_leaving_upstream = self.fleet.broadcast_heartbeat
        self.prober.select_assigned = self.fleet.probed_here
        self.links.on_link = self.fleet.on_link
        self.capacity.on_gain = self.pool.serve_waiting
        self.loans.on_gain = self.pool.serve_waiting
        self.loans.demand = self.pool.demand
        self.pool.on_shortage = self.loans.start_borrowing
        self.pool.on_loan_return = self.loans.give_back
        self.pool.on_release = self.loans.on_release
        add_entry_gauges(self)

    def _adopt(self, topology: Topology) -> None:
        zone = self.settings.host.zone
        self.links.set_deployment(topology.document.deployment)
        self.capacity.adopt(topology, zone_resources(topology, zone))
        self.pool.adopt(topology, zone, self.capacity.ledgers)
        region = self.settings.host.region
        self.cross_region.shifts = shifts_to(topology, region)
        self.placement.adopt(topology)
        self.fleet.adopt(topology)
        self._render_lookups()

    def _render_lookups(self) -> None:
        topology = self.topology
        if topology is None:
            return
        shares = self.pacer.decide(topology)
        generation = (self.fleet.generation, shares)
        if generation == self._lookup_generation:
            return
        self._lookup_generation = generation
        self._lookup_answers = LookupAnswers(
            topology,
            self.fleet.ranking,
            shares,
            self.settings.host.region,
        )

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(IDLE_SWEEP_SECONDS)
            self.loans.expire()
            self.loans.query_holdings()
            self.pool.serve_waiting()
            now = time.monotonic()
            for exchange in list(self.forwarder.open_exchanges):
                if exchange.is_idle(now):
                    exchange.give_up()

    async def _poll_host_list(self) -> None:
        while True:
            await asyncio.sleep(HOST_LIST_INTERVAL_SECONDS)
            if not self.fleet.is_relay:
                continue
            listed = await self._platform.hosts()
            match listed:
                case Ok(hosts):
                    await self._reassign_tokens_of_gone(
                        [host.name for host in hosts if host.state == 'gone']
                    )
                case Err():
                    continue
            await self.capacity.rebalance()

    async def _connect_to_seeds(self) -> None:
        """Connect to seeds until a first version is in force.

        The seeds send it if the platform cannot be reached.
        """
        while not self.configuration.version:
            for address in self.settings.seeds:
                self.links.open_link(PeerAddress(address, address))
            await asyncio.sleep(SEED_RETRY_SECONDS)
        await asyncio.Event().wait()

    async def _reassign_tokens_of_gone(self, names: Sequence[str]) -> None:
        for name in names:
            incarnation = self.fleet.incarnation_of(name)
            is_silent = name not in self.fleet.live_names()
            if incarnation is not None and is_silent:
                await self.capacity.reassign_tokens_of(
                    Identity(name, incarnation)
                )

    def _lookup_ttl(self) -> float:
        if self.topology is None:
            return 0
        return self.topology.document.lookup_ttl_seconds

    def _count_platform_call(self, outcome: str) -> None:
        self.metrics.platform_calls.add(outcome)

    def _count_task_failure(self, task: str) -> None:
        self.metrics.task_failures.add(task)


async def run_until_stopped(host: EntryHost, stop: asyncio.Event) -> None:
    """Run a host until `stop` is set, then drain and stop it."""
    await host.start()
    await stop.wait()
    with contextlib.suppress(asyncio.CancelledError):
        await host.drain()
    await host.stop()
