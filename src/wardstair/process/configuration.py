"""Puts each accepted version of the configuration in force on this host.

Two hosts per zone watch the platform; the others receive new versions from
them. A host adopts only a version higher than its own, whatever its source, so
a late watch, an outdated peer or a restart elsewhere cannot revert it.
"""

import asyncio
import itertools
import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from result import Err, Ok

from wardstair.errors import WatchForgotten
from wardstair.process.log import log_event, log_warning
from wardstair.process.messages import (
    HeadAsk,
    HeadGive,
    PartAsk,
    PartGive,
    PeerMessage,
)
from wardstair.process.platform import (
    ObjectList,
    PlatformClient,
    StoredObject,
    backoff_seconds,
)
from wardstair.version.parts import (
    Head,
    head_from_json,
    part_digest,
    part_from_json,
    unpack,
)
from wardstair.version.topology import Topology, build_topology

HEAD_KIND = 'steering'
HEAD_NAME = 'head'
PART_KIND = 'parts'
WATCH_SECONDS = 30.0
# Upper bound of the interval at which hosts that don't watch read the platform.
POLL_INTERVAL_SECONDS = 300.0
PART_TIMEOUT_SECONDS = 2.0
# Watches that a host attempts after its start even if it isn't a watcher.
INITIAL_WATCH_ATTEMPTS = 3

Send = Callable[[str, PeerMessage], bool]


@dataclass(frozen=True)
class AnnouncedHead:
    """The head of a version, and where it came from.

    Attributes:
        version: Number of the version.
        head: The head.
        source: Name of the host that sent it; None for the platform.
    """

    version: int
    head: Head
    source: str | None


class Configuration:
    """The version of the configuration in force on this host."""

    def __init__(
        self,
        platform: PlatformClient,
        send: Send,
        random: Random,
    ) -> None:
        """Start without a version.

        Args:
            platform: Client of the store that keeps the versions.
            send: Sends a message to an entry host; returns False if there is
                no link to it.
            random: Source of jitter.
        """
        self.topology: Topology | None = None
        self.head: Head | None = None
        self.adopted_at = float('-inf')
        self.on_adopt: Callable[[Topology], None] = lambda topology: None
        self.is_watcher: Callable[[], bool] = lambda: True
        self._platform = platform
        self._send = send
        self._random = random
        self._confirmed_at = float('-inf')
        self._parts: dict[str, bytes] = {}
        self._requested_parts: dict[str, asyncio.Future[bytes]] = {}
        self._announcements: asyncio.Queue[AnnouncedHead] = asyncio.Queue(64)
        self._adopting = asyncio.Lock()

    @property
    def version(self) -> int:
        """The version in force; 0 if there is none yet."""
        return 0 if self.topology is None else self.topology.version

    @property
    def age(self) -> float:
        """Seconds since the version in force was known to be the newest."""
        return time.monotonic() - self._confirmed_at

    def confirm(self, version: int, age: float) -> None:
        """Record that a version was known to be the newest at an earlier time.

        Args:
            version: Number of the version.
            age: Seconds since that time.
        """
        if version == self.version:
            confirmed_at = time.monotonic() - age
            self._confirmed_at = max(self._confirmed_at, confirmed_at)

    async def load(self) -> bool:
        """Read the head from the platform and adopt it; False on failure."""
        found = await self._platform.read(HEAD_KIND, HEAD_NAME)
        match found:
            case Ok(stored):
                return await self._adopt_if_newer(
                    _announced_by_platform(stored)
                )
            case Err():
                return False

    def note_peer_version(self, sender: str, version: int) -> None:
        """Request the head of a peer's version if it is newer than this one."""
        if version > self.version:
            self._send(sender, HeadAsk(self.version))

    def on_head_ask(self, sender: str, message: HeadAsk) -> None:
        """Send the version in force if it is newer than the sender's."""
        if self.head is None or self.version <= message.newer_than:
            return
        head = self.head
        self._send(
            sender,
            HeadGive(
                self.version,
                head.base,
                head.blocks,
                head.command,
                head.operator,
            ),
        )

    def on_head_give(self, sender: str, message: HeadGive) -> None:
        """Queue a head for adoption if its version is newer."""
        head = Head(
            message.base,
            message.blocks,
            message.command,
            message.operator,
        )
        if message.version <= self.version or self._announcements.full():
            return
        self._announcements.put_nowait(
            AnnouncedHead(message.version, head, sender)
        )

    def on_part_ask(self, sender: str, message: PartAsk) -> None:
        """Send a part if this host has it."""
        part = self._parts.get(message.digest)
        if part is not None:
            self._send(sender, PartGive(part))

    def on_part_give(self, message: PartGive) -> None:
        """Accept a part that this host has requested."""
        digest = part_digest(message.content)
        waiting = self._requested_parts.get(digest)
        if waiting is not None and not waiting.done():
            waiting.set_result(message.content)

    async def adopt_from_peers(self) -> None:
        """Adopt versions that peers send until cancelled."""
        while True:
            announced = await self._announcements.get()
            await self._adopt_if_newer(announced)

    async def watch_platform(self) -> None:
        """Watch or poll the platform until cancelled."""
        failures = 0
        for attempt in itertools.count():
            if not self.is_watcher() and attempt >= INITIAL_WATCH_ATTEMPTS:
                # Other hosts of the zone watch. Polling only limits the delay
                # if their messages do not arrive.
                wait = POLL_INTERVAL_SECONDS * self._random.uniform(0.5, 1.0)
                await asyncio.sleep(wait)
                await self.load()
                continue
            has_succeeded = await self._watch()
            failures = 0 if has_succeeded else failures + 1
            if failures:
                wait = backoff_seconds(failures, self._random)
                await asyncio.sleep(wait)

    async def _watch(self) -> bool:
        listed = await self._platform.list_kind(HEAD_KIND)
        match listed:
            case Ok(found):
                await self._adopt_listed_head(found)
            case Err():
                return False
        revision = listed.ok_value.revision
        while True:
            changes = await self._platform.watch(
                HEAD_KIND,
                revision,
                WATCH_SECONDS,
            )
            match changes:
                case Ok(found):
                    revision = found.revision
                    await self._adopt_listed_head(found)
                    self.confirm(self.version, 0)
                case Err(WatchForgotten()):
                    return True
                case Err():
                    return False
            if not self.is_watcher():
                return True

    async def _adopt_listed_head(self, found: ObjectList) -> None:
        for stored in found.objects:
            if stored.name == HEAD_NAME:
                await self._adopt_if_newer(_announced_by_platform(stored))

    async def _adopt_if_newer(self, announced: AnnouncedHead) -> bool:
        async with self._adopting:
            if announced.version <= self.version:
                if announced.source is None:
                    self.confirm(announced.version, 0)
                return True
            return await self._adopt(announced)

    async def _adopt(self, announced: AnnouncedHead) -> bool:
        parts: dict[str, bytes] = {}
        for digest in announced.head.digests:
            part = await self._fetch(digest, announced.source)
            if part is None:
                log_warning('part-missing', digest=digest)
                return False
            parts[digest] = part
        match unpack(announced.head, parts):
            case Err(faults):
                log_warning('version-refused', fault=faults[0])
                return False
            case Ok(unpacked):
                topology = build_topology(
                    announced.version,
                    unpacked.document,
                    unpacked.table,
                )
        self._put_in_force(topology, announced.head)
        self._parts = parts
        if announced.source is None:
            self._confirmed_at = self.adopted_at
        log_event(
            'version-in-force',
            version=announced.version,
            source=announced.source or 'platform',
            command=announced.head.command,
        )
        return True

    def _put_in_force(self, topology: Topology, head: Head) -> None:
        old_topology = self.topology
        old_head = self.head
        self.topology = topology
        self.head = head
        try:
            self.on_adopt(topology)
        except Exception:
            # A version that is only partly applied must not be reported as in
            # force: keep the old one until the next attempt.
            self.topology = old_topology
            self.head = old_head
            raise
        self.adopted_at = time.monotonic()

    async def _fetch(self, digest: str, source: str | None) -> bytes | None:
        part = self._parts.get(digest)
        if part is not None:
            return part
        if source is not None:
            part = await self._fetch_from_peer(digest, source)
        if part is not None:
            return part
        found = await self._platform.read(PART_KIND, digest)
        match found:
            case Ok(stored):
                return part_from_json(stored.value)
            case Err():
                return None

    async def _fetch_from_peer(
        self,
        digest: str,
        source: str,
    ) -> bytes | None:
        waiting: asyncio.Future[bytes] = (
            asyncio.get_running_loop().create_future()
        )
        self._requested_parts[digest] = waiting
        try:
            if not self._send(source, PartAsk(digest)):
                return None
            async with asyncio.timeout(PART_TIMEOUT_SECONDS):
                return await waiting
        except TimeoutError:
            return None
        finally:
            self._requested_parts.pop(digest, None)


def _announced_by_platform(stored: StoredObject) -> AnnouncedHead:
    return AnnouncedHead(stored.version, head_from_json(stored.value), None)
