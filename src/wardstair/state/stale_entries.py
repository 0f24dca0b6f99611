"""Entries that a restored store lists though their upstreams had left.

The copy is older than the upstream's end, or than its word that it drains. Such
an entry goes when the store notices the silence; until then it is not used.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from wardstair.process.log import log_event
from wardstair.state.entries import UpstreamEntry


@dataclass(slots=True)
class StaleEntries:
    """Entries that are not believed while a restore is recent."""

    _entries: dict[str, UpstreamEntry] = field(default_factory=dict)

    @property
    def entries(self) -> tuple[UpstreamEntry, ...]:
        """The entries, for other hosts."""
        return tuple(self._entries.values())

    def has(self, name: str) -> bool:
        """Return whether the entry of a name is not believed."""
        return name in self._entries

    def begin(
        self,
        listed: Iterable[UpstreamEntry],
        had_left: Callable[[UpstreamEntry], bool],
    ) -> None:
        """Look through the first listing of an era.

        Args:
            listed: All entries.
            had_left: Whether this host knew the life of an entry to have left.
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

    def compare(self, listed: Mapping[str, UpstreamEntry]) -> None:
        """Believe what a later listing has a newer word of, or lacks.

        Args:
            listed: All entries by name.
        """
        self._entries = {
            name: entry
            for name, entry in self._entries.items()
            if name in listed and listed[name].revision == entry.revision
        }

    def share(self, told: Iterable[UpstreamEntry]) -> None:
        """Doubt what another host does."""
        self._entries.update((entry.name, entry) for entry in told)

    def settle(self, name: str) -> None:
        """Note that an upstream, or the store, has said something newer."""
        self._entries.pop(name, None)

    def release(self) -> tuple[UpstreamEntry, ...]:
        """Return all entries and doubt them no more."""
        released = self.entries
        self._entries = {}
        return released
