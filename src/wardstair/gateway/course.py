"""What has happened to one request so far."""

import asyncio
from dataclasses import dataclass, field
from enum import StrEnum

from wardstair.gateway.choosing import Placement
from wardstair.gateway.learning import SendCase
from wardstair.gateway.messages import Inbound
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


@dataclass(slots=True)
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

    def case_of(self, placement: Placement) -> SendCase:
        """Return what the learner has to know of one of its sends."""
        return SendCase(placement, self.route, self.key, self.trail)
