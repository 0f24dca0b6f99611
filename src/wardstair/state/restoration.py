"""The last restore of the store from a backup, and how long ago it was.

A restored store lacks the latest objects until their writers write them again.
Meanwhile the state that hosts knew before the restore remains in force.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

# Four heartbeats of an upstream, after which its entry expires. By then the
# store has dropped the entries of upstreams that had left.
_USUAL_SECONDS: Final = 6.0
# A store in its first era was never restored.
FIRST_ERA: Final = 1


def _usual_period() -> float:
    return _USUAL_SECONDS


@dataclass(slots=True)
class Restoration:
    """The last known restore of the store.

    Attributes:
        clock: Monotonic time in seconds.
        period: Returns how long writers may take to write their objects again,
            in seconds.
        era: The latest known era; 0 for none.
        began_at: Monotonic time at which the first host noticed the restore;
            None if this host knows of no restore, or started after it and has
            not received its age from a peer.
        reported_complete_era: The latest era in which a host found the store
            complete again, as stated in the hosts' objects; 0 for none.
        is_assumed: Whether the restore is assumed to be recent. A host that
            starts while no other is running receives the store's era, but not
            the time at which it began.
    """

    clock: Callable[[], float]
    period: Callable[[], float] = _usual_period
    era: int = 0
    began_at: float | None = None
    reported_complete_era: int = 0
    is_assumed: bool = False

    @property
    def complete_era(self) -> int:
        """The latest era in which the store is known to be complete again."""
        return self.reported_complete_era if self.is_recent else self.era

    @property
    def age(self) -> float | None:
        """Seconds since the restore was noticed; None if that is not known."""
        return None if self.began_at is None else self.clock() - self.began_at

    @property
    def is_recent(self) -> bool:
        """Whether missing objects may still be written again."""
        age = self.age
        return age is not None and age < self.period()

    def enter(self, era: int) -> None:
        """Record the era in a message of the store or of another host."""
        if era <= self.era:
            return
        # The first era that is received does not indicate a restore.
        self.began_at = self.clock() if self.era else None
        self.era = era

    def note_complete_era(self, era: int) -> None:
        """Record an era in which a host found the store complete again."""
        self.reported_complete_era = max(self.reported_complete_era, era)

    def assume_recent(self) -> None:
        """Assume a recent restore unless a host stated this era as complete.

        Has no effect in the first era, or if the time of the restore is known.
        """
        if self.began_at is not None:
            return
        if self.era > max(self.reported_complete_era, FIRST_ERA):
            self.began_at = self.clock()
            self.is_assumed = True

    def merge_peer_report(self, era: int, age: float) -> None:
        """Merge the age of the restore reported by another host.

        The earliest notice counts. Otherwise a host that reconnects to the
        store late would keep state for the whole period that the other hosts
        have already dropped.

        Args:
            era: The era that began with the restore.
            age: Seconds since the first host noticed the restore.
        """
        self.enter(era)
        if era < self.era:
            return
        reported = self.clock() - age
        known = self.began_at
        self.began_at = reported if known is None else min(known, reported)
