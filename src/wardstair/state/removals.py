"""Log of removed upstreams, for hosts that request changes."""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from wardstair.state.revision import NO_REVISION, Revision

# A host that lacks more removals receives the whole list.
MAX_REMOVALS = 512


@dataclass(frozen=True, slots=True)
class Removal:
    """The removal of an upstream.

    Attributes:
        revision: Revision of the store by which it had been removed.
        name: Name of the upstream.
        born: The removed incarnation, as in `UpstreamEntry.born`.
    """

    revision: Revision
    name: str
    born: int


@dataclass(slots=True)
class RemovalLog:
    """Removals since some revision, oldest first."""

    _removals: deque[Removal] = field(default_factory=deque)
    _complete_from: Revision = NO_REVISION

    @property
    def incarnations(self) -> Mapping[str, int]:
        """The last removed incarnation of each name."""
        return {one.name: one.born for one in self._removals}

    def begin(self, revision: Revision) -> None:
        """Record that removals before a revision are unknown."""
        self._complete_from = revision

    def note(self, removal: Removal) -> None:
        """Add a removal; drop the oldest one if there are too many."""
        self._removals.append(removal)
        if len(self._removals) > MAX_REMOVALS:
            first = self._removals.popleft().revision
            self._complete_from = replace(first, number=first.number + 1)

    def covers(self, revision: Revision, known: Revision) -> bool:
        """Return whether the log has all removals since a revision.

        It does not cover revisions of another era: the other host may have read
        entries that a restored store lacks and that this host has never seen.

        Args:
            revision: Revision up to which the other host knows the store.
            known: Revision up to which this host knows the store.
        """
        is_of_this_era = revision.era == known.era
        return is_of_this_era and revision >= self._complete_from

    def since(self, revision: Revision) -> set[str]:
        """Return the names of upstreams removed since a revision."""
        return {one.name for one in self._removals if one.revision >= revision}
