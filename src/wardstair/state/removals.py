"""Log of removed upstreams, for hosts that request changes."""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from wardstair.state.revision import NO_REVISION, Revision

# A host that lacks more removals receives the whole list.
MAX_REMOVALS = 512
# Listings after the first one are rare: the store has dropped its history, or
# hosts list different upstreams.
MAX_GAPS = 8


@dataclass(frozen=True, slots=True)
class Removal:
    """The removal of an upstream.

    Attributes:
        revision: Revision of the store by which it had been removed.
        name: Name of the upstream.
        born: The removed incarnation, as in `UpstreamEntry.born`; 0 if it is
            not known.
        is_listed: Whether the store still listed it when a host found that it
            had ended.
    """

    revision: Revision
    name: str
    born: int = 0
    is_listed: bool = False


@dataclass(frozen=True, slots=True)
class Gap:
    """Revisions between two states of a host, of which it read a listing.

    The host does not know which upstreams were registered and removed in
    between. A host whose revision lies inside may know some of them.

    Attributes:
        after: Revision of the host before the listing.
        before: Revision of the listing.
    """

    after: Revision
    before: Revision

    def contains(self, revision: Revision) -> bool:
        """Return whether a revision lies inside."""
        return self.after < revision < self.before


@dataclass(slots=True)
class RemovalLog:
    """Removals since some revision, one for each name.

    The log also holds removals of upstreams that this host never knew: another
    host may have read the registration of such an upstream, and this host may
    be the one that tells it of the removal.
    """

    # By name, in the order of the last update.
    _removals: dict[str, Removal] = field(default_factory=dict)
    _complete_from: Revision = NO_REVISION
    # The oldest one first.
    _gaps: deque[Gap] = field(default_factory=deque)

    @property
    def incarnations(self) -> Mapping[str, int]:
        """The last removed incarnation of each name."""
        return {one.name: one.born for one in self._removals.values()}

    def begin(self, revision: Revision) -> None:
        """Record that some removals before a revision may be unknown."""
        self._complete_from = max(self._complete_from, revision)

    def note_gap(self, gap: Gap) -> None:
        """Record that removals inside a gap may be unknown."""
        if gap in self._gaps:
            return
        self._gaps.append(gap)
        if len(self._gaps) > MAX_GAPS:
            self.begin(self._gaps.popleft().before)

    def gaps_after(self, revision: Revision) -> tuple[Gap, ...]:
        """Return the gaps that end after a revision."""
        return tuple(gap for gap in self._gaps if gap.before > revision)

    def note(self, removal: Removal) -> None:
        """Add a removal; drop the oldest one if there are too many.

        A removal that is not newer than the known one of the same name is
        ignored, so that hosts do not repeat a removal to each other forever.
        """
        known = self._removals.get(removal.name)
        if known is not None and known.revision >= removal.revision:
            return
        born = removal.born
        if known is not None:
            born = max(born, self._removals.pop(removal.name).born)
        self._removals[removal.name] = replace(removal, born=born)
        if len(self._removals) > MAX_REMOVALS:
            first = self._removals.pop(next(iter(self._removals))).revision
            self.begin(replace(first, number=first.number + 1))

    def covers(self, revision: Revision, known: Revision) -> bool:
        """Return whether the log has all removals since a revision.

        It does not cover revisions of another era: the other host may have read
        entries that a restored store lacks and that this host has never seen.

        Args:
            revision: Revision up to which the other host knows the store.
            known: Revision up to which this host knows the store.
        """
        is_of_this_era = revision.era == known.era
        is_inside_gap = any(gap.contains(revision) for gap in self._gaps)
        is_complete = revision >= self._complete_from and not is_inside_gap
        return is_of_this_era and is_complete

    def since(self, revision: Revision) -> tuple[Removal, ...]:
        """Return the removals since a revision, the oldest update first."""
        return tuple(
            one for one in self._removals.values() if one.revision >= revision
        )
