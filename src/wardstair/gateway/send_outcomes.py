"""Outcomes of sending a request to an upstream."""

from dataclasses import dataclass

from wardstair.connection.upstream import BreakReason, RawAnswer
from wardstair.gateway.bodies import MemoryLease
from wardstair.platform.headers import ReportedLoad, UpstreamFields
from wardstair.state.revision import Revision


@dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request left this host.

    Attributes:
        reason: Why the request was not sent.
        is_dead: Whether the upstream seems to have exited.
    """

    reason: str
    is_dead: bool = False


@dataclass(frozen=True, slots=True)
class Withheld:
    """The upstream stopped accepting requests before this one was sent."""


@dataclass(frozen=True, slots=True)
class NoConnection:
    """Not sent: no connection was idle, and new ones fail."""


@dataclass(frozen=True, slots=True)
class RejectedByUpstream:
    """The upstream answered that it has not run the request.

    Attributes:
        status: Status code of the answer.
        is_misdirected: Whether another upstream has the address now.
        load: The load reported in the answer, if any.
    """

    status: int
    is_misdirected: bool
    load: ReportedLoad | None = None


@dataclass(frozen=True, slots=True)
class Lost:
    """The request was sent and may have run; no usable answer was received.

    Attributes:
        reason: How the exchange ended.
        is_forgotten: Whether it broke on a connection that had been idle. The
            connection is then more likely at fault than the upstream.
    """

    reason: BreakReason
    is_forgotten: bool = False


@dataclass(frozen=True, slots=True)
class StateAtSend:
    """What this host knew of an upstream right before it sent a request.

    Attributes:
        entry: Revision of the upstream's entry.
        upstreams: Revision of the list of upstreams.
        age: Age of this host's state in seconds.
    """

    entry: Revision
    upstreams: Revision
    age: float


@dataclass(frozen=True, slots=True)
class Delivered:
    """A complete, usable answer was received.

    Attributes:
        answer: The answer as received.
        fields: Decoded headers of the answer.
        seconds: Time from sending to the complete answer.
        state: What this host knew when it sent the request.
        lease: Capacity that the answer takes up until it is passed on.
    """

    answer: RawAnswer
    fields: UpstreamFields
    seconds: float
    state: StateAtSend
    lease: MemoryLease


SendOutcome = (
    NotSent | Withheld | NoConnection | RejectedByUpstream | Lost | Delivered
)
