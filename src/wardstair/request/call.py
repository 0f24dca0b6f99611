"""One request of a caller while an entry host handles it."""

import time
from dataclasses import dataclass
from typing import Protocol

from wardstair.connection.exchange import IncomingHead
from wardstair.connection.pipe import Pipe
from wardstair.errors import Refusal
from wardstair.version.topology import Route


@dataclass(frozen=True)
class BufferedBody:
    """A small body kept in memory, so that it can be sent again."""

    content: bytes


@dataclass(frozen=True)
class StreamedBody:
    """A body that is streamed and can be sent only once.

    Attributes:
        pipe: The bytes as they are received.
        length: Declared length in bytes, or -1 for chunked framing.
    """

    pipe: Pipe
    length: int


RequestBody = BufferedBody | StreamedBody | None


@dataclass
class Call:
    """A request with all data needed to forward it.

    Attributes:
        request_id: Identifies the request in logs and to upstreams.
        route: The route that it matches.
        method: HTTP method.
        target: Path and query as received.
        headers: End-to-end headers.
        body: The body, or None.
        deadline: Monotonic time in seconds by which the answer is needed, or
            None.
        origin: Region of the caller, or None if unknown.
        is_internal: Whether it was sent by another entry host.
        is_zone_only: Whether only upstreams of this zone may serve it, as
            another entry host requested.
        key: The Idempotency-Key of a request that may run at most once, or
            None if the request has no key to check here.
    """

    request_id: str
    route: Route
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: RequestBody
    deadline: float | None
    origin: str | None
    is_internal: bool
    is_zone_only: bool
    key: str | None

    @property
    def time_left(self) -> float | None:
        """Seconds until the deadline, or None if there is none."""
        if self.deadline is None:
            return None
        return self.deadline - time.monotonic()

    @property
    def is_body_consumed(self) -> bool:
        """Whether bytes that another attempt needs were already read."""
        match self.body:
            case StreamedBody(pipe=pipe):
                return pipe.taken > 0
            case _:
                return False


class AnswerSink(Protocol):
    """Receives the answer of a call."""

    def begin(self, head: IncomingHead) -> None:
        """Send the status line and headers of the answer."""

    async def write(self, chunk: bytes) -> None:
        """Send bytes of the body; wait while the caller reads slowly."""

    def end(self) -> None:
        """Finish a complete answer."""

    def disconnect(self) -> None:
        """Close the connection, since the answer cannot be completed."""


@dataclass(frozen=True)
class Delivered:
    """The complete answer was sent to the caller.

    Attributes:
        head: The status and headers that were sent.
        body: The body if it was small enough to keep, else None.
    """

    head: IncomingHead
    body: bytes | None


@dataclass(frozen=True)
class Refused:
    """The request was refused; the refusal is still to be sent."""

    refusal: Refusal


@dataclass(frozen=True)
class CutShort:
    """The answer was begun but could not be completed."""


@dataclass(frozen=True)
class CallerLeft:
    """The caller closed its connection before the answer was complete."""


CallEnd = Delivered | Refused | CutShort | CallerLeft
