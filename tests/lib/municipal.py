"""Stand-ins that speak the municipal platform's protocol, for tests.

The store keeps objects by kind with revisions and waiting watches; the
upstream answers each request as its script says, byte by byte.
"""

import asyncio
import json
import os
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from itertools import count
from random import Random

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from wardstair.gateway.host import GatewayHost
from wardstair.gateway.settings import Bounds, GatewaySettings, Listener

ADDRESS = '127.0.0.1'
Stored = dict[str, object]


@dataclass
class StoredKind:
    """Objects and history of one kind."""

    objects: dict[str, Stored] = field(default_factory=dict)
    history: list[tuple[int, Stored, bool]] = field(default_factory=list)
    forgotten_below: int = 0


class StoreStandin:
    """The platform's store in memory."""

    def __init__(self) -> None:
        self.revision = 0
        self.kinds: dict[str, StoredKind] = {}
        self.calls: list[str] = []
        self.status: int | None = None
        self.silenced = 0
        self.is_stopped = False
        self.changed = asyncio.Event()
        self.port = 0
        self._server: HTTPServer | None = None

    def start(self) -> None:
        sockets = bind_sockets(0, ADDRESS)
        self.port = sockets[0].getsockname()[1]
        handler = (r'/objects/([^/]+)(?:/([^/]+))?', _Handler, {'store': self})
        application = Application([handler], log_function=_silent)
        self._server = HTTPServer(application)
        self._server.add_sockets(sockets)

    async def stop(self) -> None:
        assert self._server is not None
        self._server.stop()
        self.is_stopped = True
        self._wake()
        await self._server.close_all_connections()

    def kind(self, name: str) -> StoredKind:
        return self.kinds.setdefault(name, StoredKind())

    def put(self, kind: str, name: str, spec: object) -> None:
        """Write an object as the operator or an upstream does."""
        self.revision += 1
        stored: Stored = {
            'metadata': {'name': name, 'revision': self.revision},
            'spec': spec,
            'status': None,
        }
        held = self.kind(kind)
        held.objects[name] = stored
        held.history.append((self.revision, stored, False))
        self._wake()

    def delete(self, kind: str, name: str) -> None:
        held = self.kind(kind)
        stored = held.objects.pop(name)
        self.revision += 1
        held.history.append((self.revision, stored, True))
        self._wake()

    def compact(self, kind: str) -> None:
        """Forget the history, so that watches end with 410."""
        self.kind(kind).forgotten_below = self.revision
        self._wake()

    def silence_watches(self) -> None:
        """Let every watch that waits now hang for good."""
        self.silenced = len(self.calls)

    def cut_watches(self) -> None:
        """End every waiting watch with an error."""
        self.status = 503
        self._wake()
        asyncio.get_running_loop().call_later(0.05, self._serve_again)

    def _serve_again(self) -> None:
        self.status = None

    def events(self, kind: str, after: int) -> list[Stored]:
        return [
            {'object': stored, 'deleted': deleted}
            for revision, stored, deleted in self.kind(kind).history
            if revision > after
        ]

    def _wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()


class _Handler(RequestHandler):
    def initialize(self, store: StoreStandin) -> None:
        self._store = store

    def prepare(self) -> None:
        self._store.calls.append(f'{self.request.method} {self.request.uri}')
        if self._store.status is not None:
            self.set_status(self._store.status)
            self.finish()

    async def get(self, kind: str, name: str | None) -> None:
        store = self._store
        held = store.kind(kind)
        if name:
            if name not in held.objects:
                self.set_status(404)
                return
            self.finish(json.dumps(held.objects[name]))
            return
        watch = self.get_argument('watch', None)
        if watch is None:
            items = [held.objects[one] for one in sorted(held.objects)]
            self.finish(json.dumps({'items': items, 'as_of': store.revision}))
            return
        await self._watch(kind, int(watch))

    async def _watch(self, kind: str, after: int) -> None:
        store = self._store
        number = len(store.calls)
        wait = float(self.get_argument('wait_ms', '0')) / 1000
        end = asyncio.get_running_loop().time() + wait
        while not store.events(kind, after):
            if after < store.kind(kind).forgotten_below:
                break
            left = end - asyncio.get_running_loop().time()
            if left <= 0:
                break
            if store.is_stopped:
                break
            changed = store.changed
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                break
        if number <= store.silenced:
            await asyncio.Event().wait()
        if store.status is not None:
            self.set_status(store.status)
            return
        if after < store.kind(kind).forgotten_below:
            self.set_status(410)
            return
        answer = {'events': store.events(kind, after), 'as_of': store.revision}
        self.finish(json.dumps(answer))

    def post(self, kind: str, _name: str | None) -> None:
        document = json.loads(self.request.body)
        name = document['metadata']['name']
        if name in self._store.kind(kind).objects:
            self.set_status(409)
            return
        self._store.put(kind, name, document['spec'])
        self.finish(json.dumps(self._store.kind(kind).objects[name]))

    def put(self, kind: str, name: str | None) -> None:
        assert name is not None
        self._store.put(kind, name, json.loads(self.request.body)['spec'])
        self.finish(json.dumps(self._store.kind(kind).objects[name]))


def _silent(_handler: RequestHandler) -> None:
    """No access log."""


@dataclass
class Seen:
    """A request as an upstream saw it."""

    head: str
    body: bytes

    @property
    def line(self) -> str:
        return self.head.splitlines()[0]

    def header(self, name: str) -> str | None:
        for line in self.head.splitlines()[1:]:
            key, _, text = line.partition(':')
            if key.lower() == name.lower():
                return text.strip()
        return None

    @property
    def request_id(self) -> str:
        return self.header('Wardstair-Attempt-Id') or ''


Script = Callable[
    ['UpstreamStandin', Seen, asyncio.StreamWriter], Awaitable[None]
]


class UpstreamStandin:
    """An upstream that answers by a script."""

    def __init__(self, name: str, script: Script | None = None) -> None:
        self.name = name
        self.script = script or answer_ok
        self.seen: list[Seen] = []
        self.connections = 0
        self.closed_by_peer = asyncio.Event()
        self.got_one = asyncio.Event()
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, ADDRESS, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        assert self._server is not None
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.connections += 1
        self._writers.add(writer)
        try:
            while True:
                seen = await _read_request(reader)
                self.seen.append(seen)
                self.got_one.set()
                answering = asyncio.ensure_future(
                    self.script(self, seen, writer),
                )
                watching = asyncio.ensure_future(_closed(reader))
                await asyncio.wait(
                    (answering, watching),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if not answering.done():
                    self.closed_by_peer.set()
                    answering.cancel()
                    return
                watching.cancel()
                answering.result()
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()


async def _closed(reader: asyncio.StreamReader) -> None:
    # Reading would take bytes of the next request.
    while not reader.at_eof():  # noqa: ASYNC110
        await asyncio.sleep(0.005)


async def _read_request(reader: asyncio.StreamReader) -> Seen:
    raw = await reader.readuntil(b'\r\n\r\n')
    seen = Seen(raw.decode('latin-1'), b'')
    length = int(seen.header('Content-Length') or 0)
    seen.body = await reader.readexactly(length)
    return seen


def whole_answer(
    request_id: str,
    body: bytes = b'part',
    status: str = '200 OK',
    extra: str = 'Wardstair-Server-Seal: s.1\r\n',
) -> bytes:
    """Return the bytes of an answer as an upstream makes it."""
    head = (
        f'HTTP/1.1 {status}\r\nWardstair-Attempt-Id: {request_id}\r\n'
        f'{extra}Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body


async def answer_ok(
    upstream: UpstreamStandin,
    seen: Seen,
    writer: asyncio.StreamWriter,
) -> None:
    """Answer with the upstream's own name as the body."""
    writer.write(whole_answer(seen.request_id, upstream.name.encode()))
    await writer.drain()


async def answer_full(
    _upstream: UpstreamStandin,
    seen: Seen,
    writer: asyncio.StreamWriter,
) -> None:
    """Turn the request away without running it."""
    writer.write(
        whole_answer(
            seen.request_id,
            b'',
            '503 Service Unavailable',
            'Wardstair-Not-Executed: 1\r\n',
        )
    )
    await writer.drain()


async def answer_never(
    _upstream: UpstreamStandin,
    _seen: Seen,
    _writer: asyncio.StreamWriter,
) -> None:
    """Work without end."""
    await asyncio.Event().wait()


def upstream_spec(
    port: int,
    service: str = 'views',
    zone: str = 'north-a',
    **status: object,
) -> Stored:
    """Return the object by which an upstream registers itself."""
    return {
        'address': f'{ADDRESS}:{port}',
        'info': {'service': service, 'version': 'v1', 'zone': zone, 'slots': 4},
        'status': {
            'state': 'ready',
            'call_seq': 1,
            'cold_left_ms': 0,
            **status,
        },
    }


def route_spec(prefix: str, kind: str, **fields: object) -> Stored:
    """Return a route of the configuration."""
    return {
        'host': 'music.example',
        'path_prefix': prefix,
        'kind': kind,
        'timeout_ms': 2000,
        'target_latency_ms': 500,
        'priority': 1,
        'service': 'views',
        'max_attempts': 2,
        'sticky': True,
        'allowed_regions': [],
        **fields,
    }


def configuration_spec(version: int, **routes: Stored) -> Stored:
    """Return a configuration; by default one route of each kind."""
    service = {'health_path': '/healthz', 'max_conns': 100, 'cold_start_s': 3.0}
    service['cold_per_s'] = 10.0
    return {
        'version': f'{version:08x}',
        'routes': routes
        or {
            'read': route_spec('/read/', 'safe'),
            'order': route_spec('/order/', 'unsafe'),
            'send': route_spec('/send/', 'upload'),
        },
        'services': {'views': service, 'orders': service},
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 1048576,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
    }


_addresses = count(1)


def own_address() -> str:
    """Return a loopback address that nothing else in this run uses.

    A port that was free on 127.0.0.1 may be taken a moment later by an
    outgoing connection; on an address of its own it stays free.
    """
    number = next(_addresses)
    high, low = divmod(number, 250)
    return f'127.{10 + os.getpid() % 200}.{high}.{low + 1}'


def free_ports(amount: int) -> list[int]:
    """Return different ports that are free now."""
    held = [bind_sockets(0, ADDRESS)[0] for _ in range(amount)]
    ports = [int(one.getsockname()[1]) for one in held]
    for one in held:
        one.close()
    return ports


def gateway_settings(
    store_port: int,
    name: str = 'host-1',
    fleet_port: int | None = None,
    bounds: Bounds | None = None,
) -> GatewaySettings:
    """Return settings of a gateway on loopback."""
    address = own_address()
    *ports, own_port = free_ports(6)
    while fleet_port in ports:
        # The fleet's port was let go, and the system has handed it out again:
        # this host would listen on it twice.
        *ports, own_port = free_ports(6)
    fleet = fleet_port or own_port
    return GatewaySettings(
        name=name,
        address=address,
        zone='north-a',
        zones={'north-a': 'north', 'north-b': 'north', 'south-a': 'south'},
        callers=Listener(address, ports[0]),
        ready=Listener(address, ports[1]),
        control=Listener(address, ports[2]),
        lookups=Listener(address, ports[3]),
        metrics=Listener(address, ports[4]),
        fleet_ports=(fleet, fleet + 1),
        seeds=(),
        store=f'{ADDRESS}:{store_port}',
        memory_bytes=2**28,
        descriptors=4096,
        bounds=bounds or Bounds(),
    )


@dataclass
class Answer:
    """What a caller got; status 0 if the connection ended before."""

    status: int
    headers: dict[str, str]
    body: bytes


async def until(is_true: Callable[[], bool]) -> None:
    """Wait for a condition; the bound only ends a test that has failed."""
    async with asyncio.timeout(20):
        # Conditions of many parts; none has an event of its own.
        while not is_true():  # noqa: ASYNC110
            await asyncio.sleep(0.01)


class Rig:
    """A store, upstreams and one gateway, all in this process."""

    def __init__(
        self,
        *upstreams: UpstreamStandin,
        bounds: Bounds | None = None,
    ) -> None:
        self.store = StoreStandin()
        self.upstreams = upstreams
        self._bounds = bounds
        self._gateway: GatewayHost | None = None

    @property
    def gateway(self) -> GatewayHost:
        assert self._gateway is not None
        return self._gateway

    async def __aenter__(self) -> 'Rig':
        self.store.start()
        self.store.put('config', 'main', configuration_spec(1))
        for upstream in self.upstreams:
            await upstream.start()
            entry = upstream_spec(upstream.port)
            self.store.put('servers', upstream.name, entry)
        settings = gateway_settings(self.store.port, bounds=self._bounds)
        self._gateway = GatewayHost(settings, Random(7))
        await self._gateway.start()
        await self.until(lambda: self.gateway.is_ready)
        count = len(self.upstreams)
        catalog = self.gateway.belief.catalog
        await self.until(lambda: len(catalog.of_service('views')) >= count)
        return self

    async def __aexit__(self, *_exc: object) -> None:
        if not self.gateway.callers.is_stopping:
            await self.gateway.close()
        for upstream in self.upstreams:
            await upstream.stop()
        await self.store.stop()

    async def until(self, is_true: Callable[[], bool]) -> None:
        """Wait for a condition."""
        await until(is_true)

    async def ask(
        self,
        target: str = '/read/x',
        method: str = 'GET',
        body: bytes = b'',
        request_id: str = 'r1',
        **fields: str,
    ) -> Answer:
        """Send one request on a connection of its own."""
        caller = await Caller.connect(self)
        try:
            return await caller.ask(target, method, body, request_id, **fields)
        finally:
            caller.close()


class Caller:
    """One kept connection of a caller."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, rig: Rig) -> 'Caller':
        return await cls.connect_to(rig.gateway.settings.callers)

    @classmethod
    async def connect_to(cls, listener: Listener) -> 'Caller':
        return cls(*await asyncio.open_connection(listener.host, listener.port))

    def close(self) -> None:
        self.writer.transport.abort()

    async def ask(
        self,
        target: str = '/read/x',
        method: str = 'GET',
        body: bytes = b'',
        request_id: str = 'r1',
        **fields: str,
    ) -> Answer:
        await self.send(target, method, body, request_id, **fields)
        return await self.answer()

    async def send(
        self,
        target: str = '/read/x',
        method: str = 'GET',
        body: bytes = b'',
        request_id: str = 'r1',
        **fields: str,
    ) -> None:
        lines = [
            f'{method} {target} HTTP/1.1',
            'Host: music.example',
            f'Wardstair-Attempt-Id: {request_id}',
            'Cookie: Wardstair-Affinity-Key=17',
            'Wardstair-Deadline-Ms: 3000',
        ]
        if body:
            lines.append(f'Content-Length: {len(body)}')
        lines.extend(
            f'{name.replace("_", "-")}: {text}' for name, text in fields.items()
        )
        self.writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
        await self.writer.drain()

    async def answer(self) -> Answer:
        try:
            head = await self.reader.readuntil(b'\r\n\r\n')
        except (asyncio.IncompleteReadError, ConnectionError):
            return Answer(0, {}, b'')
        first, *lines = head.decode('latin-1').split('\r\n')
        headers = {}
        for line in lines:
            name, _, text = line.partition(':')
            headers[name.lower()] = text.strip()
        length = int(headers.get('content-length', 0))
        try:
            body = await self.reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            return Answer(0, headers, b'')
        return Answer(int(first.split(' ')[1]), headers, body)
