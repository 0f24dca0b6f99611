"""Hands requests on to another entry host while this one reaches no upstream.

One hop at most: the second host sends to an upstream or refuses. The connection
carries one request at a time, so closing it ends the work there.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from random import Random

from wardstair.connection.pool import ConnectFailed, UpstreamPool
from wardstair.connection.upstream import (
    RawAnswer,
    UpstreamConnection,
)
from wardstair.decisions.peer_forwarding import (
    PeerCandidate,
    PeerRequirements,
    choose_peer,
)
from wardstair.decisions.reach import ALL, service_group
from wardstair.fleet.members import Members
from wardstair.fleet.peer_requests import (
    PeerAnswer,
    PeerRequest,
    decode_answer,
    encode_request,
)
from wardstair.gateway.settings import LiveSettings
from wardstair.process.log import log_event

RELAY_PATH = '/v1/relayed'
# Hosts that one request is offered to: the first ones may have been cut off
# since their last heartbeats.
MOST_OFFERED = 4
# Connections to one host; each carries one request.
MOST_CONNECTIONS = 256
# A host that did not take a connection is not asked again for this long.
AVOIDED_SECONDS = 1.0
# How long the list of hosts is used; each request of a host that is cut off
# looks at it.
KNOWN_SECONDS = 0.1
_OK = 200


class HopEnd(StrEnum):
    """How a hop ended."""

    # An upstream answered there.
    answered = 'answered'
    # The other host refused it; it has not run.
    refused = 'refused'
    # The other host answered that it may have run.
    unknown = 'unknown'
    # The hop broke after the request was passed on; it may have run.
    lost = 'lost'
    # No host could be asked; it has not run.
    unsent = 'unsent'


@dataclass(frozen=True, slots=True)
class HopOutcome:
    """What became of a request that was handed on.

    Attributes:
        end: How the hop ended.
        host: Name of the host that was asked last; empty if there was none.
        answer: Its answer, if there is one.
        seconds: Time from handing on to the outcome.
    """

    end: HopEnd
    host: str = ''
    answer: PeerAnswer | None = None
    seconds: float = 0.0


class Handover:
    """Finds hosts that help, and hands requests on to them; one a process."""

    def __init__(
        self,
        members: Members,
        settings: LiveSettings,
        fleet_port: int,
        random: Random,
    ) -> None:
        """Prepare without connections.

        Args:
            members: The other hosts.
            settings: Settings of this host.
            fleet_port: Port of all hosts for talk between them.
            random: Source of the choice among hosts.
        """
        self.pool = UpstreamPool(lambda _name: MOST_CONNECTIONS)
        self._members = members
        self._settings = settings
        self._port = fleet_port
        self._random = random
        self._avoided: dict[str, float] = {}
        self._known: list[PeerCandidate] = []
        self._known_at = float('-inf')

    def find(
        self,
        service: str,
        homes: frozenset[str],
        tried: frozenset[str] = frozenset(),
    ) -> PeerCandidate | None:
        """Return a host that may reach a service, if there is one.

        Args:
            service: The service.
            homes: The only regions that may get the request; empty for all.
            tried: Names of hosts that were asked before.
        """
        now = time.monotonic()
        avoided = {name for name, end in self._avoided.items() if end > now}
        ask = PeerRequirements(
            self._settings.current.region,
            frozenset((ALL, service_group(service))),
            homes,
            tried | avoided,
        )
        return choose_peer(
            self._helpers(now),
            ask,
            self._settings.current.zones,
            self._random,
        )

    async def send(
        self,
        relayed: Callable[[], PeerRequest],
        homes: frozenset[str],
    ) -> HopOutcome:
        """Hand a request on and wait for the outcome.

        Cancelling the call closes the connection, which ends the work.

        Args:
            relayed: Returns the request with the time that it has left.
            homes: The only regions that may get it; empty for all.
        """
        outcome = HopOutcome(HopEnd.unsent)
        tried: set[str] = set()
        for _ in range(MOST_OFFERED):
            service = relayed().service
            helper = self.find(service, homes, frozenset(tried))
            if helper is None:
                return outcome
            tried.add(helper.name)
            offered = await self._offer(helper, relayed)
            if offered.end is HopEnd.unsent:
                continue
            outcome = offered
            if not _is_out_of_reach(offered):
                return outcome
        return outcome

    def close(self) -> None:
        """Close all resting connections."""
        self.pool.close()

    def _helpers(self, now: float) -> list[PeerCandidate]:
        if now - self._known_at >= KNOWN_SECONDS:
            self._known = self._list_helpers()
            self._known_at = now
        return self._known

    def _list_helpers(self) -> list[PeerCandidate]:
        members = self._members
        return [
            PeerCandidate(
                one.peer.name,
                one.peer.zone,
                one.lost,
                members.is_live(one),
                one.is_busy,
                one.load / max(one.peer.size, 0.1),
            )
            for one in members.table.values()
            if not one.is_leaving and members.may_serve(one)
        ]

    async def _offer(
        self,
        helper: PeerCandidate,
        relayed: Callable[[], PeerRequest],
    ) -> HopOutcome:
        started = time.monotonic()
        connection = await self._connection(helper.name)
        if isinstance(connection, ConnectFailed):
            self._avoided[helper.name] = time.monotonic() + AVOIDED_SECONDS
            log_event(
                'helper-unreachable',
                host=helper.name,
                reason=connection.reason,
            )
            return HopOutcome(HopEnd.unsent, helper.name)
        answer = await self._exchange(helper.name, connection, relayed())
        seconds = time.monotonic() - started
        if answer is None:
            self._avoided[helper.name] = time.monotonic() + AVOIDED_SECONDS
            return HopOutcome(HopEnd.lost, helper.name, None, seconds)
        if answer.is_own:
            self._note_lost(helper.name, frozenset(answer.lost))
        return HopOutcome(_end_of(answer), helper.name, answer, seconds)

    async def _connection(
        self,
        name: str,
    ) -> UpstreamConnection | ConnectFailed:
        kept = self.pool.borrow(name, is_once=True)
        if kept is not None:
            return kept
        address = self._members.table[name].peer.address
        return await self.pool.connect(name, address, self._port)

    async def _exchange(
        self,
        name: str,
        connection: UpstreamConnection,
        relayed: PeerRequest,
    ) -> PeerAnswer | None:
        body = encode_request(relayed)
        sent = connection.send(
            _head(len(body)),
            body,
            is_own=lambda _pairs: True,
            is_head_only=False,
        )
        try:
            ended = await sent
        except BaseException:
            connection.close()
            raise
        if not isinstance(ended, RawAnswer) or ended.status != _OK:
            connection.close()
            return None
        self.pool.give_back(name, connection)
        return decode_answer(ended.body)

    def _note_lost(self, name: str, lost: frozenset[str]) -> None:
        """Take in what another host does not reach, before its heartbeat."""
        member = self._members.table.get(name)
        if member is not None and member.lost != lost:
            member.lost = lost
            self._known_at = float('-inf')


def _end_of(answer: PeerAnswer) -> HopEnd:
    if not answer.is_own:
        return HopEnd.answered
    if answer.status in _NOT_RUN:
        return HopEnd.refused
    return HopEnd.unknown


# Statuses by which the other host says that the request has not run.
_NOT_RUN = frozenset((429, 503))


def _is_out_of_reach(outcome: HopOutcome) -> bool:
    """Return whether another host may do better."""
    answer = outcome.answer
    if outcome.end is not HopEnd.refused or answer is None:
        return False
    return bool(answer.lost)


def _head(length: int) -> bytes:
    return (
        f'POST {RELAY_PATH} HTTP/1.1\r\nHost: host\r\n'
        f'Content-Type: application/cbor\r\nContent-Length: {length}\r\n\r\n'
    ).encode('latin-1')
