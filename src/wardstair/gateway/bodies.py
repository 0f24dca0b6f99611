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
# Share of a body's length that the allocator takes up besides it.
OVERHEAD_DIVISOR = 8
# Most bytes of a body that are in memory a second time: in the read buffer of
# one connection and the write buffer of another.
TRANSFER_BYTES = 262144
# Capacity on any host, however small.
MIN_BYTES = 4194304


@dataclass(slots=True)
class BodyCapacity:
    """Capacity for request bodies and answers; one per process.

    Attributes:
        max_bytes: Bytes of memory that may be held.
        held_bytes: Bytes of memory held at present.
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

    def grow(self, length: int, to_length: int) -> bool:
        """Reserve capacity for a body that grows; False if it is too little.

        Args:
            length: Its bytes that are counted so far.
            to_length: Its bytes that are counted afterwards.
        """
        return self.reserve(memory_of(to_length) - memory_of(length))

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
class MemoryLease:
    """The part of the capacity that one body or answer takes up.

    Attributes:
        capacity: The capacity of the process.
        length: Bytes of the body or answer that are counted.
        is_released: Whether it was passed on or dropped.
    """

    capacity: BodyCapacity
    length: int = 0
    is_released: bool = False

    def take(self, amount: int) -> bool:
        """Reserve capacity for received bytes; return False if none is left.

        Args:
            amount: Number of bytes.
        """
        grown = self.length + amount
        if self.is_released or not self.capacity.grow(self.length, grown):
            return False
        self.length = grown
        return True

    def hold(self, amount: int) -> None:
        """Count bytes that are held in any case, beyond the capacity as well.

        Args:
            amount: Number of bytes.
        """
        grown = self.length + amount
        self.capacity.hold(memory_of(grown) - memory_of(self.length))
        self.length = grown

    def release(self) -> None:
        """Release the capacity; nothing more can be taken up."""
        self.is_released = True
        self.capacity.release(memory_of(self.length))
        self.length = 0


def memory_of(length: int) -> int:
    """Return the memory that a body takes up while it is passed on.

    Args:
        length: Its length in bytes.

    Returns:
        Bytes.
    """
    return length + length // OVERHEAD_DIVISOR + min(length, TRANSFER_BYTES)


def body_capacity(memory_bytes: int) -> BodyCapacity:
    """Return the capacity for bodies of a process.

    Args:
        memory_bytes: Memory that the process may use.
    """
    return BodyCapacity(max(MIN_BYTES, memory_bytes - BASE_BYTES))
