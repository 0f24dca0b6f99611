"""The last restore of the store from a copy, and how long ago it was.

A restored store lacks what was written last, until its writers write it again.
For as long as that takes, what hosts knew before stays in force.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

# Four heartbeats of an upstream, as long as its entry outlasts it. The store
# drops by then what it lists of upstreams that had left.
_USUAL_SECONDS: Final = 6.0
# A store in its first era was never restored.
FIRST_ERA: Final = 1


def _usual_period() -> float:
    return _USUAL_SECONDS


@dataclass(slots=True)
class Restoration:
    """The last restore of the store that a host knows of.

    Attributes:
        clock: Monotonic time in seconds.
        period: Returns how long writers may take to write again, in seconds.
        era: The latest era that is known; 0 for none.
        began_at: When the first host noticed the restore; None if this host
            knows of none, or started after it and has not been told.
        reported_complete_era: The latest era in which a host found the store
            complete again, as stated in the hosts' objects; 0 for none.
        is_assumed: Whether the restore is assumed to be recent. A host that
            starts while no other is running learns the store's era, but not
            when it began.
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
        """Whether what the store lacks may still be written again."""
        age = self.age
        return age is not None and age < self.period()

    def enter(self, era: int) -> None:
        """Note an era in which the store, or another host, has spoken."""
        if era <= self.era:
            return
        # Learning an era for the first time does not indicate a restore.
        self.began_at = self.clock() if self.era else None
        self.era = era

    def note_complete_era(self, era: int) -> None:
        """Note an era in which a host found the store complete again."""
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
        """Take in what another host tells of the restore.

        The earliest notice counts. A host that has the store back late would
        otherwise keep for the whole period what the others gave up long ago.

        Args:
            era: The era that began with it.
            age: Seconds since the other host knows of it.
        """
        self.enter(era)
        if era < self.era:
            return
        told = self.clock() - age
        known = self.began_at
        self.began_at = told if known is None else min(known, told)
