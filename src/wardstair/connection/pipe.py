"""A bounded byte pipe between the two sides of an exchange.

One side may be a callback that must not block, as in libcurl, and the other a
coroutine. The pipe buffers no more than `limit` bytes plus one chunk, whatever
the size of the body.
"""

import asyncio
from collections import deque
from collections.abc import Callable

PIPE_BYTES = 262144


class PipeBroken(Exception):
    """The other side failed before the body was complete."""


def _ignore() -> None:
    """Do nothing; the default callback."""


class Pipe:
    """A byte stream with back pressure on the writer."""

    def __init__(self, limit: int = PIPE_BYTES) -> None:
        """Create an empty pipe.

        Args:
            limit: Number of buffered bytes from which the writer has to wait.
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
        """Number of bytes read so far."""
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
            PipeBroken: The reader has failed.
        """
        while self._size >= self._limit and not self._broken:
            self._changed.clear()
            await self._changed.wait()
        if self._broken:
            raise PipeBroken
        self._append(chunk)

    def end(self) -> None:
        """Mark the body as complete."""
        self._ended = True
        self._wake_reader()

    def fail(self) -> None:
        """Break the pipe; either side may call it."""
        if self._broken:
            return
        self._broken = True
        self._chunks.clear()
        self._size = 0
        self._wake_reader()
        self.on_writable()

    def take(self, max_bytes: int) -> bytes | None:
        """Read without waiting.

        Args:
            max_bytes: Maximum number of bytes to return.

        Returns:
            The bytes read; empty at the end of the body, None if no byte is
            available yet.

        Raises:
            PipeBroken: The pipe is broken.
        """
        if self._broken:
            raise PipeBroken
        if not self._chunks:
            return b'' if self._ended else None
        chunk = self._chunks.popleft()
        if len(chunk) > max_bytes:
            self._chunks.appendleft(chunk[max_bytes:])
            chunk = chunk[:max_bytes]
        self._size -= len(chunk)
        self._taken += len(chunk)
        if self._size < self._limit:
            self._changed.set()
            self.on_writable()
        return chunk

    async def get(self, max_bytes: int = PIPE_BYTES) -> bytes:
        """Read, waiting for bytes; return b'' at the end of the body.

        Raises:
            PipeBroken: The pipe is broken.
        """
        while True:
            chunk = self.take(max_bytes)
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
