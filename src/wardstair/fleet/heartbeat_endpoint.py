"""Sends and receives heartbeats on a UDP socket.

Each host sends its heartbeats to all hosts of its zone. A relay also sends them
to the relays of the other zones. If it does not receive heartbeats from enough
relays of a zone, it sends to random hosts of that zone, which reply with the
names of their relays.
"""

import asyncio
from collections.abc import Callable, Iterable
from random import Random
from typing import Protocol

from wardstair.decisions.membership import RELAYS_PER_ZONE
from wardstair.decisions.state_age import ReportedAge
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
# Minimum time between two heartbeats to the zone that announce newer state, and
# the time after a heartbeat during which the next periodic one is skipped.
MIN_ANNOUNCE_SECONDS = 0.25
SKIP_PERIODIC_SECONDS = 0.5
# Number of hosts in each other zone to which a relay sends.
FAR_TARGETS = RELAYS_PER_ZONE
# Interval between greetings of a new host until it hears another one.
HELLO_SECONDS = 0.3
# Maximum number of datagrams with names of its zone in an answer to a new host.
# They name up to 64 hosts, three times the size of a planned zone; in a larger
# zone the new host requests the rest.
MAX_ANSWERS = 4
# Number of hosts of other zones that a heartbeat names, within the zone and to
# other zones; the zones take turns. A host that replaces a relay has to know
# some of them. With fewer names, hosts would learn of all zones later after a
# first start; with more, the names would take most of a heartbeat.
NAMES_TO_ZONE = 4
NAMES_TO_OTHERS = 1
# Relays start naming at a random zone. More than the zones of any fleet.
MAX_ZONES = 1024
# Relative jitter of the interval, so that hosts started together spread out.
JITTER = 0.1


class ZoneLoads(Protocol):
    """Returns the loads of zones for a heartbeat."""

    def __call__(self, *, to_others: bool) -> tuple[ZoneLoad, ...]:
        """Return the loads.

        Args:
            to_others: Whether the heartbeat goes to other zones.
        """


class HeartbeatEndpoint(DatagramSocket):
    """Sends this host's heartbeats and receives those of other hosts."""

    def __init__(
        self,
        members: Members,
        port: int,
        versions: Callable[[], Versions],
        random: Random,
    ) -> None:
        """Create an endpoint; `start` opens its socket.

        Args:
            members: Stores received heartbeats.
            port: Port on which all hosts receive heartbeats.
            versions: Returns the versions of this host's state.
            random: Source of jitter and of the id of this run.
        """
        super().__init__(port)
        self.on_heartbeat: Callable[[HeartbeatDatagram], None] = _ignore
        # Receives datagrams that are no heartbeats; returns whether one is a
        # valid state update.
        self.on_state: Callable[[bytes], bool] = _read_nothing
        # Returns the interval between heartbeats of a sentinel.
        self.sentinel_seconds: Callable[[], float] = lambda: HEARTBEAT_SECONDS
        # Returns the age of this host's state for heartbeats.
        self.state_age: Callable[[], ReportedAge | None] = _no_age
        # Returns the loads of zones for heartbeats.
        self.zone_loads: ZoneLoads = _no_loads
        # Set once another host has answered, or after the wait for an answer.
        self.is_greeted = asyncio.Event()
        # Set to make a sentinel send its next heartbeat at once.
        self._is_prompted = asyncio.Event()
        self._near_sent_at = float('-inf')
        self._near_timer: asyncio.TimerHandle | None = None
        self._members = members
        self._versions = versions
        self._random = random
        # Recipients of the last heartbeat to other zones.
        self._far: set[str] = set()
        self._run = random.getrandbits(48) + 1
        self._number = 0
        # Index of the other zone that is named next.
        self._turn = random.randrange(MAX_ZONES)

    @property
    def far_addresses(self) -> frozenset[str]:
        """Addresses in other zones to which the last heartbeat was sent."""
        return frozenset(self._far)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle a received datagram."""
        heartbeat = decode_heartbeat(data)
        if heartbeat is None:
            if self.on_state(data):
                return
            if self.unreadable.admits(addr[0]):
                log_warning('beat-unreadable', source=addr[0], size=len(data))
            return
        members = self._members
        members.learn(
            heartbeat.named,
            is_second_hand=heartbeat.kind is HeartbeatKind.answer,
        )
        if self._is_far_hello(heartbeat):
            # It sends no further heartbeats here and would soon count as lost.
            members.learn([heartbeat.sender])
        elif members.hear(heartbeat):
            self.is_greeted.set()
            self.on_heartbeat(heartbeat)
        match heartbeat.kind:
            case HeartbeatKind.hello:
                self._answer(heartbeat.sender)
            case HeartbeatKind.redirect:
                names = tuple(peer.name for peer in heartbeat.named)
                members.hinted[heartbeat.sender.zone] = names
            case HeartbeatKind.heartbeat if self._is_misdirected(heartbeat):
                self._redirect(heartbeat)

    async def run(self, seeds: tuple[str, ...]) -> None:
        """Send periodic heartbeats until cancelled.

        Args:
            seeds: IP addresses of hosts to greet at the start.
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
        """Close the socket and cancel heartbeats that are due."""
        if self._near_timer is not None:
            self._near_timer.cancel()
        super().stop()

    async def run_sentinel(self) -> None:
        """Send more frequent heartbeats while this host is a sentinel.

        The sooner other hosts detect the loss of a sentinel, the less its
        updates are delayed. Runs until cancelled.
        """
        while True:
            await self._wait_for_prompt(self.sentinel_seconds())
            if self._members.is_sentinel():
                self.send_heartbeats()

    async def _wait_for_prompt(self, seconds: float) -> None:
        self._is_prompted.clear()
        try:
            async with asyncio.timeout(seconds):
                await self._is_prompted.wait()
        except TimeoutError:
            # Nothing has changed; the heartbeat is due all the same.
            return

    def announce_age(self) -> None:
        """Announce a newer age of the state, on which other hosts rely.

        A sentinel sends a heartbeat to all recipients. Another relay sends one
        to its zone in place of the next periodic heartbeat.
        """
        if self._members.is_sentinel():
            self._is_prompted.set()
            return
        if self._near_timer is None and self._reports_to_zone():
            loop = asyncio.get_running_loop()
            due = max(loop.time(), self._near_sent_at + MIN_ANNOUNCE_SECONDS)
            self._near_timer = loop.call_at(due, self._send_near)

    def _reports_to_zone(self) -> bool:
        """Return whether hosts of the zone hear other zones only via relays."""
        members = self._members
        return members.zone_size > RELAYS_PER_ZONE and members.is_relay

    def send_due(self, seeds: Iterable[str]) -> None:
        """Send what is due each second, and check for silent hosts.

        Args:
            seeds: IP addresses of hosts to greet while no other host is heard.
        """
        since = self._members.clock() - self._near_sent_at
        self.send_heartbeats(to_zone=since >= SKIP_PERIODIC_SECONDS)
        if self._members.live():
            self._ask_for_names()
        else:
            self.greet(seeds)
        self._members.check()

    def send_heartbeats(self, *, to_zone: bool = True) -> None:
        """Send a heartbeat to all its recipients now.

        Args:
            to_zone: Whether to include the hosts of the zone.
        """
        far = self._update_far()
        if to_zone:
            self._send_near()
        if far:
            heartbeat = self._make_heartbeat(
                named=self._far_names(NAMES_TO_OTHERS),
                zone_loads=self.zone_loads(to_others=True),
            )
            self._send_all(far, heartbeat)

    def _send_near(self) -> None:
        if self._near_timer is not None:
            self._near_timer.cancel()
            self._near_timer = None
        self._near_sent_at = self._members.clock()
        heartbeat = self._make_heartbeat(
            named=self._far_names(NAMES_TO_ZONE),
            zone_loads=self.zone_loads(to_others=False),
        )
        self._send_all(self._near_addresses(), heartbeat)

    def send_state(self, state: bytes, *, to_others: bool) -> None:
        """Send encoded state to the hosts of the zone.

        Args:
            state: Encoded state that fits into a datagram.
            to_others: Whether to send it to relays of other zones as well.
        """
        addresses = self._near_addresses()
        if to_others:
            addresses |= self._far_addresses()
        for address in addresses:
            self._send_bytes(address, state)

    def _update_far(self) -> set[str]:
        """Return the recipients of this heartbeat in other zones."""
        before = self._far
        if self._members.is_relay:
            self._far = self._far_addresses()
            return self._far
        self._far = set()
        # One last heartbeat says that this host is no longer a relay.
        return before

    def _send_all(
        self, addresses: set[str], heartbeat: HeartbeatDatagram
    ) -> None:
        datagram = encode_heartbeat(heartbeat)
        for address in addresses:
            self._send_bytes(address, datagram)

    def greet(self, seeds: Iterable[str]) -> None:
        """Ask known hosts and seeds for the names of other hosts.

        Args:
            seeds: IP addresses of further hosts to ask.
        """
        greeted = self._near_addresses().union(seeds)
        for address in greeted - {self._members.own.address}:
            self._send(address, self._make_heartbeat(HeartbeatKind.hello))

    def _ask_for_names(self) -> None:
        """Ask a host of the zone that knows more of its hosts for names."""
        informed = self._members.better_informed()
        if informed:
            asked = self._random.choice(informed)
            self._send(
                asked.peer.address, self._make_heartbeat(HeartbeatKind.hello)
            )

    async def _greet(self, seeds: tuple[str, ...]) -> None:
        for _ in range(3):
            self.greet(seeds)
            await asyncio.sleep(HELLO_SECONDS)
            self.is_greeted.set()
            if self._members.live():
                # The hosts just named do not know this one yet.
                self.send_heartbeats()
                return

    def _answer(self, new_host: PeerName) -> None:
        """Send a new host the names of hosts of its zone, then of others.

        The answer consists of several datagrams. With only one, a new host of a
        zone of 45 hosts would need 20 requests until it knew all of them.
        """
        near, far = self._names_for(new_host.zone)
        starts = range(0, min(len(near), MAX_ANSWERS * MAX_NAMED), MAX_NAMED)
        parts = [near[start : start + MAX_NAMED] for start in starts]
        if far or not parts:
            parts.append(far)
        for named in parts:
            answer = self._make_heartbeat(HeartbeatKind.answer, named=named)
            self._send(new_host.address, answer)

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
        """Return the relays heard in a zone, and other hosts if too few."""
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

    def _is_far_hello(self, heartbeat: HeartbeatDatagram) -> bool:
        is_far = heartbeat.sender.zone != self._members.own.zone
        return is_far and heartbeat.kind is HeartbeatKind.hello

    def _is_misdirected(self, heartbeat: HeartbeatDatagram) -> bool:
        members = self._members
        is_far = heartbeat.sender.zone != members.own.zone
        return is_far and heartbeat.is_relay and not members.is_relay

    def _redirect(self, heartbeat: HeartbeatDatagram) -> None:
        members = self._members
        named = tuple(
            members.table[name].peer
            for name in members.relays
            if name in members.table
        )
        answer = self._make_heartbeat(HeartbeatKind.redirect, named=named)
        self._send(heartbeat.sender.address, answer)

    def _names_for(
        self,
        zone: str,
    ) -> tuple[tuple[PeerName, ...], tuple[PeerName, ...]]:
        """Return the hosts of a zone, and some live hosts of other zones."""
        members = self._members
        near = members.confirmed_in_zone(zone)
        far = [one.peer for one in members.live() if one.peer.zone != zone]
        self._random.shuffle(near)
        self._random.shuffle(far)
        return tuple(near), tuple(far[:MAX_NAMED])

    def _far_names(self, amount: int) -> tuple[PeerName, ...]:
        """Return one host of each of some other zones; the zones take turns."""
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

    def _make_heartbeat(
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

    def _send(self, address: str, heartbeat: HeartbeatDatagram) -> None:
        self._send_bytes(address, encode_heartbeat(heartbeat))


def _no_age() -> ReportedAge | None:
    """Return nothing; the default callback."""
    return None


def _no_loads(*, to_others: bool) -> tuple[ZoneLoad, ...]:
    """Return nothing; the default callback."""
    return ()


def _read_nothing(_datagram: bytes) -> bool:
    """Reject the datagram; the default callback."""
    return False


def _ignore(_heartbeat: HeartbeatDatagram) -> None:
    """Do nothing; the default callback."""
