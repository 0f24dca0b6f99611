"""Keeps the evidence against suspect requests in the store.

Hosts exchange evidence directly. The store serves hosts that cannot reach each
other and preserves the evidence if all hosts are lost. One object holds the
evidence of all hosts; only the sentinels, a few per fleet, watch and write it.
"""

import asyncio
from collections.abc import Mapping
from random import Random

from result import Err, Ok

from wardstair.decisions.suspicion import Evidence
from wardstair.errors import VersionConflict
from wardstair.platform.objects import (
    SUSPECTS_KIND,
    SUSPECTS_NAME,
    StoredObject,
    decode_suspects,
    encode_suspects,
)
from wardstair.platform.store import Store
from wardstair.platform.store_answers import Changes, Listing
from wardstair.process.log import log_event
from wardstair.state.contact import StoreContact
from wardstair.state.revision import NO_REVISION, Revision
from wardstair.state.roles import Roles
from wardstair.state.suspects import SuspectTable
from wardstair.state.watching import KindWatcher, WatchPlan, WatchSinks

# Maximum random delay before a write, so that usually only one of the sentinels
# with the same evidence writes. Including the watch, other sentinels receive it
# within 0.5 s.
SPREAD_SECONDS = 0.3
# Upstreams often crash in series. A pause combines the evidence of several
# crashes in one write.
PAUSE_SECONDS = 0.5
# Interval at which a host checks whether it has become a sentinel.
POLL_SECONDS = 1.0


class SuspectSharing:
    """Reads and writes the shared object, with a task for each direction."""

    def __init__(
        self,
        store: Store,
        contact: StoreContact,
        suspects: SuspectTable,
        roles: Roles,
        random: Random,
    ) -> None:
        """Initialize without calling the store.

        Args:
            store: The store.
            contact: Contact with it.
            suspects: The evidence known to this host.
            roles: The roles of this host.
            random: Source of the random delay of writes.
        """
        self.changed = asyncio.Event()
        self.watcher = KindWatcher(
            store,
            contact,
            WatchPlan(SUSPECTS_KIND, is_wanted=roles.is_sentinel),
            WatchSinks(self._list, self._change, _ignore_revision),
        )
        self._store = store
        self._contact = contact
        self._suspects = suspects
        self._roles = roles
        self._random = random
        # Last known content of the object, and its revision.
        self._stored: Mapping[str, Evidence] = {}
        self._revision = NO_REVISION

    @property
    def is_due(self) -> bool:
        """Whether this host has evidence that the object lacks."""
        if not self._roles.is_sentinel() or not self._contact.is_held:
            return False
        return self.watcher.has_listed and any(
            not _covers(self._stored.get(request), one)
            for request, one in self._suspects.shared.items()
        )

    async def run(self) -> None:
        """Write evidence that the object lacks until cancelled."""
        while True:
            self.changed.clear()
            if self.is_due:
                await asyncio.sleep(self._random.random() * SPREAD_SECONDS)
            if self.is_due:
                await self._write()
                await asyncio.sleep(PAUSE_SECONDS)
            await self._wait()

    async def _wait(self) -> None:
        try:
            async with asyncio.timeout(POLL_SECONDS):
                await self.changed.wait()
        except TimeoutError:
            # Changes of roles and contact are not signalled.
            return

    async def _write(self) -> None:
        """Merge this host's evidence into the object.

        The object is read immediately before: after a restore of the store the
        known revision number may have been issued again, for a write of another
        host, which a conditional write would overwrite.
        """
        await self._reload()
        if not self.is_due:
            return
        shared = self._suspects.shared
        document = encode_suspects(shared, self._revision.number)
        if self._revision.number:
            written = await self._store.replace(
                SUSPECTS_KIND,
                SUSPECTS_NAME,
                document,
            )
        else:
            written = await self._store.create(SUSPECTS_KIND, document)
        match written:
            case Ok(stored):
                self._contact.note_success()
                log_event('suspects-stored', count=len(shared))
                await self._adopt_written(stored)
            case Err(VersionConflict()):
                # Another sentinel has written. Its evidence arrives by the
                # watch, or by this listing if the watch is behind.
                self._contact.note_success()
                await self._reload()
            case Err(error):
                reason = getattr(error, 'message', type(error).__name__)
                self._contact.note_failure(f'suspects: {reason}')

    async def _adopt_written(self, stored: StoredObject | None) -> None:
        """Use the written object, or read it if the answer lacks it."""
        if stored is None:
            # The next write needs its revision.
            await self._reload()
        else:
            self._adopt(stored)

    async def _reload(self) -> None:
        listed = await self._store.list_kind(SUSPECTS_KIND)
        match listed:
            case Ok(listing):
                self._list(listing)
            case Err(error):
                reason = getattr(error, 'message', type(error).__name__)
                self._contact.note_failure(f'suspects: {reason}')

    def _list(self, listing: Listing) -> None:
        if not listing.objects:
            self._stored = {}
            self._revision = NO_REVISION
        for stored in listing.objects:
            self._adopt(stored)

    def _change(self, changes: Changes) -> None:
        for change in changes.changes:
            if change.is_deleted:
                self._stored = {}
                self._revision = NO_REVISION
            else:
                self._adopt(change.stored)

    def _adopt(self, stored: StoredObject) -> None:
        revision = stored.revision
        if stored.metadata.name != SUSPECTS_NAME or revision < self._revision:
            return
        self._revision = revision
        decoded = decode_suspects(stored)
        if decoded is None:
            # The next change of this host's evidence overwrites the object.
            log_event('suspects-unreadable', revision=revision)
            return
        self._stored = decoded
        self._suspects.add_evidence(decoded)


def _covers(stored: Evidence | None, known: Evidence) -> bool:
    """Return whether the object has all of a host's evidence of a request."""
    if stored is None:
        return False
    return (
        stored.ended.keys() >= known.ended.keys()
        and stored.answered >= known.answered
        and stored.lifted_at >= known.lifted_at
    )


def _ignore_revision(_revision: Revision) -> None:
    """Do nothing; the other watchers handle the store's revision."""
