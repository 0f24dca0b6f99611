"""Orders and records of roll-outs: what is listed, kept and remembered."""

from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, replace
from typing import TypeVar
from zlib import crc32

from wardstair.state.known_versions import KnownVersions
from wardstair.state.past_rollouts import KnownRecord, PastRollouts
from wardstair.state.restoration import Restoration
from wardstair.state.revision import NO_REVISION, Revision
from wardstair.state.rollout_orders import (
    Rollout,
    RolloutRecord,
    ServiceVersion,
    UnusableRollout,
)
from wardstair.state.shared_rollouts import SharedRollouts

# An object of the store.
_Stored = TypeVar('_Stored', Rollout, UnusableRollout)


@dataclass(frozen=True, slots=True)
class _Orders:
    """Orders by service, usable and refused ones."""

    listed: Mapping[str, Rollout]
    refused: Mapping[str, UnusableRollout]


class KnownRollouts:
    """Combines the store's listing with what is known beyond it.

    Attributes:
        revision: Store revision up to which all orders are known.
        listed: The usable orders that the store lists, by service.
        refused: Listed orders that cannot be carried out, by service.
        kept: Orders that a restored store lacks, by service.
        current: The orders in force with the records that hold, by service.
        ordered: All versions that an order concerns or has concerned.
        past: Records and withdrawn targets.
        versions: Versions that are in order without an order.
        restoration: The last restore of the store.
        versions_in_service: Returns the versions of a service's upstreams that
            accept work.
    """

    def __init__(self, restoration: Restoration) -> None:
        """Create an empty table.

        Args:
            restoration: The last restore of the store.
        """
        self.revision: Revision = NO_REVISION
        self.listed: Mapping[str, Rollout] = {}
        self.refused: Mapping[str, UnusableRollout] = {}
        self.kept: Mapping[str, Rollout] = {}
        self.current: Mapping[str, Rollout] = {}
        self.ordered: frozenset[ServiceVersion] = frozenset()
        self.past = PastRollouts()
        self.versions = KnownVersions()
        self.restoration = restoration
        self.versions_in_service: Callable[[str], Collection[str]] = (
            _no_versions
        )
        self._digest: int | None = None

    @property
    def shared(self) -> SharedRollouts:
        """All that other hosts may lack."""
        return SharedRollouts(
            self.revision,
            tuple(self.listed.values()),
            tuple(self.refused.values()),
            tuple(self.kept.values()),
            self.past.records,
            tuple(self.past.withdrawn),
            tuple(self.versions.in_order),
        )

    @property
    def digest(self) -> int:
        """Checksum of what hosts may know beyond the listing; 0 for nothing."""
        if self._digest is None:
            rows = '\n'.join(sorted(self._digest_rows()))
            self._digest = crc32(rows.encode()) if rows else 0
        return self._digest

    def is_of_this_era(self, revision: Revision) -> bool:
        """Return whether a listing of the era of a revision is known."""
        known = self.revision
        return known != NO_REVISION and known.era == revision.era

    def is_known(self, listing: SharedRollouts) -> bool:
        """Return whether a listing has the known orders and records."""
        merged = self._with_later_writes(listing)
        is_same = merged == _Orders(self.listed, self.refused)
        return is_same and self.is_of_this_era(listing.revision)

    def replace(self, listing: SharedRollouts) -> None:
        """Replace the listing; keep or withdraw orders that are gone.

        What was written after the listing stays.

        Args:
            listing: The listed orders; only they and the revision count.
        """
        self.restoration.enter(listing.revision.era)
        is_restored = not self.is_of_this_era(listing.revision)
        before = self.current
        merged = self._with_later_writes(listing)
        self.listed = merged.listed
        self.refused = merged.refused
        self._note_records()
        self.kept = {
            service: rollout
            for service, rollout in before.items()
            if (is_restored or service in self.kept) and self._outlives(rollout)
        }
        self.rebuild()
        self.withdraw(one.order.target for one in before.values())
        self.past.order_again(one.order.target for one in self.current.values())
        self.revision = listing.revision
        self.rebuild()

    def replace_one(self, stored: Rollout | UnusableRollout) -> None:
        """Replace the object of one service."""
        service = stored.service
        rollouts = {**self.listed}
        refused = {**self.refused}
        rollouts.pop(service, None)
        refused.pop(service, None)
        if isinstance(stored, Rollout):
            rollouts[service] = stored
        else:
            refused[service] = stored
        self.listed = rollouts
        self.refused = refused
        self.refresh()

    def refresh(self) -> None:
        """Apply the listing anew, after what else holds has changed."""
        self.replace(
            SharedRollouts(
                self.revision,
                tuple(self.listed.values()),
                tuple(self.refused.values()),
            )
        )

    def merge_knowledge(self, shared: SharedRollouts) -> None:
        """Merge what a peer knows beyond its listing."""
        for known in shared.records:
            self.past.add(known)
        is_same_era = shared.revision.era == self.revision.era
        if is_same_era and self.restoration.is_recent:
            self.kept = {**self._kept_of(shared.kept), **self.kept}
        self.versions.add(shared.in_order)
        self.rebuild()
        self.withdraw(shared.withdrawn)
        self.rebuild()

    def withdraw(self, targets: Iterable[ServiceVersion]) -> None:
        """Withdraw targets, and those of running records, without an order."""
        current = {one.order.target for one in self.current.values()}
        running = {
            one.target
            for one in self.past.records
            if not one.record.state.is_final
        }
        for target in (running | set(targets)) - current:
            self.past.withdraw(target)

    def rebuild(self) -> None:
        """Derive the orders in force."""
        self._digest = None
        self.current = {
            service: self._with_known_record(rollout)
            for service, rollout in {**self.listed, **self.kept}.items()
        }
        self.ordered = frozenset(
            (
                *(one.order.target for one in self.current.values()),
                *(one.target for one in self.refused.values()),
                *(one.target for one in self.past.records),
                *self.past.withdrawn,
            )
        )
        self.advance_versions()

    def advance_versions(self) -> bool:
        """Recognise versions that are in order; return whether any is new."""
        has_advanced = self.versions.advance(
            self.revision,
            self.ordered,
            self._may_lack_orders,
        )
        if has_advanced:
            self._digest = None
        return has_advanced

    def is_record_missing(self, service: str) -> bool:
        """Return whether the store lacks the record that holds for an order.

        A record that was written after the listing is not missing.
        """
        listed = self.listed.get(service)
        if listed is None or service in self.kept:
            return False
        known = self.past.known(listed.order.target)
        if known is None or known.revision >= listed.revision:
            return False
        own = listed.own_record
        has_ended = own is not None and own.state.is_final
        return not has_ended and own != known.record

    def accepts(self, rollout: Rollout, record: RolloutRecord) -> bool:
        """Return whether a record may be written; see `RolloutTable`."""
        if record.is_refusal:
            return rollout.service in self.refused
        if record.version != rollout.order.version:
            return False
        listed = self.listed.get(rollout.service)
        if listed is not None and listed.order.target == rollout.order.target:
            own = listed.own_record
            if own is not None and own.state.is_final:
                return False
        known = self.past.known(rollout.order.target)
        if known is None or not known.record.state.is_final:
            return True
        return known.record.state is record.state

    def _may_lack_orders(self, service: str) -> bool:
        """Return whether new versions of a service have to wait.

        A store that was just restored may lack an order for them; another
        version serves meanwhile.
        """
        if not self.restoration.is_recent:
            return False
        accepted = {
            one.version
            for one in self.versions.in_order
            if one.service == service
        }
        accepted.add(self.past.completed(service) or '')
        return any(
            version in accepted for version in self.versions_in_service(service)
        )

    def _digest_rows(self) -> Iterable[str]:
        for known in self.past.ends:
            yield f'{known.service} {known.record.version} {known.record.state}'
        for target in self.past.withdrawn:
            yield f'{target.service} {target.version} withdrawn'
        for version in self.versions.in_order:
            yield f'{version.service} {version.version} in-order'
        for service, rollout in self.kept.items():
            yield f'{service} {rollout.order.version} kept'

    def _with_later_writes(self, listing: SharedRollouts) -> _Orders:
        """Return a listing, without undoing what was written after it."""
        rollouts = _by_service(listing.rollouts)
        refused = _by_service(listing.refused)
        for service, rollout in self.listed.items():
            if rollout.revision > listing.revision:
                refused.pop(service, None)
                rollouts[service] = rollout
        for service, unusable in self.refused.items():
            if unusable.revision > listing.revision:
                rollouts.pop(service, None)
                refused[service] = unusable
        return _Orders(rollouts, refused)

    def _note_records(self) -> None:
        objects: tuple[Rollout | UnusableRollout, ...] = (
            *self.listed.values(),
            *self.refused.values(),
        )
        for stored in objects:
            if stored.record is not None:
                self.past.add(
                    KnownRecord(stored.service, stored.record, stored.revision)
                )

    def _outlives(self, rollout: Rollout) -> bool:
        """Return whether an order is kept that a restored store lacks.

        The store may list an earlier order for the service instead.
        """
        service = rollout.service
        if not self.restoration.is_recent or service in self.refused:
            return False
        other = self.listed.get(service)
        if other is None:
            return True
        target = other.order.target
        return target != rollout.order.target and self.past.is_past(target)

    def _kept_of(self, offered: Iterable[Rollout]) -> dict[str, Rollout]:
        """Return the orders to keep among those that a peer keeps."""
        return {
            rollout.service: rollout
            for rollout in offered
            if self._outlives(rollout)
            and rollout.order.target not in self.past.withdrawn
        }

    def _with_known_record(self, rollout: Rollout) -> Rollout:
        known = self.past.known(rollout.order.target)
        if known is None or known.record == rollout.record:
            return rollout
        return replace(rollout, record=known.record)


def _no_versions(_service: str) -> Collection[str]:
    return ()


def _by_service(objects: Iterable[_Stored]) -> dict[str, _Stored]:
    return {one.service: one for one in objects}
