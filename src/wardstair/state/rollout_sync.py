"""Keeps the roll-outs up to date from the platform's store."""

import asyncio
from collections.abc import Callable, Iterable

from wardstair.platform.objects import StoredObject
from wardstair.platform.rollouts import ROLLOUT_KIND, decode_rollout
from wardstair.platform.store import Store
from wardstair.platform.store_answers import Changes, Listing
from wardstair.process.log import log_event
from wardstair.state.contact import StoreContact
from wardstair.state.entries import UpstreamEntry
from wardstair.state.revision import Revision
from wardstair.state.roles import Roles, ignore
from wardstair.state.rollouts import Rollout, RolloutTable, UnusableRollout
from wardstair.state.watching import KindWatcher, WatchPlan, WatchSinks

# Pause after a check that did not bring all orders that are needed.
RETRY_SECONDS = 0.25


class RolloutSync:
    """Watches the orders and their records; only sentinels do.

    Attributes:
        on_update: Called when other hosts lack something.
        watcher: The watcher of the kind.
    """

    def __init__(
        self,
        store: Store,
        contact: StoreContact,
        table: RolloutTable,
        roles: Roles,
        on_revision: Callable[[Revision], None],
    ) -> None:
        """Initialize without calling the store.

        Args:
            store: The store.
            contact: Contact with it.
            table: The table to update.
            roles: The roles of this host.
            on_revision: Receives the store's revision of each answer to a
                watch.
        """
        self.on_update: Callable[[], None] = ignore
        self.watcher = KindWatcher(
            store,
            contact,
            WatchPlan(ROLLOUT_KIND, is_wanted=roles.is_sentinel),
            WatchSinks(
                self._list, self._change, on_revision, self._note_complete
            ),
        )
        self._table = table
        self._roles = roles
        self._objects: dict[str, Rollout | UnusableRollout] = {}
        self._checking: asyncio.Task[None] | None = None

    def close(self) -> None:
        """Cancel a check that is in progress."""
        if self._checking is not None:
            self._checking.cancel()

    def check_versions(self, entries: Iterable[UpstreamEntry]) -> None:
        """Ask the store for orders that upstreams of new versions need.

        Args:
            entries: Entries that the store has just reported.
        """
        waiting = [one for one in entries if self._table.needs_check(one)]
        if waiting:
            self.refresh()

    def refresh(self) -> None:
        """Ask the store for orders if a version waits for them.

        The store is not asked if all orders up to the entries are known here;
        other hosts then learn that from the revision of the table.
        """
        if not (self._lacks_orders and self._roles.is_sentinel()):
            return
        if self.watcher.has_listed:
            self._raise_revision(self.watcher.revision)
        is_checking = self._checking is not None and not self._checking.done()
        if self._lacks_orders and not is_checking:
            self._checking = asyncio.ensure_future(self._check())

    @property
    def _lacks_orders(self) -> bool:
        needed = self._table.withheld_at
        return needed is not None and needed > self._table.revision

    async def _check(self) -> None:
        while self._lacks_orders and self._roles.is_sentinel():
            await self.watcher.check()
            if self._lacks_orders:
                await asyncio.sleep(RETRY_SECONDS)

    def _note_complete(self, revision: Revision, _moment: float) -> None:
        if self._lacks_orders:
            self._raise_revision(revision)

    def _raise_revision(self, revision: Revision) -> None:
        before = self._table.revision
        self._table.raise_revision(revision)
        if self._table.revision == before:
            return
        log_event('rollouts-checked', revision=revision, before=before)
        self.on_update()

    def _list(self, listing: Listing) -> None:
        self._objects = {}
        self._decode(listing.objects)
        self._replace(listing.revision, 'listing')

    def _change(self, changes: Changes) -> None:
        for change in changes.changes:
            if change.is_deleted:
                self._objects.pop(change.stored.metadata.name, None)
            else:
                self._decode((change.stored,))
        self._replace(changes.revision, 'watch')

    def _decode(self, objects: Iterable[StoredObject]) -> None:
        for stored in objects:
            self._objects[stored.metadata.name] = decode_rollout(stored)

    def _replace(self, revision: Revision, source: str) -> None:
        rollouts = []
        refused = []
        for stored in self._objects.values():
            match stored:
                case Rollout():
                    rollouts.append(stored)
                case UnusableRollout():
                    refused.append(stored)
        if self._table.replace_all(rollouts, revision, source, refused):
            self.on_update()
