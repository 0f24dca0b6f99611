"""What the parts of a gateway tell one another about one request."""

from dataclasses import dataclass, field
from functools import cached_property

from wardstair.decisions.request_identity import identity_of

Pairs = tuple[tuple[str, str], ...]


@dataclass
class Inbound:
    """A request as a caller sent it, whole.

    Attributes:
        request_id: The caller's name for this try.
        method: HTTP method.
        target: Path and query, as sent.
        path: Path without the query.
        host: Host name, lower case, without a port.
        key: What the request concerns, or None.
        headers: Headers that go on to an upstream.
        body: The whole body.
        received_at: Monotonic time when its head had come.
        seconds: How long the caller waits, counted from then.
        api_keys: Values of its API key headers; never sent to an upstream.
        organisation: Name of the organisation that makes it; empty until it is
            authorised, and if the organisation is unknown.
    """

    request_id: str
    method: str
    target: str
    path: str
    host: str
    key: str | None
    headers: Pairs
    body: bytes
    received_at: float
    seconds: float
    api_keys: tuple[str, ...] = field(default=(), repr=False)
    organisation: str = ''

    @cached_property
    def identity(self) -> str:
        """Names the request, whatever id its tries carry.

        Computed on first use, which has to follow the authorisation: 1 to 3 us,
        with a body of 40 KB 70 to 115 us.
        """
        return identity_of(
            self.method,
            self.host,
            self.target,
            self.body,
            self.headers,
            self.organisation,
        )


@dataclass(frozen=True, slots=True)
class Reply:
    """What a caller is answered.

    Attributes:
        status: Status code.
        reason: Reason phrase.
        headers: Headers without the length.
        body: The body.
        is_own: Whether an entry host made it, not an upstream.
    """

    status: int
    reason: str
    headers: Pairs
    body: bytes
    is_own: bool = False
