"""The upstreams that this host knows.

One table a process. Entries come from the platform's store or from other
entry hosts.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace

from wardstair.process.log import log_event
from wardstair.state.entries import UpstreamEntry, UpstreamPhase
from wardstair.state.removals import Removal, RemovalLog
from wardstair.state.restoration import Restoration
from wardstair.state.revision import NO_REVISION, Revision
from wardstair.state.stale_entries import StaleEntries
from wardstair.state.upstream import ASSUMED_COLD_SECONDS, Upstream

# Entries that vanish while the store is away are back this long after its
# return if the upstream lives; the operators state about two seconds.
RETURN_SECONDS = 2.0
# Time for a restarted upstream to register in a restored store and for this
# host to read the new entry: the delay until entries return, plus one second
# for the interval between two watches.
REREGISTRATION_SECONDS = RETURN_SECONDS + 1.0


@dataclass(frozen=True, slots=True)
class CatalogChanges:
    """What has changed since a revision, for a host that is behind.

    Attributes:
        since: Revision from which on it tells; `NO_REVISION` for the whole
            list.
        revision: Revision up to which it tells.
        entries: Entries that are new or have changed.
        removed: Names of those that are gone.
        missing: Seconds that are left for entries which vanished while the
            store was away to come back, by name.
        stale: Entries that a restored store lists though their upstreams had
            left, or had said that they drain.
    """

    since: Revision
    revision: Revision
    entries: tuple[UpstreamEntry, ...]
    removed: tuple[str, ...] = ()
    missing: Mapping[str, float] = field(default_factory=dict)
    stale: tuple[UpstreamEntry, ...] = ()


@dataclass(slots=True)
class Catalog:
    """All upstreams by name, with the store's revision.

    Attributes:
        clock: Monotonic time in seconds.
        revision: Revision of the store up to which changes are in.
        upstreams: By name; those leaving stay until they are forgotten.
        generation: Grows when the upstreams that take work change.
        on_incarnation_ended: Called with the name of a restarted upstream.
        restoration: The last restore of the store.
        rules_out_expiry: Whether this host's own contact shows that nothing can
            have lapsed: what another one misses was removed.
    """

    clock: Callable[[], float]
    revision: Revision = NO_REVISION
    upstreams: dict[str, Upstream] = field(default_factory=dict)
    generation: int = 0
    on_incarnation_ended: Callable[[str], None] = lambda _name: None
    restoration: Restoration = field(init=False)
    rules_out_expiry: Callable[[], bool] = lambda: False
    _missing: dict[str, float] = field(default_factory=dict)
    _by_service: dict[str, list[Upstream]] = field(default_factory=dict)
    _removals: RemovalLog = field(default_factory=RemovalLog)
    _doubts: StaleEntries = field(default_factory=StaleEntries)

    def __post_init__(self) -> None:
        """Begin without a restore."""
        self.restoration = Restoration(self.clock)

    def of_service(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service that take work."""
        return self._by_service.get(service, [])

    @property
    def in_service(self) -> list[UpstreamEntry]:
        """Entries of all upstreams that take work."""
        return [
            upstream.entry
            for upstream in self.upstreams.values()
            if upstream.takes_work
        ]

    def changes_since(self, revision: Revision) -> CatalogChanges:
        """Return what a host lacks that knows everything up to a revision."""
        now = self.clock()
        is_covered = self._removals.covers(revision, self.revision)
        since = revision if is_covered else NO_REVISION
        changed = [
            _with_cold(upstream.entry, max(0.0, upstream.cold_until - now))
            for upstream in self.upstreams.values()
            if upstream.gone_at is None and upstream.entry.revision >= since
        ]
        present = {entry.name for entry in changed}
        # One that has come back since is told by its entry.
        removed = self._removals.since(since) - present
        return CatalogChanges(
            since,
            self.revision,
            tuple(changed),
            () if since == NO_REVISION else tuple(sorted(removed)),
            {name: end - now for name, end in self._missing.items()},
            self._doubts.entries,
        )

    def merge_peer_changes(self, changes: CatalogChanges) -> bool:
        """Take in what another host has told.

        Returns:
            Whether it fits: changes that begin after what this host knows
            would leave a gap.
        """
        if changes.since > self.revision:
            return False
        if changes.since == NO_REVISION:
            self.replace_all(
                changes.entries,
                changes.revision,
                store_was_away=False,
            )
        else:
            self.apply(
                changes.entries,
                changes.removed,
                changes.revision,
                store_was_away=False,
            )
        self._share_missing(changes.missing)
        if changes.stale:
            self._share_doubts(changes)
        return True

    def _share_missing(self, missing: Mapping[str, float]) -> None:
        if missing and self.rules_out_expiry() and not self._may_register_again:
            self.end_missing(missing)
            return
        now = self.clock()
        for name, seconds in missing.items():
            upstream = self.upstreams.get(name)
            if upstream is not None and upstream.gone_at is None:
                self._missing.setdefault(name, now + seconds)

    def end_missing(self, names: Iterable[str]) -> None:
        """Take upstreams as gone that another host keeps as missing."""
        for name in names:
            self.remove(name, store_was_away=False)
        self._index()

    def _share_doubts(self, changes: CatalogChanges) -> None:
        self._doubts.share(changes.stale)
        told = {entry.name for entry in changes.entries}
        for entry in changes.stale:
            if entry.name not in told:
                # The other host saw it leave.
                self.remove(entry.name, store_was_away=False)
        self._index()

    def replace_all(
        self,
        entries: Iterable[UpstreamEntry],
        revision: Revision,
        *,
        store_was_away: bool,
    ) -> None:
        """Take in a whole listing.

        Args:
            entries: All entries.
            revision: The store's revision of the listing.
            store_was_away: Whether entries may have lapsed meanwhile though
                their upstreams live.
        """
        listed = {entry.name: entry for entry in entries}
        is_first_listing = self.revision == NO_REVISION
        is_new_era = revision.era > self.revision.era
        self.restoration.enter(revision.era)
        if is_new_era and self.restoration.is_recent:
            removed = self._removals.incarnations
            self._doubts.begin(
                listed.values(),
                lambda entry: self._had_left(entry, removed.get(entry.name)),
            )
        else:
            self._doubts.compare(listed)
        for entry in listed.values():
            if not self._doubts.has(entry.name):
                self._put(entry)
        if is_first_listing and self.restoration.is_assumed:
            self._mark_all_cold()
        if is_new_era or is_first_listing:
            # What was removed before is not known.
            self._removals.begin(revision)
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
        """Take in changes since the last revision."""
        self.revision = revision
        for entry in changed:
            self._doubts.settle(entry.name)
            self._put(entry)
        for name in deleted:
            self._doubts.settle(name)
            self.remove(name, store_was_away=store_was_away)
        self._index()

    @property
    def _is_just_restored(self) -> bool:
        """Whether upstreams that the store lacks may be registering again."""
        age = self.restoration.age
        return age is not None and age < RETURN_SECONDS

    @property
    def _may_register_again(self) -> bool:
        """Whether other hosts may miss what a restored store lacks."""
        age = self.restoration.age
        return age is not None and age < 2 * RETURN_SECONDS

    def _had_left(self, entry: UpstreamEntry, removed: int | None) -> bool:
        """Return whether the life that an entry names had left before.

        Args:
            entry: An entry of a restored store.
            removed: The life of that name which was taken out last, if any.
        """
        known = self.upstreams.get(entry.name)
        if known is None:
            return removed is not None and entry.born <= removed
        if entry.born != known.entry.born:
            return False
        was_draining = known.entry.phase is UpstreamPhase.draining
        drains = entry.phase is UpstreamPhase.draining
        return known.gone_at is not None or (was_draining and not drains)

    def is_missing(self, name: str) -> bool:
        """Return whether an upstream is kept though its entry vanished."""
        return name in self._missing

    def remove(self, name: str, *, store_was_away: bool) -> None:
        """Note that an entry is not there any more."""
        upstream = self.upstreams.get(name)
        if upstream is None or upstream.gone_at is not None:
            return
        now = self.clock()
        if store_was_away and name not in self._missing:
            self._missing[name] = now + RETURN_SECONDS
            log_event('upstream-missing', upstream=name, wait=RETURN_SECONDS)
            return
        if not store_was_away:
            self._forget(upstream, now)

    def expire_missing(self) -> None:
        """Take upstreams as gone that did not come back in time."""
        now = self.clock()
        self._end_doubts()
        late = [name for name, end in self._missing.items() if end <= now]
        for name in late:
            self._forget(self.upstreams[name], now)
        self.upstreams = {
            name: upstream
            for name, upstream in self.upstreams.items()
            if upstream.gone_at is None or upstream.in_flight
        }
        if late:
            self._index()

    def _end_doubts(self) -> None:
        """Take in entries that the store still lists: their upstreams live."""
        if self.restoration.is_recent or not self._doubts.entries:
            return
        for entry in self._doubts.release():
            self._put(entry)
        self._index()

    def mark_gone(self, name: str) -> None:
        """Note that another upstream has taken over an address."""
        upstream = self.upstreams.get(name)
        if upstream is None or upstream.has_ended:
            return
        upstream.has_ended = True
        self._forget(upstream, self.clock())
        self._index()

    def note_ended(self, life: str) -> Upstream | None:
        """Avoid a life that was found to have ended, here or by another host.

        Its entry lapses within that time, or a later life takes its name. That
        one is cold, and requests meant for this one would flood it until hosts
        have read its entry: 30 in a second were seen where 8 are borne.

        Args:
            incarnation: The life, as `Upstream.life` names it.

        Returns:
            Its upstream; None if that has another life by now.
        """
        upstream = self.upstreams.get(life.rpartition('@')[0])
        if upstream is None or upstream.incarnation != life:
            return None
        end = self.clock() + ASSUMED_COLD_SECONDS
        upstream.avoided_until = max(upstream.avoided_until, end)
        return upstream

    def mark_cold(self, zone: str, seconds_of: Callable[[str], float]) -> None:
        """Treat a zone's upstreams as cold, after it was evacuated.

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
        since restarted. Sending it the load of its previous life would
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
        if known is not None and _is_older(entry, known.entry):
            # It arrives late, by another way, and would bring a life back.
            log_event(
                'upstream-entry-ignored',
                upstream=entry.name,
                revision=entry.revision,
                known=known.entry.revision,
            )
            return
        if known is not None and entry.born > known.entry.born:
            self._end_life(known, entry)
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
            )
        known.entry = entry
        if entry.cold_seconds > 0:
            known.cold_until = max(known.cold_until, now + entry.cold_seconds)

    def _end_life(self, upstream: Upstream, entry: UpstreamEntry) -> None:
        """Drop all that was learned of an upstream that has started again."""
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

    def _forget(self, upstream: Upstream, now: float) -> None:
        self._missing.pop(upstream.name, None)
        upstream.gone_at = now
        entry = upstream.entry
        self._removals.note(Removal(self.revision, entry.name, entry.born))
        log_event(
            'upstream-gone',
            upstream=upstream.name,
            service=upstream.entry.service,
            in_flight=upstream.in_flight,
        )

    def _index(self) -> None:
        self.generation += 1
        self._by_service = {}
        for upstream in self.upstreams.values():
            if upstream.takes_work:
                service = upstream.entry.service
                self._by_service.setdefault(service, []).append(upstream)


def _is_older(entry: UpstreamEntry, known: UpstreamEntry) -> bool:
    """Return whether an entry was written before the known one."""
    if entry.born != known.born:
        return entry.born < known.born
    return entry.revision < known.revision


def _with_cold(entry: UpstreamEntry, seconds: float) -> UpstreamEntry:
    return replace(entry, cold_seconds=seconds)
