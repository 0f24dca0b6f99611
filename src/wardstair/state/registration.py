"""The registry of entry hosts in the store, a fallback for discovery.

Hosts usually find each other through seeds and through other hosts. The
registry covers the cases in which this fails: seeds that no longer exist, and
parts of a fleet that started separately. Only relays and hosts without any peer
read and write it, so that its cost grows with the number of zones and not with
the number of hosts.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import replace

from result import Err, Ok

from wardstair.decisions.membership import rendezvous
from wardstair.decisions.timing import SETTLE_SECONDS
from wardstair.errors import ObjectMissing, PlatformError, VersionConflict
from wardstair.fleet.heartbeats import PeerName
from wardstair.fleet.members import Members
from wardstair.platform.objects import (
    HOST_KIND,
    RegisteredHost,
    StoredObject,
    decode_host,
    encode_host,
)
from wardstair.platform.store import Store
from wardstair.process.log import log_event
from wardstair.state.contact import StoreContact
from wardstair.state.restoration import FIRST_ERA, Restoration
from wardstair.state.revision import Revision

Step = Callable[[], Awaitable[bool]]
# Interval at which a relay reads the registry and removes hosts that are gone.
# Separately started parts of a zone find each other within this time plus one
# heartbeat.
DISCOVERY_SECONDS = 15.0
# Interval at which a host checks whether it has become a relay.
POLL_SECONDS = 1.0
# A host's object is rewritten when the fleet has grown by this factor. Isolated
# hosts compute their shares from the stated fleet size, so this keeps them from
# using more than twice their share.
GROWN_FACTOR = 2.0


class Registration:
    """This host's object in the store and those of other hosts."""

    def __init__(
        self,
        store: Store,
        contact: StoreContact,
        own: PeerName,
        members: Members,
        restoration: Restoration,
        *,
        is_first_start: bool,
    ) -> None:
        """Initialize without calling the store.

        Args:
            store: The store.
            contact: Contact with it.
            own: This host.
            members: Receives the hosts that are found.
            restoration: The last restore of the store.
            is_first_start: Whether the whole fleet starts for the first time.
        """
        self._store = store
        self._contact = contact
        self._own = own
        self._members = members
        self._restoration = restoration
        # Revisions of the hosts' objects as last read, by host name.
        self._revisions: dict[str, Revision] = {}
        self._is_first_start = is_first_start
        self._is_registered = False
        # Fleet size in this host's object; 0 without an object.
        self._stated_size = 0
        # Complete era in this host's object.
        self._stated_era = 0

    async def run(self) -> None:
        """Register and discover hosts while a relay, until cancelled."""
        await asyncio.sleep(SETTLE_SECONDS)
        while True:
            if self._members.is_relay:
                await self._discover()
                await asyncio.sleep(DISCOVERY_SECONDS)
            else:
                await asyncio.sleep(POLL_SECONDS)

    async def check_for_restore(self) -> None:
        """Determine whether the store may have been restored recently.

        Does nothing on the first start of the fleet, if a host with a
        configuration sent a heartbeat, or if the store is in its first era or
        reports none. Otherwise, a recent restore is assumed unless a host's
        object states that the current era is complete. It is also assumed if
        the objects cannot be read.
        """
        if self._is_first_start or self._members.has_heard_configured:
            return
        await self._contact.wait_first_answer()
        if self._contact.era <= FIRST_ERA:
            return
        self._restoration.enter(self._contact.era)
        await self._contact.wait_turn()
        listed = await self._store.list_kind(HOST_KIND, is_stale=True)
        if isinstance(listed, Err):
            self._note_failure('restore check', listed.err_value)
        else:
            self._contact.note_success()
            self._note_complete_eras(listed.ok_value.objects)
        self._restoration.assume_recent()

    def _note_complete_eras(self, objects: Iterable[StoredObject]) -> None:
        for stored in objects:
            host = decode_host(stored)
            if host is not None:
                self._restoration.note_complete_era(host.complete_era)

    async def _discover(self) -> None:
        """Register this host if necessary, read the registry and clean it up.

        Each host reads the registry after its registration. Of two hosts that
        start at once, the one that reads later therefore finds the other.
        """
        if self._is_registered:
            await self._until_done(self._find_stale)
        else:
            await self._register_once()
        has_grown = self._members.fleet_size > self._stated_size * GROWN_FACTOR
        if has_grown or self._restoration.complete_era > self._stated_era:
            await self._until_done(self._rewrite)
        await self._clean()

    async def _register_once(self) -> None:
        """Register this host unless an earlier run has done so."""
        if not self._is_first_start:
            await self._until_done(self._find)
        if not self._stated_size:
            await self._until_done(self._register)
            await self._until_done(self._find)
        self._is_registered = bool(self._stated_size)

    async def _until_done(self, step: Step) -> None:
        while True:
            await self._contact.wait_turn()
            if await step():
                return

    async def _register(self) -> bool:
        host = self._build_registered_host()
        created = await self._store.create(HOST_KIND, encode_host(host))
        match created:
            case Ok():
                self._note_stated(host)
                return True
            case Err(VersionConflict()):
                # The object is from an earlier run of this host or from a call
                # whose answer was lost. The addresses may have changed.
                return await self._rewrite()
            case Err(error):
                self._note_failure('registration', error)
                return False

    async def _rewrite(self) -> bool:
        host = self._build_registered_host()
        replaced = await self._store.replace(
            HOST_KIND,
            self._own.name,
            encode_host(host),
        )
        match replaced:
            case Ok():
                self._note_stated(host)
                return True
            case Err(ObjectMissing()):
                # The object was removed. The next listing detects and logs it.
                self._contact.note_success()
                return True
            case Err(error):
                self._note_failure('registration', error)
                return False

    def _build_registered_host(self) -> RegisteredHost:
        return RegisteredHost(
            self._own,
            self._members.fleet_size,
            self._restoration.complete_era,
        )

    def _note_failure(self, step: str, error: PlatformError) -> None:
        reason = getattr(error, 'message', type(error).__name__)
        self._contact.note_failure(f'{step}: {reason}')

    def _note_stated(self, host: RegisteredHost) -> None:
        self._contact.note_success()
        self._stated_size = host.fleet_size
        self._stated_era = host.complete_era

    async def _find(self) -> bool:
        return await self._find_others(is_stale=False)

    async def _find_stale(self) -> bool:
        return await self._find_others(is_stale=True)

    async def _find_others(self, *, is_stale: bool) -> bool:
        listed = await self._store.list_kind(HOST_KIND, is_stale=is_stale)
        if isinstance(listed, Err):
            self._note_failure('hosts', listed.err_value)
            return False
        self._contact.note_success()
        found: list[PeerName] = []
        self._revisions = {}
        for stored in listed.ok_value.objects:
            self._note(stored, found)
        names = {peer.name for peer in found}
        if self._own.name not in names:
            self._note_absence()
        self._members.learn(found)
        self._members.note_registry(names)
        log_event('hosts-found', count=len(found))
        return True

    def _note_absence(self) -> None:
        """Let the next discovery register this host, which is not listed."""
        if self._is_registered:
            log_event('host-unregistered', host=self._own.name)
        self._stated_size = 0
        self._is_registered = False

    def _note(self, stored: StoredObject, found: list[PeerName]) -> None:
        host = decode_host(stored)
        if host is None:
            log_event('host-unreadable', host=stored.metadata.name)
            return
        peer = host.peer
        if peer.name == self._own.name and not self._is_registered:
            self._adopt_registration(host)
        self._revisions[peer.name] = stored.revision
        members = self._members
        members.registered_size = max(members.registered_size, host.fleet_size)
        self._restoration.note_complete_era(host.complete_era)
        found.append(peer)

    def _adopt_registration(self, host: RegisteredHost) -> None:
        """Adopt this host's object of an earlier run if it is still correct."""
        own = self._own
        # The store does not contain the number of cores of a host.
        if replace(host.peer, size=own.size) == own:
            self._stated_size = max(host.fleet_size, 1)
            self._stated_era = host.complete_era

    async def _clean(self) -> None:
        """Remove hosts that are gone; one relay is responsible for each."""
        if not self._contact.is_held:
            return
        known = self._revisions
        stale = [name for name in self._members.forgotten() if name in known]
        relays = self._members.relays
        assigned = [
            name
            for name in stale
            if rendezvous(relays, f'clean {name}', 1) == [self._own.name]
        ]
        if not assigned:
            return
        # A restored store may have issued the same revision number again to a
        # host that has registered anew and is running. Deletion is conditional
        # on the number only, so the era has to be compared here.
        await self._until_done(self._find)
        for name in assigned:
            is_unchanged = self._revisions.get(name) == known[name]
            if is_unchanged and not await self._remove(name, known[name]):
                return

    async def _remove(self, name: str, revision: Revision) -> bool:
        deleted = await self._store.delete(HOST_KIND, name, revision.number)
        match deleted:
            case Ok() | Err(ObjectMissing()) | Err(VersionConflict()):
                # A conflict means that the host has registered again.
                self._revisions.pop(name, None)
                log_event('host-removed', host=name, outcome=str(deleted))
                return True
            case Err(error):
                # The next cleanup tries again.
                reason = getattr(error, 'message', type(error).__name__)
                log_event('host-not-removed', host=name, reason=reason)
                return False
