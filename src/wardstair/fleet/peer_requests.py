"""A request that one entry host hands on to another, in CBOR.

The first host has authorised it and counted it against the quota; what it has
tried counts for both.
"""

from dataclasses import dataclass
from typing import Any

import cbor2

_FORMAT = 1
_UNREADABLE = (
    cbor2.CBORDecodeError,
    ValueError,
    TypeError,
    LookupError,
    AttributeError,
)
Pairs = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class PeerRequest:
    """A request on its way through two entry hosts.

    Attributes:
        request_id: The caller's name for this try.
        method: HTTP method.
        target: Path and query, as sent.
        host: Host name, lower case, without a port.
        key: What it concerns, or None.
        headers: Headers that go on to an upstream.
        body: The whole body.
        seconds: How long its caller still waits.
        organisation: Name of the organisation that makes it; empty if unknown.
        service: The service chosen for it.
        version: Version of the configuration that it was routed by.
        sends: Upstreams that it was sent to.
        tried: Names of upstreams that it must not go to again.
    """

    request_id: str
    method: str
    target: str
    host: str
    key: str | None
    headers: Pairs
    body: bytes
    seconds: float
    organisation: str
    service: str
    version: int
    sends: int
    tried: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class PeerAnswer:
    """What became of it.

    Attributes:
        status: Status code.
        reason: Reason phrase.
        headers: Headers without the length.
        body: The body.
        is_own: Whether it is the second host's own answer, not an upstream's.
        lost: Groups of upstreams that the second host does not reach.
    """

    status: int
    reason: str
    headers: Pairs
    body: bytes
    is_own: bool
    lost: tuple[str, ...] = ()


def encode_request(relayed: PeerRequest) -> bytes:
    """Encode a request."""
    return cbor2.dumps(
        [
            _FORMAT,
            relayed.request_id,
            relayed.method,
            relayed.target,
            relayed.host,
            relayed.key,
            relayed.headers,
            relayed.body,
            relayed.seconds,
            relayed.organisation,
            relayed.service,
            relayed.version,
            relayed.sends,
            relayed.tried,
        ],
    )


def decode_request(document: bytes) -> PeerRequest | None:
    """Decode a request; None if it is none of this format."""
    try:
        row = cbor2.loads(document)
        if row[0] != _FORMAT:
            return None
        return PeerRequest(
            request_id=str(row[1]),
            method=str(row[2]),
            target=str(row[3]),
            host=str(row[4]),
            key=None if row[5] is None else str(row[5]),
            headers=_pairs(row[6]),
            body=bytes(row[7]),
            seconds=float(row[8]),
            organisation=str(row[9]),
            service=str(row[10]),
            version=int(row[11]),
            sends=int(row[12]),
            tried=tuple(str(name) for name in row[13]),
        )
    except _UNREADABLE:
        return None


def encode_answer(answer: PeerAnswer) -> bytes:
    """Encode an answer."""
    return cbor2.dumps(
        [
            _FORMAT,
            answer.status,
            answer.reason,
            answer.headers,
            answer.body,
            answer.is_own,
            answer.lost,
        ],
    )


def decode_answer(document: bytes) -> PeerAnswer | None:
    """Decode an answer; None if it is none of this format."""
    try:
        row = cbor2.loads(document)
        if row[0] != _FORMAT:
            return None
        return PeerAnswer(
            status=int(row[1]),
            reason=str(row[2]),
            headers=_pairs(row[3]),
            body=bytes(row[4]),
            is_own=bool(row[5]),
            lost=tuple(str(group) for group in row[6]),
        )
    except _UNREADABLE:
        return None


def _pairs(rows: Any) -> Pairs:
    return tuple((str(name), str(text)) for name, text in rows)
