"""Bodies kept as segments, which are sent and hashed without being joined."""

from collections.abc import Iterable, Iterator, Sequence

# Largest body that is joined, and largest segment that short pieces form.
SEGMENT_BYTES = 65536
# Shorter pieces are joined: each object takes up some memory of its own, and a
# body may arrive in pieces of one byte.
MIN_PIECE_BYTES = 8192
Piece = bytes | bytearray


class Segments:
    """A long body; immutable."""

    __slots__ = ('_length', '_pieces')

    def __init__(self, pieces: Iterable[Piece]) -> None:
        """Create a body.

        Args:
            pieces: Its segments, which must not change any more.
        """
        self._pieces = tuple(pieces)
        self._length = sum(map(len, self._pieces))

    @property
    def pieces(self) -> Sequence[Piece]:
        """The segments in order."""
        return self._pieces

    def __len__(self) -> int:
        """Return the number of bytes."""
        return self._length

    def __bytes__(self) -> bytes:
        """Return a copy of all bytes."""
        return b''.join(self._pieces)


Body = bytes | Segments


def segments_of(body: Body) -> Sequence[Piece]:
    """Return the segments of a body."""
    match body:
        case Segments(pieces=pieces):
            return pieces
    return (body,) if body else ()


def body_of(pieces: Iterable[Piece]) -> Body:
    """Return a body that consists of given pieces; a short one is joined."""
    body = Segments(pieces)
    return body if len(body) > SEGMENT_BYTES else bytes(body)


class BodyBuffer:
    """Collects a body as it arrives."""

    __slots__ = ('_pieces', '_tail')

    def __init__(self) -> None:
        """Create an empty buffer."""
        self._pieces: list[Piece] = []
        # The last segment while short pieces may be added to it.
        self._tail: bytearray | None = None

    def __bool__(self) -> bool:
        """Return whether there are any bytes."""
        return bool(self._pieces)

    def append(self, piece: Piece) -> None:
        """Add bytes at the end."""
        pieces = self._pieces
        if len(piece) >= MIN_PIECE_BYTES or not pieces:
            pieces.append(piece)
            self._tail = None
            return
        tail = self._tail
        if tail is None and len(pieces[-1]) < MIN_PIECE_BYTES:
            tail = bytearray(pieces.pop())
            pieces.append(tail)
        if tail is None or len(tail) + len(piece) > SEGMENT_BYTES:
            tail = bytearray()
            pieces.append(tail)
        tail += piece
        self._tail = tail

    def take(self) -> Body:
        """Remove and return the body."""
        pieces = self._pieces
        self.clear()
        return bytes(pieces[0]) if len(pieces) == 1 else body_of(pieces)

    def clear(self) -> None:
        """Drop all bytes."""
        self._pieces = []
        self._tail = None


def split(body: Body) -> Iterator[Piece]:
    """Return the bytes of a body in pieces of limited size.

    Args:
        body: The body.

    Yields:
        At most `SEGMENT_BYTES` each.
    """
    for segment in segments_of(body):
        if len(segment) <= SEGMENT_BYTES:
            yield segment
            continue
        for start in range(0, len(segment), SEGMENT_BYTES):
            yield segment[start : start + SEGMENT_BYTES]
