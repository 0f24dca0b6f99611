"""A bounded queue for slots that rejects the least important request first."""

from dataclasses import dataclass, field

MAX_IMPORTANCE = 9


@dataclass(frozen=True)
class Waiter:
    """A request that waits for a slot.

    Attributes:
        number: Identifies the waiter; older requests have lower numbers.
        importance: 0 to 9; higher is more important.
        deadline: Monotonic time in seconds after which an answer is useless.
    """

    number: int
    importance: int
    deadline: float


@dataclass(frozen=True)
class Enqueued:
    """The waiter was added to the queue.

    Attributes:
        displaced: Waiters that were removed to make room; the caller must
            refuse their requests.
    """

    displaced: tuple[Waiter, ...] = ()


@dataclass(frozen=True)
class Rejected:
    """The queue is full, and every waiter in it is at least as important."""


@dataclass
class WaitingQueue:
    """Requests of all workloads that wait for a slot on one host.

    Attributes:
        limit: Largest number of requests that may wait at once.
        waiters: The waiting requests by number, in order of arrival.
    """

    limit: int
    waiters: dict[int, Waiter] = field(default_factory=dict)

    def add(self, waiter: Waiter) -> Enqueued | Rejected:
        """Add a waiter; if the queue is full, displace a less important one."""
        if len(self.waiters) < self.limit:
            self.waiters[waiter.number] = waiter
            return Enqueued()
        if not self.waiters:
            return Rejected()
        # Among waiters of equal importance, displaces the newest: the oldest
        # has waited longest and is closest to being served.
        least_important = min(
            self.waiters.values(),
            key=lambda other: (other.importance, -other.number),
        )
        if least_important.importance >= waiter.importance:
            return Rejected()
        self.waiters.pop(least_important.number)
        self.waiters[waiter.number] = waiter
        return Enqueued(displaced=(least_important,))

    def remove(self, number: int) -> None:
        """Remove a waiter that was served or no longer waits."""
        self.waiters.pop(number, None)

    def by_priority(self) -> list[Waiter]:
        """Return the waiters, most important first, then oldest first."""
        return sorted(
            self.waiters.values(),
            key=lambda waiter: (-waiter.importance, waiter.number),
        )

    def drop_expired(self, now: float, time_needed: float) -> list[Waiter]:
        """Remove and return waiters that cannot be served by their deadline.

        Args:
            now: Monotonic time in seconds.
            time_needed: Expected seconds from getting a slot to the answer.
        """
        expired = [
            waiter
            for waiter in self.waiters.values()
            if waiter.deadline < now + time_needed
        ]
        for waiter in expired:
            self.waiters.pop(waiter.number)
        return expired
