"""Which upstreams were taken out, for hosts that ask what has changed."""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from wardstair.state.revision import NO_REVISION, Revision

# One that asks from further back gets the whole list.
MAX_REMOVALS = 512


@dataclass(frozen=True, slots=True)
class Removal:
    """An upstream that was taken out.

    Attributes:
        revision: Of the store, up to which it had been removed.
        name: Its name.
        born: The life of it that ended, as in `UpstreamEntry.born`.
    """

    revision: Revision
    name: str
    born: int


@dataclass(slots=True)
class RemovalLog:
    """Removals, oldest first, from some revision on."""

    _removals: deque[Removal] = field(default_factory=deque)
    _complete_from: Revision = NO_REVISION

    @property
    def incarnations(self) -> Mapping[str, int]:
        """The life that was removed last, by name."""
        return {one.name: one.born for one in self._removals}

    def begin(self, revision: Revision) -> None:
        """Note that removals before a revision are not known."""
        self._complete_from = revision

    def note(self, removal: Removal) -> None:
        """Add a removal; the oldest one goes if there are too many."""
        self._removals.append(removal)
        if len(self._removals) > MAX_REMOVALS:
            first = self._removals.popleft().revision
            self._complete_from = replace(first, number=first.number + 1)

    def covers(self, revision: Revision, known: Revision) -> bool:
        """Return whether all removals since a revision are here.

        Those since a revision of another era are not: that host may have read
        what a restored store lacks and this host has never seen.

        Args:
            revision: From which on.
            known: Up to which this host knows the store.
        """
        is_of_this_era = revision.era == known.era
        return is_of_this_era and revision >= self._complete_from

    def since(self, revision: Revision) -> set[str]:
        """Return the names of those that were removed since a revision."""
        return {one.name for one in self._removals if one.revision >= revision}
