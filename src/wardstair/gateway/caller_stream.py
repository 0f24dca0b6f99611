"""The stream from which the requests of a caller's connection are parsed.

tornado's parser reads from it as from an `IOStream`. The bytes are buffered
here, so that a malformed request does not close the connection under requests
before it, and a caller that closes is noticed while parsing is paused.
"""

import asyncio
import fcntl
import functools
import re
import select
import socket
import termios
from collections.abc import Awaitable, Callable

from tornado.httputil import HTTPInputError
from tornado.iostream import IOStream

from wardstair.gateway.read_buffer import ReadBuffer

# Bytes that are read ahead while parsing is paused.
READ_AHEAD_BYTES = 65536
# Interval at which a close is looked for while the buffer is full, in seconds.
PEER_CLOSE_POLL_SECONDS = 0.1
_INTERIM = b'HTTP/1.1 100'
_COUNT_BYTES = 4


class CallerStream:
    """Buffered input of one connection; has the part of `IOStream` that a
    parser uses.

    Attributes:
        max_buffer_size: Largest body without a limit of its own, in bytes.
    """

    __slots__ = (
        '_buffer',
        '_direct',
        '_filling',
        '_is_discarding',
        '_is_watching',
        '_max_head_bytes',
        '_on_interim',
        '_poll',
        '_searched',
        '_stream',
        'max_buffer_size',
    )

    def __init__(
        self,
        stream: IOStream,
        on_interim: Callable[[bytes], None],
        max_head_bytes: Callable[[], int],
    ) -> None:
        """Create the input of a connection.

        Args:
            stream: Stream of the connection.
            on_interim: Receives an interim response, to be sent in its turn.
            max_head_bytes: Returns the maximum size of a request head.
        """
        self._max_head_bytes = max_head_bytes
        self.max_buffer_size = stream.max_buffer_size
        self._stream = stream
        self._on_interim = on_interim
        self._buffer = ReadBuffer()
        # Buffered bytes that are known to hold no end of what is being read.
        self._searched = 0
        self._filling: asyncio.Future[bytes] | None = None
        # A read whose bytes go to the parser and not through the buffer.
        self._direct: asyncio.Future[bytes] | None = None
        self._is_watching = False
        self._is_discarding = False
        self._poll: asyncio.TimerHandle | None = None

    @property
    def has_unread(self) -> bool:
        """Whether the caller has sent bytes that are not parsed."""
        return bool(self._buffer) or self._has_new_bytes

    @property
    def has_part(self) -> bool:
        """Whether a part of a request is buffered while nothing is open."""
        return bool(self._buffer)

    @property
    def has_unsearched(self) -> bool:
        """Whether bytes have come that may complete what is being read."""
        return len(self._buffer) > self._searched or self._has_new_bytes

    @property
    def has_unacknowledged(self) -> bool:
        """Whether the caller's system has not acknowledged all that was sent.

        False where the system does not tell.
        """
        if self._stream.closed():
            return False
        try:
            amount = fcntl.ioctl(
                self._stream.socket, termios.TIOCOUTQ, bytes(_COUNT_BYTES)
            )
        except OSError:
            return False
        return any(amount)

    @property
    def _has_new_bytes(self) -> bool:
        filling = self._filling
        if filling is not None and filling.done():
            return True
        if self._stream.closed():
            return False
        try:
            return bool(self._stream.socket.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    @property
    def _is_reading(self) -> bool:
        if self._filling is not None:
            return True
        return self._direct is not None and not self._direct.done()

    def closed(self) -> bool:
        """Return whether the connection is closed."""
        return bool(self._stream.closed())

    def close(self) -> None:
        """Do nothing; the connection closes in the turn of its answers."""

    def set_close_callback(self, callback: Callable[[], None] | None) -> None:
        """Do nothing; the connection itself notices a close."""

    def write(self, data: bytes) -> 'asyncio.Future[None]':
        """Pass on an interim response.

        The parser's own refusals are dropped: the connection refuses malformed
        requests itself, in their turn.
        """
        if data.startswith(_INTERIM):
            self._on_interim(data)
        written = asyncio.get_running_loop().create_future()
        written.set_result(None)
        return written

    def read_until_regex(
        self, regex: bytes, max_bytes: int | None = None
    ) -> Awaitable[bytes]:
        """Read a request head, up to the end of the first match.

        The parser waits for a head from the end of the request before it, which
        may be long ago; so the limit is the one in force as the head arrives,
        and not `max_bytes`.

        Raises:
            HTTPInputError: There is none within the maximum size of a head.
        """
        pattern = re.compile(regex)
        return self._read_found(
            functools.partial(self._buffer.end_of_match, pattern),
            self._max_head_bytes,
        )

    def read_until(
        self, delimiter: bytes, max_bytes: int | None = None
    ) -> Awaitable[bytes]:
        """Read up to the end of a delimiter.

        Raises:
            HTTPInputError: There is none within the given number of bytes.
        """
        return self._read_found(
            functools.partial(self._buffer.end_of, delimiter),
            lambda: max_bytes,
        )

    def read_bytes(
        self, num_bytes: int, partial: bool = False
    ) -> Awaitable[bytes]:
        """Read a number of bytes, or up to that number if partial."""
        if not self._buffer and self._filling is None:
            self._direct = asyncio.ensure_future(
                self._stream.read_bytes(num_bytes, partial=partial)
            )
            return self._direct

        def find() -> int:
            available = len(self._buffer)
            if available < num_bytes:
                return available if partial else 0
            return num_bytes

        return self._read_found(find, lambda: None)

    def watch(self) -> None:
        """Notice a caller that closes while nothing is parsed."""
        self._is_watching = True
        self._watch_on()

    def unwatch(self) -> None:
        """Stop watching; the next read notices a close."""
        self._is_watching = False
        if self._poll is not None:
            self._poll.cancel()
            self._poll = None

    def discard(self) -> None:
        """Read and drop all that the caller still sends."""
        self._is_discarding = True
        self._buffer.clear()
        self.watch()

    def _read_found(
        self, find: Callable[[], int], limit: Callable[[], int | None]
    ) -> Awaitable[bytes]:
        end = find() if self._buffer else 0
        if not end:
            return self._fill_until(find, limit)
        # A future that is done lets the parser join small chunks of a body.
        taken = asyncio.get_running_loop().create_future()
        try:
            taken.set_result(self._take(end, limit()))
        except HTTPInputError as error:
            taken.set_exception(error)
        return taken

    async def _fill_until(
        self, find: Callable[[], int], limit: Callable[[], int | None]
    ) -> bytes:
        # Bytes may have come since the read was requested: the parser passes on
        # what it has before it waits, and the connection watches meanwhile.
        end = find()
        while not end:
            max_bytes = limit()
            if max_bytes is not None and len(self._buffer) > max_bytes:
                raise HTTPInputError(f'no end within {max_bytes} bytes')
            self._searched = len(self._buffer)
            await self._fill()
            if self._is_discarding:
                raise HTTPInputError('the connection ends')
            end = find()
        return self._take(end, limit())

    def _take(self, end: int, max_bytes: int | None) -> bytes:
        if max_bytes is not None and end > max_bytes:
            raise HTTPInputError(f'no end within {max_bytes} bytes')
        self._searched = 0
        return self._buffer.take(end)

    async def _fill(self) -> None:
        if self._filling is None:
            self._start_filling()
        filling = self._filling
        if filling is not None:
            await filling
            # A read that was done already may not have called back yet.
            self._on_filled(filling)

    def _start_filling(self) -> None:
        """Start a read; bytes that are there already are added at once."""
        future = asyncio.ensure_future(
            self._stream.read_bytes(READ_AHEAD_BYTES, partial=True)
        )
        if future.done():
            self._add(future)
            return
        self._filling = future
        future.add_done_callback(self._on_filled)

    def _on_filled(self, filled: 'asyncio.Future[bytes]') -> None:
        if self._filling is not filled:
            return
        self._filling = None
        self._add(filled)
        self._watch_on()

    def _add(self, filled: 'asyncio.Future[bytes]') -> None:
        if filled.cancelled() or filled.exception() is not None:
            # The connection is closed, which its owner is told of.
            return
        if not self._is_discarding:
            self._buffer.append(filled.result())

    def _watch_on(self) -> None:
        if not self._is_watching or self._is_reading or self._poll is not None:
            return
        loop = asyncio.get_running_loop()
        if len(self._buffer) >= READ_AHEAD_BYTES:
            self._poll = loop.call_later(
                PEER_CLOSE_POLL_SECONDS, self._check_peer
            )
            return
        try:
            self._start_filling()
        except OSError:
            # The stream has closed, and its close callback is called.
            return
        if self._filling is None:
            # In its own turn of the loop, as a caller may send without end.
            loop.call_soon(self._watch_on)

    def _check_peer(self) -> None:
        self._poll = None
        if self._stream.closed():
            return
        # A close behind unread bytes cannot be noticed by reading.
        poll = select.poll()
        poll.register(self._stream.socket, select.POLLRDHUP)
        if poll.poll(0):
            self._stream.close()
            return
        self._watch_on()
