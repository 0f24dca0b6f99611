"""Reads CBOR from segments; long byte strings are taken over, not copied."""

from collections.abc import Iterable

from wardstair.connection.segments import Body, BodyBuffer, Piece

_MAJOR_TYPE_SHIFT = 5
_ARGUMENT_MASK = 0x1F
# Arguments from this one on tell how many bytes hold the value.
_FIRST_LONG_ARGUMENT = 24
_LAST_LONG_ARGUMENT = 27


class SegmentReader:
    """A file-like object; `CBORDecoder` reads just what it needs from it."""

    def __init__(self, segments: Iterable[Piece]) -> None:
        """Create a reader.

        Args:
            segments: The bytes to read.
        """
        self._segments = iter(segments)
        self._current: Piece = b''
        self._start = 0

    def readable(self) -> bool:
        """Return whether it can be read."""
        return True

    def seekable(self) -> bool:
        """Return whether it can be read again; the decoder then reads ahead."""
        return False

    def read(self, amount: int) -> bytes:
        """Return a number of bytes, fewer at the end."""
        found = b''
        while len(found) < amount:
            piece = self._next(amount - len(found))
            if not piece:
                break
            found += piece
        return found

    def read_length(self, major_type: int) -> int:
        """Return the length in the head of a CBOR item.

        Args:
            major_type: The type that the item must have.

        Raises:
            ValueError: It has another type or no definite length.
        """
        first = self.read(1)
        if not first or first[0] >> _MAJOR_TYPE_SHIFT != major_type:
            raise ValueError(f'expected an item of major type {major_type}')
        argument = first[0] & _ARGUMENT_MASK
        if argument < _FIRST_LONG_ARGUMENT:
            return argument
        if argument > _LAST_LONG_ARGUMENT:
            raise ValueError('expected an item of definite length')
        return int.from_bytes(self.read(1 << argument - _FIRST_LONG_ARGUMENT))

    def take(self, amount: int) -> Body:
        """Return a number of bytes.

        Raises:
            ValueError: There are fewer.
        """
        buffer = BodyBuffer()
        left = amount
        while left:
            piece = self._next(left)
            if not piece:
                raise ValueError(f'{left} of {amount} bytes are missing')
            left -= len(piece)
            buffer.append(piece)
        return buffer.take()

    def _next(self, most: int) -> Piece:
        """Return at least one byte of the current segment; none at the end."""
        while self._start == len(self._current):
            following = next(self._segments, None)
            if following is None:
                return b''
            self._current = following
            self._start = 0
        piece = self._current
        if self._start or len(piece) > most:
            piece = piece[self._start : self._start + most]
        self._start += len(piece)
        return piece
