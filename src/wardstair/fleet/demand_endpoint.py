"""Exchanges reports of organisations' demand with other hosts over UDP."""

import asyncio
from collections.abc import Callable, Iterable
from contextlib import suppress
from random import Random

from wardstair.fleet.datagrams import DatagramSocket
from wardstair.fleet.demand import (
    DemandReport,
    DemandTable,
    decode_report,
    encode_report,
)
from wardstair.fleet.former_demand import Memory
from wardstair.fleet.members import Members
from wardstair.process.log import log_event, log_warning

# Interval between checks whether a report is due. A sudden rise in demand must
# be reported to all hosts within a fraction of a second.
CHECK_SECONDS = 0.1
JITTER = 0.2


class DemandEndpoint(DatagramSocket):
    """Sends this host's reports of demand and receives those of others."""

    def __init__(
        self,
        members: Members,
        table: DemandTable,
        port: int,
        is_needed: Callable[[], bool],
        random: Random,
    ) -> None:
        """Create an endpoint; `start` opens its socket.

        Args:
            members: The other hosts.
            table: Stores received reports.
            port: Port on which all hosts receive reports.
            is_needed: Returns whether any organisation has a quota.
            random: Source of jitter.
        """
        super().__init__(port)
        # Returns the recipients of reports to other zones.
        self.far_addresses: Callable[[], Iterable[str]] = tuple
        self.on_reported: Callable[[], None] = _ignore
        self._members = members
        self._table = table
        self._is_needed = is_needed
        self._random = random
        # The first report tells the others that this process has started.
        self._has_reported = True
        self._memory: Memory | None = None
        self._is_hasty = asyncio.Event()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Store a received report."""
        report = decode_report(data)
        if report is None:
            if self.unreadable.admits(addr[0]):
                log_warning('demand-unreadable', source=addr[0], size=len(data))
            return
        self._table.take_in(report)

    async def run(self) -> None:
        """Send reports until cancelled."""
        while True:
            spread = self._random.uniform(-JITTER, JITTER)
            with suppress(TimeoutError):
                async with asyncio.timeout(CHECK_SECONDS * (1 + spread)):
                    await self._is_hasty.wait()
            self._is_hasty.clear()
            if self._is_needed():
                self.report()

    def hasten(self) -> None:
        """Send reports as soon as the current request has been admitted."""
        self._is_hasty.set()

    def report(self) -> None:
        """Send the reports that are due."""
        members = self._members
        zone = members.in_zone(members.own.zone)
        leaving = [one.peer.name for one in zone if one.is_leaving]
        self._table.refresh(leaving)
        is_relay = members.is_relay
        near = self._table.near_report(is_relay=is_relay)
        if near is not None:
            self._send_near(near)
        far = self._table.far_report() if is_relay else None
        if far is not None:
            self._send_all(self.far_addresses(), far)
        self._table.is_hasty = False
        self._log_memory()

    def _log_memory(self) -> None:
        table = self._table
        if table.memory is self._memory:
            return
        self._memory = table.memory
        log_event(
            'quota-memory',
            memory=table.memory.name,
            age=round(table.age(), 2),
            told=table.is_told,
            former=sum(table.former.of(table.own).values()),
        )

    def _send_near(self, report: DemandReport) -> None:
        # When demand ends, one empty report clears the earlier counts.
        is_needed = bool(report.counts or report.zones or report.former)
        is_needed |= bool(report.heard) or report.memory is not Memory.whole
        if is_needed or self._has_reported:
            self._has_reported = is_needed
            self._send_all(self._near_addresses(), report)
        self.on_reported()

    def _near_addresses(self) -> list[str]:
        members = self._members
        return [
            one.peer.address
            for one in members.in_zone(members.own.zone)
            if members.is_live(one)
        ]

    def _send_all(self, addresses: Iterable[str], report: DemandReport) -> None:
        datagrams = [encode_report(part) for part in report.parts()]
        for address in addresses:
            for datagram in datagrams:
                self._send_bytes(address, datagram)


def _ignore() -> None:
    """Do nothing; the default callback."""
