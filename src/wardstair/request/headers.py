"""Selects the headers that an entry host forwards or refuses."""

from collections.abc import Iterable
from enum import StrEnum

HOP_BY_HOP = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'expect',
    )
)
INTERNAL_PREFIX = 'x-wardstair-'
OWN_HEADERS = frozenset(
    (
        'content-length',
        'host',
        'request-id',
        'deadline-ms',
    )
)


class InternalHeader(StrEnum):
    """Headers sent between entry hosts; refused in requests of callers."""

    origin_region = 'X-Wardstair-Origin-Region'
    purpose = 'X-Wardstair-Purpose'


class HopPurpose(StrEnum):
    """Purpose for which a request is sent to another entry host.

    With `serve` the receiver uses only upstreams of its own zone. With `owner`
    the receiver owns the key of the request, and checks whether the request
    has run before.
    """

    serve = 'serve'
    owner = 'home'


Headers = Iterable[tuple[str, str]]


def internal_header_names(headers: Headers) -> list[str]:
    """Return the names of the internal headers."""
    return [
        name for name, _ in headers if name.lower().startswith(INTERNAL_PREFIX)
    ]


def forwarded_headers(headers: Headers) -> tuple[tuple[str, str], ...]:
    """Return the headers that are forwarded.

    Hop-by-hop headers, headers named by `Connection`, internal headers and
    headers that wardstair sets itself are omitted.
    """
    pairs = list(headers)
    named = {
        token.strip().lower()
        for name, text in pairs
        if name.lower() == 'connection'
        for token in text.split(',')
    }
    dropped = HOP_BY_HOP | OWN_HEADERS | named
    return tuple(
        (name, text)
        for name, text in pairs
        if name.lower() not in dropped
        and not name.lower().startswith(INTERNAL_PREFIX)
    )
