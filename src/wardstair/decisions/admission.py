"""Bounded waiting for a slot, with the least important refused first."""

from dataclasses import dataclass, field

IMPORTANCE_MOST = 9


@dataclass(frozen=True)
class Waiter:
    """A request that waits for a slot.

    Attributes:
        number: Identifies the waiter; older requests have lower numbers.
        importance: 0 to 9, the higher the more important.
        deadline: Monotonic time in seconds after which an answer is useless.
    """

    number: int
    importance: int
    deadline: float


@dataclass(frozen=True)
class Enqueued:
    """The waiter is in the queue; those displaced must be refused."""

    displaced: tuple[Waiter, ...] = ()


@dataclass(frozen=True)
class Rejected:
    """The queue is full of requests at least as important."""


@dataclass
class WaitingQueue:
    """Requests of all workloads that wait on one host.

    Attributes:
        limit: Most requests that wait at once.
        waiters: Those that wait, in order of arrival.
    """

    limit: int
    waiters: dict[int, Waiter] = field(default_factory=dict)

    def add(self, waiter: Waiter) -> Enqueued | Rejected:
        """Admit a waiter, displacing a less important one if need be."""
        if len(self.waiters) < self.limit:
            self.waiters[waiter.number] = waiter
            return Enqueued()
        if not self.waiters:
            return Rejected()
        # Among equals the newest goes: the oldest has waited longest and
        # is nearest to being served.
        least = min(
            self.waiters.values(),
            key=lambda other: (other.importance, -other.number),
        )
        if least.importance >= waiter.importance:
            return Rejected()
        self.waiters.pop(least.number)
        self.waiters[waiter.number] = waiter
        return Enqueued(displaced=(least,))

    def remove(self, number: int) -> None:
        """Remove a waiter that was served or gave up."""
        self.waiters.pop(number, None)

    def by_priority(self) -> list[Waiter]:
        """Return the waiters, most important first, then oldest first."""
        return sorted(
            self.waiters.values(),
            key=lambda waiter: (-waiter.importance, waiter.number),
        )

    def drop_expired(self, now: float, time_needed: float) -> list[Waiter]:
        """Remove and return those that can no longer be served in time.

        Args:
            now: Monotonic time in seconds.
            time_needed: Expected seconds from slot to answer.
        """
        late = [
            waiter
            for waiter in self.waiters.values()
            if waiter.deadline < now + time_needed
        ]
        for waiter in late:
            self.waiters.pop(waiter.number)
        return late
