"""The task that sends and hears heartbeats; it owns its socket.

Each host sends its heartbeats to all hosts of its zone. A relay also sends
them to the relays of the other zones: those that it hears, or else some hosts
of the zone drawn at random, which name their relays in return.
"""

import asyncio
from collections.abc import Callable, Iterable
from random import Random
from typing import Protocol

from wardstair.decisions.membership import RELAYS_A_ZONE
from wardstair.decisions.state_age import ToldAge
from wardstair.fleet.datagrams import DatagramSocket
from wardstair.fleet.heartbeats import (
    MAX_NAMED,
    HeartbeatDatagram,
    HeartbeatKind,
    PeerName,
    Versions,
    ZoneLoad,
    decode_heartbeat,
    encode_heartbeat,
)
from wardstair.fleet.member import Member
from wardstair.fleet.members import OWN_PAUSE_SECONDS, Members
from wardstair.process.log import log_warning

HEARTBEAT_SECONDS = 1.0
# Least time between two heartbeats to the zone that tell a newer state, and the
# time for which the next one that is due is left out after one.
LEAST_NEAR_SECONDS = 0.25
NEAR_COVERS_SECONDS = 0.5
# Hosts of each other zone that a relay sends to.
FAR_TARGETS = RELAYS_A_ZONE
# A newcomer asks again this often until somebody answers.
HELLO_SECONDS = 0.3
# Datagrams with names of a newcomer's zone in one answer: 64 hosts, three times
# the planned zone; a larger one is asked for the rest.
MOST_ANSWERS = 4
# Hosts of other zones, of one zone each in turn, that a relay's heartbeat
# names: whoever takes its place has to know some. After a first start with
# three seeds all hosts of 9 zones knew of all zones after 7 heartbeats, of 18
# after 13, of 62 after 32 (played without sockets). A name is 72 bytes of a
# heartbeat of 113 (by encoding); one to other zones in each fourth heartbeat
# only took 15 and 27, and over 40.
NAMED_NEAR = 4
NAMED_FAR = 1
# Relays begin with zones of their own choice; more than there will be.
ZONES_AT_MOST = 1024
# Spread of the heartbeats, so that hosts started together do not beat so.
JITTER = 0.1


class ZoneLoads(Protocol):
    """Says what a heartbeat tells of the load of zones."""

    def __call__(self, *, to_others: bool) -> tuple[ZoneLoad, ...]:
        """Return the loads.

        Args:
            to_others: Whether the heartbeat goes to other zones.
        """


class HeartbeatEndpoint(DatagramSocket):
    """Sends this host's heartbeats and hears those of others."""

    def __init__(
        self,
        members: Members,
        port: int,
        versions: Callable[[], Versions],
        random: Random,
    ) -> None:
        """Prepare without a socket.

        Args:
            members: Where heartbeats are noted.
            port: Port of all hosts for heartbeats.
            versions: How new this host's state is.
            random: Source of jitter and of the run's name.
        """
        super().__init__(port)
        self.on_heartbeat: Callable[[HeartbeatDatagram], None] = _ignore
        # Takes in state that another host has sent; returns whether it could
        # be read.
        self.on_state: Callable[[bytes], bool] = _read_nothing
        # Period of the heartbeats of a sentinel.
        self.sentinel_seconds: Callable[[], float] = lambda: HEARTBEAT_SECONDS
        # Age of the state that heartbeats tell.
        self.state_age: Callable[[], ToldAge | None] = _no_age
        # What heartbeats tell of the load of zones.
        self.zone_loads: ZoneLoads = _no_loads
        # Set once a host has answered, or has had the time to.
        self.is_greeted = asyncio.Event()
        # Set when a sentinel's next heartbeat should not wait.
        self._is_prompted = asyncio.Event()
        self._near_sent_at = float('-inf')
        self._near_timer: asyncio.TimerHandle | None = None
        self._members = members
        self._versions = versions
        self._random = random
        # Where heartbeats to other zones last went.
        self._far: set[str] = set()
        self._run = random.getrandbits(48) + 1
        self._number = 0
        # Whose turn it is among the other zones to be named.
        self._turn = random.randrange(ZONES_AT_MOST)

    @property
    def far_addresses(self) -> frozenset[str]:
        """Addresses in other zones that last received heartbeats."""
        return frozenset(self._far)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take in a heartbeat."""
        beat = decode_heartbeat(data)
        if beat is None:
            if self.on_state(data):
                return
            log_warning('beat-unreadable', source=addr[0], size=len(data))
            return
        members = self._members
        members.learn(
            beat.named, is_second_hand=beat.kind is HeartbeatKind.answer
        )
        if self._is_far_hello(beat):
            # Heard once and then no more, it would look lost in a moment.
            members.learn([beat.sender])
        elif members.hear(beat):
            self.is_greeted.set()
            self.on_heartbeat(beat)
        match beat.kind:
            case HeartbeatKind.hello:
                self._answer(beat.sender)
            case HeartbeatKind.redirect:
                names = tuple(peer.name for peer in beat.named)
                members.hinted[beat.sender.zone] = names
            case HeartbeatKind.heartbeat if self._is_misdirected(beat):
                self._redirect(beat)

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
            await asyncio.sleep(HEARTBEAT_SECONDS * (1 + spread))
            gap = loop.time() - before
            if gap > HEARTBEAT_SECONDS + OWN_PAUSE_SECONDS:
                log_warning('host-paused', seconds=round(gap, 1))
                self._members.forgive_pause(gap - HEARTBEAT_SECONDS)
            self.send_due(seeds)

    def stop(self) -> None:
        """Close the socket, and send nothing more."""
        if self._near_timer is not None:
            self._near_timer.cancel()
        super().stop()

    async def run_sentinel(self) -> None:
        """Beat more often while this host is a sentinel, until cancelled.

        The sooner its silence shows that it is gone, the less news waits.
        """
        while True:
            await self._prompt_or(self.sentinel_seconds())
            if self._members.is_sentinel():
                self.send_heartbeats()

    async def _prompt_or(self, seconds: float) -> None:
        self._is_prompted.clear()
        try:
            async with asyncio.timeout(seconds):
                await self._is_prompted.wait()
        except TimeoutError:
            # Nothing has changed meanwhile, which the heartbeat tells as well.
            return

    def announce_age(self) -> None:
        """Tell that the state is known to be newer, as others count on it.

        A sentinel tells all that hear it; another relay passes it on to its
        zone in place of the heartbeat that would be due there.
        """
        if self._members.is_sentinel():
            self._is_prompted.set()
            return
        if self._near_timer is None and self._tells_zone():
            loop = asyncio.get_running_loop()
            due = max(loop.time(), self._near_sent_at + LEAST_NEAR_SECONDS)
            self._near_timer = loop.call_at(due, self._send_near)

    def _tells_zone(self) -> bool:
        """Return whether hosts of the zone hear of others by this one alone."""
        members = self._members
        return members.zone_size > RELAYS_A_ZONE and members.is_relay

    def send_due(self, seeds: Iterable[str]) -> None:
        """Do what is due each second.

        Args:
            seeds: IP addresses to greet as long as nobody is heard.
        """
        since = self._members.clock() - self._near_sent_at
        self.send_heartbeats(to_zone=since >= NEAR_COVERS_SECONDS)
        if self._members.live():
            self._ask_for_names()
        else:
            self.greet(seeds)
        self._members.check()

    def send_heartbeats(self, *, to_zone: bool = True) -> None:
        """Send a heartbeat now to everybody who should have it.

        Args:
            to_zone: Whether the hosts of the zone should have it.
        """
        far = self._far_now()
        if to_zone:
            self._send_near()
        if far:
            beat = self._beat(
                named=self._far_names(NAMED_FAR),
                zone_loads=self.zone_loads(to_others=True),
            )
            self._send_all(far, beat)

    def _send_near(self) -> None:
        if self._near_timer is not None:
            self._near_timer.cancel()
            self._near_timer = None
        self._near_sent_at = self._members.clock()
        beat = self._beat(
            named=self._far_names(NAMED_NEAR),
            zone_loads=self.zone_loads(to_others=False),
        )
        self._send_all(self._near_addresses(), beat)

    def send_state(self, state: bytes, *, to_others: bool) -> None:
        """Send encoded state to the hosts of the zone.

        Args:
            state: What fits into a datagram.
            to_others: Whether relays of other zones get it as well.
        """
        addresses = self._near_addresses()
        if to_others:
            addresses |= self._far_addresses()
        for address in addresses:
            self._send_bytes(address, state)

    def _far_now(self) -> set[str]:
        """Return where this heartbeat goes in other zones."""
        before = self._far
        if self._members.is_relay:
            self._far = self._far_addresses()
            return self._far
        self._far = set()
        # A last one, if any, which says that this host is no relay any more.
        return before

    def _send_all(self, addresses: set[str], beat: HeartbeatDatagram) -> None:
        datagram = encode_heartbeat(beat)
        for address in addresses:
            self._send_bytes(address, datagram)

    def greet(self, seeds: Iterable[str]) -> None:
        """Ask the hosts known, and others, who is there.

        Args:
            seeds: IP addresses of those others.
        """
        greeted = self._near_addresses().union(seeds)
        for address in greeted - {self._members.own.address}:
            self._send(address, self._beat(HeartbeatKind.hello))

    def _ask_for_names(self) -> None:
        """Ask a host of the zone that knows more of it than this one."""
        informed = self._members.better_informed()
        if informed:
            asked = self._random.choice(informed)
            self._send(asked.peer.address, self._beat(HeartbeatKind.hello))

    async def _greet(self, seeds: tuple[str, ...]) -> None:
        for _ in range(3):
            self.greet(seeds)
            await asyncio.sleep(HELLO_SECONDS)
            self.is_greeted.set()
            if self._members.live():
                # To the hosts just named, which have not heard of this one.
                self.send_heartbeats()
                return

    def _answer(self, newcomer: PeerName) -> None:
        """Name hosts that a newcomer should know: its zone's, then others.

        A datagram holds some; with one of a zone of 45 hosts a newcomer would
        ask 20 times until it knew all.
        """
        near, far = self._names_for(newcomer.zone)
        starts = range(0, min(len(near), MOST_ANSWERS * MAX_NAMED), MAX_NAMED)
        parts = [near[start : start + MAX_NAMED] for start in starts]
        if far or not parts:
            parts.append(far)
        for named in parts:
            answer = self._beat(HeartbeatKind.answer, named=named)
            self._send(newcomer.address, answer)

    def _near_addresses(self) -> set[str]:
        zone = self._members.own.zone
        return {one.peer.address for one in self._members.in_zone(zone)}

    def _far_addresses(self) -> set[str]:
        zones = self._members.zones() - {self._members.own.zone}
        return {
            target.peer.address
            for zone in zones
            for target in self._far_targets(zone)
        }

    def _far_targets(self, zone: str) -> list[Member]:
        """Return the relays heard of a zone; others to find them if few."""
        members = self._members
        known = members.in_zone(zone)
        heard = [one for one in known if members.is_live(one)]
        heard.sort(key=lambda one: one.heard_at, reverse=True)
        targets = heard[:FAR_TARGETS]
        hinted = [
            members.table[name]
            for name in members.hinted.pop(zone, ())
            if name in members.table
        ]
        others = [one for one in hinted if one not in targets]
        if not others:
            others = [one for one in known if one not in targets]
            self._random.shuffle(others)
        return targets + others[: FAR_TARGETS - len(targets)]

    def _is_far_hello(self, beat: HeartbeatDatagram) -> bool:
        is_far = beat.sender.zone != self._members.own.zone
        return is_far and beat.kind is HeartbeatKind.hello

    def _is_misdirected(self, beat: HeartbeatDatagram) -> bool:
        members = self._members
        is_far = beat.sender.zone != members.own.zone
        return is_far and beat.is_relay and not members.is_relay

    def _redirect(self, beat: HeartbeatDatagram) -> None:
        members = self._members
        named = tuple(
            members.table[name].peer
            for name in members.relays
            if name in members.table
        )
        answer = self._beat(HeartbeatKind.redirect, named=named)
        self._send(beat.sender.address, answer)

    def _names_for(
        self,
        zone: str,
    ) -> tuple[tuple[PeerName, ...], tuple[PeerName, ...]]:
        """Return the hosts of a zone, and some that are heard of others."""
        members = self._members
        near = members.confirmed_in_zone(zone)
        far = [one.peer for one in members.live() if one.peer.zone != zone]
        self._random.shuffle(near)
        self._random.shuffle(far)
        return tuple(near), tuple(far[:MAX_NAMED])

    def _far_names(self, amount: int) -> tuple[PeerName, ...]:
        """Return a host each of other zones, which take turns."""
        own = self._members.own.zone
        by_zone: dict[str, list[PeerName]] = {}
        for one in self._members.live():
            if one.peer.zone != own:
                by_zone.setdefault(one.peer.zone, []).append(one.peer)
        zones = sorted(by_zone)
        named = []
        for _ in range(min(amount, len(zones))):
            self._turn += 1
            zone = zones[self._turn % len(zones)]
            named.append(self._random.choice(by_zone[zone]))
        return tuple(named)

    def _beat(
        self,
        kind: HeartbeatKind = HeartbeatKind.heartbeat,
        *,
        named: tuple[PeerName, ...] = (),
        zone_loads: tuple[ZoneLoad, ...] = (),
    ) -> HeartbeatDatagram:
        self._number += 1
        members = self._members
        return HeartbeatDatagram(
            kind=kind,
            sender=members.own,
            run=self._run,
            number=self._number,
            is_leaving=members.is_leaving,
            hears_store=members.hears_store(),
            is_busy=members.is_busy,
            is_relay=members.is_relay,
            zone_size=members.zone_size,
            fleet_size=members.counted_size,
            versions=self._versions(),
            named=named,
            load=members.load,
            zone_loads=zone_loads,
            contact=members.contact_age,
            is_sentinel=members.is_sentinel(),
            is_contact_suspect=members.is_contact_suspect(),
            lost=tuple(sorted(members.lost)),
            state_age=self.state_age(),
        )

    def _send(self, address: str, beat: HeartbeatDatagram) -> None:
        self._send_bytes(address, encode_heartbeat(beat))


def _no_age() -> ToldAge | None:
    """Tell nothing; the default."""
    return None


def _no_loads(*, to_others: bool) -> tuple[ZoneLoad, ...]:
    """Tell nothing; the default."""
    return ()


def _read_nothing(_datagram: bytes) -> bool:
    """Read nothing; the default of the callback."""
    return False


def _ignore(_beat: HeartbeatDatagram) -> None:
    """Do nothing; the default of the callback."""
