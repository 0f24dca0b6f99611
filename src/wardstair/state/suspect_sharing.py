"""Keeps what is known of requests that end upstreams in the store.

Hosts tell one another first; the store is for hosts that are cut off from each
other, and for what has to outlast the loss of all of them. One object holds
what all know: sentinels, a few a fleet, follow it and write it.
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

# Sentinels that learn of the same wait up to this long, so that mostly one of
# them writes; with the watch that follows, others know within 0.5 s.
SPREAD_SECONDS = 0.3
# Ends come in series; each write takes in what came since the last one.
PAUSE_SECONDS = 0.5
# How often a host looks whether it has become a sentinel.
LOOK_SECONDS = 1.0


class SuspectSharing:
    """Reads and writes the one object; a task of its own runs each half."""

    def __init__(
        self,
        store: Store,
        contact: StoreContact,
        suspects: SuspectTable,
        roles: Roles,
        random: Random,
    ) -> None:
        """Prepare without a call.

        Args:
            store: The store.
            contact: Contact with it.
            suspects: What this host knows.
            roles: What this host does for others.
            random: Source of the spread of writes.
        """
        self.changed = asyncio.Event()
        self.watcher = KindWatcher(
            store,
            contact,
            WatchPlan(SUSPECTS_KIND, is_wanted=roles.is_sentinel),
            WatchSinks(self._list, self._change, _pass_revision),
        )
        self._store = store
        self._contact = contact
        self._suspects = suspects
        self._roles = roles
        self._random = random
        # What the object holds as far as this host knows, and its revision.
        self._stored: Mapping[str, Evidence] = {}
        self._revision = NO_REVISION

    @property
    def is_due(self) -> bool:
        """Whether this host has something that the object lacks."""
        if not self._roles.is_sentinel() or not self._contact.is_held:
            return False
        return self.watcher.has_listed and any(
            not _covers(self._stored.get(request), one)
            for request, one in self._suspects.shared.items()
        )

    async def run(self) -> None:
        """Write what the object lacks until cancelled."""
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
            async with asyncio.timeout(LOOK_SECONDS):
                await self.changed.wait()
        except TimeoutError:
            # Roles and contact change without a word.
            return

    async def _write(self) -> None:
        """Write what this host knows over what the object holds now.

        It is read right before: after a restore of the store the revision that
        this host knows may have been issued again, for what others wrote.
        """
        await self._list_anew()
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
                await self._take_written(stored)
            case Err(VersionConflict()):
                # Another has written; its word comes by the watch, or by a
                # listing if the watch is behind.
                self._contact.note_success()
                await self._list_anew()
            case Err(error):
                reason = getattr(error, 'message', type(error).__name__)
                self._contact.note_failure(f'suspects: {reason}')

    async def _take_written(self, stored: StoredObject | None) -> None:
        """Take in the object as written, or read it if it was not answered."""
        if stored is None:
            # The next write needs its revision.
            await self._list_anew()
        else:
            self._take_in(stored)

    async def _list_anew(self) -> None:
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
            self._take_in(stored)

    def _change(self, changes: Changes) -> None:
        for change in changes.changes:
            if change.is_deleted:
                self._stored = {}
                self._revision = NO_REVISION
            else:
                self._take_in(change.stored)

    def _take_in(self, stored: StoredObject) -> None:
        revision = stored.revision
        if stored.metadata.name != SUSPECTS_NAME or revision < self._revision:
            return
        self._revision = revision
        told = decode_suspects(stored)
        if told is None:
            # Written anew, with what this host knows, when that changes.
            log_event('suspects-unreadable', revision=revision)
            return
        self._stored = told
        self._suspects.add_evidence(told)


def _covers(stored: Evidence | None, known: Evidence) -> bool:
    """Return whether the object has what a host knows of a request."""
    if stored is None:
        return False
    return (
        stored.ended.keys() >= known.ended.keys()
        and stored.answered >= known.answered
        and stored.lifted_at >= known.lifted_at
    )


def _pass_revision(_revision: Revision) -> None:
    """Leave the store's revision to the other followers."""
