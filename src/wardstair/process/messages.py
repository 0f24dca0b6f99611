"""Messages between entry hosts, as CBOR over websockets.

Each is a data class with a `kind`; what arrives is validated before anything
acts on it.
"""

import zlib
from typing import Annotated, Literal

import cbor2
from pydantic import Field, TypeAdapter, ValidationError
from pydantic.dataclasses import dataclass
from result import Err, Ok, Result

from wardstair.decisions.ledger import Holding, Identity, LoanOffer
from wardstair.decisions.membership import (
    FarHost,
    HostRow,
    UpstreamReport,
    ZoneReport,
)

MAX_MESSAGE_BYTES = 4194304
DEFLATE_FROM_BYTES = 256
DEFLATE_LEVEL = 1
# A CBOR map never begins with this byte.
DEFLATED = b'\x00'


@dataclass(frozen=True)
class Hello:
    """First message on a link: who speaks, and for which listener."""

    identity: Identity
    zone: str
    deployment: str
    kind: Literal['hello'] = 'hello'


@dataclass(frozen=True)
class Heartbeat:
    """A host's own row, rows it heard, and what it probed since the last."""

    row: HostRow
    heard: tuple[HostRow, ...]
    reports: tuple[UpstreamReport, ...] = ()
    kind: Literal['heartbeat'] = 'heartbeat'


@dataclass(frozen=True)
class ZoneGossip:
    """Reports of zones."""

    reports: tuple[ZoneReport, ...]
    kind: Literal['zone-gossip'] = 'zone-gossip'


@dataclass(frozen=True)
class HostsAsk:
    """Asks for lists of hosts by digest."""

    digests: tuple[bytes, ...]
    kind: Literal['hosts-ask'] = 'hosts-ask'


@dataclass(frozen=True)
class HostsGive:
    """A list of hosts of one zone."""

    hosts: tuple[FarHost, ...]
    kind: Literal['hosts-give'] = 'hosts-give'


@dataclass(frozen=True)
class LoanAsk:
    """Asks for tokens of a resource; a patient one waits for the answer."""

    ask: str
    resource: str
    wanted: int
    is_patient: bool = False
    kind: Literal['loan-ask'] = 'loan-ask'


@dataclass(frozen=True)
class LoanGive:
    """Answers a `LoanAsk`; no offer if nothing is idle."""

    ask: str
    resource: str
    offer: LoanOffer | None
    kind: Literal['loan-give'] = 'loan-give'


@dataclass(frozen=True)
class LoanBack:
    """Returns tokens of a loan."""

    resource: str
    loan: str
    tokens: tuple[int, ...]
    kind: Literal['loan-back'] = 'loan-back'


@dataclass(frozen=True)
class HoldingsAsk:
    """Asks what the receiver still holds of a resource's tokens."""

    ask: str
    resource: str
    kind: Literal['holdings-ask'] = 'holdings-ask'


@dataclass(frozen=True)
class HoldingsGive:
    """Answers a `HoldingsAsk`."""

    ask: str
    resource: str
    holdings: tuple[Holding, ...]
    kind: Literal['holdings-give'] = 'holdings-give'


@dataclass(frozen=True)
class HeadAsk:
    """Asks for the head of the version in force, if it is newer."""

    newer_than: int
    kind: Literal['head-ask'] = 'head-ask'


@dataclass(frozen=True)
class HeadGive:
    """The head of the version that the sender has in force."""

    version: int
    base: str
    blocks: tuple[str, ...]
    command: str
    operator: str
    kind: Literal['head-give'] = 'head-give'


@dataclass(frozen=True)
class PartAsk:
    """Asks for a part by its digest."""

    digest: str
    kind: Literal['part-ask'] = 'part-ask'


@dataclass(frozen=True)
class PartGive:
    """A part."""

    content: bytes
    kind: Literal['part-give'] = 'part-give'


PeerMessage = (
    Hello
    | Heartbeat
    | ZoneGossip
    | HostsAsk
    | HostsGive
    | LoanAsk
    | LoanGive
    | LoanBack
    | HoldingsAsk
    | HoldingsGive
    | HeadAsk
    | HeadGive
    | PartAsk
    | PartGive
)

_ADAPTER: TypeAdapter[PeerMessage] = TypeAdapter(
    Annotated[PeerMessage, Field(discriminator='kind')],
)


def encode(message: PeerMessage) -> bytes:
    """Return the bytes of a message, deflated if that is worth it."""
    raw = cbor2.dumps(_ADAPTER.dump_python(message))
    if len(raw) < DEFLATE_FROM_BYTES:
        return raw
    return DEFLATED + zlib.compress(raw, DEFLATE_LEVEL)


def decode(raw: bytes) -> Result[PeerMessage, str]:
    """Read and validate a message, or say what is wrong with it."""
    try:
        content = cbor2.loads(_inflated(raw))
    except (cbor2.CBORDecodeError, ValueError, zlib.error) as error:
        return Err(f'not CBOR: {error}')
    try:
        return Ok(_ADAPTER.validate_python(content))
    except ValidationError as error:
        return Err(f'not a message: {error.error_count()} errors')


def _inflated(raw: bytes) -> bytes:
    if not raw.startswith(DEFLATED):
        return raw
    # Bounded, so that a small message cannot unpack to a huge one.
    return zlib.decompressobj().decompress(raw[1:], MAX_MESSAGE_BYTES)
