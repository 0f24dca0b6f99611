"""Exchanges the messages of roll-outs with other hosts over UDP.

Nothing is sent while no roll-out is in progress.
"""

import asyncio
from collections.abc import Callable, Iterable
from random import Random

from wardstair.fleet.datagrams import DatagramSocket
from wardstair.fleet.members import Members
from wardstair.fleet.rollout_messages import (
    ReportBundle,
    RolloutPlan,
    RolloutReport,
    bundles,
    decode_message,
    encode_message,
)
from wardstair.process.log import log_warning

REPORT_SECONDS = 0.25
# Relative jitter of the interval.
JITTER = 0.1
# Time for which further bad answers are collected before an early report.
COLLECT_SECONDS = 0.02
# Reports that a relay holds until it passes them on; of more, it drops the
# oldest, which later reports replace.
MAX_PENDING = 1000
# Reports that a sentinel remembers in order to skip their copies.
MAX_RECEIVED = 2000

PlanOfZone = Callable[[str], RolloutPlan]


class RolloutEndpoint(DatagramSocket):
    """Sends this host's messages about roll-outs and receives those of others.

    Attributes:
        far_addresses: Returns addresses in other zones, preferably of relays.
        is_active: Returns whether a roll-out is in progress.
        own_reports: Returns the reports of this host that are due.
        on_report: Called on a sentinel with each received report.
        on_plan: Called with each received plan.
    """

    def __init__(self, members: Members, port: int, random: Random) -> None:
        """Create an endpoint; `start` opens its socket.

        Args:
            members: The other hosts.
            port: Port on which all hosts receive these messages.
            random: Source of jitter.
        """
        super().__init__(port)
        self.far_addresses: Callable[[], Iterable[str]] = tuple
        self.is_active: Callable[[], bool] = bool
        self.own_reports: Callable[[], list[RolloutReport]] = list
        self.on_report: Callable[[RolloutReport], None] = _ignore
        self.on_plan: Callable[[RolloutPlan], object] = _ignore
        self._members = members
        self._random = random
        self._prompted = asyncio.Event()
        # Bundled reports received lately. Both relays of a zone pass them on.
        self._received: dict[bytes, None] = {}
        # Encoded reports of the zone that are not passed on yet.
        self._pending: list[bytes] = []

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle a received message."""
        message = decode_message(data)
        match message:
            case RolloutReport():
                self._take_report(message, data)
            case ReportBundle(reports=reports):
                for report in reports:
                    self._take_bundled(report, addr)
            case RolloutPlan():
                self._take_plan(message)
            case None:
                self._log_unreadable(data, addr)

    async def run(self) -> None:
        """Send reports until cancelled."""
        while True:
            if self.is_active():
                self.report()
                spread = self._random.uniform(-JITTER, JITTER)
                await self._wait(REPORT_SECONDS * (1 + spread))
            else:
                self._pending.clear()
                self._received.clear()
                await self._wait(None)

    def prompt(self) -> None:
        """Send reports soon, since something has happened."""
        self._prompted.set()

    def report(self) -> None:
        """Send this host's reports, and pass on those of its zone."""
        relays = self._relay_addresses()
        for report in self.own_reports():
            for part in report.parts():
                datagram = encode_message(part)
                for address in relays:
                    self._send_bytes(address, datagram)
                self._take_report(part, datagram)
        self._pass_on()

    def send_plan(self, plan_of: PlanOfZone) -> None:
        """Send the plans of all zones to their hosts.

        Args:
            plan_of: Returns the plan of a zone.
        """
        zones = {
            one.peer.address: one.peer.zone
            for one in self._members.table.values()
        }
        for address in zones.keys() & set(self.far_addresses()):
            self._send_all([address], plan_of(zones[address]))
        own = plan_of(self._members.own.zone)
        self.on_plan(own)
        self._send_all(self._zone_addresses(), own, is_forwarded=True)

    def _take_report(self, report: RolloutReport, datagram: bytes) -> None:
        if self._members.is_sentinel():
            self.on_report(report)
        if not self._members.is_relay:
            return
        self._pending.append(datagram)
        if len(self._pending) > MAX_PENDING:
            self._pending = self._pending[-MAX_PENDING:]
        if report.is_urgent and report.sender != self._members.own.name:
            self.prompt()

    def _take_bundled(self, data: bytes, addr: tuple[str, int]) -> None:
        if data in self._received:
            return
        self._received[data] = None
        if len(self._received) > MAX_RECEIVED:
            self._received.pop(next(iter(self._received)))
        report = decode_message(data)
        if isinstance(report, RolloutReport):
            self.on_report(report)
            return
        self._log_unreadable(data, addr)

    def _take_plan(self, plan: RolloutPlan) -> None:
        self.on_plan(plan)
        if not plan.is_forwarded:
            self._send_all(self._zone_addresses(), plan, is_forwarded=True)

    def _pass_on(self) -> None:
        """Send the collected reports to the sentinels."""
        pending = self._pending
        self._pending = []
        sentinels = self._sentinel_addresses()
        if not sentinels:
            return
        for bundle in bundles(pending):
            datagram = encode_message(bundle)
            for address in sentinels:
                self._send_bytes(address, datagram)

    def _send_all(
        self,
        addresses: Iterable[str],
        plan: RolloutPlan,
        *,
        is_forwarded: bool = False,
    ) -> None:
        datagrams = [
            encode_message(part)
            for part in plan.parts(is_forwarded=is_forwarded)
        ]
        for address in addresses:
            for datagram in datagrams:
                self._send_bytes(address, datagram)

    def _log_unreadable(self, data: bytes, addr: tuple[str, int]) -> None:
        if self.unreadable.admits(addr[0]):
            log_warning('rollout-unreadable', source=addr[0], size=len(data))

    def _relay_addresses(self) -> list[str]:
        """Return the addresses of the other relays of this zone."""
        members = self._members
        return [
            members.table[name].peer.address
            for name in members.relays
            if name in members.table
        ]

    def _sentinel_addresses(self) -> list[str]:
        """Return the addresses of the other sentinels."""
        members = self._members
        return [one.peer.address for one in members.live() if one.is_sentinel]

    def _zone_addresses(self) -> list[str]:
        members = self._members
        return [
            one.peer.address
            for one in members.in_zone(members.own.zone)
            if members.may_serve(one)
        ]

    async def _wait(self, seconds: float | None) -> None:
        """Wait for a prompt, at most for some seconds."""
        try:
            async with asyncio.timeout(seconds):
                await self._prompted.wait()
        except TimeoutError:
            # Nothing has happened; the next report is due all the same.
            return
        await asyncio.sleep(COLLECT_SECONDS)
        self._prompted.clear()


def _ignore(_message: object) -> None:
    """Do nothing; the default callback."""
