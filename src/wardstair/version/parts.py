"""A steering configuration as immutable parts and one small head.

Parts are addressed by the digest of their content, so a host never fetches
a part that it already has, and a change transfers only the parts that it
affects. The head lists the parts; its version in the platform's store is the
version of the configuration.

The block table is encoded as arrays of numbers rather than as one object per
block: a million validated objects would take hundreds of megabytes. Part
boundaries depend on the hash of the start address (content-defined chunking)
instead of a fixed row count, so that adding or removing a block changes one
part and leaves the other boundaries in place.
"""

import base64
import hashlib
import json
import sys
import zlib
from array import array
from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any

from result import Err, Ok, Result
from xxhash import xxh32_intdigest

from wardstair.decisions.blocks import Block, BlockTable, build_table
from wardstair.errors import Fault
from wardstair.version.document import SteeringDocument, check_document

ROWS_PER_PART = 8192
MAX_ROWS_PER_PART = 4 * ROWS_PER_PART
_DIGEST_HEX_DIGITS = 32
_START_BYTES = 4
_ROW_BYTES = 5


@dataclass(frozen=True)
class Head:
    """The head of a version.

    Attributes:
        base: Digest of the part with everything except the block table.
        blocks: Digests of the parts of the block table, in order.
        command: Idempotency key of the order that created this version.
        operator: Operator who gave the order.
    """

    base: str
    blocks: tuple[str, ...]
    command: str
    operator: str

    @property
    def digests(self) -> tuple[str, ...]:
        """Digests of all parts of the version."""
        return (self.base, *self.blocks)

    def as_json(self) -> dict[str, Any]:
        """Return the head as it is stored."""
        return {
            'base': self.base,
            'blocks': list(self.blocks),
            'command': self.command,
            'operator': self.operator,
        }


def head_from_json(value: Any) -> Head:
    """Decode a stored head."""
    return Head(
        value['base'],
        tuple(value['blocks']),
        value['command'],
        value['operator'],
    )


@dataclass(frozen=True)
class Package:
    """A head with some or all of its parts, by digest."""

    head: Head
    parts: dict[str, bytes]


@dataclass(frozen=True)
class Unpacked:
    """A configuration assembled from its parts."""

    document: SteeringDocument
    table: BlockTable


def pack(document: SteeringDocument, command: str, operator: str) -> Package:
    """Split a configuration into parts.

    Args:
        document: The checked configuration.
        command: Idempotency key of the order that creates the version.
        operator: Operator who gave the order.
    """
    site_numbers = {
        site.name: index for index, site in enumerate(document.sites)
    }
    table = build_table(
        Block(block.network, site_numbers[block.site])
        for block in document.blocks
    )
    table_parts = list(pack_table(table))
    blocks = tuple(part_digest(part) for part in table_parts)
    package = repack(Head('', blocks, command, operator), document)
    parts = {part_digest(part): part for part in table_parts}
    return Package(package.head, {**package.parts, **parts})


def repack(head: Head, document: SteeringDocument) -> Package:
    """Create a version with the block table of an existing head.

    Args:
        head: Head with the block table, command and operator to use.
        document: The configuration; its blocks are ignored.

    Returns:
        The new head and its only new part, the base.
    """
    base = _compress_json(document.model_dump(mode='json', exclude={'blocks'}))
    digest = part_digest(base)
    return Package(replace(head, base=digest), {digest: base})


def unpack(
    head: Head,
    parts: dict[str, bytes],
) -> Result[Unpacked, list[Fault]]:
    """Assemble a configuration from its parts.

    Args:
        head: The head of the version.
        parts: All parts that the head lists, by digest.
    """
    for digest in head.digests:
        if part_digest(parts[digest]) != digest:
            hint = 'fetch the part again from the platform'
            return Err([Fault('head', digest, 'digest mismatch', hint)])
    checked = check_document(_decompress_json(parts[head.base]), 'head')
    match checked:
        case Ok(document):
            rows = (parts[digest] for digest in head.blocks)
            return Ok(Unpacked(document, unpack_table(rows)))
        case Err(faults):
            return Err(faults)


def pack_table(table: BlockTable) -> Iterator[bytes]:
    """Split a block table into parts of 8,192 rows on average."""
    first = 0
    for row in range(1, table.size + 1):
        is_last = row == table.size
        is_boundary = not is_last and _starts_part(table.starts[row])
        if is_last or is_boundary or row - first >= MAX_ROWS_PER_PART:
            starts = _little_endian_bytes(table.starts[first:row])
            sites = table.sites[first:row].tobytes()
            yield zlib.compress(starts + sites, 6)
            first = row


def unpack_table(parts: Iterator[bytes]) -> BlockTable:
    """Assemble a block table from its parts, in order."""
    starts = array('I')
    sites = array('B')
    for part in parts:
        raw = zlib.decompress(part)
        rows = len(raw) // _ROW_BYTES
        part_starts = array('I')
        part_starts.frombytes(raw[: rows * _START_BYTES])
        if sys.byteorder == 'big':
            part_starts.byteswap()
        starts.extend(part_starts)
        sites.frombytes(raw[rows * _START_BYTES :])
    return BlockTable(starts, sites)


def part_digest(part: bytes) -> str:
    """Return the digest under which a part is stored and fetched."""
    return hashlib.sha256(part).hexdigest()[:_DIGEST_HEX_DIGITS]


def part_as_json(part: bytes) -> str:
    """Return a part as it is stored, in base64."""
    return base64.b64encode(part).decode()


def part_from_json(value: str) -> bytes:
    """Decode a stored part."""
    return base64.b64decode(value)


def _starts_part(start: int) -> bool:
    digest = xxh32_intdigest(start.to_bytes(_START_BYTES, 'little'))
    return digest % ROWS_PER_PART == 0


def _little_endian_bytes(starts: 'array[int]') -> bytes:
    if sys.byteorder == 'big':
        starts.byteswap()
    return starts.tobytes()


def _compress_json(content: object) -> bytes:
    text = json.dumps(content, sort_keys=True, separators=(',', ':'))
    return zlib.compress(text.encode(), 6)


def _decompress_json(part: bytes) -> Any:
    return json.loads(zlib.decompress(part))
