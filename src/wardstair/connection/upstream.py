"""A connection to an upstream that carries one request at a time.

It uses asyncio for the transport and the parser of httptools. libcurl resends a
request by itself when a reused connection closes early, and tornado's client
cannot skip a surplus answer to read the expected one.
docs/design/upstream-connections.md compares them.
"""

import asyncio
import errno
import os
import time
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from enum import StrEnum

from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser

from wardstair.connection.answer_memory import AnswerMemory, Reservation
from wardstair.connection.segments import (
    SEGMENT_BYTES,
    Body,
    BodyBuffer,
    Piece,
    split,
)
from wardstair.connection.silence import notice_silence
from wardstair.connection.stalled_sends import StallWatch

# Maximum number of bytes of one exchange that are no body: status lines, header
# fields and trailers of all its answers, interim ones included, and framing.
MAX_HEAD_BYTES = 65536
# Maximum number of header fields and trailers of one exchange. A field takes up
# a few hundred bytes of memory, however short it is.
MAX_HEAD_FIELDS = 512
# Maximum length of the bodies of one exchange, as of a request body by default.
MAX_BODY_BYTES = 67108864
# Bytes that frame a chunk besides its length: two line ends.
_CHUNK_LINE_ENDS = 4
_MIN_STATUS = 100
_MIN_FINAL_STATUS = 200
# No request asks for another protocol.
_SWITCHING_PROTOCOLS = 101
_BODILESS_STATUSES = frozenset((204, 304))
# Errors of a socket whose peer acknowledges nothing.
_SILENCE = frozenset((errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH))
Pairs = Sequence[tuple[str, str]]


class BreakReason(StrEnum):
    """Why an exchange ended without a complete answer."""

    closed = 'closed'
    reset = 'reset'
    # This host ended the connection: the peer acknowledged nothing in time.
    silent = 'silent'
    malformed = 'malformed'
    foreign = 'foreign'
    # A status that means "not run", without the header that declares it.
    unsaid = 'unsaid'
    # More bytes than an answer may have.
    endless = 'endless'
    # More bytes than this host has memory for.
    no_memory = 'no-memory'


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
    body: Body


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
        # Parts of the request that the transport has no room for yet.
        self._unsent: Iterator[Piece] | None = None
        self._is_writable = True
        self._on_sent: Callable[[], None] | None = None
        self._stall_watch: StallWatch | None = None
        self._has_body = False
        self._is_silent = False

    @property
    def has_unsent(self) -> bool:
        """Whether a part of the last request is not sent yet.

        An upstream may answer before it has read the whole body.
        """
        return self._unsent is not None

    @property
    def is_sending(self) -> bool:
        """Whether the upstream has not acknowledged all of the last request.

        What is sent next would come behind it.
        """
        watch = self._stall_watch
        return self.has_unsent or (watch is not None and watch.is_sending)

    @property
    def is_open(self) -> bool:
        """Whether requests can be sent."""
        transport = self._transport
        return transport is not None and not transport.is_closing()

    def send(
        self,
        head: bytes,
        body: Body,
        *,
        is_own: Callable[[Pairs], bool],
        is_head_only: bool,
        memory: AnswerMemory,
    ) -> 'asyncio.Future[ExchangeEnd]':
        """Send a request; return a future for the result of the exchange.

        Args:
            head: Request line and headers, with the final blank line.
            body: The body.
            is_own: Returns whether an answer with given headers belongs to this
                request.
            is_head_only: Whether the answer has no body, whatever its headers
                say.
            memory: Memory for the answer. While a long one waits for it, the
                upstream is not read.
        """
        assert self._transport is not None
        assert self._reading is None
        self._reading = _Reading(
            is_own, memory, self._read_on, is_head_only=is_head_only
        )
        self._has_body = bool(body)
        self._watch_stalls(self._transport)
        if isinstance(body, bytes) and len(body) <= SEGMENT_BYTES:
            self._transport.write(head + body if body else head)
            return self._reading.ended
        self._unsent = split(body)
        self._transport.write(head)
        self._send_on()
        return self._reading.ended

    def after_sent(self, callback: Callable[[], None]) -> None:
        """Call a function once nothing of the request is left to be sent.

        Args:
            callback: Called once, also if the connection closes before.
        """
        if not self.has_unsent:
            callback()
            return
        self._on_sent = callback

    def pause_writing(self) -> None:
        """Send nothing while the transport has enough to send."""
        self._is_writable = False

    def resume_writing(self) -> None:
        """Send the next parts of a request."""
        self._is_writable = True
        self._send_on()

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
        elif reading.is_waiting and self._transport is not None:
            self._transport.pause_reading()

    def eof_received(self) -> bool:
        """Handle the end of the stream from the upstream."""
        if self._reading is not None:
            self._reading.end_of_stream()
            # The transport first sends all that it has, which the upstream may
            # never read.
            self._reading.fail(BreakReason.closed)
        self.is_reusable = False
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the running exchange."""
        self.is_reusable = False
        self._end_sending()
        self._end_stall_watch()
        reading = self._reading
        self._reading = None
        if reading is not None:
            if exc is not None:
                self._read_rest(reading)
            reading.fail(self._reason_of(exc))
            reading.detach()
        self._on_closed(self)

    def _watch_stalls(self, transport: asyncio.Transport) -> None:
        self._end_stall_watch()
        self._stall_watch = StallWatch(
            transport.get_extra_info('socket'),
            lambda: self.has_unsent or transport.get_write_buffer_size() > 0,
            self._on_silent,
        )

    def _on_silent(self) -> None:
        self._is_silent = True
        self.close()

    def _reason_of(self, exc: Exception | None) -> BreakReason:
        """Return why the connection was lost.

        Args:
            exc: The error; None if a side has closed it.
        """
        has_timed_out = isinstance(exc, OSError) and exc.errno in _SILENCE
        if self._is_silent or has_timed_out:
            return BreakReason.silent
        return BreakReason.reset if exc else BreakReason.closed

    def _end_stall_watch(self) -> None:
        if self._stall_watch is not None:
            self._stall_watch.close()
            self._stall_watch = None

    def _note_answered(self) -> None:
        if not self._has_body:
            # An answer shows that the head has arrived.
            self._end_stall_watch()
        elif self._stall_watch is not None:
            self._stall_watch.note_answered()

    def _read_rest(self, reading: '_Reading') -> None:
        """Read an answer that arrived before the connection failed.

        A failed write ends the transport, which reads nothing more. An upstream
        may answer and close before it has read the whole request.
        """
        if self._transport is None:
            return
        descriptor = self._transport.get_extra_info('socket').fileno()
        while not (reading.ended.done() or reading.is_waiting):
            try:
                rest = os.read(descriptor, SEGMENT_BYTES)
            except OSError:
                return
            if not rest:
                # An answer that ends with its connection is not complete.
                return
            reading.feed(rest)

    def _read_on(self) -> None:
        if self._transport is not None:
            self._transport.resume_reading()

    def _send_on(self) -> None:
        unsent = self._unsent
        if unsent is None or self._transport is None:
            return
        while self._is_writable and not self._transport.is_closing():
            piece = next(unsent, None)
            if piece is None:
                self._end_sending()
                return
            self._transport.write(piece)

    def _end_sending(self) -> None:
        self._unsent = None
        on_sent = self._on_sent
        self._on_sent = None
        if on_sent is not None:
            on_sent()

    def _settle(self, reading: '_Reading') -> None:
        self._reading = None
        reading.detach()
        self._note_answered()
        self.has_served = True
        self.idle_since = time.monotonic()
        if not reading.is_clean:
            self.close()


class _Reading:
    """Reads the answer of one exchange; the parser calls its `on_` methods."""

    def __init__(
        self,
        is_own: Callable[[Pairs], bool],
        memory: AnswerMemory,
        read_on: Callable[[], None],
        *,
        is_head_only: bool,
    ) -> None:
        self.ended: asyncio.Future[ExchangeEnd] = (
            asyncio.get_running_loop().create_future()
        )
        self.is_clean = True
        # Whether the rest of the answer waits for memory.
        self.is_waiting = False
        self._is_own = is_own
        self._memory = memory
        self._read_on = read_on
        self._is_head_only = is_head_only
        # Sizes of the whole exchange.
        self._received_bytes = 0
        self._body_bytes = 0
        self._chunk_framing_bytes = 0
        self._field_bytes = 0
        self._fields = 0
        self._chunk_bytes = 0
        self._parser: HttpResponseParser | None = HttpResponseParser(self)
        self._begin()

    def detach(self) -> None:
        """Drop the parser, which refers back to this object.

        The cycle would keep the bodies of request and answer in memory until a
        garbage collection.
        """
        self._parser = None

    def feed(self, data: bytes) -> None:
        if not self._memory.take(len(data)):
            self.fail(BreakReason.no_memory)
            return
        self._received_bytes += len(data)
        assert self._parser is not None
        try:
            self._parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade):
            # If the answer is complete, these are surplus bytes.
            self.fail(BreakReason.malformed)
        framed = self._body_bytes + self._chunk_framing_bytes
        if self._received_bytes - framed > MAX_HEAD_BYTES:
            self._fail_endless()

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
        if self.ended.done():
            return
        self._fields += 1
        self._field_bytes += len(name) + len(value)
        is_long = self._field_bytes > MAX_HEAD_BYTES
        if is_long or self._fields > MAX_HEAD_FIELDS:
            self._fail_endless()
            return
        pair = (name.decode('latin-1'), value.decode('latin-1').strip())
        self._headers.append(pair)

    def on_headers_complete(self) -> None:
        if self.ended.done():
            return
        assert self._parser is not None
        self._status = self._parser.get_status_code()
        self._is_mismatched = self._is_mismatched_head()
        if self._is_mismatched:
            self.is_clean = False
        if not self._parser.should_keep_alive():
            self.is_clean = False
        if self._status < _MIN_STATUS or self._status == _SWITCHING_PROTOCOLS:
            self.fail(BreakReason.malformed)
            return
        if self._status < _MIN_FINAL_STATUS:
            # Interim: the final answer is still to come.
            return
        self._reserve()
        self._ends_with_stream = not self._has_length()
        self._in_body = True
        if self._is_head_only and not self._is_mismatched:
            self.is_clean = False
            self._finish()

    def on_chunk_header(self) -> None:
        self._chunk_bytes = 0

    def on_chunk_complete(self) -> None:
        # Extensions count as part of the head, as does a chunk without data.
        if self._chunk_bytes:
            digits = len(f'{self._chunk_bytes:x}')
            self._chunk_framing_bytes += digits + _CHUNK_LINE_ENDS

    def on_body(self, body: bytes) -> None:
        self._chunk_bytes += len(body)
        self._body_bytes += len(body)
        if self._body_bytes > MAX_BODY_BYTES:
            self._fail_endless()
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
        self._body = BodyBuffer()
        self._in_body = False
        self._is_mismatched = False
        self._ends_with_stream = False

    def _fail_endless(self) -> None:
        """End the exchange if its answer is not complete."""
        if not self.ended.done():
            self.fail(BreakReason.endless)

    def _is_mismatched_head(self) -> bool:
        if self._status < _MIN_FINAL_STATUS:
            return False
        return not self._is_own(self._headers)

    def _reserve(self) -> None:
        """Reserve memory for a long answer whose length is known."""
        length = self._content_length()
        is_long = SEGMENT_BYTES < length <= MAX_BODY_BYTES
        if not is_long or self._is_head_only or self._is_mismatched:
            return
        match self._memory.reserve(length, self._on_reserved):
            case Reservation.refused:
                self.fail(BreakReason.no_memory)
            case Reservation.waiting:
                self.is_waiting = True

    def _on_reserved(self) -> None:
        self.is_waiting = False
        self._read_on()

    def _content_length(self) -> int:
        for name, text in self._headers:
            if name.lower() == 'content-length' and text.isdecimal():
                return int(text)
        return 0

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
                self._body.take(),
            )
        )
