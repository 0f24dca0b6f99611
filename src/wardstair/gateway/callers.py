"""The HTTP listener for callers: reads requests and writes replies.

Each request has a delegate of its own. An upstream is chosen only once the
whole body is received. A caller with a slow connection then occupies no slot
while it sends, and a request that one upstream rejects can be sent to the next.
"""

import asyncio
import contextlib
import time
from collections.abc import Awaitable, Callable
from functools import partial

from tornado.http1connection import (
    HTTP1Connection,
    HTTP1ServerConnection,
)
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError

from wardstair.gateway import refusals
from wardstair.gateway.bodies import BodyCapacity
from wardstair.gateway.messages import Inbound, Reply
from wardstair.platform.headers import decode_caller
from wardstair.process.log import log_warning

# Timeout of requests whose caller does not state one.
DEFAULT_WAIT_SECONDS = 30.0
Serve = Callable[[Inbound], Awaitable[Reply]]
# Receives the id of a request and the number of body bytes received.
OnRefused = Callable[[str, int], None]


class CallerListener(HTTPServerConnectionDelegate):
    """Creates a delegate for each request of each connection."""

    def __init__(
        self,
        serve: Serve,
        bodies: BodyCapacity,
        on_refused: OnRefused,
    ) -> None:
        """Create a listener.

        Args:
            serve: Returns the reply to a request; cancelled when the caller
                disconnects.
            bodies: Capacity for request bodies.
            on_refused: Called for each request refused for lack of capacity.
        """
        self.is_stopping = False
        self.bodies = bodies
        self.on_refused = on_refused
        self._open_requests: set[CallerExchange] = set()
        self._connections: set[HTTP1ServerConnection] = set()
        self._serve = serve
        self._is_idle = asyncio.Event()
        self._is_idle.set()

    def start_request(
        self,
        server_conn: object,
        request_conn: HTTPConnection,
    ) -> HTTPMessageDelegate:
        """Return the delegate for a new request."""
        assert isinstance(request_conn, HTTP1Connection)
        assert isinstance(server_conn, HTTP1ServerConnection)
        self._connections.add(server_conn)
        return CallerExchange(self, request_conn, self._serve)

    def on_close(self, server_conn: object) -> None:
        """Remove a closed connection."""
        assert isinstance(server_conn, HTTP1ServerConnection)
        self._connections.discard(server_conn)

    @property
    def open_count(self) -> int:
        """Number of requests that are not answered yet."""
        return len(self._open_requests)

    def note_open(self, exchange: 'CallerExchange') -> None:
        """Record the start of a request."""
        self._open_requests.add(exchange)
        self._is_idle.clear()

    def note_ended(self, exchange: 'CallerExchange') -> None:
        """Record that a request is answered or its caller disconnected."""
        self._open_requests.discard(exchange)
        if not self._open_requests:
            self._is_idle.set()

    async def wait_idle(self, seconds: float) -> None:
        """Wait until no request is open, at most for a given time.

        Args:
            seconds: Longest time to wait.
        """
        # `host-stopped cut=` logs how many were still open after a timeout.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(seconds, 0)):
                await self._is_idle.wait()

    def close_idle(self) -> None:
        """Close all connections without an open request."""
        busy = {id(exchange.stream) for exchange in self._open_requests}
        for connection in tuple(self._connections):
            if id(connection.stream) not in busy:
                connection.stream.close()


class CallerExchange(HTTPMessageDelegate):
    """One request of a caller, from its headers to the end of the reply."""

    def __init__(
        self,
        listener: CallerListener,
        connection: HTTP1Connection,
        serve: Serve,
    ) -> None:
        """Create an exchange that expects the request's headers.

        Args:
            listener: The listener that accepted the connection.
            connection: Connection of the request.
            serve: Returns the reply to a request.
        """
        self._listener = listener
        self._connection = connection
        self._serve = serve
        self._line: RequestStartLine | None = None
        self._headers = HTTPHeaders()
        self._chunks: list[bytes] = []
        self._received_at = 0.0
        self._task: asyncio.Task[None] | None = None
        self._held_bytes = 0
        self._is_refused = False

    @property
    def stream(self) -> IOStream | None:
        """Stream of the connection; None once it is closed."""
        return self._connection.stream

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> Awaitable[None] | None:
        """Store the request line and headers."""
        assert isinstance(start_line, RequestStartLine)
        self._received_at = time.monotonic()
        self._line = start_line
        self._headers = headers
        self._connection.set_close_callback(self.on_connection_close)
        self._listener.note_open(self)
        return None

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Store body bytes, or refuse the request for lack of capacity."""
        if self._is_refused:
            return None
        if not self._listener.bodies.reserve(len(chunk)):
            self._refuse()
            return None
        self._held_bytes += len(chunk)
        self._chunks.append(chunk)
        return None

    def finish(self) -> None:
        """Serve the request, which is complete."""
        if self._is_refused:
            return
        stream = self.stream
        if stream is None or stream.closed():
            # The connection was closed while the request arrived. The caller
            # cannot get the reply and may resend it, so it must not run.
            self._end()
            return
        self._task = asyncio.ensure_future(self._run())
        self._task.add_done_callback(self._on_done)

    def on_connection_close(self) -> None:
        """Stop serving the request of a caller that has disconnected."""
        if self._task is None:
            self._end()
        else:
            self._task.cancel()

    def _refuse(self) -> None:
        """Refuse the request; no part of it has been sent to an upstream."""
        self._is_refused = True
        request_id = decode_caller(list(self._headers.get_all())).request_id
        self._listener.on_refused(request_id, self._held_bytes)
        self._end()
        self._write(refusals.NO_MEMORY.reply(request_id), is_last=True)

    def _end(self) -> None:
        self._listener.note_ended(self)
        self._listener.bodies.release(self._held_bytes)
        self._held_bytes = 0
        self._chunks = []

    async def _run(self) -> None:
        inbound = self._inbound()
        if inbound is None:
            self._write(refusals.NO_REQUEST_ID.reply(''))
            return
        try:
            reply = await self._serve(inbound)
        except Exception as error:
            # An internal error. The request may have run, so the reply must not
            # deny it.
            log_warning(
                'request-failed',
                request=inbound.request_id,
                error=repr(error),
            )
            self._write(refusals.INTERNAL_FAULT.reply(inbound.request_id))
            raise
        self._write(reply)

    def _inbound(self) -> Inbound | None:
        line = self._line
        assert line is not None
        fields = decode_caller(list(self._headers.get_all()))
        if not fields.request_id:
            return None
        host = self._headers.get('Host', '').lower()
        wait = fields.seconds_left
        body = b''.join(self._chunks)
        self._chunks = []
        return Inbound(
            request_id=fields.request_id,
            method=line.method,
            target=line.path,
            path=line.path.partition('?')[0],
            host=host.partition(':')[0],
            key=fields.key,
            headers=fields.forwarded_headers,
            body=body,
            received_at=self._received_at,
            seconds=DEFAULT_WAIT_SECONDS if wait is None else wait,
            api_keys=fields.api_keys,
        )

    def _write(self, reply: Reply, *, is_last: bool = False) -> None:
        headers = HTTPHeaders()
        for name, text in reply.headers:
            headers.add(name, text)
        headers['Content-Length'] = str(len(reply.body))
        if self._listener.is_stopping or is_last:
            headers['Connection'] = 'close'
        line = ResponseStartLine('HTTP/1.1', reply.status, reply.reason)
        try:
            written = self._connection.write_headers(line, headers, reply.body)
        except StreamClosedError:
            # The caller disconnected before the reply was written.
            reply.release()
            return
        written.add_done_callback(partial(_end_written, reply))
        with contextlib.suppress(StreamClosedError):
            # Otherwise the caller disconnected while the reply was written.
            self._connection.finish()

    def _on_done(self, task: 'asyncio.Task[None]') -> None:
        self._end()
        if not task.cancelled():
            # Already logged; retrieving the exception avoids a warning of
            # asyncio.
            task.exception()


def _end_written(reply: Reply, written: 'asyncio.Future[None]') -> None:
    reply.release()
    if not written.cancelled():
        written.exception()
