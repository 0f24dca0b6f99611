"""What the platform's store lists, as far as this host knows."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from zlib import crc32

from wardstair.state.entries import UpstreamEntry


@dataclass(slots=True)
class ListedUpstreams:
    """Entries that the store lists, with a digest to compare with other hosts.

    This differs from the upstreams that the host uses: an upstream that was
    found to have ended may still be listed, and one whose entry may have
    expired is used although it is not.

    Attributes:
        digest: Digest of names and phases; 0 if nothing is listed. It does not
            depend on the order of changes.
    """

    digest: int = 0
    _entries: dict[str, UpstreamEntry] = field(default_factory=dict)

    @property
    def entries(self) -> Iterable[UpstreamEntry]:
        """The listed entries."""
        return self._entries.values()

    def put(self, entry: UpstreamEntry) -> None:
        """Add an entry; one that is older than the known one is ignored."""
        known = self._entries.get(entry.name)
        if known is not None:
            if entry.revision < known.revision:
                return
            self.digest ^= _digest_of(known)
        self._entries[entry.name] = entry
        self.digest ^= _digest_of(entry)

    def drop(self, name: str) -> None:
        """Drop an entry that the store no longer lists."""
        known = self._entries.pop(name, None)
        if known is not None:
            self.digest ^= _digest_of(known)

    def replace_all(self, entries: Iterable[UpstreamEntry]) -> None:
        """Replace all entries with those of a listing."""
        self.digest = 0
        self._entries = {}
        for entry in entries:
            self.put(entry)


def _digest_of(entry: UpstreamEntry) -> int:
    return crc32(f'{entry.name} {entry.phase}'.encode())
