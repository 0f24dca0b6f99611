"""Limits the memory that a gateway uses for request bodies and answers.

A body is kept until its request has ended, so that a request which an upstream
rejects can be sent to the next. Without a limit, about a hundred slow uploads
exhaust the memory of a small host, and the process is killed. An answer is kept
until it has been passed on; upstreams may send answers without an end.
"""

from dataclasses import dataclass

# Memory that a process needs apart from bodies: 40 MB with 48 upstreams, 50 MB
# with 184, and a margin.
BASE_BYTES = 83886080
# A body may be in memory three times: as received chunks, joined, and in the
# write buffer of a connection to an upstream.
COPIES_PER_BODY = 3
# Capacity on any host, however small.
MIN_BYTES = 4194304


@dataclass(slots=True)
class BodyCapacity:
    """Capacity for request bodies and answers; one per process.

    Attributes:
        max_bytes: Bytes that may be held.
        held_bytes: Bytes held at present.
    """

    max_bytes: int
    held_bytes: int = 0

    def reserve(self, amount: int) -> bool:
        """Reserve capacity; return False and reserve none if it is too little.

        Args:
            amount: Number of bytes.
        """
        if self.held_bytes + amount > self.max_bytes:
            return False
        self.held_bytes += amount
        return True

    @property
    def is_short(self) -> bool:
        """Whether all capacity is in use."""
        return self.held_bytes >= self.max_bytes

    def hold(self, amount: int) -> None:
        """Count bytes that are held in any case, beyond the capacity as well.

        Args:
            amount: Number of bytes.
        """
        self.held_bytes += amount

    def release(self, amount: int) -> None:
        """Release reserved capacity.

        Args:
            amount: Number of bytes.
        """
        self.held_bytes -= amount


@dataclass(slots=True)
class AnswerLease:
    """The part of the capacity that the answer to one send takes up.

    Attributes:
        capacity: The capacity of the process.
        held_bytes: Bytes held at present.
        is_released: Whether the answer was passed on or dropped.
    """

    capacity: BodyCapacity
    held_bytes: int = 0
    is_released: bool = False

    def take(self, amount: int) -> bool:
        """Reserve capacity for received bytes; return False if none is left.

        Args:
            amount: Number of bytes.
        """
        if self.is_released or not self.capacity.reserve(amount):
            return False
        self.held_bytes += amount
        return True

    def release(self) -> None:
        """Release the capacity; the answer can take up no more."""
        self.is_released = True
        self.capacity.release(self.held_bytes)
        self.held_bytes = 0


def body_capacity(memory_bytes: int) -> BodyCapacity:
    """Return the capacity for bodies of a process.

    Args:
        memory_bytes: Memory that the process may use.
    """
    left = (memory_bytes - BASE_BYTES) // COPIES_PER_BODY
    return BodyCapacity(max(MIN_BYTES, left))
