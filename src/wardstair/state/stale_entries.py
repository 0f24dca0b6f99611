"""Entries that a restored store lists although their upstreams had left.

The backup is older than the upstream's exit or than the start of its drain.
Such an entry expires in the store for lack of heartbeats; it is not used until
then.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from wardstair.process.log import log_event
from wardstair.state.entries import UpstreamEntry


@dataclass(slots=True)
class StaleEntries:
    """Entries that are ignored while a restore is recent."""

    _entries: dict[str, UpstreamEntry] = field(default_factory=dict)

    @property
    def entries(self) -> tuple[UpstreamEntry, ...]:
        """The stale entries, for other hosts."""
        return tuple(self._entries.values())

    def has(self, name: str) -> bool:
        """Return whether the entry of an upstream is stale."""
        return name in self._entries

    def start_era(
        self,
        listed: Iterable[UpstreamEntry],
        had_left: Callable[[UpstreamEntry], bool],
    ) -> None:
        """Find the stale entries in the first listing of an era.

        Args:
            listed: All entries.
            had_left: Returns whether this host knew that the incarnation of an
                entry had left.
        """
        self._entries = {
            entry.name: entry for entry in listed if had_left(entry)
        }
        for entry in self._entries.values():
            log_event(
                'upstream-doubted',
                upstream=entry.name,
                revision=entry.revision,
            )

    def drop_updated(self, listed: Mapping[str, UpstreamEntry]) -> None:
        """Drop entries that a later listing lacks or has in a newer revision.

        Args:
            listed: All entries by name.
        """
        self._entries = {
            name: entry
            for name, entry in self._entries.items()
            if name in listed and listed[name].revision == entry.revision
        }

    def merge(self, entries: Iterable[UpstreamEntry]) -> None:
        """Add the stale entries of another host."""
        self._entries.update((entry.name, entry) for entry in entries)

    def discard(self, name: str) -> None:
        """Drop an entry that the store has changed or deleted."""
        self._entries.pop(name, None)

    def pop_all(self) -> tuple[UpstreamEntry, ...]:
        """Remove and return all entries."""
        popped = self.entries
        self._entries = {}
        return popped
