"""Validates and decodes entries of upstreams in the platform's store.

Any client can write such entries. An incomplete entry is rejected: with guessed
values for its missing fields, requests could go to an address where no upstream
listens.
"""

import re
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from ipaddress import IPv4Address
from typing import Annotated, Literal

from pydantic import (
    AfterValidator,
    BaseModel,
    BeforeValidator,
    ConfigDict,
    Field,
    StrictInt,
    StrictStr,
    StringConstraints,
    ValidationError,
)

from wardstair.platform.json_reader import REPLACEMENT
from wardstair.platform.objects import StoredObject
from wardstair.state.entries import UpstreamEntry, UpstreamPhase

_MILLISECONDS = 1000
# More concurrent requests than any upstream can process. An upstream that
# claims more would seem to have capacity under any load and receive all
# requests that the others reject.
MAX_SLOTS = 10_000
# No upstream stays cold for longer than a day.
MAX_COLD_MILLISECONDS = 86_400_000
# How far the clock of an upstream may be ahead of this host's.
MAX_AHEAD_SECONDS = 86_400
_PORTS = range(1, 65536)
# A name is sent as a header value, and between entry hosts.
MAX_NAME_LENGTH = 512
_NAME = re.compile(r'[!-~\xa1-\xff]+')
# Names of services and zones, and versions, are sent between entry hosts.
MAX_TEXT_LENGTH = 256
# `255.255.255.255:65535`
_MAX_ADDRESS_LENGTH = 21


def is_name(text: str) -> bool:
    """Return whether an entry of an upstream may name a zone or service so."""
    return 0 < len(text) <= MAX_TEXT_LENGTH and _is_readable(text)


def _is_readable(text: str) -> bool:
    return text.isprintable() and REPLACEMENT not in text


def _check_text(text: str) -> str:
    if not _is_readable(text):
        raise ValueError('expected printable characters')
    return text


_Text = Annotated[
    StrictStr,
    StringConstraints(max_length=MAX_TEXT_LENGTH),
    AfterValidator(_check_text),
]
_Name = Annotated[_Text, StringConstraints(min_length=1)]


def _check_address(address: str) -> str:
    if not _is_address(address):
        raise ValueError(
            'expected the IPv4 address and port of one host as ip:port'
        )
    return address


def _is_address(address: str) -> bool:
    host, _, port = address.rpartition(':')
    if not (port.isascii() and port.isdecimal() and int(port) in _PORTS):
        return False
    try:
        ip = IPv4Address(host)
    except ValueError:
        return False
    return not (ip.is_unspecified or ip.is_multicast or ip.is_reserved)


def _version_text(version: object) -> str:
    """Return a version as text; '' for none.

    Raises:
        ValueError: It is neither a text nor a number.
    """
    match version:
        case None:
            return ''
        case str():
            return version
        case bool():
            raise ValueError('expected a text')
        case int() | float():
            return str(version)
        case _:
            raise ValueError('expected a text')


class _Model(BaseModel):
    model_config = ConfigDict(extra='ignore', frozen=True)


class _Info(_Model):
    service: _Name
    zone: _Name
    slots: StrictInt = Field(ge=1, le=MAX_SLOTS)
    # Older upstreams do not state it, and not all state it as text.
    version: Annotated[_Text, BeforeValidator(_version_text)] = ''


class _Status(_Model):
    state: Literal['ready', 'draining']
    # Remaining time, counted from the time when the upstream wrote the entry.
    cold_left_ms: float = Field(
        ge=0,
        le=MAX_COLD_MILLISECONDS,
        strict=True,
        allow_inf_nan=False,
    )


class _UpstreamSpec(_Model):
    address: Annotated[
        StrictStr,
        StringConstraints(max_length=_MAX_ADDRESS_LENGTH),
        AfterValidator(_check_address),
    ]
    info: _Info
    status: _Status
    # Start time in Unix milliseconds; older upstreams do not write it.
    born: int = Field(default=0, ge=0, strict=True)


@dataclass(frozen=True, slots=True)
class UnusableEntry:
    """An invalid entry.

    Attributes:
        field: Dotted path of the invalid field.
        expected: Description of a valid value.
    """

    field: str
    expected: str


def decode_upstream_entry(
    stored: StoredObject,
    time_of_day: Callable[[], float] = time.time,
) -> UpstreamEntry | UnusableEntry:
    """Decode an upstream's entry.

    The entry may be in `spec` alone or divided between `spec` and `status`; the
    values in `status` take precedence.

    Args:
        stored: The object.
        time_of_day: Returns the time of day in Unix seconds.
    """
    name = stored.metadata.name
    if len(name) > MAX_NAME_LENGTH or not _NAME.fullmatch(name):
        expected = f'at most {MAX_NAME_LENGTH} printable Latin-1 characters'
        return UnusableEntry('metadata.name', expected)
    try:
        spec = _UpstreamSpec.model_validate(_merge_status(stored))
    except ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        path = '.'.join(str(part) for part in first['loc'])
        return UnusableEntry(path, first['msg'])
    if spec.born > (time_of_day() + MAX_AHEAD_SECONDS) * _MILLISECONDS:
        return UnusableEntry(
            'born',
            'Unix milliseconds at most a day ahead of the clock of this host; '
            'set the clock that is wrong',
        )
    host, _, port = spec.address.rpartition(':')
    return UpstreamEntry(
        name=name,
        service=spec.info.service,
        host=host,
        port=int(port),
        zone=spec.info.zone,
        slots=spec.info.slots,
        phase=UpstreamPhase(spec.status.state),
        cold_seconds=spec.status.cold_left_ms / _MILLISECONDS,
        revision=stored.revision,
        born=spec.born,
        version=spec.info.version,
    )


def _merge_status(stored: StoredObject) -> dict[str, object]:
    merged: dict[str, object] = {}
    if isinstance(stored.spec, Mapping):
        merged.update(stored.spec)
    if isinstance(stored.status, Mapping):
        merged['status'] = stored.status.get('status', stored.status)
        # A later incarnation writes its start time next to its status.
        born = stored.status.get('born')
        if born is not None:
            merged['born'] = born
    return merged
