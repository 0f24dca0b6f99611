"""What has happened to one request so far."""

import asyncio
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from wardstair.gateway.choosing import Placement
from wardstair.gateway.handing_on import HopOutcome
from wardstair.gateway.messages import Inbound
from wardstair.gateway.outcomes import SendAttempt
from wardstair.gateway.reporting import Trail
from wardstair.gateway.sending import Delivered, SendOutcome
from wardstair.version.organisations import Organisation
from wardstair.version.steering import SteeredRoute


class ResendReason(StrEnum):
    """Why a request is sent once more."""

    unreachable = 'unreachable'
    turned_away = 'turned-away'
    # The upstream wanted no more while the request waited for a connection.
    withheld = 'withheld'
    lost = 'lost'
    # The upstream answered that it failed.
    failed = 'failed'
    silent = 'silent'
    # This host reaches no upstream; another one may.
    cut_off = 'cut-off'


@dataclass(slots=True, eq=False)
class Course:
    """What has happened to one request so far.

    Attributes:
        inbound: The request.
        route: Its route.
        service: The service chosen for it.
        key: What it concerns.
        until: Monotonic time at which its upstream has to be done.
        trail: What will be told of it.
        organisation: The organisation that makes it; None if unknown.
        regions: The only regions that may serve it; empty for all.
        sends: Upstreams that it was sent to.
        may_have_run: Whether one of them may have run it.
        met_room: Whether the last upstream that turned it away had a slot free.
        is_ended: Whether its answer is known.
        failure: A failure that an upstream answered; the answer if nobody
            does better.
        running: Sends without an outcome.
        hop: The hop to another entry host, if it is on its way.
        hops: How often it has been handed on to another host.
        barred: Upstreams to which no connection was open while new ones fail.
        is_relayed: Whether another entry host has handed it on to this one.
        doubt: Done once what it waits for may be out of reach; None for one
            that no other host can be asked for.
    """

    inbound: Inbound
    route: SteeredRoute
    service: str
    key: str
    until: float
    trail: Trail
    organisation: Organisation | None = None
    regions: frozenset[str] = frozenset()
    sends: int = 0
    may_have_run: bool = False
    met_room: bool = False
    is_ended: bool = False
    failure: tuple[Placement, Delivered] | None = None
    running: 'dict[asyncio.Task[SendOutcome], Placement]' = field(
        default_factory=dict,
    )
    hop: 'asyncio.Task[HopOutcome] | None' = None
    hops: int = 0
    barred: set[str] = field(default_factory=set)
    is_relayed: bool = False
    doubt: 'asyncio.Future[None] | None' = None

    @property
    def awaited(self) -> 'set[asyncio.Future[Any]]':
        """Everything after which there may be something to do."""
        futures: set[asyncio.Future[Any]] = set(self.running)
        if self.hop is not None:
            futures.add(self.hop)
        if self.doubt is not None:
            futures.add(self.doubt)
        return futures

    @property
    def open_tasks(self) -> 'set[asyncio.Task[Any]]':
        """Everything that may bring its answer."""
        tasks: set[asyncio.Task[Any]] = set(self.running)
        if self.hop is not None:
            tasks.add(self.hop)
        return tasks

    def case_of(self, placement: Placement) -> SendAttempt:
        """Return what the learner has to know of one of its sends."""
        return SendAttempt(placement, self.route, self.key, self.trail)
