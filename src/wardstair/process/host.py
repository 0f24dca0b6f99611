"""The entry host: puts its tasks together and starts and stops them."""

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
from wardstair.process.admission import OutsideAdmission
from wardstair.process.calls import CallCarrier
from wardstair.process.capacity import Capacity
from wardstair.process.configuration import Configuration
from wardstair.process.dispatch import Dispatcher
from wardstair.process.entry_gauges import add_entry_gauges
from wardstair.process.fleet import Fleet
from wardstair.process.forecasts import Outlook, outlook
from wardstair.process.journal import Journal, JournalEntry
from wardstair.process.listeners import BODY_BYTES, HostPorts, Listeners
from wardstair.process.loans import Loans
from wardstair.process.log import log_event
from wardstair.process.messages import Hello
from wardstair.process.metrics import Metrics
from wardstair.process.operators import operator_application
from wardstair.process.orders import Order, OrderAnswer, OrderDesk
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
from wardstair.request.call import (
    AnswerSink,
    Call,
    CallEnd,
)
from wardstair.request.caller import CallerServer
from wardstair.request.forwarding import Forwarder
from wardstair.request.lookup import LookupBook
from wardstair.request.once import (
    KeyKeeper,
)
from wardstair.version.resources import shifts_to, zone_resources
from wardstair.version.topology import Topology

IDLE_SWEEP_SECONDS = 1.0
LEAVE_MARGIN_SECONDS = 2.0
END_POLL_SECONDS = 0.05
HOST_LIST_SECONDS = 10.0
SEED_SECONDS = 0.5
INCARNATION_BYTES = 4
AGE_MOST_SECONDS = 1e6


def new_incarnation() -> str:
    """Return an incarnation that sorts after all earlier ones."""
    milliseconds = time.time_ns() // 1_000_000
    return f'{milliseconds:013x}{secrets.token_hex(INCARNATION_BYTES)}'


class EntryHost:
    """One entry host of the fleet."""

    def __init__(self, settings: EntrySettings, random: Random) -> None:
        """Put the host together; nothing is opened yet.

        Args:
            settings: Checked settings.
            random: Source of all randomness that need not be secret.
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
            BODY_BYTES,
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
        self.outside = OutsideAdmission(
            settings.host.region,
            self.capacity,
            self.loans,
            lambda: self.configuration.age,
        )
        self.keeper = KeyKeeper(
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
        self._calls = CallCarrier(
            self.configuration,
            self.fleet,
            self.forwarder,
            self.keeper,
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
        self._desk = OrderDesk(self._platform)
        self._book: LookupBook | None = None
        self._book_generation: object = None
        self._callers = CallerServer(self, is_internal=False)
        self._forwarded = CallerServer(self, is_internal=True)
        self._listeners = Listeners(settings.limits)
        self._supervisor = Supervisor(self._count_task_failure)
        self._leaving_since: float | None = None
        self._refuses_new = False
        self._connect()

    @property
    def topology(self) -> Topology | None:
        """The version in force, or None before the first."""
        return self.configuration.topology

    @property
    def is_stopping(self) -> bool:
        """Whether the host no longer takes new work of its own."""
        return self._refuses_new

    @property
    def once_body_limit(self) -> int:
        """Most bytes of a request that may not be repeated."""
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
            'configuration-platform': self.configuration.follow_platform,
            'configuration-peers': self.configuration.follow_peers,
            'capacity': self.capacity.run,
            'fleet': self.fleet.run,
            'prober': self.prober.run,
            'inbox': self._dispatcher.run,
            'sweep': self._sweep,
            'host-list': self._follow_host_list,
            'seeds': self._ask_seeds,
        }
        for name, work in tasks.items():
            self._supervisor.spawn(name, work)

    def cut_platform(self) -> None:
        """Stop reaching the platform, as a cut link would; for trials."""
        self._platform.cut()

    async def drain(self) -> float:
        """Leave in order: no request is cut.

        Returns:
            Seconds from the order to the end of the last request.
        """
        if self._leaving_since is None:
            self._leaving_since = time.monotonic()
        started = self._leaving_since
        self.fleet.is_leaving = True
        self.fleet.beat()
        self._render_lookups()
        log_event('leaving', host=self.me.name, open=self.open_requests)
        await asyncio.sleep(self._lookup_ttl() + LEAVE_MARGIN_SECONDS)
        self._refuses_new = True
        while self.open_requests:  # noqa: ASYNC110
            await asyncio.sleep(END_POLL_SECONDS)
        seconds = time.monotonic() - started
        log_event('drained', host=self.me.name, seconds=round(seconds, 2))
        await self.capacity.hand_over_all()
        return seconds

    async def stop(self) -> None:
        """Close everything now."""
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
        """Requests of callers and other hosts that are open now."""
        callers = len(self._callers.open_requests)
        return callers + len(self._forwarded.open_requests)

    def answer_lookup(
        self,
        workload: str | None,
        address: str,
    ) -> bytes | Refusal:
        """Answer a look-up."""
        book = self._book
        if book is None:
            return problem.stopping()
        query = book.parse(workload, address)
        if isinstance(query, Refusal):
            return query
        age = min(self.configuration.age, AGE_MOST_SECONDS)
        answer = book.answer(query, self.keeper.issue, age)
        if answer is None:
            return problem.no_upstream(query.workload, not_run=True)
        self.metrics.lookups.add(query.workload)
        return answer

    def is_trusted_resolver(self, address: str) -> bool:
        """Whether an address may ask on behalf of others."""
        return address in self.settings.trusted_resolvers

    def admit_outside(self, call: Call) -> Refusal | None:
        """Refuse work while stopping, and outside traffic over its cap."""
        if self._refuses_new:
            return problem.stopping()
        return self.outside.admit(call)

    def release_outside(self, call: Call) -> None:
        """Note the end of a call that was let in."""
        self.outside.release(call)

    async def carry(self, call: Call, sink: AnswerSink) -> CallEnd:
        """Carry a call to its end."""
        return await self._calls.carry(call, sink)

    def note_end(self, call: Call, end: CallEnd, seconds: float) -> None:
        """Count and record the end of a call."""
        self._calls.note_end(call, end, seconds)

    def note_refusal(self, workload: str, refusal: Refusal) -> None:
        """Count a refusal."""
        self._calls.note_refusal(workload, refusal)

    def status(self) -> dict[str, Any]:
        """Return what is happening, as JSON values."""
        return {
            'leaving': self.fleet.is_leaving,
            'open_requests': self.open_requests,
            'keys': self.keeper.size,
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
        """Return what is known of a subject."""
        return self.journal.find(subject)

    def render_metrics(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return self.metrics.render()

    async def give_order(
        self,
        order: Order,
    ) -> Result[OrderAnswer, list[Fault]]:
        """Carry out an order and bring its version into force here."""
        forecast = self._forecast(order)
        if not (forecast.is_safe or order.force or order.dry_run):
            hint = 'wait, choose less, or give the order with force'
            return Err(
                [
                    Fault('order', order.action.verb, line, hint)
                    for line in forecast.lines
                ]
            )
        answer = await self._desk.carry_out(order)
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

    def _forecast(self, order: Order) -> Outlook:
        if self.topology is None:
            return Outlook([], is_safe=True)
        return outlook(self.topology, order.action, self._free_in)

    def _free_in(self, zone: str, workload: str) -> int:
        # This zone's own report sums the rows of its hosts too.
        return self.fleet.far_free(zone, workload)

    def _connect(self) -> None:
        self.configuration.on_adopt = self._adopt
        self.configuration.is_watcher = lambda: self.fleet.is_relay
        self.fleet.on_news = self._render_lookups
        self.fleet.config_age = lambda: self.configuration.age
        self.fleet.shares_version = lambda: self.capacity.shares_version
        self.fleet.moved = self.outside.moved
        self.fleet.take_reports = self.prober.take_reports
        self.prober.on_urgent = self.fleet.beat
        self.prober.choose_mine = self.fleet.probed_here
        self.links.on_link = self.fleet.on_link
        self.capacity.on_gain = self.pool.serve_waiting
        self.loans.on_gain = self.pool.serve_waiting
        self.loans.demand = self.pool.demand
        self.pool.on_shortage = self.loans.shortage
        self.pool.on_loan_return = self.loans.give_back
        self.pool.on_release = self.loans.on_release
        add_entry_gauges(self)

    def _adopt(self, topology: Topology) -> None:
        zone = self.settings.host.zone
        self.links.name_deployment(topology.document.deployment)
        self.capacity.adopt(topology, zone_resources(topology, zone))
        self.pool.adopt(topology, zone, self.capacity.ledgers)
        region = self.settings.host.region
        self.outside.shifts = shifts_to(topology, region)
        self.placement.adopt(topology)
        self.fleet.adopt(topology)
        self._render_lookups()

    def _render_lookups(self) -> None:
        topology = self.topology
        if topology is None:
            return
        shares = self.pacer.decide(topology)
        generation = (self.fleet.generation, shares)
        if generation == self._book_generation:
            return
        self._book_generation = generation
        self._book = LookupBook(
            topology,
            self.fleet.ranking,
            shares,
            self.settings.host.region,
        )

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(IDLE_SWEEP_SECONDS)
            self.loans.expire()
            self.loans.ask_holdings()
            self.pool.serve_waiting()
            now = time.monotonic()
            for exchange in list(self.forwarder.open_exchanges):
                if exchange.is_idle(now):
                    exchange.give_up()

    async def _follow_host_list(self) -> None:
        while True:
            await asyncio.sleep(HOST_LIST_SECONDS)
            if not self.fleet.is_relay:
                continue
            listed = await self._platform.hosts()
            match listed:
                case Ok(hosts):
                    await self._bury(
                        [host.name for host in hosts if host.state == 'gone']
                    )
                case Err():
                    continue
            await self.capacity.even_out()

    async def _ask_seeds(self) -> None:
        """Hear of a version from peers while the platform tells of none."""
        while not self.configuration.version:
            for address in self.settings.seeds:
                self.links.reach(PeerAddress(address, address))
            await asyncio.sleep(SEED_SECONDS)
        await asyncio.Event().wait()

    async def _bury(self, names: Sequence[str]) -> None:
        for name in names:
            incarnation = self.fleet.incarnation_of(name)
            is_silent = name not in self.fleet.live_names()
            if incarnation is not None and is_silent:
                await self.capacity.bury(Identity(name, incarnation))

    def _lookup_ttl(self) -> float:
        if self.topology is None:
            return 0
        return self.topology.document.lookup_ttl_seconds

    def _count_platform_call(self, outcome: str) -> None:
        self.metrics.platform_calls.add(outcome)

    def _count_task_failure(self, task: str) -> None:
        self.metrics.task_failures.add(task)


async def run_until_stopped(host: EntryHost, stop: asyncio.Event) -> None:
    """Run a host until told to stop, then drain it."""
    await host.start()
    await stop.wait()
    with contextlib.suppress(asyncio.CancelledError):
        await host.drain()
    await host.stop()
