"""Buffer of the bytes that a caller has sent and that are not parsed yet."""

import re


class ReadBuffer:
    """Bytes that are appended at the end and taken from the beginning."""

    __slots__ = ('_data', '_start')

    def __init__(self) -> None:
        """Create an empty buffer."""
        self._data = b''
        # Bytes before it are taken; they are dropped when bytes are added.
        self._start = 0

    def __len__(self) -> int:
        """Return the number of bytes."""
        return len(self._data) - self._start

    def append(self, received: bytes) -> None:
        """Add bytes at the end."""
        # Without a copy if the buffer is empty.
        self._data = self._data[self._start :] + received
        self._start = 0

    def end_of_match(self, pattern: 're.Pattern[bytes]') -> int:
        """Return the number of bytes up to the end of a match; 0 for none."""
        found = pattern.search(self._data, self._start)
        return found.end() - self._start if found else 0

    def end_of(self, delimiter: bytes) -> int:
        """Return the number of bytes up to its end; 0 if it is missing."""
        at = self._data.find(delimiter, self._start)
        return 0 if at < 0 else at + len(delimiter) - self._start

    def take(self, amount: int) -> bytes:
        """Remove and return a number of bytes."""
        end = self._start + amount
        taken = self._data[self._start : end]
        if end == len(self._data):
            self.clear()
        else:
            self._start = end
        return taken

    def clear(self) -> None:
        """Drop all bytes."""
        self._data = b''
        self._start = 0
