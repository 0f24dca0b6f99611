"""Forwards requests to another entry host if this one reaches no upstream.

A request takes one hop at most: the peer sends it to an upstream or refuses it.
A connection carries one request at a time, so closing it aborts the request at
the peer.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass, replace
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
from wardstair.decisions.reachability import ALL, service_group
from wardstair.fleet.members import Members
from wardstair.fleet.peer_requests import (
    PeerAnswer,
    PeerRequest,
    decode_answer,
    encode_request,
)
from wardstair.gateway.bodies import MemoryLease
from wardstair.gateway.peer_notices import apply_notices
from wardstair.gateway.settings import LiveSettings
from wardstair.process.log import log_event
from wardstair.state.local_state import LocalState

PEER_REQUEST_PATH = '/v1/relayed'
# Peers that one request is offered to: the first ones may have been cut off
# since their last heartbeats.
MAX_PEERS_TRIED = 4
# Connections to one peer; each carries one request.
MAX_CONNECTIONS_PER_PEER = 256
# Time for which a peer is not tried again after a failed connection.
AVOID_SECONDS = 1.0
# Time for which the list of peers is cached, as each request of a host that is
# cut off reads it.
PEER_CACHE_SECONDS = 0.1
_OK = 200


class HopEnd(StrEnum):
    """How a hop ended."""

    # The peer returned the answer of an upstream.
    answered = 'answered'
    # The peer refused the request, which has not run.
    refused = 'refused'
    # The peer answered that the request may have run.
    unknown = 'unknown'
    # The exchange broke after the request was sent; it may have run.
    lost = 'lost'
    # No peer was available; the request has not run.
    unsent = 'unsent'


@dataclass(frozen=True, slots=True)
class HopOutcome:
    """Outcome of forwarding a request to a peer.

    Attributes:
        end: How the hop ended.
        host: Name of the last peer tried; empty if there was none.
        answer: Answer of the peer, if any.
        seconds: Time from the start of the hop to its outcome.
    """

    end: HopEnd
    host: str = ''
    answer: PeerAnswer | None = None
    seconds: float = 0.0


class PeerForwarder:
    """Chooses peers and forwards requests to them; one per process."""

    def __init__(
        self,
        members: Members,
        local_state: LocalState,
        settings: LiveSettings,
        fleet_port: int,
        random: Random,
    ) -> None:
        """Create a forwarder without connections.

        Args:
            members: The other hosts.
            local_state: Records the notices in answers of upstreams to peers.
            settings: Settings of this host.
            fleet_port: Port on which all hosts accept messages of others.
            random: Random source for the choice of peers.
        """
        self.pool = UpstreamPool(lambda _name: MAX_CONNECTIONS_PER_PEER)
        self._members = members
        self._local_state = local_state
        self._settings = settings
        self._port = fleet_port
        self._random = random
        self._avoided_until: dict[str, float] = {}
        self._peers: list[PeerCandidate] = []
        self._listed_at = float('-inf')

    def find(
        self,
        service: str,
        regions: frozenset[str],
        tried: frozenset[str] = frozenset(),
    ) -> PeerCandidate | None:
        """Return a peer that may reach a service, if there is one.

        Args:
            service: The service.
            regions: The only regions that may get the request; empty for all.
            tried: Names of peers that were tried before.
        """
        now = time.monotonic()
        avoided = {
            name for name, end in self._avoided_until.items() if end > now
        }
        requirements = PeerRequirements(
            self._settings.current.region,
            frozenset((ALL, service_group(service))),
            regions,
            tried | avoided,
        )
        return choose_peer(
            self._cached_peers(now),
            requirements,
            self._settings.current.zones,
            self._random,
        )

    async def send(
        self,
        make_request: Callable[[], PeerRequest],
        regions: frozenset[str],
        lease: MemoryLease,
    ) -> HopOutcome:
        """Forward a request and wait for the outcome.

        Cancelling the call closes the connection, which aborts the request at
        the peer.

        Args:
            make_request: Returns the request with its remaining time.
            regions: The only regions that may get the request; empty for all.
            lease: Capacity for the answer.
        """
        outcome = HopOutcome(HopEnd.unsent)
        tried: set[str] = set()
        sends = 0

        def make_next() -> PeerRequest:
            request = make_request()
            return replace(request, sends=request.sends + sends)

        for _ in range(MAX_PEERS_TRIED):
            service = make_request().service
            peer = self.find(service, regions, frozenset(tried))
            if peer is None:
                return outcome
            tried.add(peer.name)
            attempt = await self._try_peer(peer, make_next, lease)
            if attempt.end is HopEnd.unsent:
                continue
            outcome = attempt
            if not _is_unreachable_there(attempt):
                return outcome
            sends += 0 if attempt.answer is None else attempt.answer.sends
        return outcome

    def close(self) -> None:
        """Close all idle connections."""
        self.pool.close()

    def _cached_peers(self, now: float) -> list[PeerCandidate]:
        if now - self._listed_at >= PEER_CACHE_SECONDS:
            self._peers = self._list_peers()
            self._listed_at = now
        return self._peers

    def _list_peers(self) -> list[PeerCandidate]:
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

    async def _try_peer(
        self,
        peer: PeerCandidate,
        make_request: Callable[[], PeerRequest],
        lease: MemoryLease,
    ) -> HopOutcome:
        started = time.monotonic()
        connection = await self._connection(peer.name)
        if isinstance(connection, ConnectFailed):
            self._avoided_until[peer.name] = time.monotonic() + AVOID_SECONDS
            log_event(
                'helper-unreachable',
                host=peer.name,
                reason=connection.reason,
            )
            return HopOutcome(HopEnd.unsent, peer.name)
        answer = await self._exchange(
            peer.name,
            connection,
            make_request(),
            lease,
        )
        seconds = time.monotonic() - started
        if answer is None:
            self._avoided_until[peer.name] = time.monotonic() + AVOID_SECONDS
            return HopOutcome(HopEnd.lost, peer.name, None, seconds)
        apply_notices(self._local_state, answer.notices, peer.name)
        if answer.is_own:
            self._record_lost(peer.name, frozenset(answer.lost))
        return HopOutcome(_end_of(answer), peer.name, answer, seconds)

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
        request: PeerRequest,
        lease: MemoryLease,
    ) -> PeerAnswer | None:
        body = encode_request(request)
        exchange = connection.send(
            _encode_head(len(body)),
            body,
            is_own=lambda _pairs: True,
            is_head_only=False,
            memory=lease,
        )
        try:
            ended = await exchange
        except BaseException:
            connection.close()
            raise
        if not isinstance(ended, RawAnswer) or ended.status != _OK:
            connection.close()
            return None
        self.pool.give_back(name, connection)
        return decode_answer(ended.body)

    def _record_lost(self, name: str, lost: frozenset[str]) -> None:
        """Record which groups a peer cannot reach, ahead of its heartbeat."""
        member = self._members.table.get(name)
        if member is not None and member.lost != lost:
            member.lost = lost
            self._listed_at = float('-inf')


def _end_of(answer: PeerAnswer) -> HopEnd:
    if not answer.is_own:
        return HopEnd.answered
    if answer.status in _NOT_RUN:
        return HopEnd.refused
    return HopEnd.unknown


# Statuses of a peer's refusal which say that the request has not run.
_NOT_RUN = frozenset((429, 503))


def _is_unreachable_there(outcome: HopOutcome) -> bool:
    """Return whether the peer cannot reach the upstreams either."""
    answer = outcome.answer
    if outcome.end is not HopEnd.refused or answer is None:
        return False
    return bool(answer.lost)


def _encode_head(length: int) -> bytes:
    return (
        f'POST {PEER_REQUEST_PATH} HTTP/1.1\r\nHost: host\r\n'
        f'Content-Type: application/cbor\r\nContent-Length: {length}\r\n\r\n'
    ).encode('latin-1')
