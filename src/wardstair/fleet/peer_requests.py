"""Encoding of requests that an entry host forwards to a peer, in CBOR.

The first host has authorised the request and counted it against the quota. Its
attempts count towards the limits of both hosts.
"""

from dataclasses import dataclass
from io import BytesIO
from typing import IO, Any, cast

import cbor2

from wardstair.connection.segments import Body, body_of, segments_of
from wardstair.fleet.fields import (
    DECODE_ERRORS,
    MAX_NUMBER,
    as_name,
    as_number,
    as_whole,
)
from wardstair.fleet.segment_reader import SegmentReader

_FORMAT = 2
# Positions in the rows.
_REQUEST_BODY = 7
_ANSWER_BODY = 4
_SENDS = 8
# Major types (RFC 8949, 3.1).
_CBOR_BYTES = 2
_CBOR_ARRAY = 4
# More fields than any row has.
_MAX_FIELDS = 64
_MIN_STATUS = 200
_MAX_STATUS = 999
_MAX_SENDS = 1_000_000
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
    body: Body
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
    body: Body
    is_own: bool
    lost: tuple[str, ...] = ()
    notices: tuple[PeerNotice, ...] = ()
    sends: int = 0


def encode_request(request: PeerRequest) -> Body:
    """Encode a request."""
    return _encode_row(
        [
            _FORMAT,
            request.request_id,
            request.method,
            request.target,
            request.host,
            request.key,
            request.headers,
        ],
        request.body,
        [
            request.seconds,
            request.organisation,
            request.service,
            request.version,
            request.sends,
            request.tried,
            request.unavailable,
        ],
    )


def decode_request(document: Body) -> PeerRequest | None:
    """Decode a request; return None if it is not valid."""
    try:
        row = _decode_row(document, _REQUEST_BODY)
        if row[0] != _FORMAT:
            return None
        return PeerRequest(
            request_id=_text(row[1]),
            method=_text(row[2]),
            target=_text(row[3]),
            host=_text(row[4]),
            key=None if row[5] is None else _text(row[5]),
            headers=_pairs(row[6]),
            body=row[7],
            seconds=as_number(row[8], least=-MAX_NUMBER),
            organisation=_text(row[9]),
            service=_text(row[10]),
            version=as_whole(row[11], least=-1),
            sends=as_whole(row[12], most=_MAX_SENDS),
            tried=tuple(map(as_name, row[13])),
            unavailable=tuple(map(as_name, row[14])),
        )
    except DECODE_ERRORS:
        return None


def request_id_of(beginning: Body) -> str:
    """Return the id of a request that was not received to its end.

    Args:
        beginning: The first bytes of the encoded request.

    Returns:
        The id; empty if these bytes do not hold it.
    """
    reader = SegmentReader(segments_of(beginning))
    decoder = _decoder_of(reader)
    try:
        reader.read_length(_CBOR_ARRAY)
        _, request_id = decoder.decode(), decoder.decode()
    except DECODE_ERRORS:
        return ''
    return request_id if isinstance(request_id, str) else ''


def encode_answer(answer: PeerAnswer) -> Body:
    """Encode an answer."""
    return _encode_row(
        [_FORMAT, answer.status, answer.reason, answer.headers],
        answer.body,
        [
            answer.is_own,
            answer.lost,
            [
                (one.upstream, one.born, one.is_leaving, one.pause)
                for one in answer.notices
            ],
            answer.sends,
        ],
    )


def decode_answer(document: Body) -> PeerAnswer | None:
    """Decode an answer; return None if it is not valid."""
    try:
        row = _decode_row(document, _ANSWER_BODY)
        if row[0] != _FORMAT:
            return None
        return PeerAnswer(
            status=as_whole(row[1], _MIN_STATUS, _MAX_STATUS),
            reason=_text(row[2]),
            headers=_pairs(row[3]),
            body=row[4],
            is_own=bool(row[5]),
            lost=tuple(map(as_name, row[6])),
            notices=tuple(map(_notice, row[7])),
            # Hosts of builds before this field do not tell it.
            sends=as_whole(row[_SENDS]) if len(row) > _SENDS else 0,
        )
    except DECODE_ERRORS:
        return None


def _encode_row(before: list[Any], body: Body, after: list[Any]) -> Body:
    """Encode a row as `cbor2.dumps` does, without a copy of its body."""
    head = BytesIO()
    encoder = cbor2.CBOREncoder(head)
    encoder.encode_length(_CBOR_ARRAY, len(before) + 1 + len(after))
    for field in before:
        encoder.encode(field)
    encoder.encode_length(_CBOR_BYTES, len(body))
    tail = b''.join(cbor2.dumps(field) for field in after)
    return body_of((head.getvalue(), *segments_of(body), tail))


def _decode_row(document: Body, body_index: int) -> list[Any]:
    """Decode a row; the segments of its body are kept as they are.

    Raises:
        cbor2.CBORDecodeError: The bytes are no CBOR.
        ValueError: They are no row with a body at this place.
    """
    reader = SegmentReader(segments_of(document))
    decoder = _decoder_of(reader)
    length = as_whole(reader.read_length(_CBOR_ARRAY), most=_MAX_FIELDS)
    return [
        reader.take(reader.read_length(_CBOR_BYTES))
        if index == body_index
        else decoder.decode()
        for index in range(length)
    ]


def _decoder_of(reader: SegmentReader) -> cbor2.CBORDecoder:
    return cbor2.CBORDecoder(cast('IO[bytes]', reader))


def _notice(fields: Any) -> PeerNotice:
    upstream, born, is_leaving, pause = fields
    return PeerNotice(
        as_name(upstream), as_whole(born), bool(is_leaving), as_number(pause)
    )


def _pairs(rows: Any) -> Pairs:
    return tuple((_text(field), _text(content)) for field, content in rows)


def _text(field: object) -> str:
    # Its length is limited by that of the message.
    if not isinstance(field, str):
        raise TypeError('expected a text')
    return field
