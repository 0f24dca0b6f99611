"""HTTP server for callers and for other entry hosts.

It uses tornado's connection interface rather than its request handlers, since
bodies are streamed in both directions and a look-up has to be cheap.
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
    """The methods of the entry host that the server uses."""

    @property
    def topology(self) -> Topology | None:
        """Topology of the version in force, or None before the first."""

    @property
    def is_stopping(self) -> bool:
        """Whether the host no longer accepts new requests."""

    @property
    def once_body_limit(self) -> int:
        """Maximum body size in bytes of requests that may not be repeated."""

    def answer_lookup(
        self,
        workload: str | None,
        address: str,
    ) -> bytes | Refusal:
        """Return the JSON answer to a look-up, or refuse it."""

    def is_trusted_resolver(self, address: str) -> bool:
        """Return whether an address may send look-ups for other addresses."""

    def admit_cross_region(self, call: Call) -> Refusal | None:
        """Admit a call, or refuse traffic of other regions over its cap."""

    def release_cross_region(self, call: Call) -> None:
        """Record the end of a call that `admit_cross_region` admitted."""

    async def execute_call(self, call: Call, sink: AnswerSink) -> CallEnd:
        """Execute a call until it ends."""

    def note_end(self, call: Call, end: CallEnd, seconds: float) -> None:
        """Count and record the end of a call."""

    def note_refusal(self, workload: str, refusal: Refusal) -> None:
        """Count a refusal that belongs to no call."""


class CallerServer(HTTPServerConnectionDelegate):
    """Creates a delegate for each request of each connection."""

    def __init__(self, service: CallerService, *, is_internal: bool) -> None:
        """Create a server for callers or for other entry hosts.

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
        """Return the delegate for a new request."""
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
        """Remove a connection from the count of its address."""
        address = self._addresses.pop(server_conn, None)
        if address is None:
            return
        self._connections[address] -= 1
        if not self._connections[address]:
            self._connections.pop(address)


class CallerRequest(HTTPMessageDelegate):
    """Handles one request, from its headers to the end of its answer."""

    def __init__(
        self,
        service: CallerService,
        connection: HTTP1Connection,
        address: str,
        open_requests: 'set[CallerRequest]',
        *,
        is_internal: bool,
    ) -> None:
        """Create the delegate before the headers are received.

        Args:
            service: The entry host.
            connection: The connection on which the request arrives.
            address: The caller's address.
            open_requests: The open requests; the request adds and removes
                itself.
            is_internal: Whether the request comes from another entry host.
        """
        self.request_id = uuid4().hex
        self._service = service
        self._connection = connection
        self._address = address
        self._open_requests = open_requests
        self._is_internal = is_internal
        self._started = time.monotonic()
        self._lookup_query: str | None = None
        self._pipe: Pipe | None = None
        self._buffer: bytearray | None = None
        self._pending_call: Call | None = None
        self._task: asyncio.Task[None] | None = None
        self._answer_begun = False

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> Awaitable[None] | None:
        """Check the headers and start the call.

        Look-ups and calls with a buffered body start once the body is complete.
        """
        assert isinstance(start_line, RequestStartLine)
        self._connection.set_close_callback(self.on_connection_close)
        path, _, query = start_line.path.partition('?')
        if path == LOOKUP_PATH and not self._is_internal:
            self._lookup_query = query
            return None
        call = self._make_call(start_line, headers, path)
        if isinstance(call, Refusal):
            self._service.note_refusal('', call)
            self._refuse(call)
            return None
        if self._buffer is not None:
            self._pending_call = call
            return None
        self._start(call)
        return None

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Process bytes of the body; the connection waits until it is done."""
        if self._buffer is not None:
            return self._buffer_chunk(chunk)
        if self._pipe is None:
            return None
        return self._feed_pipe(self._pipe, chunk)

    def finish(self) -> None:
        """Process the end of the request's body."""
        if self._lookup_query is not None:
            self._answer_lookup(self._lookup_query)
        if self._pipe is not None:
            self._pipe.end()
        if self._pending_call is not None and self._buffer is not None:
            self._pending_call.body = BufferedBody(bytes(self._buffer))
            self._start(self._pending_call)

    def on_connection_close(self) -> None:
        """Cancel the call of a caller that has disconnected."""
        if self._pipe is not None:
            self._pipe.fail()
        if self._task is not None:
            self._task.cancel()

    def begin(self, head: IncomingHead) -> None:
        """Send the status line and headers of the answer."""
        self._answer_begun = True
        headers = HTTPHeaders()
        for name, text in head.headers:
            headers.add(name, text)
        headers['Request-Id'] = self.request_id
        line = ResponseStartLine('HTTP/1.1', head.status, head.reason or 'OK')
        self._connection.write_headers(line, headers)

    async def write(self, chunk: bytes) -> None:
        """Send bytes of the body; wait while the caller reads slowly."""
        if not chunk:
            return
        try:
            await self._connection.write(chunk)
        except StreamClosedError:
            # on_connection_close cancels this task; yield so that it ends.
            await asyncio.sleep(0)

    def end(self) -> None:
        """Finish a complete answer."""
        self._connection.finish()

    def disconnect(self) -> None:
        """Close the connection, since the answer cannot be completed."""
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
        deadline = _request_deadline(route, headers, self._started)
        if isinstance(deadline, Refusal):
            return deadline
        body = self._open_body(route, headers)
        if isinstance(body, Refusal):
            return body
        origin = _caller_region(topology, self._address)
        is_zone_only = False
        if self._is_internal:
            origin = headers.get(InternalHeader.origin_region)
            purpose = headers.get(InternalHeader.purpose)
            is_zone_only = purpose == HopPurpose.serve
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
            is_zone_only=is_zone_only,
            key=key if route.is_once and not is_zone_only else None,
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
            self._pending_call = None
            if not self._answer_begun:
                self._refuse(problem.body_too_large(limit))
            return
        self._buffer.extend(chunk)

    async def _feed_pipe(self, pipe: Pipe, chunk: bytes) -> None:
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
            case Refused(refusal=end_refusal):
                self._refuse(end_refusal)
            case CutShort():
                log_event('answer-cut', request=self.request_id)

    def _answer_lookup(self, query: str) -> None:
        parameters = parse_qs(query)
        workload = parameters.get('workload', [None])[0]
        address = self._address
        requested = parameters.get('address', [''])[0]
        if requested and self._service.is_trusted_resolver(address):
            address = requested
        answer = self._service.answer_lookup(workload, address)
        if isinstance(answer, Refusal):
            self._service.note_refusal('', answer)
            self._refuse(answer)
            return
        self._send(200, JSON_TYPE, answer, None)

    def _refuse(self, refusal: Refusal) -> None:
        if self._answer_begun:
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
        self._answer_begun = True
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


def _request_deadline(
    route: Route,
    headers: HTTPHeaders,
    started: float,
) -> float | None | Refusal:
    seconds = route.workload.deadline_seconds
    requested = headers.get('Deadline-Ms')
    if requested is None:
        return None if seconds is None else started + seconds
    if not requested.isdecimal():
        return problem.bad_header(
            f'Deadline-Ms is {requested}',
            'give a whole number of milliseconds',
        )
    requested_seconds = int(requested) / _MILLISECONDS
    if seconds is not None:
        requested_seconds = min(requested_seconds, seconds)
    return started + requested_seconds


def _caller_region(topology: Topology, address: str) -> str | None:
    try:
        return topology.caller_region(int(IPv4Address(address)))
    except AddressValueError:
        return None
