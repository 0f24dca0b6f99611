"""Encoding of requests that an entry host forwards to a peer, in CBOR.

The first host has authorised the request and counted it against the quota. Its
attempts count towards the limits of both hosts.
"""

from dataclasses import dataclass
from typing import Any

import cbor2

_FORMAT = 2
# Position of the sends in an answer.
_SENDS = 8
_DECODE_ERRORS = (
    cbor2.CBORDecodeError,
    ValueError,
    TypeError,
    LookupError,
    AttributeError,
)
Pairs = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class PeerRequest:
    """A request that one entry host forwards to another.

    Attributes:
        request_id: Identifies this attempt of the caller.
        method: HTTP method.
        target: Path and query as received.
        host: Host name in lower case, without a port.
        key: Affinity key, or None.
        headers: Headers to be forwarded to an upstream.
        body: The complete body.
        seconds: Time in seconds for which the caller still waits.
        organisation: Name of the caller's organisation; empty if unknown.
        service: Service to which it was routed.
        version: Version of the configuration that routed it.
        sends: Number of upstreams that it was sent to.
        tried: Names of upstreams that must not receive it again.
        unavailable: Names of upstreams that asked the first host for no more
            requests.
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
    unavailable: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class PeerNotice:
    """Notices of an upstream that received the request of another host.

    Attributes:
        upstream: Name of the upstream.
        born: Its incarnation, as in its entry.
        is_leaving: Whether it announced that it is leaving.
        pause: Remaining seconds of the pause that it asked for.
    """

    upstream: str
    born: int
    is_leaving: bool
    pause: float


@dataclass(frozen=True, slots=True)
class PeerAnswer:
    """The answer of the second host.

    Attributes:
        status: Status code.
        reason: Reason phrase.
        headers: Headers without the content length.
        body: The body.
        is_own: Whether the second host itself answered, not an upstream.
        lost: Groups of upstreams that the second host does not reach.
        notices: Notices of the upstreams that the second host tried.
        sends: Number of upstreams that the second host sent the request to.
    """

    status: int
    reason: str
    headers: Pairs
    body: bytes
    is_own: bool
    lost: tuple[str, ...] = ()
    notices: tuple[PeerNotice, ...] = ()
    sends: int = 0


def encode_request(request: PeerRequest) -> bytes:
    """Encode a request."""
    return cbor2.dumps(
        [
            _FORMAT,
            request.request_id,
            request.method,
            request.target,
            request.host,
            request.key,
            request.headers,
            request.body,
            request.seconds,
            request.organisation,
            request.service,
            request.version,
            request.sends,
            request.tried,
            request.unavailable,
        ],
    )


def decode_request(document: bytes) -> PeerRequest | None:
    """Decode a request; return None if it is not valid."""
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
            unavailable=tuple(str(name) for name in row[14]),
        )
    except _DECODE_ERRORS:
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
            [
                (one.upstream, one.born, one.is_leaving, one.pause)
                for one in answer.notices
            ],
            answer.sends,
        ],
    )


def decode_answer(document: bytes) -> PeerAnswer | None:
    """Decode an answer; return None if it is not valid."""
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
            notices=tuple(_notice(fields) for fields in row[7]),
            # Hosts of builds before this field do not tell it.
            sends=int(row[_SENDS]) if len(row) > _SENDS else 0,
        )
    except _DECODE_ERRORS:
        return None


def _notice(fields: Any) -> PeerNotice:
    upstream, born, is_leaving, pause = fields
    return PeerNotice(str(upstream), int(born), bool(is_leaving), float(pause))


def _pairs(rows: Any) -> Pairs:
    return tuple((str(name), str(text)) for name, text in rows)
