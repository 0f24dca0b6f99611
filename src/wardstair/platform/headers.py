"""The platform's header names, and what stands behind them.

Callers and upstreams share one set. Everything outside this folder sees the
decoded types only.
"""

import math
import re
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import StrEnum

REQUEST_ID = 'Wardstair-Attempt-Id'
# Milliseconds that the sender will still wait, not a point in time.
TIME_LEFT = 'Wardstair-Deadline-Ms'
# The value of one cookie among others, not a header of its own.
KEY_COOKIE = 'Wardstair-Affinity-Key'
EXPECTED_RUN = 'Wardstair-Expect-Instance'
# The caller's bare API key; must not be sent to upstreams.
API_KEY = 'Wardstair-Credential'
# Name of the organisation that holds the key. Values from callers are dropped:
# only the gateway may set it.
ORGANISATION = 'Wardstair-Tenant'
_MILLISECONDS = 1000
# What concerns one connection only (RFC 9110, 7.6.1), and what is set anew.
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
_SET_ANEW = frozenset(
    name.lower() for name in (TIME_LEFT, EXPECTED_RUN, API_KEY, ORGANISATION)
)

Pairs = Sequence[tuple[str, str]]
# An upstream that is to end soon says so with this value.
_IS_LEAVING = '1'
# The users write "a decimal number": no sign, no exponent, no word.
_DECIMAL = re.compile(r'[0-9]+(\.[0-9]*)?|\.[0-9]+', re.ASCII)


class _Read(StrEnum):
    """Names that are read, in the lower case in which they are compared."""

    request_id = REQUEST_ID.lower()
    time_left = TIME_LEFT.lower()
    api_key = API_KEY.lower()
    # Proves that an upstream made this answer; only upstreams can make one.
    proof = 'wardstair-server-seal'
    not_run = 'wardstair-not-executed'
    # "running,waiting,slots" of the upstream when it answered.
    load = 'wardstair-server-load'
    # Requests a second that it takes from all hosts together, while it says so.
    limit = 'server-limit'
    leaving = 'server-leaving'
    # Seconds, never a date.
    retry_after = 'retry-after'


@dataclass(frozen=True, slots=True)
class CallerFields:
    """What a caller's head says beside method and target.

    Attributes:
        request_id: Names this try of the caller; empty if there is none.
        key: What the request concerns, or None.
        seconds_left: How long the caller will wait, or None.
        forwarded_headers: Headers that go on to the upstream.
        api_keys: The values of all API key headers.
    """

    request_id: str
    key: str | None
    seconds_left: float | None
    forwarded_headers: tuple[tuple[str, str], ...]
    api_keys: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Load that an upstream told in an answer.

    Attributes:
        running: Requests it worked on.
        waiting: Requests in its queue.
        slots: Requests it can work on at once.
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
    """What an upstream names as its limit in an answer.

    Attributes:
        rate: Requests a second from all hosts together, maybe infinite; None
            if what it names cannot be read.
    """

    rate: float | None


@dataclass(frozen=True, slots=True)
class UpstreamFields:
    """What the head of an upstream's answer says beside the status.

    Attributes:
        request_id: The request it answers; empty if it does not say.
        has_seal: Whether it carries the upstream's proof.
        is_not_run: Whether it says that the request has not run.
        load: The upstream's load, if told.
        limit: What it names as its limit; None if it names none.
        is_leaving: Whether it says that it will end soon.
        retry_after: Seconds after which it may be asked again; None if it
            names no time that can be read.
        keep_seconds: Seconds for which it keeps a resting connection.
        forwarded_headers: Headers that go on to the caller.
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
    forwarded_headers = []
    dropped = _HOP_BY_HOP | _SET_ANEW
    for name, text in pairs:
        match name.lower():
            case 'connection':
                dropped = dropped | _named_in(text)
            case _Read.request_id:
                request_id = text
            case _Read.time_left:
                seconds_left = _milliseconds(text)
            case _Read.api_key:
                api_keys = (*api_keys, text)
            case 'cookie':
                key = _cookie(text) or key
        forwarded_headers.append((name, text))
    kept = tuple(
        pair for pair in forwarded_headers if pair[0].lower() not in dropped
    )
    return CallerFields(request_id, key, seconds_left, kept, api_keys)


def encode_upstream(
    forwarded_headers: Pairs,
    seconds_left: float,
    expected_run: str,
    organisation: str = '',
) -> list[tuple[str, str]]:
    """Return the headers of a request to an upstream, without its length.

    Args:
        forwarded_headers: The caller's headers that go on.
        seconds_left: Seconds that the upstream may take.
        expected_run: Name of the upstream's run that is meant; any other
            that has taken over its address turns the request away.
        organisation: Name of the organisation that makes the request; empty
            if unknown.
    """
    left = max(1, math.floor(seconds_left * _MILLISECONDS))
    set_anew = [(TIME_LEFT, str(left)), (EXPECTED_RUN, expected_run)]
    if organisation:
        set_anew.append((ORGANISATION, organisation))
    return [*forwarded_headers, *set_anew]


def decode_upstream(pairs: Pairs) -> UpstreamFields:
    """Decode the headers of an upstream's answer."""
    request_id = ''
    has_seal = False
    is_not_run = False
    load = None
    limit = None
    keep_seconds = None
    forwarded_headers = []
    dropped = _HOP_BY_HOP
    for name, text in pairs:
        match name.lower():
            case _Read.request_id:
                request_id = text
            case _Read.proof:
                has_seal = bool(text)
            case _Read.not_run:
                is_not_run = True
            case _Read.load:
                load = _load(text)
            case _Read.limit:
                limit = _limit(text)
            case 'keep-alive':
                keep_seconds = _keep_seconds(text)
            case 'connection':
                dropped = dropped | _named_in(text)
        forwarded_headers.append((name, text))
    kept = tuple(
        pair for pair in forwarded_headers if pair[0].lower() not in dropped
    )
    return UpstreamFields(
        request_id,
        has_seal,
        is_not_run,
        load,
        limit,
        _IS_LEAVING in _values(pairs, _Read.leaving),
        _longest_seconds(_values(pairs, _Read.retry_after)),
        keep_seconds,
        kept,
    )


def _named_in(connection: str) -> frozenset[str]:
    return frozenset(name.strip().lower() for name in connection.split(','))


def _milliseconds(text: str) -> float | None:
    if not text.isdecimal():
        return None
    return int(text) / _MILLISECONDS


def _cookie(text: str) -> str | None:
    for crumb in text.split(';'):
        name, _, value = crumb.strip().partition('=')
        if name == KEY_COOKIE:
            return value
    return None


def _load(text: str) -> ReportedLoad | None:
    parts = text.split(',')
    if len(parts) != 3 or not all(part.strip().isdecimal() for part in parts):
        return None
    running, waiting, slots = (int(part) for part in parts)
    return ReportedLoad(running, waiting, slots)


def _limit(text: str) -> ReportedLimit:
    figure = text.strip()
    if _DECIMAL.fullmatch(figure) is None:
        return ReportedLimit(None)
    return ReportedLimit(float(figure))


def _values(pairs: Pairs, header: str) -> list[str]:
    """Return all values of a header that may be there more than once."""
    return [
        value.strip()
        for name, text in pairs
        if name.lower() == header
        for value in text.split(',')
    ]


def _longest_seconds(values: list[str]) -> float | None:
    figures = [float(value) for value in values if _DECIMAL.fullmatch(value)]
    return max(figures, default=None)


def _keep_seconds(text: str) -> float | None:
    for part in text.split(','):
        name, _, value = part.strip().partition('=')
        if name.lower() == 'timeout' and value.isdecimal():
            return float(value)
    return None
