"""The progress of a request through this host."""

import asyncio
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from wardstair.gateway.bodies import BodyCapacity, MemoryLease
from wardstair.gateway.choosing import Placement
from wardstair.gateway.messages import Inbound
from wardstair.gateway.outcomes import SendAttempt
from wardstair.gateway.peer_forwarding import HopOutcome
from wardstair.gateway.reporting import AttemptHistory
from wardstair.gateway.send_outcomes import Delivered, SendOutcome
from wardstair.version.organisations import Organisation
from wardstair.version.steering import SteeredRoute


class ResendReason(StrEnum):
    """Why a request is resent."""

    unreachable = 'unreachable'
    turned_away = 'turned-away'
    # The upstream stopped accepting requests before this one was sent.
    withheld = 'withheld'
    lost = 'lost'
    # The upstream answered with a failure status.
    failed = 'failed'
    silent = 'silent'
    # This host cannot connect to the upstream; a peer may.
    cut_off = 'cut-off'


@dataclass(slots=True, eq=False)
class RequestProgress:
    """The progress of a request through this host.

    Attributes:
        inbound: The request.
        route: Route of the request.
        service: Service chosen for the request.
        key: Affinity key of the request, or its id if it has none.
        until: Monotonic time by which an upstream has to answer.
        history: What is logged about the request.
        organisation: Organisation of the caller; None if unknown.
        regions: The only regions that may serve the request; empty for all.
        sends: Number of sends to upstreams so far.
        is_counted: Whether the limit on resends counts its first send.
        may_have_run: Whether an upstream may have run the request.
        rejected_with_capacity: Whether the last upstream that rejected the
            request had a free slot.
        is_ended: Whether the reply is decided.
        failure: A failure that an upstream answered. It becomes the reply if no
            other upstream answers.
        running: Sends without an outcome.
        hop: The running hop to a peer, if any.
        hops: Number of times that the request was forwarded to a peer.
        unconnectable: Names of upstreams without an idle connection while new
            connections fail.
        unavailable: Names of upstreams that asked the host of the caller for no
            more requests, if a peer forwarded the request.
        is_from_peer: Whether another entry host forwarded the request to this
            one.
        reroute_signal: Completed once the running sends may be unreachable;
            None if the request must not be forwarded to a peer.
        leases: Capacity for the answers to its sends and hops.
        hop_lease: Capacity for the answer to its last hop, if any.
    """

    inbound: Inbound
    route: SteeredRoute
    service: str
    key: str
    until: float
    history: AttemptHistory
    organisation: Organisation | None = None
    regions: frozenset[str] = frozenset()
    sends: int = 0
    is_counted: bool = False
    may_have_run: bool = False
    rejected_with_capacity: bool = False
    is_ended: bool = False
    failure: tuple[Placement, Delivered] | None = None
    running: 'dict[asyncio.Task[SendOutcome], Placement]' = field(
        default_factory=dict,
    )
    hop: 'asyncio.Task[HopOutcome] | None' = None
    hops: int = 0
    unconnectable: set[str] = field(default_factory=set)
    unavailable: frozenset[str] = frozenset()
    is_from_peer: bool = False
    reroute_signal: 'asyncio.Future[None] | None' = None
    leases: list[MemoryLease] = field(default_factory=list)
    hop_lease: MemoryLease | None = None

    @property
    def awaited(self) -> 'set[asyncio.Future[Any]]':
        """Futures whose completion may require action."""
        futures: set[asyncio.Future[Any]] = set(self.running)
        if self.hop is not None:
            futures.add(self.hop)
        if self.reroute_signal is not None:
            futures.add(self.reroute_signal)
        return futures

    @property
    def open_tasks(self) -> 'set[asyncio.Task[Any]]':
        """Tasks that may return the answer."""
        tasks: set[asyncio.Task[Any]] = set(self.running)
        if self.hop is not None:
            tasks.add(self.hop)
        return tasks

    def lease_of(self, bodies: BodyCapacity) -> MemoryLease:
        """Return a lease for the answer to another send.

        Args:
            bodies: The capacity of the process.
        """
        lease = MemoryLease(bodies)
        self.leases.append(lease)
        return lease

    def release_answers(self, kept: MemoryLease | None) -> None:
        """Release the capacity for all answers but the one that is the reply.

        Args:
            kept: Lease of the reply, if any.
        """
        for lease in self.leases:
            if lease is not kept:
                lease.release()

    def attempt_of(self, placement: Placement) -> SendAttempt:
        """Return what is needed to record the outcome of one send."""
        return SendAttempt(placement, self.route, self.key, self.history)
