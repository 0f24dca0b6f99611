"""Entries of upstreams in the platform's store, checked at the border.

Anybody may write there. An entry that is not whole names no upstream, since a
guess at what it leaves out would send requests where nobody waits for them.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from ipaddress import IPv4Address
from typing import Annotated, Literal

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    StrictInt,
    StrictStr,
    StringConstraints,
    ValidationError,
)

from wardstair.platform.objects import StoredObject
from wardstair.state.entries import UpstreamEntry, UpstreamPhase

_MILLISECONDS = 1000
# More requests at once than one upstream works on: one that claims more would
# seem to have room at any load, and get all that the others cannot take.
MAX_SLOTS = 10_000
# Nothing is cold for longer than a day.
MAX_COLD_MILLISECONDS = 86_400_000
_PORTS = range(1, 65536)
_Name = Annotated[StrictStr, StringConstraints(min_length=1)]


def _check_address(address: str) -> str:
    host, _, port = address.rpartition(':')
    IPv4Address(host)
    if not (port.isascii() and port.isdecimal() and int(port) in _PORTS):
        raise ValueError('an IP address and a port')
    return address


class _Model(BaseModel):
    model_config = ConfigDict(extra='ignore', frozen=True)


class _Info(_Model):
    service: _Name
    zone: _Name
    slots: StrictInt = Field(ge=1, le=MAX_SLOTS)


class _Status(_Model):
    state: Literal['ready', 'draining']
    # Time left, counted from when the upstream wrote the entry.
    cold_left_ms: float = Field(
        ge=0,
        le=MAX_COLD_MILLISECONDS,
        strict=True,
        allow_inf_nan=False,
    )


class _UpstreamSpec(_Model):
    address: Annotated[StrictStr, AfterValidator(_check_address)]
    info: _Info
    status: _Status
    # Unix milliseconds of its start; older upstreams do not say.
    born: int = Field(default=0, ge=0, strict=True)


@dataclass(frozen=True, slots=True)
class UnusableEntry:
    """An entry that names no upstream.

    Attributes:
        field: Where it is wrong, as a dotted path.
        expected: What should stand there.
    """

    field: str
    expected: str


def decode_upstream_entry(
    stored: StoredObject,
) -> UpstreamEntry | UnusableEntry:
    """Decode an upstream's entry.

    The entry may lie in `spec` alone or be divided between `spec` and
    `status`; what `status` says wins.
    """
    try:
        spec = _UpstreamSpec.model_validate(_merged(stored))
    except ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        path = '.'.join(str(part) for part in first['loc'])
        return UnusableEntry(path, first['msg'])
    host, _, port = spec.address.rpartition(':')
    return UpstreamEntry(
        name=stored.metadata.name,
        service=spec.info.service,
        host=host,
        port=int(port),
        zone=spec.info.zone,
        slots=spec.info.slots,
        phase=UpstreamPhase(spec.status.state),
        cold_seconds=spec.status.cold_left_ms / _MILLISECONDS,
        revision=stored.revision,
        born=spec.born,
    )


def _merged(stored: StoredObject) -> dict[str, object]:
    merged: dict[str, object] = {}
    if isinstance(stored.spec, Mapping):
        merged.update(stored.spec)
    if isinstance(stored.status, Mapping):
        merged['status'] = stored.status.get('status', stored.status)
        # The word of a later life stands beside that life's status.
        born = stored.status.get('born')
        if born is not None:
            merged['born'] = born
    return merged
