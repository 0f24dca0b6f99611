"""Limits the memory that a gateway uses for request bodies and answers.

A body is kept until its request has ended, so that a request which an upstream
rejects can be sent to the next. Without a limit, about a hundred slow uploads
exhaust the memory of a small host, and the process is killed. An answer is kept
until it has been passed on; upstreams may send answers without an end.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from wardstair.connection.answer_memory import Reservation

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
# Part of the capacity that only answers may use: a request that has run must
# not lose its answer because others hold bodies.
ANSWERS_DIVISOR = 8
# Bytes of an answer that are taken beyond the capacity as well: long answers
# that fill it must not cost the short ones of requests that have run.
SHORT_ANSWER_BYTES = 8192


@dataclass(slots=True)
class _Waiter:
    """An answer that waits for memory."""

    lease: 'MemoryLease'
    length: int
    on_made: Callable[[], None]

    @property
    def lacking_bytes(self) -> int:
        """Bytes of memory that it waits for."""
        if self.lease.is_released:
            return 0
        return memory_of(self.length) - memory_of(self.lease.length)


@dataclass(slots=True)
class BodyCapacity:
    """Capacity for request bodies and answers; one per process.

    Attributes:
        max_bytes: Bytes of memory that may be held.
        held_bytes: Bytes of memory held at present.
    """

    max_bytes: int
    held_bytes: int = 0
    _waiters: deque[_Waiter] = field(default_factory=deque)

    @property
    def is_short(self) -> bool:
        """Whether all capacity is in use."""
        return self.held_bytes >= self.max_bytes

    @property
    def max_body_bytes(self) -> int:
        """Bytes of memory that request bodies may take up."""
        return self.max_bytes - self.max_bytes // ANSWERS_DIVISOR

    def grow_body(self, length: int, to_length: int) -> bool:
        """Reserve capacity for a request body; False if it is too little.

        Answers that wait for memory come first, as their requests have run.

        Args:
            length: Its bytes that are counted so far.
            to_length: Its bytes that are counted afterwards.
        """
        amount = memory_of(to_length) - memory_of(length)
        awaited = sum(one.lacking_bytes for one in self._waiters)
        return self._reserve(amount, self.max_body_bytes - awaited)

    def grow_answer(self, length: int, to_length: int) -> bool:
        """Reserve capacity for an answer; False if it is too little.

        Args:
            length: Its bytes that are counted so far.
            to_length: Its bytes that are counted afterwards.
        """
        amount = memory_of(to_length) - memory_of(length)
        return self._reserve(amount, self.max_bytes)

    def wait(
        self, lease: 'MemoryLease', length: int, on_made: Callable[[], None]
    ) -> None:
        """Reserve capacity for an answer once there is enough.

        Args:
            lease: Lease of the answer.
            length: Length of the answer in bytes.
            on_made: Called once it is reserved.
        """
        self._waiters.append(_Waiter(lease, length, on_made))

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
        while self._waiters:
            first = self._waiters[0]
            if not (first.lease.is_released or first.lease.grow(first.length)):
                return
            self._waiters.popleft()
            if not first.lease.is_released:
                first.on_made()

    def _reserve(self, amount: int, most: int) -> bool:
        if amount > 0 and self.held_bytes + amount > most:
            return False
        self.held_bytes += amount
        return True


@dataclass(slots=True)
class MemoryLease:
    """The part of the capacity that one body or answer takes up.

    Attributes:
        capacity: The capacity of the process.
        length: Bytes of the body or answer that are counted.
        received: Bytes of it that are received.
        is_released: Whether it was passed on or dropped.
        on_short: Called before it waits for memory, to free what its request
            no longer needs.
    """

    capacity: BodyCapacity
    length: int = 0
    received: int = 0
    is_released: bool = False
    on_short: Callable[[], None] | None = None

    def take(self, amount: int) -> bool:
        """Reserve capacity for received bytes; return False if none is left.

        Args:
            amount: Number of bytes.
        """
        if self.is_released:
            return False
        received = self.received + amount
        if not self.grow(received):
            if received > SHORT_ANSWER_BYTES:
                return False
            self.hold(received - self.length)
        self.received = received
        return True

    def take_body(self, amount: int) -> bool:
        """Reserve capacity for a request body; False if it is too little.

        Args:
            amount: Its length in bytes.
        """
        if not self.capacity.grow_body(self.length, self.length + amount):
            return False
        self.length += amount
        return True

    def grow(self, length: int) -> bool:
        """Reserve capacity for a length in all; False if it is too little."""
        if length <= self.length:
            return True
        if not self.capacity.grow_answer(self.length, length):
            return False
        self.length = length
        return True

    def reserve(self, amount: int, on_made: Callable[[], None]) -> Reservation:
        """Reserve capacity for the bytes of an answer that are still to come.

        Args:
            amount: Their number.
            on_made: Called once it is reserved, if it has to wait.
        """
        length = self.received + amount
        if self.grow(length):
            return Reservation.made
        if self.on_short is not None:
            self.on_short()
            if self.grow(length):
                return Reservation.made
        if memory_of(length) > self.capacity.max_bytes:
            return Reservation.refused
        self.capacity.wait(self, length, on_made)
        return Reservation.waiting

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
        held = memory_of(self.length)
        self.length = 0
        self.capacity.release(held)


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
