"""Dispatches messages of other entry hosts to their handlers."""

import asyncio
from collections.abc import Callable

from wardstair.process.capacity import Capacity
from wardstair.process.configuration import Configuration
from wardstair.process.fleet import Fleet
from wardstair.process.loans import Loans
from wardstair.process.messages import (
    HeadAsk,
    HeadGive,
    Heartbeat,
    HoldingsAsk,
    HoldingsGive,
    HostsAsk,
    HostsGive,
    LoanAsk,
    LoanBack,
    LoanGive,
    PartAsk,
    PartGive,
    ZoneGossip,
)
from wardstair.process.peers import Received
from wardstair.process.probing import Prober


class Dispatcher:
    """Reads the inbox of the links and calls the handler of each message."""

    def __init__(
        self,
        inbox: asyncio.Queue[Received],
        fleet: Fleet,
        configuration: Configuration,
        capacity: Capacity,
        loans: Loans,
        prober: Prober,
        on_update: Callable[[], None],
    ) -> None:
        """Set the handlers.

        Args:
            inbox: Messages with their senders.
            fleet: Handles heartbeats and reports of zones.
            configuration: Handles heads and parts.
            capacity: Handles versions of the shares.
            loans: Handles loans and holdings.
            prober: Handles reports of upstreams.
            on_update: Called after each heartbeat.
        """
        self._inbox = inbox
        self._fleet = fleet
        self._configuration = configuration
        self._capacity = capacity
        self._loans = loans
        self._prober = prober
        self._on_update = on_update

    async def run(self) -> None:
        """Handle messages until cancelled."""
        while True:
            received = await self._inbox.get()
            self.handle(received)

    def handle(self, received: Received) -> None:
        """Handle one message."""
        match received.message:
            case LoanAsk() | LoanGive() | LoanBack():
                self._handle_loan(received)
            case HoldingsAsk() | HoldingsGive():
                self._handle_holdings(received)
            case HeadAsk() | HeadGive() | PartAsk() | PartGive():
                self._handle_version(received)
            case _:
                self._handle_fleet(received)

    def _handle_loan(self, received: Received) -> None:
        match received.message:
            case LoanAsk() as ask:
                self._loans.on_ask(received.sender, ask)
            case LoanGive() as give:
                self._loans.on_give(received, give)
            case LoanBack() as back:
                self._loans.on_back(back)

    def _handle_holdings(self, received: Received) -> None:
        match received.message:
            case HoldingsAsk() as ask:
                self._loans.on_holdings_ask(received.sender.name, ask)
            case HoldingsGive() as give:
                self._loans.on_holdings_give(received.sender, give)

    def _handle_version(self, received: Received) -> None:
        sender = received.sender.name
        match received.message:
            case HeadAsk() as head_ask:
                self._configuration.on_head_ask(sender, head_ask)
            case HeadGive() as head_give:
                self._configuration.on_head_give(sender, head_give)
            case PartAsk() as part_ask:
                self._configuration.on_part_ask(sender, part_ask)
            case PartGive() as part_give:
                self._configuration.on_part_give(part_give)

    def _handle_fleet(self, received: Received) -> None:
        sender = received.sender.name
        match received.message:
            case Heartbeat() as heartbeat:
                self._on_heartbeat(sender, heartbeat)
            case ZoneGossip() as gossip:
                self._fleet.on_gossip(sender, gossip)
                for report in gossip.reports:
                    self._configuration.note_peer_version(
                        sender, report.version
                    )
            case HostsAsk() as ask:
                self._fleet.on_hosts_ask(sender, ask)
            case HostsGive() as give:
                self._fleet.on_hosts_give(give)

    def _on_heartbeat(self, sender: str, heartbeat: Heartbeat) -> None:
        members = self._fleet.members.members
        before = {
            name: member.row.incarnation for name, member in members.items()
        }
        for row in self._fleet.on_heartbeat(heartbeat):
            previous = before.get(row.name, row.incarnation)
            if previous < row.incarnation:
                self._loans.on_new_incarnation(row, previous)
            self._configuration.confirm(row.version, row.config_age)
            self._capacity.note_peer_version(row.shares)
        for report in heartbeat.reports:
            self._prober.note(report)
        self._on_update()
        self._configuration.note_peer_version(sender, heartbeat.row.version)
