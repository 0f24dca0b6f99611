"""A connection to an upstream that carries one request at a time.

It uses asyncio for the transport and the parser of httptools. libcurl resends a
request by itself when a reused connection closes early, and tornado's client
cannot skip a surplus answer to read the expected one.
docs/design/upstream-connections.md compares them.
"""

import asyncio
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import StrEnum

from httptools import HttpParserError, HttpResponseParser

from wardstair.connection.silence import notice_silence

_MIN_FINAL_STATUS = 200
_BODILESS_STATUSES = frozenset((204, 304))
Pairs = Sequence[tuple[str, str]]


class BreakReason(StrEnum):
    """Why an exchange ended without a complete answer."""

    closed = 'closed'
    reset = 'reset'
    malformed = 'malformed'
    foreign = 'foreign'
    # A status that means "not run", without the header that declares it.
    unsaid = 'unsaid'


@dataclass(frozen=True, slots=True)
class RawAnswer:
    """A complete answer as received.

    Attributes:
        status: Status code.
        reason: Reason phrase.
        headers: Header names and values.
        body: The body after removal of any transfer coding.
    """

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class BrokenExchange:
    """The request was sent, but no complete answer was received."""

    reason: BreakReason


ExchangeEnd = RawAnswer | BrokenExchange


class UpstreamConnection(asyncio.Protocol):
    """A connection that serves one exchange at a time; see `UpstreamPool`."""

    def __init__(self, on_closed: Callable[['UpstreamConnection'], None]):
        """Create the protocol of a new connection.

        Args:
            on_closed: Called once when the connection is closed.
        """
        self.idle_since = time.monotonic()
        self.keep_alive_seconds: float | None = None
        self.is_reusable = True
        # Whether it has completed an exchange.
        self.has_served = False
        self._on_closed = on_closed
        self._transport: asyncio.Transport | None = None
        self._reading: _Reading | None = None

    @property
    def is_open(self) -> bool:
        """Whether requests can be sent."""
        transport = self._transport
        return transport is not None and not transport.is_closing()

    def send(
        self,
        head: bytes,
        body: bytes,
        *,
        is_own: Callable[[Pairs], bool],
        is_head_only: bool,
    ) -> 'asyncio.Future[ExchangeEnd]':
        """Send a request; return a future for the result of the exchange.

        Args:
            head: Request line and headers, with the final blank line.
            body: The body.
            is_own: Returns whether an answer with given headers belongs to this
                request.
            is_head_only: Whether the answer has no body, whatever its headers
                say.
        """
        assert self._transport is not None
        assert self._reading is None
        self._reading = _Reading(is_own, is_head_only=is_head_only)
        self._transport.write(head + body if body else head)
        return self._reading.ended

    def close(self) -> None:
        """Close at once; a request already sent may still run."""
        self.is_reusable = False
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        notice_silence(transport.get_extra_info('socket'))

    def data_received(self, data: bytes) -> None:
        """Parse bytes of an answer."""
        reading = self._reading
        if reading is None:
            # No request is pending: this is a surplus answer.
            self.close()
            return
        reading.feed(data)
        if reading.ended.done():
            self._settle(reading)

    def eof_received(self) -> bool:
        """Handle the end of the stream from the upstream."""
        if self._reading is not None:
            self._reading.end_of_stream()
        self.is_reusable = False
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the running exchange."""
        self.is_reusable = False
        reading = self._reading
        self._reading = None
        if reading is not None:
            reading.fail(BreakReason.reset if exc else BreakReason.closed)
        self._on_closed(self)

    def _settle(self, reading: '_Reading') -> None:
        self._reading = None
        self.has_served = True
        self.idle_since = time.monotonic()
        if not reading.is_clean:
            self.close()


class _Reading:
    """Reads the answer of one exchange; the parser calls its `on_` methods."""

    def __init__(
        self,
        is_own: Callable[[Pairs], bool],
        *,
        is_head_only: bool,
    ) -> None:
        self.ended: asyncio.Future[ExchangeEnd] = (
            asyncio.get_running_loop().create_future()
        )
        self.is_clean = True
        self._is_own = is_own
        self._is_head_only = is_head_only
        self._parser = HttpResponseParser(self)
        self._begin()

    def feed(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except HttpParserError:
            # If the answer is complete, these are surplus bytes.
            self.fail(BreakReason.malformed)

    def end_of_stream(self) -> None:
        if self._in_body and self._ends_with_stream:
            self._finish()

    def fail(self, reason: BreakReason) -> None:
        self.is_clean = False
        if not self.ended.done():
            self.ended.set_result(BrokenExchange(reason))

    def on_message_begin(self) -> None:
        if self.ended.done():
            self.is_clean = False
            return
        self._begin()

    def on_status(self, status: bytes) -> None:
        self._reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        pair = (name.decode('latin-1'), value.decode('latin-1').strip())
        self._headers.append(pair)

    def on_headers_complete(self) -> None:
        if self.ended.done():
            return
        self._status = self._parser.get_status_code()
        self._is_mismatched = self._is_mismatched_head()
        if self._is_mismatched:
            self.is_clean = False
        if not self._parser.should_keep_alive():
            self.is_clean = False
        self._ends_with_stream = not self._has_length()
        self._in_body = True
        if self._is_head_only and not self._is_mismatched:
            self.is_clean = False
            self._finish()

    def on_body(self, body: bytes) -> None:
        if not self.ended.done() and not self._is_mismatched:
            self._body.append(body)

    def on_message_complete(self) -> None:
        if self.ended.done() or self._status < _MIN_FINAL_STATUS:
            return
        if self._is_mismatched:
            # The answer to this request may follow.
            return
        self._finish()

    def _begin(self) -> None:
        self._status = 0
        self._reason = b''
        self._headers: list[tuple[str, str]] = []
        self._body: list[bytes] = []
        self._in_body = False
        self._is_mismatched = False
        self._ends_with_stream = False

    def _is_mismatched_head(self) -> bool:
        if self._status < _MIN_FINAL_STATUS:
            return False
        return not self._is_own(self._headers)

    def _has_length(self) -> bool:
        if self._status in _BODILESS_STATUSES:
            return True
        return any(
            name.lower() in {'content-length', 'transfer-encoding'}
            for name, _ in self._headers
        )

    def _finish(self) -> None:
        if self.ended.done():
            return
        if self._is_mismatched:
            self.fail(BreakReason.foreign)
            return
        self.ended.set_result(
            RawAnswer(
                self._status,
                self._reason.decode('latin-1'),
                tuple(self._headers),
                b''.join(self._body),
            )
        )
