"""Requests and replies as the parts of a gateway exchange them."""

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import cached_property

from wardstair.connection.segments import Body, segments_of
from wardstair.decisions.request_identity import identity_of
from wardstair.gateway.bodies import MemoryLease

Pairs = tuple[tuple[str, str], ...]


@dataclass
class Inbound:
    """A complete request of a caller.

    Attributes:
        request_id: The caller's id for this attempt.
        method: HTTP method.
        target: Path and query, as sent.
        path: Path without the query.
        host: Host name, lower case, without a port.
        key: Affinity key, or None.
        headers: Headers that are passed on to an upstream.
        body: The complete body.
        received_at: Monotonic time at which the headers were received.
        seconds: How long the caller waits, counted from `received_at`.
        api_keys: Values of the API key headers; never sent to an upstream.
        organisation: Name of the caller's organisation; empty until the request
            is authorised, and if the organisation is unknown.
        on_dropped: Called when the body is dropped; None if it must be kept.
        dropped_bytes: Length of a body that was dropped, in bytes.
        open_sends: Number of sends to upstreams that have no outcome yet.
    """

    request_id: str
    method: str
    target: str
    path: str
    host: str
    key: str | None
    headers: Pairs
    body: Body
    received_at: float
    seconds: float
    api_keys: tuple[str, ...] = field(default=(), repr=False)
    organisation: str = ''
    on_dropped: Callable[[], None] | None = field(
        default=None, repr=False, compare=False
    )
    dropped_bytes: int = field(default=0, compare=False)
    open_sends: int = field(default=0, compare=False)

    @property
    def is_dropped(self) -> bool:
        """Whether the body was dropped: the request is not sent again."""
        return self.dropped_bytes > 0

    @property
    def body_length(self) -> int:
        """Length of the body in bytes, also after it was dropped."""
        return self.dropped_bytes or len(self.body)

    def drop_body(self) -> str:
        """Drop the body of a request that is being answered.

        It is kept while a second send runs, which may not have sent it yet.

        Returns:
            The identity of the request, which needs the body to be computed;
            empty if the body is kept.
        """
        if self.on_dropped is None or not self.body or self.open_sends > 1:
            return ''
        identity = self.identity
        self.dropped_bytes = len(self.body)
        self.body = b''
        self.on_dropped()
        return identity

    @cached_property
    def identity(self) -> str:
        """Digest that all attempts of the same request share.

        Computed on first use, because it takes 1 to 3 us, and 70 to 115 us for
        a body of 40 KB. The first use has to follow the authorisation.
        """
        return identity_of(
            self.method,
            self.host,
            self.target,
            segments_of(self.body),
            self.headers,
            self.organisation,
        )


@dataclass(frozen=True, slots=True)
class Reply:
    """The reply to a caller.

    Attributes:
        status: Status code.
        reason: Reason phrase.
        headers: Headers without Content-Length.
        body: The body.
        is_own: Whether an entry host created the reply, not an upstream.
        lease: Capacity that its body takes up until it is passed on; None if it
            takes up none.
    """

    status: int
    reason: str
    headers: Pairs
    body: Body
    is_own: bool = False
    lease: MemoryLease | None = field(default=None, compare=False)

    def release(self) -> None:
        """Release the capacity for its body, as it was passed on or dropped."""
        if self.lease is not None:
            self.lease.release()
