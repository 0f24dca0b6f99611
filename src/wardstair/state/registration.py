"""Registers this entry host in the store, finds others, removes dead ones."""

import asyncio
from collections.abc import Awaitable, Callable

from result import Err, Ok

from wardstair.decisions.membership import rendezvous
from wardstair.errors import ObjectMissing, VersionConflict
from wardstair.fleet.beats import PeerName
from wardstair.fleet.members import Members
from wardstair.platform.objects import (
    HOST_KIND,
    StoredObject,
    decode_host,
    encode_host,
)
from wardstair.platform.store import Store
from wardstair.process.log import log_event
from wardstair.state.contact import StoreContact

Step = Callable[[], Awaitable[bool]]
# How often hosts are looked for that are gone for good.
CLEANING_SECONDS = 10.0


class Registration:
    """This host's object in the store, and those of others."""

    def __init__(
        self,
        store: Store,
        contact: StoreContact,
        own: PeerName,
        members: Members,
    ) -> None:
        """Prepare without a call.

        Args:
            store: The store.
            contact: Contact with it.
            own: This host.
            members: Where found hosts are noted.
        """
        self._store = store
        self._contact = contact
        self._own = own
        self._members = members
        self._revisions: dict[str, int] = {}

    async def run(self) -> None:
        """Register, find the others, then clean up until cancelled."""
        await self._until_done(self._register)
        await self._until_done(self._find_others)
        while True:
            await asyncio.sleep(CLEANING_SECONDS)
            await self._clean()

    async def _until_done(self, step: Step) -> None:
        while True:
            await self._contact.wait_turn()
            if await step():
                return

    async def _register(self) -> bool:
        own = self._own
        document = encode_host(own)
        created = await self._store.create(HOST_KIND, document)
        match created:
            case Ok():
                self._contact.note_success()
                return True
            case Err(VersionConflict()):
                # From an earlier run of this host, or its own call whose
                # answer was lost; the addresses may have changed.
                replaced = await self._store.replace(
                    HOST_KIND,
                    own.name,
                    document,
                )
                self._contact.note_success()
                return isinstance(replaced, Ok)
            case Err(error):
                reason = getattr(error, 'message', type(error).__name__)
                self._contact.note_failure(f'registration: {reason}')
                return False

    async def _find_others(self) -> bool:
        listed = await self._store.list_kind(HOST_KIND)
        if isinstance(listed, Err):
            reason = getattr(listed.err_value, 'message', 'hosts')
            self._contact.note_failure(f'hosts: {reason}')
            return False
        self._contact.note_success()
        found: list[PeerName] = []
        for stored in listed.ok_value.objects:
            self._note(stored, found)
        self._members.learn(found)
        log_event('hosts-found', count=len(found))
        return True

    def _note(self, stored: StoredObject, found: list[PeerName]) -> None:
        host = decode_host(stored)
        if host is None:
            log_event('host-unreadable', host=stored.metadata.name)
            return
        self._revisions[host.name] = stored.metadata.revision
        found.append(host)

    async def _clean(self) -> None:
        """Remove hosts that are gone; one live host does it for each."""
        if not self._contact.is_held:
            return
        live = self._members.live_in_zone()
        for name in self._members.forgotten():
            chosen = rendezvous(live, f'clean {name}', 1)
            if chosen != [self._own.name]:
                continue
            revision = self._revisions.get(name)
            if revision is None:
                continue
            deleted = await self._store.delete(HOST_KIND, name, revision)
            match deleted:
                case Ok() | Err(ObjectMissing()) | Err(VersionConflict()):
                    # In conflict the host has registered anew: it lives.
                    self._revisions.pop(name, None)
                    log_event('host-removed', host=name, outcome=str(deleted))
                case Err(error):
                    # Tried again at the next cleaning.
                    reason = getattr(error, 'message', type(error).__name__)
                    log_event('host-not-removed', host=name, reason=reason)
                    return
