"""Keeps the local state up to date from the platform's store."""

import asyncio
from collections.abc import Callable, Iterable
from functools import partial

from result import Err

from wardstair.decisions.entry_expiry import ExpiryTimes, are_entries_restored
from wardstair.decisions.timing import Timing
from wardstair.platform.objects import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    EVACUATION_KIND,
    UPSTREAM_KIND,
    StoredObject,
)
from wardstair.platform.store import WATCH_MARGIN_SECONDS, Store
from wardstair.platform.store_answers import Changes, Listing
from wardstair.platform.upstream_entries import (
    UnusableEntry,
    decode_upstream_entry,
    is_name,
)
from wardstair.process.log import log_event, log_warning
from wardstair.process.log_limit import WarningLimit
from wardstair.state.catalog import RETURN_SECONDS
from wardstair.state.contact import StoreContact
from wardstair.state.entries import UpstreamEntry
from wardstair.state.local_state import LocalState
from wardstair.state.revision import NO_REVISION, Revision
from wardstair.state.roles import Roles, ignore
from wardstair.state.rollout_sync import RolloutSync
from wardstair.state.watching import (
    WATCH_SECONDS,
    KindWatcher,
    WatchPlan,
    WatchSinks,
)

# Time for a watch to deliver a change after another answer has shown a higher
# revision of the store.
LAG_SECONDS = 0.15


class StoreSync:
    """Watches the steering kinds and checks contact with the store."""

    def __init__(
        self,
        store: Store,
        contact: StoreContact,
        local_state: LocalState,
        roles: Roles,
        timing: Callable[[], Timing],
    ) -> None:
        """Initialize without calling the store.

        Args:
            store: The store.
            contact: Contact with it.
            local_state: The state to update.
            roles: The roles of this host.
            timing: Returns the intervals for the bounds in force.
        """
        self._store = store
        self._contact = contact
        self._local_state = local_state
        local_state.catalog.rules_out_expiry = self._rules_out_expiry
        self.on_update: Callable[[], None] = ignore
        # Entries of the store that cannot be decoded, with the reason.
        self.unusable: dict[str, UnusableEntry] = {}
        self._unusable_warnings = WarningLimit('upstream-unusable')
        self._evacuated: set[str] = set()
        self._roles = roles
        self._timing = timing
        self._checking: asyncio.Task[None] | None = None
        self._was_sentinel = False
        self.configuration = KindWatcher(
            store,
            contact,
            WatchPlan(CONFIGURATION_KIND, is_wanted=roles.is_relay),
            WatchSinks(
                self._list_configuration,
                self._change_configuration,
                self._note_revision,
                partial(local_state.age.note_read, CONFIGURATION_KIND),
            ),
        )
        self.evacuations = KindWatcher(
            store,
            contact,
            WatchPlan(
                EVACUATION_KIND,
                is_wanted=roles.is_relay,
                wait=self._evacuation_wait,
                tolerance=self._evacuation_tolerance,
            ),
            WatchSinks(
                self._list_evacuations,
                self._change_evacuations,
                self._note_revision,
                partial(local_state.age.note_read, EVACUATION_KIND),
            ),
        )
        self.upstreams = KindWatcher(
            store,
            contact,
            WatchPlan(
                UPSTREAM_KIND,
                pause=lambda: timing().coalescing_delay,
                is_wanted=self._wants_upstreams,
                poll_interval=lambda: timing().role_poll_interval,
                resumes=True,
            ),
            WatchSinks(
                self._list_upstreams,
                self._change_upstreams,
                self._note_revision,
                partial(local_state.age.note_read, UPSTREAM_KIND),
            ),
        )

        # None if roll-outs are not in use.
        self.rollouts: RolloutSync | None = None
        if local_state.rollouts.is_in_use:
            self.rollouts = RolloutSync(
                store,
                contact,
                local_state.rollouts,
                roles,
                self._note_revision,
            )
            self.rollouts.on_update = self._update

    @property
    def watchers(self) -> tuple[KindWatcher, ...]:
        """The watchers of the steering kinds, and of roll-outs if in use."""
        steering = (self.configuration, self.evacuations, self.upstreams)
        if self.rollouts is None:
            return steering
        return (*steering, self.rollouts.watcher)

    def close(self) -> None:
        """Cancel checks that are in progress."""
        if self._checking is not None:
            self._checking.cancel()
        if self.rollouts is not None:
            self.rollouts.close()

    def update_role(self) -> bool:
        """Start short watches if this host has just become a sentinel.

        A sentinel watches the evacuations with a short wait
        (`_evacuation_wait`). The watch in progress may wait much longer, and
        its lateness is not checked, so it is renewed.

        Returns:
            Whether this host has become a sentinel since the last call.
        """
        is_sentinel = self._roles.is_sentinel()
        has_become = is_sentinel and not self._was_sentinel
        self._was_sentinel = is_sentinel
        if has_become:
            self.evacuations.renew_watch()
        return has_become

    async def check(self) -> None:
        """Query the store for all changes that this host may lack."""
        self._skip_to_known()
        await asyncio.gather(*(watcher.check() for watcher in self.watchers))

    async def list_upstreams(self) -> bool:
        """List the upstreams anew; return whether the store has answered."""
        return await self.upstreams.list_again()

    async def probe_contact(self) -> None:
        """Check contact by cheap reads until cancelled.

        A waiting watch cannot distinguish a store without changes from an
        unreachable one. The read also detects a configuration version that a
        watch missed.
        """
        while True:
            is_relay = self._roles.is_relay()
            timing = self._timing()
            await asyncio.sleep(
                timing.contact_check_interval
                if is_relay
                else timing.rare_contact_check_interval
            )
            if self._contact.is_lost and is_relay:
                # The watches of a relay already retry the store.
                continue
            read = await self._store.read_stale(
                CONFIGURATION_KIND,
                CONFIGURATION_NAME,
            )
            if isinstance(read, Err):
                reason = getattr(read.err_value, 'message', 'configuration')
                self._contact.note_failure(f'contact check: {reason}')
                continue
            self._contact.note_success()
            self._offer(read.ok_value, 'stale-read')

    def _evacuation_wait(self) -> float:
        """Return how long a watch of the evacuations waits, in seconds.

        Each answer carries the store's revision, which shows changes that
        another watch has missed because its connection broke silently. A
        sentinel therefore uses short watches.
        """
        if self._roles.is_first_sentinel():
            return self._timing().watch
        if self._roles.is_sentinel():
            return self._timing().second_watch
        return WATCH_SECONDS

    def _evacuation_tolerance(self) -> float | None:
        """Return how late the answer to that watch may be, in seconds.

        Returns:
            The tolerance; None if this host is not a sentinel.
        """
        if not self._roles.is_sentinel():
            return None
        min_tolerance = self._timing().watch_tolerance
        return self._store.answer_timeout.timeout(
            min_tolerance, WATCH_MARGIN_SECONDS
        )

    def _wants_upstreams(self) -> bool:
        if not self._roles.is_sentinel():
            return False
        self._skip_to_known()
        return True

    def _skip_to_known(self) -> None:
        """Continue from the revision of the upstreams received from peers."""
        if self._local_state.catalog.revision != NO_REVISION:
            self.upstreams.skip_to(self._local_state.catalog.revision)

    def _note_revision(self, revision: Revision) -> None:
        """Check the kinds whose watches are behind the store's revision."""
        if self.rollouts is not None:
            # Another host may have sent an upstream of a new version.
            self.rollouts.refresh()
        behind = self._behind(revision)
        if not behind or not self._roles.is_sentinel():
            return
        if self._checking is None or self._checking.done():
            self._checking = asyncio.ensure_future(self._check(revision))

    def _behind(self, revision: Revision) -> list[KindWatcher]:
        self._skip_to_known()
        return [
            watcher for watcher in self.watchers if watcher.may_lack(revision)
        ]

    async def _check(self, revision: Revision) -> None:
        await asyncio.sleep(LAG_SECONDS)
        behind = self._behind(revision)
        await asyncio.gather(*(watcher.check() for watcher in behind))

    def _update(self) -> None:
        self.on_update()

    def _check_versions(self, entries: Iterable[UpstreamEntry]) -> None:
        if self.rollouts is not None:
            self.rollouts.check_versions(entries)

    def _list_configuration(self, listing: Listing) -> None:
        for stored in listing.objects:
            self._offer(stored, 'listing')

    def _offer(self, stored: StoredObject, source: str) -> None:
        if self._local_state.offer_configuration(stored, source):
            self.on_update()

    def _change_configuration(self, changes: Changes) -> None:
        for change in changes.changes:
            if not change.is_deleted:
                self._offer(change.stored, 'watch')

    def _list_evacuations(self, listing: Listing) -> None:
        self._evacuated = {
            stored.metadata.name
            for stored in listing.objects
            if is_name(stored.metadata.name)
        }
        self._update_evacuated(listing.revision, 'listing')

    def _change_evacuations(self, changes: Changes) -> None:
        for change in changes.changes:
            zone = change.stored.metadata.name
            if change.is_deleted:
                self._evacuated.discard(zone)
            elif is_name(zone):
                self._evacuated.add(zone)
        self._update_evacuated(changes.revision, 'watch')

    def _update_evacuated(self, revision: Revision, source: str) -> None:
        if self._local_state.set_evacuated(self._evacuated, revision, source):
            self.on_update()

    def _list_upstreams(self, listing: Listing) -> None:
        catalog = self._local_state.catalog
        if self._is_late(listing.revision):
            self._ignore_upstreams(listing.revision, 'listing')
            return
        listed = {stored.metadata.name for stored in listing.objects}
        self.unusable = {
            name: fault
            for name, fault in self.unusable.items()
            if name in listed
        }
        entries = self._decode_all(listing.objects)
        is_newer = listing.revision > catalog.revision
        catalog.replace_all(
            entries,
            listing.revision,
            store_was_away=self._contact.was_lost_recently,
        )
        log_event(
            'upstreams-listed',
            revision=listing.revision,
            count=len(entries),
            used=len(catalog.in_service),
        )
        self._check_versions(entries)
        if is_newer:
            self.on_update()

    def _is_late(self, listed: Revision) -> bool:
        """Return whether peers have sent changes later than a listing.

        A store that reports no era may have been restored, so its listing is
        always used.
        """
        known = self._local_state.catalog.revision
        return listed < known and known.era != NO_REVISION.era

    def _change_upstreams(self, changes: Changes) -> None:
        catalog = self._local_state.catalog
        if not changes.changes:
            # Adopting a higher revision alone would make peers fetch state.
            return
        if changes.revision == catalog.revision:
            # Another sentinel has already sent this change.
            self._correct_upstreams(changes)
            return
        if changes.revision < catalog.revision:
            self._ignore_upstreams(changes.revision, 'watch')
            return
        # If an object changes several times in one answer, the last change
        # counts.
        last = {
            change.stored.metadata.name: change for change in changes.changes
        }
        kept = [one.stored for one in last.values() if not one.is_deleted]
        deleted = [name for name, one in last.items() if one.is_deleted]
        for name in deleted:
            self.unusable.pop(name, None)
        entries = self._decode_all(kept)
        # An entry that has become unusable no longer lists its upstream.
        unusable = [name for name in last if name in self.unusable]
        catalog.apply(
            entries,
            [*deleted, *unusable],
            changes.revision,
            store_was_away=self._contact.was_lost_recently,
        )
        log_event(
            'upstreams-read',
            revision=changes.revision,
            count=len(entries),
            removed=len(deleted),
            used=len(catalog.in_service),
        )
        self._check_versions(entries)
        self.on_update()

    def _correct_upstreams(self, changes: Changes) -> None:
        """Apply what the store reports differently from peers.

        At the same revision, the store's own answer decides. A peer may have
        taken a removal for an expiry, or have sent incomplete changes.
        """
        catalog = self._local_state.catalog
        last = {
            change.stored.metadata.name: change for change in changes.changes
        }
        deleted = [
            name
            for name, one in last.items()
            if one.is_deleted
            and (catalog.is_present(name) or catalog.is_missing(name))
        ]
        kept = [one.stored for one in last.values() if not one.is_deleted]
        entries = self._decode_all(kept)
        self._check_versions(entries)
        changed = [entry for entry in entries if catalog.lacks(entry)]
        if not deleted and not changed:
            return
        log_event(
            'upstreams-corrected',
            revision=changes.revision,
            count=len(changed),
            removed=len(deleted),
        )
        catalog.apply(
            changed,
            deleted,
            changes.revision,
            store_was_away=self._contact.was_lost_recently,
        )

    def _rules_out_expiry(self) -> bool:
        """Return whether contact shows that no entry can have expired."""
        period = self._contact.contact_period
        if period is None:
            return False
        times = ExpiryTimes(
            self._contact.tolerated_outage_seconds(), RETURN_SECONDS
        )
        return are_entries_restored([period], times, self._local_state.clock())

    def _ignore_upstreams(self, revision: Revision, source: str) -> None:
        log_event(
            'news-ignored',
            kind=UPSTREAM_KIND,
            revision=revision,
            known=self._local_state.catalog.revision,
            source=source,
        )

    def _decode_all(
        self, objects: Iterable[StoredObject]
    ) -> list[UpstreamEntry]:
        """Return the usable entries and log the others."""
        entries = []
        for stored in objects:
            name = stored.metadata.name
            match decode_upstream_entry(stored):
                case UpstreamEntry() as entry:
                    self.unusable.pop(name, None)
                    entries.append(entry)
                case UnusableEntry() as fault:
                    self._log_unusable(name, fault)
        return entries

    def _log_unusable(self, name: str, fault: UnusableEntry) -> None:
        if self.unusable.get(name) == fault:
            return
        self.unusable[name] = fault
        if self._unusable_warnings.admits(fault.field, fault.expected, name):
            log_warning(
                'upstream-unusable',
                upstream=name,
                field=fault.field,
                expected=fault.expected,
            )
