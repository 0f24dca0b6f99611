"""Versions of services that may receive requests without an order."""

from collections.abc import Callable, Iterable

from wardstair.state.revision import NO_REVISION, Revision
from wardstair.state.rollout_orders import ServiceVersion


class KnownVersions:
    """Versions that are in order, and those for which an order may exist.

    Upstreams of a new version start after its order was written. A version is
    therefore in order if all orders up to a revision are known, none of them
    concerns it, and an upstream of it had registered by that revision.

    Attributes:
        in_order: Versions that are in order; they remain so.
    """

    def __init__(self) -> None:
        """Create an empty table."""
        self.in_order: frozenset[ServiceVersion] = frozenset()
        # The earliest known revision of an upstream's entry, by version.
        self._seen_at: dict[ServiceVersion, Revision] = {}

    @property
    def pending_at(self) -> Revision | None:
        """Revision up to which orders have to be known to decide on all.

        Returns:
            The revision; None if all known versions are in order.
        """
        return max(self._seen_at.values(), default=None)

    def note(self, version: ServiceVersion, seen_at: Revision) -> None:
        """Record an upstream of a version that is not known to be in order.

        Args:
            version: The version.
            seen_at: Revision of the upstream's entry.
        """
        earliest = self._seen_at.get(version, seen_at)
        self._seen_at[version] = min(seen_at, earliest)

    def advance(
        self,
        complete_to: Revision,
        ordered: Iterable[ServiceVersion],
        waits: Callable[[str], bool],
    ) -> bool:
        """Recognise versions that are in order up to a revision.

        Args:
            complete_to: Revision up to which all orders are known.
            ordered: Versions that orders concern; they are never in order by
                this.
            waits: Returns whether new versions of a service have to wait
                nevertheless.

        Returns:
            Whether there are any.
        """
        for version in ordered:
            self._seen_at.pop(version, None)
        if complete_to == NO_REVISION:
            return False
        return self.add(
            version
            for version, seen_at in self._seen_at.items()
            if seen_at <= complete_to and not waits(version.service)
        )

    def add(self, versions: Iterable[ServiceVersion]) -> bool:
        """Add versions that are in order; return whether any is new."""
        known = len(self.in_order)
        self.in_order |= frozenset(versions)
        for version in self.in_order & self._seen_at.keys():
            self._seen_at.pop(version)
        return len(self.in_order) > known
