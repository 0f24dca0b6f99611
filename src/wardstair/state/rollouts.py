"""Roll-outs of versions as this host knows them."""

import time
from collections.abc import Callable, Collection, Iterable
from enum import Enum

from wardstair.process.log import log_event
from wardstair.state.entries import UpstreamEntry
from wardstair.state.known_rollouts import KnownRollouts
from wardstair.state.restoration import Restoration
from wardstair.state.revision import NO_REVISION, Revision
from wardstair.state.roles import ignore
from wardstair.state.rollout_log import RefusalLog, log_rollouts
from wardstair.state.rollout_orders import (
    Rollout,
    RolloutOrder,
    RolloutRecord,
    ServiceVersion,
    UnusableRollout,
)
from wardstair.state.shared_rollouts import SharedRollouts

__all__ = (
    'Rollout',
    'RolloutOrder',
    'RolloutRecord',
    'RolloutTable',
    'UnusableRollout',
    'VersionRole',
)

# The kind in log lines about ignored listings.
_KIND = 'rollouts'


class VersionRole(Enum):
    """Whether an upstream may receive requests, by its version."""

    # No roll-out concerns it.
    usual = 'usual'
    # A roll-out of its service is running; it has another version.
    old = 'old'
    # A roll-out of its service is running; it has the target version.
    new = 'new'
    # No order is known for its version yet.
    withheld = 'withheld'
    # Its version was rolled back or withdrawn, or was replaced by another one.
    excluded = 'excluded'


def _knows_all(_service: str) -> bool:
    return True


class RolloutTable:
    """The roll-outs of all services; one per process.

    Attributes:
        on_change: Called after orders, records or the roles of versions have
            changed.
        on_roles: Called before `on_change`.
        is_in_use: Whether the settings call for roll-outs. Otherwise the table
            stays empty, and the version of an upstream has no effect.
    """

    def __init__(self, *, is_in_use: bool = True) -> None:
        """Create an empty table.

        Args:
            is_in_use: Whether the settings call for roll-outs.
        """
        self.on_change: Callable[[], None] = ignore
        self.on_roles: Callable[[], None] = ignore
        self.is_in_use = is_in_use
        self._knows_service: Callable[[str], bool] = _knows_all
        self._known = KnownRollouts(Restoration(time.monotonic))
        self._refusal_log = RefusalLog()
        # Revision of the last object that a call of this host has returned.
        self._written_to = NO_REVISION

    def attach(
        self,
        restoration: Restoration,
        versions_in_service: Callable[[str], Collection[str]],
        knows_service: Callable[[str], bool],
    ) -> None:
        """Connect the table with the rest of the host's state.

        Args:
            restoration: The last restore of the store.
            versions_in_service: Returns the versions of a service's upstreams
                that accept work.
            knows_service: Returns whether the configuration has a service.
        """
        self._known.restoration = restoration
        self._known.versions_in_service = versions_in_service
        self._knows_service = knows_service

    @property
    def revision(self) -> Revision:
        """Store revision up to which all orders are known."""
        return self._known.revision

    @property
    def is_known(self) -> bool:
        """Whether the orders are known, or roll-outs are not in use.

        Until then no version may be used.
        """
        return not self.is_in_use or self.revision != NO_REVISION

    @property
    def digest(self) -> int:
        """Checksum of what hosts may know beyond the listing; 0 for nothing."""
        return self._known.digest

    @property
    def shared(self) -> SharedRollouts:
        """All that other hosts may lack."""
        return self._known.shared

    @property
    def running(self) -> tuple[Rollout, ...]:
        """The roll-outs that have not ended."""
        return tuple(
            rollout
            for service, rollout in sorted(self._known.current.items())
            if not rollout.state.is_final and self._knows_service(service)
        )

    @property
    def refused(self) -> tuple[UnusableRollout, ...]:
        """The orders that cannot be carried out, with the reasons."""
        unknown = (
            UnusableRollout(
                'service',
                'a service of the configuration',
                service,
                rollout.order.version,
                rollout.record,
                rollout.revision,
            )
            for service, rollout in sorted(self._known.current.items())
            if not self._knows_service(service)
        )
        return (*self._known.refused.values(), *unknown)

    @property
    def refusals_to_record(self) -> tuple[Rollout, ...]:
        """Refused orders whose object does not say so yet.

        Each has the record to write and the revision of the object.
        """
        return tuple(
            Rollout(
                RolloutOrder(service, one.version, 0.0),
                one.refusal,
                one.revision,
            )
            for service, one in sorted(self._known.refused.items())
            if one.refusal is not None
        )

    @property
    def records_to_restore(self) -> tuple[Rollout, ...]:
        """Roll-outs whose object lacks the record that holds.

        Each has this record and the revision of the object.
        """
        return tuple(
            rollout
            for service, rollout in sorted(self._known.current.items())
            if self._known.is_record_missing(service)
        )

    @property
    def withheld_at(self) -> Revision | None:
        """Revision up to which orders have to be known to withhold no version.

        Returns:
            The revision; None if no version is withheld.
        """
        return self._known.versions.pending_at

    def of_service(self, service: str) -> Rollout | None:
        """Return the roll-out of a service; None without an order.

        An order for a service that the configuration lacks does not count until
        a configuration has it.
        """
        rollout = self._known.current.get(service)
        if rollout is None or not self._knows_service(service):
            return None
        return rollout

    def is_alone(self, target: ServiceVersion) -> bool:
        """Return whether all upstreams of a service have a version.

        Then no other version can take its requests.
        """
        versions = self._known.versions_in_service(target.service)
        return set(versions) == {target.version}

    def role_of(self, entry: UpstreamEntry) -> VersionRole:
        """Return whether an upstream may receive requests, by its version."""
        if not self.is_in_use:
            return VersionRole.usual
        target = ServiceVersion(entry.service, entry.version)
        running = self._running_version(entry.service)
        if running and running == entry.version:
            return VersionRole.new
        if self._is_excluded(target, running):
            return VersionRole.excluded
        if not self._is_in_order(target, entry.revision):
            return VersionRole.withheld
        return VersionRole.old if running else VersionRole.usual

    def needs_check(self, entry: UpstreamEntry) -> bool:
        """Return whether an order for the version of an entry may be missing.

        A sentinel then asks the store for orders.
        """
        return self.role_of(entry) is VersionRole.withheld

    def replace_all(
        self,
        rollouts: Iterable[Rollout],
        revision: Revision,
        source: str,
        refused: Iterable[UnusableRollout] = (),
    ) -> bool:
        """Replace all roll-outs by a listing of the store or of a peer.

        The revision stays that of the last change: peers fetch the table from
        whoever has a later revision.

        Args:
            rollouts: All usable roll-outs.
            revision: Store revision of the listing.
            source: Where it came from, for the log.
            refused: Orders that cannot be carried out.

        Returns:
            Whether anything has changed.
        """
        listing = SharedRollouts(revision, tuple(rollouts), tuple(refused))
        if self._ignores(listing, source):
            return False
        if self._known.is_known(listing):
            # Peers lack what a call of this host has written.
            is_written = self.revision < self._written_to <= revision
            if is_written:
                self.raise_revision(revision)
            return is_written
        self._known.replace(listing)
        self._note_change(source)
        return True

    def raise_revision(self, revision: Revision) -> None:
        """Record that all orders up to a later revision are known."""
        is_later = revision > self.revision
        if not (is_later and self._known.is_of_this_era(revision)):
            return
        self._known.revision = revision
        if self._known.advance_versions():
            self._announce()

    def stored_revision(self, service: str) -> Revision | None:
        """Return the revision of a service's object; None without one."""
        known = self._known
        stored = known.listed.get(service) or known.refused.get(service)
        return None if stored is None else stored.revision

    def accepts(self, rollout: Rollout, record: RolloutRecord) -> bool:
        """Return whether a record may be written.

        An end is never written over an end, and `running` never over an end.

        Args:
            rollout: The roll-out.
            record: The record to write.
        """
        return self._known.accepts(rollout, record)

    def adopt(self, stored: Rollout | UnusableRollout) -> None:
        """Adopt an object that a call to the store has returned.

        An object of a later era counts from the listing of that era on.
        """
        known = self.stored_revision(stored.service)
        is_known = known is not None and known >= stored.revision
        if is_known or not self._known.is_of_this_era(stored.revision):
            return
        self._written_to = stored.revision
        self._known.replace_one(stored)
        self._note_change('store')

    def merge_peer(self, shared: SharedRollouts, source: str) -> None:
        """Merge what another host knows.

        Args:
            shared: The other host's table.
            source: The other host, for the log.
        """
        if not self.is_in_use:
            return
        known = self._known
        before = (known.digest, known.current, known.refused)
        if not self._ignores(shared, source):
            known.replace(shared)
        known.merge_knowledge(shared)
        if before != (known.digest, known.current, known.refused):
            self._note_change(source)

    def note_configuration(self) -> None:
        """Apply that the configuration may have other services."""
        if self._known.current:
            self._announce()

    def expire_kept(self) -> None:
        """End what is in force only while a restore of the store is recent."""
        if self._known.restoration.is_recent:
            return
        if self._known.kept:
            self._known.refresh()
            self._note_change('not-written-again')
        elif self._known.advance_versions():
            self._announce()

    def _ignores(self, listing: SharedRollouts, source: str) -> bool:
        """Return whether a listing is older than the known one; log it."""
        if listing.revision >= self.revision:
            return False
        log_event(
            'news-ignored',
            kind=_KIND,
            revision=listing.revision,
            known=self.revision,
            source=source,
        )
        return True

    def _running_version(self, service: str) -> str:
        """Return the target of the service's running roll-out, or ''."""
        rollout = self._known.current.get(service)
        if rollout is None or rollout.state.is_final:
            return ''
        return rollout.order.version

    def _is_in_order(self, target: ServiceVersion, seen_at: Revision) -> bool:
        known = self._known
        if not target.version or target in known.ordered:
            return True
        if target not in known.versions.in_order:
            known.versions.note(target, seen_at)
            known.advance_versions()
        return target in known.versions.in_order

    def _is_excluded(self, target: ServiceVersion, running: str) -> bool:
        """Return whether others serve requests instead of a version.

        Args:
            target: The version.
            running: The target of the service's running roll-out, or ''.
        """
        known = self._known
        if not known.ordered:
            return False
        service = target.service
        barred = known.past.barred(service)
        refused = known.refused.get(service)
        if refused is not None and refused.version:
            barred |= {refused.version}
        usable = set(known.versions_in_service(service)) - barred - {running}
        if target.version in barred:
            return bool(usable)
        completed = known.past.completed(service)
        return target.version != completed and completed in usable

    def _note_change(self, source: str) -> None:
        log_rollouts(self._known, source)
        self._announce()

    def _announce(self) -> None:
        self._refusal_log.refresh(self.refused)
        self.on_roles()
        self.on_change()
