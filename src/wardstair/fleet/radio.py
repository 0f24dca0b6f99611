"""The task that sends and hears heartbeats; it owns its socket."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import cast

from wardstair.fleet.beats import (
    MOST_NAMED,
    Beat,
    BeatKind,
    PeerName,
    Versions,
    decode_beat,
    encode_beat,
)
from wardstair.fleet.members import OWN_PAUSE_SECONDS, Members
from wardstair.process.log import log_warning

BEAT_SECONDS = 1.0
# A newcomer asks again this often until somebody answers.
HELLO_SECONDS = 0.3
# Spread of the heartbeats, so that hosts started together do not beat so.
JITTER = 0.1


class Radio(asyncio.DatagramProtocol):
    """Sends this host's heartbeats and hears those of others."""

    def __init__(
        self,
        members: Members,
        port: int,
        versions: Callable[[], Versions],
        hears_store: Callable[[], bool],
        random: Random,
    ) -> None:
        """Prepare without a socket.

        Args:
            members: Where heartbeats are noted.
            port: Port of all hosts for heartbeats.
            versions: How new this host's state is.
            hears_store: Whether this host is in contact with the store.
            random: Source of jitter and of the run's name.
        """
        self.on_beat: Callable[[Beat], None] = _ignore
        self.is_leaving = False
        self._members = members
        self._port = port
        self._versions = versions
        self._hears_store = hears_store
        self._random = random
        self._run = random.getrandbits(48) + 1
        self._number = 0
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, address: str) -> None:
        """Open the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=(address, self._port),
        )

    def stop(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        # asyncio's own datagram transport is not a subclass of the type that
        # it documents, so an isinstance check would fail here.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take in a heartbeat."""
        beat = decode_beat(data)
        if beat is None:
            log_warning('beat-unreadable', source=addr[0], size=len(data))
            return
        self._members.learn(beat.named)
        if self._members.hear(beat):
            self.on_beat(beat)
        if beat.kind is BeatKind.hello:
            self._send(beat.sender.address, self._beat(names_others=True))

    def error_received(self, exc: Exception) -> None:
        """Note that a datagram could not be delivered; the next may be."""

    async def run(self, seeds: tuple[str, ...]) -> None:
        """Beat until cancelled.

        Args:
            seeds: IP addresses to greet at the start.
        """
        await self._greet(seeds)
        loop = asyncio.get_running_loop()
        while True:
            before = loop.time()
            spread = self._random.uniform(-JITTER, JITTER)
            await asyncio.sleep(BEAT_SECONDS * (1 + spread))
            gap = loop.time() - before
            if gap > BEAT_SECONDS + OWN_PAUSE_SECONDS:
                log_warning('host-paused', seconds=round(gap, 1))
                self._members.forgive_pause(gap - BEAT_SECONDS)
            self.send_beats()
            self._members.check()

    def send_beats(self) -> None:
        """Send a heartbeat to every known host now."""
        datagram = encode_beat(self._beat())
        for address in self._known_addresses():
            self._send_bytes(address, datagram)

    async def _greet(self, seeds: tuple[str, ...]) -> None:
        for _ in range(3):
            greeted = self._known_addresses().union(seeds)
            for address in greeted - {self._members.own.address}:
                self._send(address, self._beat(BeatKind.hello))
            await asyncio.sleep(HELLO_SECONDS)
            if self._members.live():
                return

    def _known_addresses(self) -> set[str]:
        return {one.peer.address for one in self._members.table.values()}

    def _beat(
        self,
        kind: BeatKind = BeatKind.beat,
        *,
        names_others: bool = False,
    ) -> Beat:
        self._number += 1
        named: tuple[PeerName, ...] = ()
        if names_others:
            live = self._members.live()
            count = min(MOST_NAMED, len(live))
            drawn = self._random.sample(live, count)
            named = tuple(one.peer for one in drawn)
        return Beat(
            kind=kind,
            sender=self._members.own,
            run=self._run,
            number=self._number,
            is_leaving=self.is_leaving,
            hears_store=self._hears_store(),
            versions=self._versions(),
            named=named,
        )

    def _send(self, address: str, beat: Beat) -> None:
        self._send_bytes(address, encode_beat(beat))

    def _send_bytes(self, address: str, datagram: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(datagram, (address, self._port))


def _ignore(_beat: Beat) -> None:
    """Do nothing; the default of the callback."""
