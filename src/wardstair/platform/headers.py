"""Decodes and encodes the platform's HTTP headers.

Callers and upstreams use the same header names. Code outside this package uses
only the decoded types.
"""

import math
import re
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import StrEnum

REQUEST_ID = 'Wardstair-Attempt-Id'
# Milliseconds for which the sender still waits, not a point in time.
TIME_LEFT = 'Wardstair-Deadline-Ms'
# Name of a cookie, not of a header.
KEY_COOKIE = 'Wardstair-Affinity-Key'
EXPECTED_INSTANCE = 'Wardstair-Expect-Instance'
# The caller's plain API key; must not be sent to upstreams.
API_KEY = 'Wardstair-Credential'
# Name of the organisation that the key belongs to. Only the gateway may set it;
# values from callers are dropped.
ORGANISATION = 'Wardstair-Tenant'
_MILLISECONDS = 1000
# Headers that concern a single connection (RFC 9110, section 7.6.1), and
# headers that are set anew on the next one.
_HOP_BY_HOP = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
        'expect',
        'proxy-authenticate',
        'proxy-authorization',
    )
)
# Headers from callers that the gateway drops or replaces.
_REPLACED = frozenset(
    name.lower()
    for name in (TIME_LEFT, EXPECTED_INSTANCE, API_KEY, ORGANISATION)
)

Pairs = Sequence[tuple[str, str]]
# Value of the leaving header of an upstream that is about to exit.
_LEAVING_VALUE = '1'
# Number of requests; a longer one cannot be true.
_LOAD = re.compile('[0-9]{1,9}', re.ASCII)
# The platform specifies "a decimal number": no sign, no exponent, no `inf`.
_DECIMAL = re.compile(r'[0-9]+(\.[0-9]*)?|\.[0-9]+', re.ASCII)


class _ReadHeader(StrEnum):
    """Headers that are read, in lower case for comparison."""

    request_id = REQUEST_ID.lower()
    time_left = TIME_LEFT.lower()
    api_key = API_KEY.lower()
    # Proves that an upstream made the answer; nothing else can create it.
    seal = 'wardstair-server-seal'
    not_run = 'wardstair-not-executed'
    # `running,waiting,slots` of the upstream at the time of the answer.
    load = 'wardstair-server-load'
    # Requests per second that the upstream accepts from all hosts together; it
    # applies while the upstream sends the header.
    limit = 'server-limit'
    leaving = 'server-leaving'
    # In seconds; the platform does not use the date form.
    retry_after = 'retry-after'


@dataclass(frozen=True, slots=True)
class CallerFields:
    """Decoded headers of a caller's request.

    Attributes:
        request_id: Identifies this attempt of the caller; empty if absent.
        key: Affinity key of the request, or None.
        seconds_left: Seconds for which the caller still waits, or None.
        forwarded_headers: Headers to forward to the upstream.
        api_keys: Values of all API key headers.
    """

    request_id: str
    key: str | None
    seconds_left: float | None
    forwarded_headers: tuple[tuple[str, str], ...]
    api_keys: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Load that an upstream reported in an answer.

    Attributes:
        running: Number of requests in progress.
        waiting: Number of requests in its queue.
        slots: Number of requests that it can process concurrently.
    """

    running: int
    waiting: int
    slots: int

    @property
    def has_capacity(self) -> bool:
        """Whether a slot was free."""
        return self.running + self.waiting < self.slots


@dataclass(frozen=True, slots=True)
class ReportedLimit:
    """Request rate limit that an upstream reported in an answer.

    Attributes:
        rate: Requests per second from all hosts together, possibly infinite;
            None if the value is invalid.
    """

    rate: float | None


@dataclass(frozen=True, slots=True)
class UpstreamFields:
    """Decoded headers of an upstream's answer.

    Attributes:
        request_id: ID of the answered request; empty if absent.
        has_seal: Whether the answer has the seal of an upstream.
        is_not_run: Whether the upstream did not run the request.
        load: The reported load, or None.
        limit: The reported rate limit, or None.
        is_leaving: Whether the upstream is about to exit.
        retry_after: Seconds after which the upstream accepts requests again;
            None if absent or invalid.
        keep_seconds: Seconds for which the upstream keeps an idle connection
            open, or None.
        forwarded_headers: Headers to forward to the caller.
    """

    request_id: str
    has_seal: bool
    is_not_run: bool
    load: ReportedLoad | None
    limit: ReportedLimit | None
    is_leaving: bool
    retry_after: float | None
    keep_seconds: float | None
    forwarded_headers: tuple[tuple[str, str], ...]


def decode_caller(pairs: Iterable[tuple[str, str]]) -> CallerFields:
    """Decode the headers of a caller's request."""
    request_id = ''
    key = None
    seconds_left = None
    api_keys: tuple[str, ...] = ()
    received = []
    dropped = _HOP_BY_HOP | _REPLACED
    for name, text in pairs:
        match name.lower():
            case 'connection':
                dropped = dropped | _connection_options(text)
            case _ReadHeader.request_id:
                request_id = text
            case _ReadHeader.time_left:
                seconds_left = _parse_milliseconds(text)
            case _ReadHeader.api_key:
                api_keys = (*api_keys, text)
            case 'cookie':
                key = _affinity_key(text) or key
        received.append((name, text))
    kept = tuple(pair for pair in received if pair[0].lower() not in dropped)
    return CallerFields(request_id, key, seconds_left, kept, api_keys)


def encode_upstream(
    forwarded_headers: Pairs,
    seconds_left: float,
    expected_instance: str,
    organisation: str = '',
) -> list[tuple[str, str]]:
    """Return the headers of a request to an upstream, without Content-Length.

    Args:
        forwarded_headers: The caller's headers to forward.
        seconds_left: Seconds within which the upstream must answer.
        expected_instance: Name of the intended upstream instance; another
            instance that has taken over its address rejects the request.
        organisation: Name of the organisation that makes the request; empty
            if unknown.
    """
    milliseconds = max(1, math.floor(seconds_left * _MILLISECONDS))
    replaced = [
        (TIME_LEFT, str(milliseconds)),
        (EXPECTED_INSTANCE, expected_instance),
    ]
    if organisation:
        replaced.append((ORGANISATION, organisation))
    return [*forwarded_headers, *replaced]


def decode_upstream(pairs: Pairs) -> UpstreamFields:
    """Decode the headers of an upstream's answer."""
    request_id = ''
    has_seal = False
    is_not_run = False
    load = None
    limit = None
    keep_seconds = None
    received = []
    dropped = _HOP_BY_HOP
    for name, text in pairs:
        match name.lower():
            case _ReadHeader.request_id:
                request_id = text
            case _ReadHeader.seal:
                has_seal = bool(text)
            case _ReadHeader.not_run:
                is_not_run = True
            case _ReadHeader.load:
                load = _parse_load(text)
            case _ReadHeader.limit:
                limit = _parse_limit(text)
            case 'keep-alive':
                keep_seconds = _parse_keep_alive(text)
            case 'connection':
                dropped = dropped | _connection_options(text)
        received.append((name, text))
    kept = tuple(pair for pair in received if pair[0].lower() not in dropped)
    return UpstreamFields(
        request_id,
        has_seal,
        is_not_run,
        load,
        limit,
        _LEAVING_VALUE in _header_values(pairs, _ReadHeader.leaving),
        _max_seconds(_header_values(pairs, _ReadHeader.retry_after)),
        keep_seconds,
        kept,
    )


def _connection_options(connection: str) -> frozenset[str]:
    return frozenset(name.strip().lower() for name in connection.split(','))


def _parse_milliseconds(text: str) -> float | None:
    if not text.isdecimal():
        return None
    return int(text) / _MILLISECONDS


def _affinity_key(text: str) -> str | None:
    for cookie_pair in text.split(';'):
        name, _, value = cookie_pair.strip().partition('=')
        if name == KEY_COOKIE:
            return value
    return None


def _parse_load(text: str) -> ReportedLoad | None:
    parts = [part.strip() for part in text.split(',')]
    if len(parts) != 3 or not all(map(_LOAD.fullmatch, parts)):
        return None
    running, waiting, slots = (int(part) for part in parts)
    return ReportedLoad(running, waiting, slots)


def _parse_limit(text: str) -> ReportedLimit:
    decimal = text.strip()
    if _DECIMAL.fullmatch(decimal) is None:
        return ReportedLimit(None)
    return ReportedLimit(float(decimal))


def _header_values(pairs: Pairs, header: str) -> list[str]:
    """Return all values of a header that may occur more than once."""
    return [
        value.strip()
        for name, text in pairs
        if name.lower() == header
        for value in text.split(',')
    ]


def _max_seconds(values: list[str]) -> float | None:
    numbers = [float(value) for value in values if _DECIMAL.fullmatch(value)]
    return max(numbers, default=None)


def _parse_keep_alive(text: str) -> float | None:
    for part in text.split(','):
        name, _, value = part.strip().partition('=')
        if name.lower() == 'timeout' and value.isdecimal():
            return float(value)
    return None
