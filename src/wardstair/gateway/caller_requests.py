"""Collects one request of a caller and encodes its answer."""

import asyncio
import re
import time
from collections.abc import Awaitable, Callable, Sequence

from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)

from wardstair.connection.pipeline import Turn
from wardstair.connection.segments import BodyBuffer, segments_of
from wardstair.gateway import refusals
from wardstair.gateway.messages import Inbound, Reply
from wardstair.platform.headers import CallerFields, decode_caller
from wardstair.process.log import log_warning

# Timeout of requests whose caller does not state one.
DEFAULT_WAIT_SECONDS = 30.0
Buffer = bytes | memoryview
# Shared by the requests whose heads are not received yet.
_NO_HEADERS = HTTPHeaders()
_LINE_BREAK = re.compile('[\r\n]')


class BodyRefused(HTTPInputError):
    """A body is not read to its end; ends the parsing of its request."""


class CallerRequest(HTTPMessageDelegate):
    """One request of a caller, as it is parsed.

    Attributes:
        parser: The parser; ends as soon as the request is complete.
        received_at: Monotonic time at which the head was received; 0 until
            then.
        held_bytes: Bytes of the body for which memory is reserved.
        received_bytes: Bytes of the body that are received.
        declared_bytes: Length of the body by its header; 0 if it is not stated.
        is_complete: Whether head and body are received.
        refusal: Why the body is not read; None unless it is refused.
    """

    def __init__(
        self,
        on_head: Callable[['CallerRequest'], None],
        take_body: Callable[['CallerRequest', int], Awaitable[None] | None],
    ) -> None:
        """Create a request that expects its head.

        Args:
            on_head: Called when the head is received.
            take_body: Reserves memory for a number of body bytes, at once or
                once they may be held; raises `BodyRefused`.
        """
        self.parser: HTTP1Connection | None = None
        self.received_at = 0.0
        self.held_bytes = 0
        self.received_bytes = 0
        self.declared_bytes = 0
        self.is_complete = False
        self.refusal: refusals.GatewayRefusal | None = None
        self._max_body_bytes = 0
        self._on_head = on_head
        self._take_body = take_body
        self._line: RequestStartLine | None = None
        self._headers = _NO_HEADERS
        self._decoded: CallerFields | None = None
        self._body = BodyBuffer()

    @property
    def has_head(self) -> bool:
        """Whether the head is received."""
        return self._line is not None

    @property
    def is_persistent(self) -> bool:
        """Whether the caller keeps the connection open after the answer."""
        line = self._line
        assert line is not None
        options = {
            option.strip().lower()
            for option in self._headers.get('Connection', '').split(',')
        }
        if line.version == 'HTTP/1.1':
            return 'close' not in options
        has_length = (
            line.method in {'GET', 'HEAD'}
            or 'Content-Length' in self._headers
            or 'Transfer-Encoding' in self._headers
        )
        return has_length and 'keep-alive' in options

    @property
    def has_body(self) -> bool:
        """Whether a body follows the head."""
        return self.declared_bytes > 0 or 'Transfer-Encoding' in self._headers

    @property
    def seconds(self) -> float:
        """Time for which the caller waits, counted from the head."""
        wait = self._fields().seconds_left
        return DEFAULT_WAIT_SECONDS if wait is None else wait

    @property
    def host(self) -> str:
        """Host name, lower case, without a port."""
        return self._headers.get('Host', '').lower().partition(':')[0]

    @property
    def path(self) -> str:
        """Path without the query."""
        assert self._line is not None
        return self._line.path.partition('?')[0]

    @property
    def request_id(self) -> str:
        """The caller's id for this attempt; empty if there is none."""
        return self._fields().request_id

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> Awaitable[None] | None:
        """Store the request line and headers."""
        assert isinstance(start_line, RequestStartLine)
        self.received_at = time.monotonic()
        self._line = start_line
        self._headers = headers
        length = headers.get('Content-Length', '')
        self.declared_bytes = int(length) if length.isdecimal() else 0
        self._on_head(self)
        return None

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Store body bytes once they may be held."""
        taking = self._take_body(self, len(chunk))
        if taking is None:
            self._body.append(chunk)
            return None
        return self._store_later(taking, chunk)

    def allow_body(self, max_bytes: int) -> None:
        """Allow a body of this size, unless a longer one is allowed already.

        A body that is on its way when the limit is lowered may still arrive.

        Args:
            max_bytes: Its maximum size.
        """
        if self.has_head and self.parser is not None:
            self._max_body_bytes = max(self._max_body_bytes, max_bytes)
            self.parser.set_max_body_size(self._max_body_bytes)

    def finish(self) -> None:
        """Note that the request is complete, and end its parser.

        The parser would otherwise wait for the answer to be written.
        """
        self.is_complete = True
        assert self.parser is not None
        self.parser.detach()
        self.parser = None

    def on_connection_close(self) -> None:
        """Do nothing; the connection drops its requests itself."""

    def inbound(self) -> Inbound | None:
        """Return the complete request; None if it has no id.

        The body is handed over: a second call returns an empty one.
        """
        line = self._line
        assert line is not None
        fields = self._fields()
        if not fields.request_id:
            return None
        wait = fields.seconds_left
        return Inbound(
            request_id=fields.request_id,
            method=line.method,
            target=line.path,
            path=self.path,
            host=self.host,
            key=fields.key,
            headers=fields.forwarded_headers,
            body=self._body.take(),
            received_at=self.received_at,
            seconds=DEFAULT_WAIT_SECONDS if wait is None else wait,
            api_keys=fields.api_keys,
        )

    def encode(self, reply: Reply, *, is_last: bool) -> Sequence[Buffer]:
        """Return the bytes of an answer to this request, in pieces.

        If a header cannot be sent, they are those of an internal fault.

        Args:
            reply: The answer.
            is_last: Whether the connection closes after it.
        """
        try:
            return self._encode(reply, is_last=is_last)
        except ValueError as error:
            request_id = self.request_id
            log_warning('request-failed', request=request_id, error=repr(error))
            fault = refusals.INTERNAL_FAULT.reply(request_id)
            return self._encode(fault, is_last=is_last)

    def drop_body(self) -> None:
        """Forget the body."""
        self._body.clear()

    def _encode(self, reply: Reply, *, is_last: bool) -> Sequence[Buffer]:
        line = self._line
        headers = HTTPHeaders()
        try:
            for name, text in reply.headers:
                headers.add(name, text)
        except HTTPInputError as error:
            raise ValueError(str(error)) from error
        headers['Content-Length'] = str(len(reply.body))
        if is_last:
            headers['Connection'] = 'close'
        elif line is not None and line.version == 'HTTP/1.0':
            headers['Connection'] = 'Keep-Alive'
        lines = [f'HTTP/1.1 {reply.status} {reply.reason}']
        lines.extend(f'{name}: {text}' for name, text in headers.get_all())
        for one in lines:
            if _LINE_BREAK.search(one):
                raise ValueError(f'line break in a header: {one!r}')
        head = '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n'
        if line is not None and line.method == 'HEAD':
            return (head,)
        if isinstance(reply.body, bytes):
            return (head + reply.body,)
        return (
            head,
            *[memoryview(piece) for piece in segments_of(reply.body)],
        )

    async def _store_later(self, taking: Awaitable[None], chunk: bytes) -> None:
        await taking
        self._body.append(chunk)

    def _fields(self) -> CallerFields:
        if self._decoded is None:
            self._decoded = decode_caller(list(self._headers.get_all()))
        return self._decoded


class CallerTurn(Turn[Reply]):
    """The place of one request among those of its connection.

    Attributes:
        request: The request.
        task: Serves it; None before it starts, and for a request that is
            refused unread.
        waiting_bytes: Bytes of its answer while that waits for its turn.
        counted_bytes: Those of them that its place counts for the host.
        reply: Its answer, until that is sent or dropped.
        is_expired: Whether it was ended as the process is about to exit.
    """

    __slots__ = (
        'counted_bytes',
        'is_expired',
        'reply',
        'request',
        'task',
        'waiting_bytes',
    )

    def __init__(
        self,
        request: CallerRequest,
        *,
        runs_alone: bool = False,
        is_final: bool = False,
    ) -> None:
        """Create the place of a request.

        Args:
            request: The request.
            runs_alone: Whether it may run only once.
            is_final: Whether nothing is read behind it.
        """
        super().__init__(runs_alone, is_final)
        self.request = request
        self.is_expired = False
        self.task: asyncio.Task[None] | None = None
        self.waiting_bytes = 0
        self.counted_bytes = 0
        self.reply: Reply | None = None

    def release_reply(self) -> None:
        """Release the capacity for the answer, which is sent or dropped."""
        if self.reply is not None:
            self.reply.release()
            self.reply = None
