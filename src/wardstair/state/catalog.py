"""The catalog of upstreams known to this host.

There is one catalog per process. Its entries come from the platform's store or
from other entry hosts.
"""

import time
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace

from wardstair.process.log import log_event
from wardstair.state.entries import UpstreamEntry, UpstreamPhase
from wardstair.state.incarnations import is_ahead
from wardstair.state.listed import ListedUpstreams
from wardstair.state.removals import Gap, Removal, RemovalLog
from wardstair.state.restoration import Restoration
from wardstair.state.revision import NO_REVISION, Revision
from wardstair.state.stale_entries import StaleEntries
from wardstair.state.upstream import ASSUMED_COLD_SECONDS, Upstream

# An entry that disappears while the store is unreachable is registered again
# within this time after contact returns if its upstream is still running. The
# platform's operators state about two seconds.
RETURN_SECONDS = 2.0
# Time for a restarted upstream to register in a restored store and for this
# host to read the new entry: the delay until entries return, plus one second
# for the interval between two watches.
REREGISTRATION_SECONDS = RETURN_SECONDS + 1.0


@dataclass(frozen=True, slots=True)
class CatalogChanges:
    """Changes since a revision, for a host that is behind.

    Attributes:
        since: Revision from which the changes start; `NO_REVISION` for the
            whole list.
        revision: Revision up to which the changes are complete.
        entries: Entries that are new or have changed.
        removals: Removals of upstreams, also of those that the sender never
            knew.
        missing: Seconds left for entries to return that disappeared while the
            store was unreachable, by name.
        stale: Entries that a restored store lists although their upstreams had
            left or had started to drain.
        gaps: Revisions of which the sender does not know all removals. A host
            whose revision lies inside one needs the whole list.
    """

    since: Revision
    revision: Revision
    entries: tuple[UpstreamEntry, ...]
    removals: tuple[Removal, ...] = ()
    missing: Mapping[str, float] = field(default_factory=dict)
    stale: tuple[UpstreamEntry, ...] = ()
    gaps: tuple[Gap, ...] = ()

    @property
    def removed(self) -> tuple[str, ...]:
        """Names of the removed upstreams, in alphabetical order."""
        return tuple(sorted(removal.name for removal in self.removals))


@dataclass(slots=True)
class Catalog:
    """All upstreams by name, with the store's revision.

    Attributes:
        clock: Monotonic time in seconds.
        revision: Revision of the store up to which changes are included.
        upstreams: Upstreams by name. A removed one stays until its last request
            from this host has ended.
        generation: Grows when the set of upstreams that accept work changes.
        on_incarnation_ended: Called with the name of a restarted upstream.
        restoration: The last restore of the store.
        rules_out_expiry: Returns whether this host's contact with the store
            shows that no entry can have expired. An entry that another host
            reports as missing was then removed.
        listed: What the store lists at the revision of this catalog.
        time_of_day: Time of day in Unix seconds.
    """

    clock: Callable[[], float]
    revision: Revision = NO_REVISION
    upstreams: dict[str, Upstream] = field(default_factory=dict)
    generation: int = 0
    on_incarnation_ended: Callable[[str], None] = lambda _name: None
    restoration: Restoration = field(init=False)
    rules_out_expiry: Callable[[], bool] = lambda: False
    listed: ListedUpstreams = field(default_factory=ListedUpstreams)
    time_of_day: Callable[[], float] = time.time
    _missing: dict[str, float] = field(default_factory=dict)
    _by_service: dict[str, list[Upstream]] = field(default_factory=dict)
    _removals: RemovalLog = field(default_factory=RemovalLog)
    _stale_entries: StaleEntries = field(default_factory=StaleEntries)

    def __post_init__(self) -> None:
        """Create the record of restores."""
        self.restoration = Restoration(self.clock)

    def of_service(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service that accept work."""
        return self._by_service.get(service, [])

    def versions_in_service(self, service: str) -> frozenset[str]:
        """Return the versions of a service's upstreams that accept work."""
        upstreams = self._by_service.get(service, [])
        return frozenset(upstream.entry.version for upstream in upstreams)

    def note_roles(self) -> None:
        """Record that other upstreams may be used, by their versions."""
        self.generation += 1

    @property
    def in_service(self) -> list[UpstreamEntry]:
        """Entries of all upstreams that accept work."""
        return [
            upstream.entry
            for upstream in self.upstreams.values()
            if upstream.takes_work
        ]

    def changes_since(self, revision: Revision) -> CatalogChanges:
        """Return what a host lacks if it knows everything up to a revision."""
        now = self.clock()
        is_covered = self._removals.covers(revision, self.revision)
        since = revision if is_covered else NO_REVISION
        changed = [
            _with_cold(upstream.entry, max(0.0, upstream.cold_until - now))
            for upstream in self.upstreams.values()
            if upstream.gone_at is None and upstream.entry.revision >= since
        ]
        removals = [
            one
            for one in self._removals.since(since)
            # An upstream that has returned since is present.
            if not self.is_present(one.name)
        ]
        if since == NO_REVISION:
            removals = [one for one in removals if one.is_listed]
        return CatalogChanges(
            since,
            self.revision,
            (*changed, *self._ended_since(since)),
            tuple(removals),
            {name: end - now for name, end in self._missing.items()},
            self._stale_entries.entries,
            self._removals.gaps_after(since) if is_covered else (),
        )

    def _ended_since(self, revision: Revision) -> Iterable[UpstreamEntry]:
        """Return changed entries of upstreams that were found to have ended."""
        return (
            entry
            for entry in self.listed.entries
            if entry.revision >= revision
            and not self.is_present(entry.name)
            and not self._stale_entries.has(entry.name)
        )

    def merge_peer_changes(self, changes: CatalogChanges) -> bool:
        """Merge changes received from another host.

        Returns:
            False if the changes start after the revision of this catalog, or
            if removals since then may be missing.
        """
        is_inside_gap = any(gap.contains(self.revision) for gap in changes.gaps)
        if changes.since > self.revision or is_inside_gap:
            return False
        if changes.since == NO_REVISION:
            self.replace_all(
                changes.entries,
                changes.revision,
                store_was_away=False,
            )
            for removal in changes.removals:
                self._merge_removal(removal)
            self._index()
        else:
            self._apply_peer_changes(changes)
        for name in changes.missing:
            self.listed.drop(name)
        self._merge_missing(changes.missing)
        if changes.stale:
            self._merge_stale(changes)
        return True

    def _apply_peer_changes(self, changes: CatalogChanges) -> None:
        self.revision = changes.revision
        for entry in changes.entries:
            self._stale_entries.discard(entry.name)
            self.listed.put(entry)
            self._put(entry)
        for removal in changes.removals:
            self._merge_removal(removal)
        for gap in changes.gaps:
            self._removals.note_gap(gap)
        self._index()

    def _merge_removal(self, removal: Removal) -> None:
        self._stale_entries.discard(removal.name)
        known = self.upstreams.get(removal.name)
        if known is not None and known.entry.revision > removal.revision:
            # It has registered again since.
            return
        if not removal.is_listed:
            self.listed.drop(removal.name)
        self._remove(removal)

    def _merge_missing(self, missing: Mapping[str, float]) -> None:
        if missing and self.rules_out_expiry() and not self._may_register_again:
            self.end_missing(missing)
            return
        now = self.clock()
        for name, seconds in missing.items():
            if name not in self.upstreams or self.is_present(name):
                self._missing.setdefault(name, now + seconds)

    def end_missing(self, names: Iterable[str]) -> None:
        """Remove upstreams that another host keeps as missing."""
        for name in names:
            self.remove(name, store_was_away=False)
        self._index()

    def _merge_stale(self, changes: CatalogChanges) -> None:
        self._stale_entries.merge(changes.stale)
        for entry in changes.stale:
            self.listed.put(entry)
        listed = {entry.name for entry in changes.entries}
        for entry in changes.stale:
            if entry.name not in listed:
                # The other host saw the upstream leave.
                self.remove(entry.name, store_was_away=False)
        self._index()

    def replace_all(
        self,
        entries: Iterable[UpstreamEntry],
        revision: Revision,
        *,
        store_was_away: bool,
    ) -> None:
        """Replace the catalog with a complete listing.

        Args:
            entries: All entries.
            revision: The store's revision of the listing.
            store_was_away: Whether entries of running upstreams may have
                expired because the store was unreachable.
        """
        listed = {entry.name: entry for entry in entries}
        self.listed.replace_all(listed.values())
        is_first_listing = self.revision == NO_REVISION
        is_new_era = revision.era > self.revision.era
        self.restoration.enter(revision.era)
        if is_new_era and self.restoration.is_recent:
            removed = self._removals.incarnations
            self._stale_entries.start_era(
                listed.values(),
                lambda entry: self._had_left(entry, removed.get(entry.name)),
            )
        else:
            self._stale_entries.drop_updated(listed)
        for entry in listed.values():
            if not self._stale_entries.has(entry.name):
                self._put(entry)
        if is_first_listing and self.restoration.is_assumed:
            self._mark_all_cold()
        if is_new_era or is_first_listing:
            # Earlier removals are unknown.
            self._removals.begin(revision)
        elif revision > self.revision:
            self._removals.note_gap(Gap(self.revision, revision))
        self.revision = revision
        may_return = store_was_away or (is_new_era and self._is_just_restored)
        for name in self.upstreams.keys() - listed.keys():
            self.remove(name, store_was_away=may_return)
        self._index()

    def apply(
        self,
        changed: Iterable[UpstreamEntry],
        deleted: Iterable[str],
        revision: Revision,
        *,
        store_was_away: bool,
    ) -> None:
        """Apply changes since the last revision.

        Args:
            changed: Entries that are new or have changed.
            deleted: Names of deleted entries.
            revision: The store's revision that the changes lead to.
            store_was_away: Whether deleted entries may have expired although
                their upstreams are running.
        """
        self.revision = revision
        for entry in changed:
            self._stale_entries.discard(entry.name)
            self.listed.put(entry)
            self._put(entry)
        for name in deleted:
            self._stale_entries.discard(name)
            self.listed.drop(name)
            self.remove(name, store_was_away=store_was_away)
        self._index()

    @property
    def _is_just_restored(self) -> bool:
        """Whether upstreams may still be registering in a restored store."""
        age = self.restoration.age
        return age is not None and age < RETURN_SECONDS

    @property
    def _may_register_again(self) -> bool:
        """Whether entries may be missing at peers because of a restore."""
        age = self.restoration.age
        return age is not None and age < 2 * RETURN_SECONDS

    def _had_left(self, entry: UpstreamEntry, removed: int | None) -> bool:
        """Return whether an entry's incarnation had left before the restore.

        Args:
            entry: An entry of a restored store.
            removed: Start time of the last removed incarnation of that name,
                if any.
        """
        known = self.upstreams.get(entry.name)
        if known is None:
            return removed is not None and entry.born <= removed
        if entry.born != known.entry.born:
            return False
        was_draining = known.entry.phase is UpstreamPhase.draining
        is_draining = entry.phase is UpstreamPhase.draining
        return known.gone_at is not None or (was_draining and not is_draining)

    def is_present(self, name: str) -> bool:
        """Return whether an upstream is known and was not removed."""
        known = self.upstreams.get(name)
        return known is not None and known.gone_at is None

    def lacks(self, entry: UpstreamEntry) -> bool:
        """Return whether an entry is newer than the one of this catalog."""
        known = self.upstreams.get(entry.name)
        return known is None or known.entry.revision < entry.revision

    def is_missing(self, name: str) -> bool:
        """Return whether an upstream is kept although its entry is missing."""
        return name in self._missing

    def remove(self, name: str, *, store_was_away: bool) -> None:
        """Remove an upstream, or wait for its entry to return.

        Args:
            name: Name of the upstream.
            store_was_away: Whether the entry may have expired although the
                upstream is running. It is then kept for `RETURN_SECONDS`, by
                this host or by those that know it.
        """
        has_left = name in self.upstreams and not self.is_present(name)
        if has_left or not store_was_away:
            self._remove(Removal(self.revision, name))
            return
        if name not in self._missing:
            self._missing[name] = self.clock() + RETURN_SECONDS
            log_event('upstream-missing', upstream=name, wait=RETURN_SECONDS)

    def expire_missing(self) -> None:
        """Remove upstreams whose entries did not return in time."""
        now = self.clock()
        self._accept_stale()
        expired = [name for name, end in self._missing.items() if end <= now]
        for name in expired:
            self._remove(Removal(self.revision, name))
        self.upstreams = {
            name: upstream
            for name, upstream in self.upstreams.items()
            if upstream.gone_at is None or upstream.in_flight
        }
        if expired:
            self._index()

    def _accept_stale(self) -> None:
        """Accept stale entries that the store lists after the restore period.

        The store has removed the entries of upstreams that had left by then.
        """
        if self.restoration.is_recent or not self._stale_entries.entries:
            return
        for entry in self._stale_entries.pop_all():
            self._put(entry)
        self._index()

    def mark_gone(self, name: str) -> None:
        """Remove an upstream whose address another upstream now uses."""
        upstream = self.upstreams.get(name)
        if upstream is None or upstream.has_ended:
            return
        upstream.has_ended = True
        self._remove(Removal(self.revision, name, is_listed=True))
        self._index()

    def note_ended(self, incarnation: str) -> Upstream | None:
        """Avoid an incarnation that this host or a peer found to have ended.

        During that time its entry expires or a new incarnation registers under
        its name. The new one is cold, and requests meant for its predecessor
        would overload it until hosts have read its entry: 30 requests in one
        second reached an upstream that can take 8.

        Args:
            incarnation: The incarnation, as in `Upstream.incarnation`.

        Returns:
            The upstream; None if it has a different incarnation by now.
        """
        upstream = self.upstreams.get(incarnation.rpartition('@')[0])
        if upstream is None or upstream.incarnation != incarnation:
            return None
        end = self.clock() + ASSUMED_COLD_SECONDS
        upstream.avoided_until = max(upstream.avoided_until, end)
        return upstream

    def mark_cold(self, zone: str, seconds_of: Callable[[str], float]) -> None:
        """Treat the upstreams of a zone as cold after its evacuation.

        Args:
            zone: The availability zone.
            seconds_of: Cold time of a service by its name, in seconds.
        """
        now = self.clock()
        for upstream in self.upstreams.values():
            if upstream.entry.zone == zone:
                end = now + seconds_of(upstream.entry.service)
                upstream.cold_until = max(upstream.cold_until, end)

    def _mark_all_cold(self) -> None:
        """Treat all upstreams as cold until each has had time to register.

        A restored store may list an outdated entry of an upstream that has
        since restarted. Sending it the load of its previous incarnation would
        overload it while it is cold.
        """
        until = self.clock() + REREGISTRATION_SECONDS
        for upstream in self.upstreams.values():
            upstream.cold_until = max(upstream.cold_until, until)
        log_event(
            'upstreams-unconfirmed',
            era=self.restoration.era,
            settled=self.restoration.reported_complete_era,
            upstreams=len(self.upstreams),
            seconds=REREGISTRATION_SECONDS,
        )

    def _put(self, entry: UpstreamEntry) -> None:
        now = self.clock()
        self._missing.pop(entry.name, None)
        known = self.upstreams.get(entry.name)
        if known is not None and self._is_older(entry, known.entry):
            # A late entry from another path would restore an incarnation that
            # has ended.
            log_event(
                'upstream-entry-ignored',
                upstream=entry.name,
                revision=entry.revision,
                known=known.entry.revision,
            )
            return
        if known is not None and entry.born != known.entry.born:
            self._end_incarnation(known, entry)
            known = None
        is_new = known is None
        if known is None:
            known = Upstream(entry)
            self.upstreams[entry.name] = known
        if not known.has_ended:
            known.gone_at = None
        if is_new or known.entry.phase is not entry.phase:
            log_event(
                'upstream-changed',
                upstream=entry.name,
                service=entry.service,
                zone=entry.zone,
                phase=entry.phase,
                cold=entry.cold_seconds,
                revision=entry.revision,
                known=self.revision,
            )
        known.entry = entry
        if entry.cold_seconds > 0:
            known.cold_until = max(known.cold_until, now + entry.cold_seconds)

    def _is_older(self, entry: UpstreamEntry, known: UpstreamEntry) -> bool:
        """Return whether an entry was written before the known one."""
        latest = max(entry.born, known.born)
        if entry.born == known.born or is_ahead(latest, self.time_of_day()):
            return entry.revision < known.revision
        return entry.born < known.born

    def _end_incarnation(
        self, upstream: Upstream, entry: UpstreamEntry
    ) -> None:
        """Drop the state of an upstream that has restarted."""
        log_event(
            'upstream-restarted',
            upstream=entry.name,
            service=entry.service,
            born=entry.born,
            before=upstream.entry.born,
            in_flight=upstream.in_flight,
        )
        upstream.has_ended = True
        upstream.gone_at = self.clock()
        self.on_incarnation_ended(entry.name)

    def _remove(self, removal: Removal) -> None:
        """Stop using an upstream, if it is known, and note its removal."""
        self._missing.pop(removal.name, None)
        upstream = self.upstreams.get(removal.name)
        if upstream is None:
            self._removals.note(removal)
            return
        self._removals.note(replace(removal, born=upstream.entry.born))
        if upstream.gone_at is not None:
            return
        upstream.gone_at = self.clock()
        log_event(
            'upstream-gone',
            upstream=upstream.name,
            service=upstream.entry.service,
            in_flight=upstream.in_flight,
            revision=upstream.entry.revision,
            known=self.revision,
        )

    def _index(self) -> None:
        self.generation += 1
        self._by_service = {}
        for upstream in self.upstreams.values():
            if upstream.takes_work:
                service = upstream.entry.service
                self._by_service.setdefault(service, []).append(upstream)


def _with_cold(entry: UpstreamEntry, seconds: float) -> UpstreamEntry:
    return replace(entry, cold_seconds=seconds)
