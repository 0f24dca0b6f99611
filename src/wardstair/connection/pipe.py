"""A bounded pipe of bytes between two sides of one exchange.

One side may be a callback that cannot wait (libcurl's), the other a
coroutine. Whatever the body's size, at most `limit` bytes and one chunk more
are held.
"""

import asyncio
from collections import deque
from collections.abc import Callable

PIPE_BYTES = 262144


class PipeBroken(Exception):
    """The other side of the pipe ended before the body was whole."""


def _ignore() -> None:
    """Do nothing; the default of the pipe's callbacks."""


class Pipe:
    """Bytes in order, with back-pressure towards the writing side."""

    def __init__(self, limit: int = PIPE_BYTES) -> None:
        """Make an empty pipe.

        Args:
            limit: Bytes above which the writing side has to wait.
        """
        self.on_readable: Callable[[], None] = _ignore
        self.on_writable: Callable[[], None] = _ignore
        self._limit = limit
        self._chunks: deque[bytes] = deque()
        self._size = 0
        self._taken = 0
        self._ended = False
        self._broken = False
        self._changed = asyncio.Event()

    @property
    def taken(self) -> int:
        """Bytes that have been read so far."""
        return self._taken

    def offer(self, chunk: bytes) -> bool:
        """Write without waiting; return False if the pipe is full."""
        if self._size >= self._limit:
            return False
        self._append(chunk)
        return True

    async def put(self, chunk: bytes) -> None:
        """Write, waiting while the pipe is full.

        Raises:
            PipeBroken: The reading side gave up.
        """
        while self._size >= self._limit and not self._broken:
            self._changed.clear()
            await self._changed.wait()
        if self._broken:
            raise PipeBroken
        self._append(chunk)

    def end(self) -> None:
        """Mark the body as whole."""
        self._ended = True
        self._wake_reader()

    def fail(self) -> None:
        """Give up from either side."""
        if self._broken:
            return
        self._broken = True
        self._chunks.clear()
        self._size = 0
        self._wake_reader()
        self.on_writable()

    def take(self, most: int) -> bytes | None:
        """Read without waiting.

        Args:
            most: Most bytes to return.

        Returns:
            Bytes, empty at the end of the body, or None if there are none
            yet.

        Raises:
            PipeBroken: The writing side gave up.
        """
        if self._broken:
            raise PipeBroken
        if not self._chunks:
            return b'' if self._ended else None
        chunk = self._chunks.popleft()
        if len(chunk) > most:
            self._chunks.appendleft(chunk[most:])
            chunk = chunk[:most]
        self._size -= len(chunk)
        self._taken += len(chunk)
        if self._size < self._limit:
            self._changed.set()
            self.on_writable()
        return chunk

    async def get(self, most: int = PIPE_BYTES) -> bytes:
        """Read, waiting for bytes; empty at the end of the body.

        Raises:
            PipeBroken: The writing side gave up.
        """
        while True:
            chunk = self.take(most)
            if chunk is not None:
                return chunk
            self._changed.clear()
            await self._changed.wait()

    def _append(self, chunk: bytes) -> None:
        if not chunk:
            return
        self._chunks.append(chunk)
        self._size += len(chunk)
        self._wake_reader()

    def _wake_reader(self) -> None:
        self._changed.set()
        self.on_readable()
