"""Non-blocking output of log lines, with a bounded queue.

The reader of the output may be slow or blocked. Lines wait in a queue of
bounded size. Lines that do not fit are dropped and counted; once the queue is
empty again, a line with the number of dropped lines is written.
"""

import asyncio
import os
from collections import deque

# Under a megabyte at about 200 bytes a line.
MAX_QUEUED_LINES = 4000
# Limit of lines per write, so that the event loop is not blocked for long.
LINES_PER_WRITE = 200
# Delay before the next write to a full pipe.
RETRY_SECONDS = 0.05


class LineSink:
    """Writes lines to a file descriptor without blocking."""

    def __init__(
        self, descriptor: int, max_lines: int = MAX_QUEUED_LINES
    ) -> None:
        """Make the descriptor non-blocking.

        Args:
            descriptor: File descriptor to write to.
            max_lines: Maximum number of queued lines.
        """
        self.dropped = 0
        self._descriptor = descriptor
        self._max_lines = max_lines
        self._lines: deque[bytes] = deque()
        self._unreported = 0
        self._is_scheduled = False
        os.set_blocking(descriptor, False)

    @property
    def waiting(self) -> int:
        """Number of queued lines."""
        return len(self._lines)

    def write(self, line: str) -> None:
        """Queue a line, including its newline, or drop it."""
        if len(self._lines) >= self._max_lines:
            self.dropped += 1
            self._unreported += 1
            return
        self._lines.append(line.encode(errors='backslashreplace'))
        self._schedule(0)
        if not self._is_scheduled:
            self.flush()

    def flush(self) -> None:
        """Write queued lines until the descriptor would block."""
        while self._lines:
            batch = [
                self._lines.popleft()
                for _ in range(min(LINES_PER_WRITE, len(self._lines)))
            ]
            if not self._write(b''.join(batch)):
                return
        if self._unreported:
            unreported = self._unreported
            self._unreported = 0
            line = f'event=log-lines-dropped count={unreported}\n'
            self._write(line.encode(errors='backslashreplace'))

    def _write(self, text: bytes) -> bool:
        """Write bytes; queue the rest and return False if not all fit."""
        try:
            written = os.write(self._descriptor, text)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader is gone, so nothing can report the loss.
            self.dropped += text.count(b'\n')
            return True
        if written == len(text):
            return True
        # One entry per line, so that the queue length counts lines.
        rest = text[written:].splitlines(keepends=True)
        self._lines.extendleft(reversed(rest))
        self._schedule(RETRY_SECONDS)
        return False

    def _schedule(self, seconds: float) -> None:
        if self._is_scheduled:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            # The event loop has not started yet or has ended. Lines that do not
            # fit wait for the next one.
            return
        self._is_scheduled = True
        loop.call_later(seconds, self._on_time)

    def _on_time(self) -> None:
        self._is_scheduled = False
        self.flush()
