"""One request of a caller on its way through an entry host."""

import time
from dataclasses import dataclass
from typing import Protocol

from wardstair.connection.exchange import IncomingHead
from wardstair.connection.pipe import Pipe
from wardstair.errors import Refusal
from wardstair.version.topology import Route


@dataclass(frozen=True)
class BufferedBody:
    """A small body held whole, so that it can be sent again."""

    content: bytes


@dataclass(frozen=True)
class StreamedBody:
    """A body that passes through once.

    Attributes:
        pipe: The bytes as they arrive.
        length: Declared length, or -1 for chunked framing.
    """

    pipe: Pipe
    length: int


RequestBody = BufferedBody | StreamedBody | None


@dataclass
class Call:
    """A request with all that its way depends on.

    Attributes:
        request_id: Identifies the request in logs and towards upstreams.
        route: The route that covers it.
        method: HTTP method.
        target: Path and query as received.
        headers: End-to-end headers.
        body: Its body.
        deadline: Monotonic time by which the answer is needed, or None.
        origin: Region of the caller, or None if not known.
        is_internal: Whether another entry host sent it here.
        is_zone_only: Whether it was sent here for a slot of this zone only.
        key: Its Idempotency-Key, or None.
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
        """Seconds to the deadline, or None without one."""
        if self.deadline is None:
            return None
        return self.deadline - time.monotonic()

    @property
    def is_body_consumed(self) -> bool:
        """Whether bytes are gone that another attempt would need."""
        match self.body:
            case StreamedBody(pipe=pipe):
                return pipe.taken > 0
            case _:
                return False


class AnswerSink(Protocol):
    """Where the answer of a call goes."""

    def begin(self, head: IncomingHead) -> None:
        """Send the answer's head."""

    async def write(self, chunk: bytes) -> None:
        """Send bytes of the body, waiting while the caller is slow."""

    def end(self) -> None:
        """Mark the answer as whole."""

    def cut(self) -> None:
        """Close the connection, since the answer cannot become whole."""


@dataclass(frozen=True)
class Delivered:
    """The whole answer went to the caller.

    Attributes:
        head: Its head.
        body: Its body if it was small enough to keep, else None.
    """

    head: IncomingHead
    body: bytes | None


@dataclass(frozen=True)
class Refused:
    """The caller is to be told of a refusal."""

    refusal: Refusal


@dataclass(frozen=True)
class CutShort:
    """The answer had begun and could not be finished."""


@dataclass(frozen=True)
class CallerLeft:
    """The caller closed its connection first."""


CallEnd = Delivered | Refused | CutShort | CallerLeft
