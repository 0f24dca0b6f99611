"""Messages between entry hosts, encoded as CBOR and sent over websockets.

Each message is a data class whose `kind` identifies it. Received messages are
validated when they are decoded.
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
MIN_DEFLATE_BYTES = 256
DEFLATE_LEVEL = 1
# First byte of a compressed message; no CBOR map begins with it.
DEFLATED = b'\x00'


@dataclass(frozen=True)
class Hello:
    """First message on a link, which identifies the sender."""

    identity: Identity
    zone: str
    deployment: str
    kind: Literal['hello'] = 'hello'


@dataclass(frozen=True)
class Heartbeat:
    """State of the sender, recent states of peers, and new probe results."""

    row: HostRow
    heard: tuple[HostRow, ...]
    reports: tuple[UpstreamReport, ...] = ()
    kind: Literal['heartbeat'] = 'heartbeat'


@dataclass(frozen=True)
class ZoneGossip:
    """State reports of zones."""

    reports: tuple[ZoneReport, ...]
    kind: Literal['zone-gossip'] = 'zone-gossip'


@dataclass(frozen=True)
class HostsAsk:
    """Requests host lists by their digests."""

    digests: tuple[bytes, ...]
    kind: Literal['hosts-ask'] = 'hosts-ask'


@dataclass(frozen=True)
class HostsGive:
    """The hosts of one zone."""

    hosts: tuple[FarHost, ...]
    kind: Literal['hosts-give'] = 'hosts-give'


@dataclass(frozen=True)
class LoanAsk:
    """Requests a loan of tokens.

    A patient request waits at the lender until a token is idle.
    """

    ask: str
    resource: str
    wanted: int
    is_patient: bool = False
    kind: Literal['loan-ask'] = 'loan-ask'


@dataclass(frozen=True)
class LoanGive:
    """Answers a `LoanAsk`; without an offer if no token is idle."""

    ask: str
    resource: str
    offer: LoanOffer | None
    kind: Literal['loan-give'] = 'loan-give'


@dataclass(frozen=True)
class LoanBack:
    """Returns borrowed tokens to the lender."""

    resource: str
    loan: str
    tokens: tuple[int, ...]
    kind: Literal['loan-back'] = 'loan-back'


@dataclass(frozen=True)
class HoldingsAsk:
    """Queries which tokens of a resource the receiver still holds."""

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
    """Requests the head of the receiver's version, if it is newer."""

    newer_than: int
    kind: Literal['head-ask'] = 'head-ask'


@dataclass(frozen=True)
class HeadGive:
    """Head of the configuration version in force on the sender."""

    version: int
    base: str
    blocks: tuple[str, ...]
    command: str
    operator: str
    kind: Literal['head-give'] = 'head-give'


@dataclass(frozen=True)
class PartAsk:
    """Requests a part of a configuration by its digest."""

    digest: str
    kind: Literal['part-ask'] = 'part-ask'


@dataclass(frozen=True)
class PartGive:
    """A part of a configuration."""

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
    """Encode a message, compressed from `MIN_DEFLATE_BYTES` on."""
    raw = cbor2.dumps(_ADAPTER.dump_python(message))
    if len(raw) < MIN_DEFLATE_BYTES:
        return raw
    return DEFLATED + zlib.compress(raw, DEFLATE_LEVEL)


def decode(raw: bytes) -> Result[PeerMessage, str]:
    """Decode and validate a message, or return why it is invalid."""
    try:
        content = cbor2.loads(_inflated(raw))
    except (cbor2.CBORDecodeError, ValueError, zlib.error) as error:
        return Err(f'message is not valid CBOR: {error}')
    try:
        return Ok(_ADAPTER.validate_python(content))
    except ValidationError as error:
        return Err(f'message fails validation: {error.error_count()} errors')


def _inflated(raw: bytes) -> bytes:
    if not raw.startswith(DEFLATED):
        return raw
    # The limit prevents a small message from expanding to a huge one.
    return zlib.decompressobj().decompress(raw[1:], MAX_MESSAGE_BYTES)
