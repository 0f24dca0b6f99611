"""Gateways whose network paths to the upstreams can be cut one by one."""

import asyncio
import json
import time
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from enum import StrEnum
from random import Random

from soak.proxy import CutWay, Mode, Proxy

from lib.fleet import ZONES, Fleet
from lib.rig import Caller, free_ports, until
from lib.specs import ADDRESS, Stored, configuration_spec, route_spec
from lib.upstream_standin import Seen, UpstreamStandin, answer_ok
from wardstair.connection.pool import dial_tcp
from wardstair.connection.probe import ProbeOutcome, probe
from wardstair.connection.upstream import UpstreamConnection
from wardstair.gateway.host import GatewayHost
from wardstair.gateway.settings import Bounds, Listener

HOSTS = 6
UPSTREAMS = 6
WORK_SECONDS = 0.02
NORTH = ('north-a', 'north-b')


class Cut(StrEnum):
    """How a host is cut off from an upstream."""

    # New connections hang; open ones stay open but carry no data.
    hang = 'hang'
    # Connections are accepted and reset, open ones are reset.
    reset = 'reset'
    # New connections are refused, open ones are reset.
    refuse = 'refuse'
    # New connections are refused, open ones keep working.
    refuse_new = 'refuse-new'
    # New connections are accepted and reset, open ones keep working.
    reset_new = 'reset-new'


_MODES = {Cut.hang: Mode.silence, Cut.reset: Mode.reset}


@dataclass
class UpstreamPaths:
    """Network paths from one gateway to the upstreams.

    Attributes:
        proxies: Proxy in front of each upstream, by the upstream's port.
        cuts: How a path is cut, by the port of its upstream.
    """

    proxies: dict[int, Proxy] = field(default_factory=dict)
    cuts: dict[int, Cut] = field(default_factory=dict)

    def attach(self, host: GatewayHost) -> None:
        """Have a gateway connect to the upstreams through the proxies."""
        host.pool.dial = self._dial
        host.exit_detector._probe = self._probe

    def cut(self, how: Cut, ports: Iterable[int]) -> None:
        """Cut the paths to some upstreams."""
        for port in ports:
            self.cuts[port] = how
            proxy = self.proxies[port]
            proxy.set_mode(_MODES.get(how, Mode.carry))
            if how is Cut.refuse:
                proxy.reset_all()
            if how is Cut.reset_new:
                # No other gateway uses this proxy.
                proxy.cut([ADDRESS], CutWay.reset_new)

    def mend(self) -> None:
        """End all cuts; connections that carry no data stay so."""
        for port, how in self.cuts.items():
            if how is Cut.hang:
                self.proxies[port].silence_open()
            self.proxies[port].mend([ADDRESS])
            self.proxies[port].set_mode(Mode.carry)
        self.cuts.clear()

    async def _dial(
        self,
        on_closed: Callable[[UpstreamConnection], None],
        host: str,
        port: int,
    ) -> UpstreamConnection:
        proxy = self.proxies.get(port)
        if proxy is None:
            return await dial_tcp(on_closed, host, port)
        await self._apply_cut(port)
        return await dial_tcp(on_closed, host, proxy.port)

    async def _probe(self, host: str, port: int) -> ProbeOutcome:
        try:
            async with asyncio.timeout(0.5):
                await self._apply_cut(port)
        except TimeoutError:
            return ProbeOutcome.unknown
        except ConnectionRefusedError:
            return ProbeOutcome.refused
        return await probe(host, self.proxies[port].port)

    async def _apply_cut(self, port: int) -> None:
        match self.cuts.get(port):
            case Cut.hang:
                await asyncio.Event().wait()
            case Cut.refuse | Cut.refuse_new:
                raise ConnectionRefusedError


@dataclass
class CutFleet(Fleet):
    """Gateways that can be cut off from upstreams.

    Attributes:
        paths: Network paths of each gateway.
    """

    paths: list[UpstreamPaths] = field(default_factory=list)

    def hosts_of(self, *zones: str) -> list[GatewayHost]:
        """Return the gateways of some zones."""
        return [host for host in self.hosts if host.settings.zone in zones]

    def cut(
        self,
        hosts: Iterable[GatewayHost],
        how: Cut,
        upstreams: Iterable[UpstreamStandin] | None = None,
    ) -> None:
        """Cut gateways off from some upstreams, or from all."""
        chosen = self.upstreams if upstreams is None else upstreams
        ports = [upstream.port for upstream in chosen]
        for host in hosts:
            self.paths[self.hosts.index(host)].cut(how, ports)

    def mend(self) -> None:
        """End all cuts."""
        for paths in self.paths:
            paths.mend()


async def _work(
    upstream: UpstreamStandin,
    seen: Seen,
    writer: asyncio.StreamWriter,
) -> None:
    await asyncio.sleep(WORK_SECONDS)
    await answer_ok(upstream, seen, writer)


@asynccontextmanager
async def running_cut_fleet(
    bounds: Bounds | None = None,
    configuration: Stored | None = None,
) -> AsyncIterator[CutFleet]:
    """Run gateways until they know each other and all upstreams, and stop them.

    Args:
        bounds: Bounds of the gateways; the defaults if not given.
        configuration: Configuration in force; by default one safe and one
            unsafe route.
    """
    fleet = CutFleet(
        bounds=bounds,
        upstreams=[
            UpstreamStandin(f'i-{number}', _work) for number in range(UPSTREAMS)
        ],
    )
    routes = {
        'read': route_spec('/read/', 'safe', max_attempts=3),
        'order': route_spec('/order/', 'unsafe', max_attempts=3),
    }
    await fleet.start_store(configuration or configuration_spec(1, **routes))
    (port,) = free_ports(1)
    for number in range(HOSTS):
        paths = UpstreamPaths()
        for upstream in fleet.upstreams:
            paths.proxies[upstream.port] = Proxy(upstream.port)
            await paths.proxies[upstream.port].start()
        fleet.paths.append(paths)
        paths.attach(await fleet.start_host(number, port))
    try:
        await until(fleet.knows_all)
        fleet.skip_starting()
        yield fleet
    finally:
        await fleet.stop()
        for paths in fleet.paths:
            for proxy in paths.proxies.values():
                await proxy.stop()


@dataclass
class FirstAttempt:
    """The first attempt at a request.

    Attributes:
        at: Monotonic time at which it was sent, in seconds.
        host: Name of the gateway that it was sent to.
        status: Status of the response; 0 if the connection closed first.
        seconds: Time until it ended.
        is_once: Whether it may run only once.
    """

    at: float
    host: str
    status: int
    seconds: float
    is_once: bool


@dataclass
class CutLoad:
    """Callers that look up hosts and reuse connections, as the protocol says.

    Attributes:
        fleet: Gateways that receive the requests.
        rate: Requests per second of all callers together.
        callers: Number of callers.
        first_attempts: The first attempts.
        retried: Status of each retry.
    """

    fleet: CutFleet
    rate: float = 120.0
    callers: int = 48
    first_attempts: list[FirstAttempt] = field(default_factory=list)
    retried: list[int] = field(default_factory=list)

    async def play(self, seconds: float) -> None:
        """Send requests for some time, in seconds."""
        end = time.monotonic() + seconds
        callers = [
            _LoadCaller(self, number, Random(number))
            for number in range(self.callers)
        ]
        await asyncio.gather(*(caller.run(end) for caller in callers))

    def share(
        self,
        begin: float,
        end: float,
        hosts: Iterable[GatewayHost],
    ) -> tuple[int, int]:
        """Return the number of served and of all first attempts at some hosts.

        Args:
            begin: Monotonic time from which on attempts count, in seconds.
            end: Monotonic time before which attempts count, in seconds.
            hosts: Hosts whose attempts count.
        """
        names = {host.settings.name for host in hosts}
        sent = [
            one
            for one in self.first_attempts
            if begin <= one.at < end and one.host in names
        ]
        return sum(one.status == 200 for one in sent), len(sent)

    def ran_twice(self) -> list[str]:
        """Return the ids of orders that ran more than once."""
        seen: dict[str, int] = {}
        for upstream in self.fleet.upstreams:
            for one in upstream.seen:
                if 'POST' in one.line:
                    seen[one.request_id] = seen.get(one.request_id, 0) + 1
        return [name for name, count in seen.items() if count > 1]


class _LoadCaller:
    """One caller of a load."""

    def __init__(self, load: CutLoad, number: int, random: Random) -> None:
        self._load = load
        self._random = random
        self._zone = ZONES[number % len(ZONES)]
        self._ttl_factor = 3.0 if number % 8 == 0 else 1.0
        self._reuses_connection = number % 3 > 0
        self._addresses: list[str] = []
        self._lookup_expires_at = 0.0
        self._failed: set[str] = set()
        self._caller: Caller | None = None
        self._address = ''

    async def run(self, end: float) -> None:
        mean = self._load.callers / self._load.rate
        await asyncio.sleep(self._random.uniform(0, mean))
        while time.monotonic() < end:
            began = time.monotonic()
            await self._request()
            pause = self._random.uniform(0.5, 1.5) * mean
            await asyncio.sleep(max(0.0, began + pause - time.monotonic()))
        self._disconnect()

    async def _request(self) -> None:
        is_once = self._random.random() < 1 / 3
        sent_at = time.monotonic()
        status, host = await self._attempt(is_once=is_once)
        self._load.first_attempts.append(
            FirstAttempt(
                sent_at,
                host,
                status,
                time.monotonic() - sent_at,
                is_once,
            )
        )
        if status == 200:
            return
        self._failed.add(self._address)
        self._disconnect()
        if status == 503 or not is_once:
            status, _ = await self._attempt(is_once=is_once)
            self._load.retried.append(status)
            if status != 200:
                self._disconnect()

    async def _attempt(self, *, is_once: bool) -> tuple[int, str]:
        self._look_up()
        if not self._reuses_connection:
            self._disconnect()
        caller = self._caller
        if caller is None:
            caller = await self._connect()
        name = f'{self._random.getrandbits(48):012x}'
        key = str(self._random.randrange(500))
        if is_once:
            answer = await caller.ask(
                '/order/x', 'POST', b'order', name, key=key
            )
        else:
            answer = await caller.ask('/read/x', request_id=name, key=key)
        return answer.status, self._host.settings.name

    @property
    def _host(self) -> GatewayHost:
        return next(
            host
            for host in self._load.fleet.hosts
            if str(host.settings.callers) == self._address
        )

    def _look_up(self) -> None:
        now = time.monotonic()
        if now < self._lookup_expires_at:
            return
        nearest = self._random.choice(self._load.fleet.hosts_of(self._zone))
        region = nearest.settings.region
        answer = json.loads(
            nearest.directory.answer(
                f'name=music.example&region={region}&zone={self._zone}'
            )
        )
        self._addresses = answer['addresses']
        self._lookup_expires_at = now + answer['ttl_s'] * self._ttl_factor
        self._failed.clear()
        if self._address not in self._addresses:
            self._disconnect()

    async def _connect(self) -> Caller:
        usable = [one for one in self._addresses if one not in self._failed]
        self._address = self._random.choice(usable or self._addresses)
        host, _, port = self._address.rpartition(':')
        self._caller = await Caller.connect_to(Listener(host, int(port)))
        return self._caller

    def _disconnect(self) -> None:
        if self._caller is not None:
            self._caller.close()
            self._caller = None
