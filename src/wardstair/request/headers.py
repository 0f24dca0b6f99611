"""Which headers pass an entry host, and which are refused."""

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
    """Headers between entry hosts; refused from callers."""

    origin_region = 'X-Wardstair-Origin-Region'
    purpose = 'X-Wardstair-Purpose'


class HopPurpose(StrEnum):
    """Why a request was sent to another entry host.

    `serve` asks for a slot of the receiver's zone and nothing more; `home`
    asks the receiver to decide by the request's key.
    """

    serve = 'serve'
    owner = 'home'


Headers = Iterable[tuple[str, str]]


def internal_header_names(headers: Headers) -> list[str]:
    """Return the names of internal headers among the given ones."""
    return [
        name for name, _ in headers if name.lower().startswith(INTERNAL_PREFIX)
    ]


def forwarded_headers(headers: Headers) -> tuple[tuple[str, str], ...]:
    """Return the headers that are sent on.

    Hop-by-hop headers, those that `Connection` names, internal ones and
    those that wardstair sets itself are left out.
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
