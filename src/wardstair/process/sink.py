"""Standard output for log lines: bounded, and never waited for.

Whoever reads the lines may be slow or stuck. Lines wait in a queue of bounded
size; what does not fit is dropped and counted, and the next line that gets
through is followed by one that tells how many are missing.
"""

import asyncio
import os
from collections import deque

# At some 200 bytes a line this is under a megabyte.
MAX_QUEUED_LINES = 4000
# Lines written at once, so that one turn of the event loop stays short.
LINES_PER_WRITE = 200
# How soon a reader that was full is tried again.
RETRY_SECONDS = 0.05


class LineSink:
    """Writes lines to a file descriptor without waiting for its reader."""

    def __init__(
        self, descriptor: int, max_lines: int = MAX_QUEUED_LINES
    ) -> None:
        """Prepare the descriptor, which is made non-blocking.

        Args:
            descriptor: Where lines go.
            max_lines: Most lines that wait.
        """
        self.dropped = 0
        self._descriptor = descriptor
        self._max_lines = max_lines
        self._lines: deque[bytes] = deque()
        self._untold = 0
        self._is_scheduled = False
        os.set_blocking(descriptor, False)

    @property
    def waiting(self) -> int:
        """Lines that wait for the reader."""
        return len(self._lines)

    def write(self, line: str) -> None:
        """Take a line with its end; it is written soon or dropped."""
        if len(self._lines) >= self._max_lines:
            self.dropped += 1
            self._untold += 1
            return
        self._lines.append(line.encode())
        self._schedule(0)

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self._lines:
            batch = [
                self._lines.popleft()
                for _ in range(min(LINES_PER_WRITE, len(self._lines)))
            ]
            if not self._write(b''.join(batch)):
                return
        if self._untold:
            untold = self._untold
            self._untold = 0
            line = f'event=log-lines-dropped count={untold}\n'
            self._write(line.encode())

    def _write(self, text: bytes) -> bool:
        """Write bytes; keep what did not fit and return False then."""
        try:
            written = os.write(self._descriptor, text)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader is gone for good: there is nobody to tell.
            self.dropped += text.count(b'\n')
            return True
        if written == len(text):
            return True
        # One entry a line, so that what waits stays counted.
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
            # Before the loop runs and after it has ended.
            self.flush()
            return
        self._is_scheduled = True
        loop.call_later(seconds, self._on_time)

    def _on_time(self) -> None:
        self._is_scheduled = False
        self.flush()
