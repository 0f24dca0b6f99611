"""The callers' listener: one delegate a connection, one message a request.

tornado's connection interface is used instead of its request handlers, since
bodies stream both ways and a look-up must stay cheap.
"""

import asyncio
import json
import time
from collections import Counter
from collections.abc import Awaitable
from ipaddress import AddressValueError, IPv4Address
from typing import Protocol
from urllib.parse import parse_qs
from uuid import uuid4

from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import StreamClosedError

from wardstair.connection.exchange import IncomingHead
from wardstair.connection.pipe import Pipe, PipeBroken
from wardstair.errors import Refusal
from wardstair.process.log import log_event
from wardstair.request import problem
from wardstair.request.call import (
    AnswerSink,
    BufferedBody,
    Call,
    CallEnd,
    CallerLeft,
    CutShort,
    Delivered,
    Refused,
    RequestBody,
    StreamedBody,
)
from wardstair.request.headers import (
    HopPurpose,
    InternalHeader,
    forwarded_headers,
    internal_header_names,
)
from wardstair.version.topology import Route, Topology

LOOKUP_PATH = '/v1/lookup'
MAX_CONNECTIONS_PER_CALLER = 200
JSON_TYPE = 'application/json'
_MILLISECONDS = 1000


class CallerService(Protocol):
    """What the listener needs of the entry host."""

    @property
    def topology(self) -> Topology | None:
        """The version in force, or None before the first."""

    @property
    def is_stopping(self) -> bool:
        """Whether the host no longer takes new work of its own."""

    @property
    def once_body_limit(self) -> int:
        """Most bytes of a request that may not be repeated."""

    def answer_lookup(
        self,
        workload: str | None,
        address: str,
    ) -> bytes | Refusal:
        """Answer a look-up."""

    def is_trusted_resolver(self, address: str) -> bool:
        """Whether an address may ask on behalf of others."""

    def admit_cross_region(self, call: Call) -> Refusal | None:
        """Refuse traffic of other regions over its cap."""

    def release_cross_region(self, call: Call) -> None:
        """Note the end of a call that `admit_outside` let in."""

    async def execute_call(self, call: Call, sink: AnswerSink) -> CallEnd:
        """Carry a call to its end."""

    def note_end(self, call: Call, end: CallEnd, seconds: float) -> None:
        """Count and record the end of a call."""

    def note_refusal(self, workload: str, refusal: Refusal) -> None:
        """Count a refusal outside a call."""


class CallerServer(HTTPServerConnectionDelegate):
    """Makes a delegate for each request of each connection."""

    def __init__(self, service: CallerService, *, is_internal: bool) -> None:
        """Serve callers, or other entry hosts.

        Args:
            service: The entry host.
            is_internal: Whether requests come from other entry hosts.
        """
        self.open_requests: set[CallerRequest] = set()
        self._service = service
        self._is_internal = is_internal
        self._connections: Counter[str] = Counter()
        self._addresses: dict[object, str] = {}

    def start_request(
        self,
        server_conn: object,
        request_conn: HTTPConnection,
    ) -> HTTPMessageDelegate:
        """Return the delegate of a new request."""
        assert isinstance(request_conn, HTTP1Connection)
        address = str(getattr(request_conn.context, 'remote_ip', ''))
        if server_conn not in self._addresses:
            self._addresses[server_conn] = address
            self._connections[address] += 1
        is_over = self._connections[address] > MAX_CONNECTIONS_PER_CALLER
        if is_over and not self._is_internal:
            request_conn.no_keep_alive = True
        return CallerRequest(
            self._service,
            request_conn,
            address,
            self.open_requests,
            is_internal=self._is_internal,
        )

    def on_close(self, server_conn: object) -> None:
        """Forget a connection."""
        address = self._addresses.pop(server_conn, None)
        if address is None:
            return
        self._connections[address] -= 1
        if not self._connections[address]:
            self._connections.pop(address)


class CallerRequest(HTTPMessageDelegate):
    """One request, from its head to the end of its answer."""

    def __init__(
        self,
        service: CallerService,
        connection: HTTP1Connection,
        address: str,
        open_requests: 'set[CallerRequest]',
        *,
        is_internal: bool,
    ) -> None:
        """Prepare for the request's head.

        Args:
            service: The entry host.
            connection: The connection it comes by.
            address: The caller's address.
            open_requests: Where the request is listed while it is open.
            is_internal: Whether it comes from another entry host.
        """
        self.request_id = uuid4().hex
        self._service = service
        self._connection = connection
        self._address = address
        self._open_requests = open_requests
        self._is_internal = is_internal
        self._started = time.monotonic()
        self._lookup: str | None = None
        self._pipe: Pipe | None = None
        self._buffer: bytearray | None = None
        self._pending: Call | None = None
        self._task: asyncio.Task[None] | None = None
        self._answered = False

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> Awaitable[None] | None:
        """Begin the request."""
        assert isinstance(start_line, RequestStartLine)
        self._connection.set_close_callback(self.on_connection_close)
        path, _, query = start_line.path.partition('?')
        if path == LOOKUP_PATH and not self._is_internal:
            self._lookup = query
            return None
        call = self._make_call(start_line, headers, path)
        if isinstance(call, Refusal):
            self._service.note_refusal('', call)
            self._refuse(call)
            return None
        if self._buffer is not None:
            self._pending = call
            return None
        self._start(call)
        return None

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Take bytes of the body; the connection waits for the result."""
        if self._buffer is not None:
            return self._buffer_chunk(chunk)
        if self._pipe is None:
            return None
        return self._feed(self._pipe, chunk)

    def finish(self) -> None:
        """Note the end of the request's body."""
        if self._lookup is not None:
            self._answer_lookup(self._lookup)
        if self._pipe is not None:
            self._pipe.end()
        if self._pending is not None and self._buffer is not None:
            self._pending.body = BufferedBody(bytes(self._buffer))
            self._start(self._pending)

    def on_connection_close(self) -> None:
        """End the work for a caller that has gone."""
        if self._pipe is not None:
            self._pipe.fail()
        if self._task is not None:
            self._task.cancel()

    def begin(self, head: IncomingHead) -> None:
        """Send the answer's head."""
        self._answered = True
        headers = HTTPHeaders()
        for name, text in head.headers:
            headers.add(name, text)
        headers['Request-Id'] = self.request_id
        line = ResponseStartLine('HTTP/1.1', head.status, head.reason or 'OK')
        self._connection.write_headers(line, headers)

    async def write(self, chunk: bytes) -> None:
        """Send bytes of the body, waiting while the caller is slow."""
        if not chunk:
            return
        try:
            await self._connection.write(chunk)
        except StreamClosedError:
            # on_connection_close cancels the task; it ends there.
            await asyncio.sleep(0)

    def end(self) -> None:
        """Mark the answer as whole."""
        self._connection.finish()

    def cut(self) -> None:
        """Close the connection, since the answer cannot become whole."""
        stream = self._connection.detach()
        stream.close()

    def _make_call(
        self,
        line: RequestStartLine,
        headers: HTTPHeaders,
        path: str,
    ) -> Call | Refusal:
        topology = self._service.topology
        if topology is None:
            return problem.stopping()
        pairs = list(headers.get_all())
        if not self._is_internal and internal_header_names(pairs):
            return problem.bad_header(
                'headers beginning with X-Wardstair- are internal',
                'leave them out',
            )
        if not path.startswith('/'):
            return problem.bad_framing('the target is not a path')
        route = topology.find_route(line.method, path)
        if route is None:
            return problem.no_route(line.method, path)
        key = headers.get('Idempotency-Key')
        if route.is_once and not key:
            return problem.key_required()
        return self._build_call(topology, route, line, headers, key)

    def _build_call(
        self,
        topology: Topology,
        route: Route,
        line: RequestStartLine,
        headers: HTTPHeaders,
        key: str | None,
    ) -> Call | Refusal:
        deadline = _deadline(route, headers, self._started)
        if isinstance(deadline, Refusal):
            return deadline
        body = self._open_body(route, headers)
        if isinstance(body, Refusal):
            return body
        origin = _region(topology, self._address)
        serves_hop = False
        if self._is_internal:
            origin = headers.get(InternalHeader.origin_region)
            purpose = headers.get(InternalHeader.purpose)
            serves_hop = purpose == HopPurpose.serve
            self.request_id = headers.get('Request-Id', self.request_id)
        return Call(
            request_id=self.request_id,
            route=route,
            method=line.method,
            target=line.path,
            headers=forwarded_headers(headers.get_all()),
            body=body,
            deadline=deadline,
            origin=origin,
            is_internal=self._is_internal,
            is_zone_only=serves_hop,
            key=key if route.is_once and not serves_hop else None,
        )

    def _open_body(
        self,
        route: Route,
        headers: HTTPHeaders,
    ) -> RequestBody | Refusal:
        declared = headers.get('Content-Length')
        is_chunked = 'Transfer-Encoding' in headers
        if declared is not None and is_chunked:
            return problem.bad_framing('the length is given in two ways')
        if declared is None and not is_chunked:
            return None
        if declared is not None and not declared.isdecimal():
            return problem.bad_framing('Content-Length is not a number')
        length = -1 if declared is None else int(declared)
        if route.is_once:
            limit = self._service.once_body_limit
            if length > limit:
                return problem.body_too_large(limit)
            self._buffer = bytearray()
            return BufferedBody(b'')
        self._pipe = Pipe()
        return StreamedBody(self._pipe, length)

    async def _buffer_chunk(self, chunk: bytes) -> None:
        assert self._buffer is not None
        limit = self._service.once_body_limit
        if len(self._buffer) + len(chunk) > limit:
            self._pending = None
            if not self._answered:
                self._refuse(problem.body_too_large(limit))
            return
        self._buffer.extend(chunk)

    async def _feed(self, pipe: Pipe, chunk: bytes) -> None:
        try:
            await pipe.put(chunk)
        except PipeBroken:
            # The call has ended; tornado discards the rest of the body.
            return

    def _start(self, call: Call) -> None:
        self._open_requests.add(self)
        self._task = asyncio.ensure_future(self._run(call))

    async def _run(self, call: Call) -> None:
        end: CallEnd = CallerLeft()
        refusal = self._service.admit_cross_region(call)
        try:
            if refusal is None:
                end = await self._service.execute_call(call, self)
            else:
                end = Refused(refusal)
        finally:
            if refusal is None:
                self._service.release_cross_region(call)
            self._open_requests.discard(self)
            seconds = time.monotonic() - self._started
            self._service.note_end(call, end, seconds)
            if self._pipe is not None and not isinstance(end, Delivered):
                self._pipe.fail()
        match end:
            case Refused(refusal=final):
                self._refuse(final)
            case CutShort():
                log_event('answer-cut', request=self.request_id)

    def _answer_lookup(self, query: str) -> None:
        parameters = parse_qs(query)
        workload = parameters.get('workload', [None])[0]
        address = self._address
        asked = parameters.get('address', [''])[0]
        if asked and self._service.is_trusted_resolver(address):
            address = asked
        answer = self._service.answer_lookup(workload, address)
        if isinstance(answer, Refusal):
            self._service.note_refusal('', answer)
            self._refuse(answer)
            return
        self._send(200, JSON_TYPE, answer, None)

    def _refuse(self, refusal: Refusal) -> None:
        if self._answered:
            return
        body = problem.problem_body(refusal, self.request_id)
        self._send(refusal.status, problem.PROBLEM_TYPE, body, refusal)

    def _send(
        self,
        status: int,
        content_type: str,
        body: bytes,
        refusal: Refusal | None,
    ) -> None:
        self._answered = True
        headers = HTTPHeaders(
            {
                'Content-Type': content_type,
                'Content-Length': str(len(body)),
            }
        )
        if refusal is not None:
            headers['Request-Id'] = self.request_id
            headers['Not-Run'] = json.dumps(refusal.not_run)
            if refusal.retry_after is not None:
                headers['Retry-After'] = str(refusal.retry_after)
        line = ResponseStartLine('HTTP/1.1', status, 'OK')
        self._connection.write_headers(line, headers, body)
        self._connection.finish()


def _deadline(
    route: Route,
    headers: HTTPHeaders,
    started: float,
) -> float | None | Refusal:
    seconds = route.workload.deadline_seconds
    asked = headers.get('Deadline-Ms')
    if asked is None:
        return None if seconds is None else started + seconds
    if not asked.isdecimal():
        return problem.bad_header(
            f'Deadline-Ms is {asked}',
            'give a whole number of milliseconds',
        )
    wanted = int(asked) / _MILLISECONDS
    if seconds is not None:
        wanted = min(wanted, seconds)
    return started + wanted


def _region(topology: Topology, address: str) -> str | None:
    try:
        return topology.caller_region(int(IPv4Address(address)))
    except AddressValueError:
        return None
