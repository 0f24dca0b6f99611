"""A steering configuration as immutable parts and one small head.

Parts are named by the digest of their content, so a part that a host holds
never has to be sent again, and a change re-sends only what it touched. The
head names the parts; its version in the platform's store is the version of
the configuration.

The block table travels as rows of numbers, never as one object a block: a
million validated objects would take hundreds of megabytes. It is cut where
the hash of a start address says so, not at fixed counts, so that a block
that comes or goes changes one part and moves no other cut.
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
_DIGEST_LETTERS = 32
_START_BYTES = 4
_ROW_BYTES = 5


@dataclass(frozen=True)
class Head:
    """The head of a version.

    Attributes:
        base: Digest of everything but the block table.
        blocks: Digests of the parts of the block table, in order.
        command: Key of the order that made this version.
        operator: Who gave the order.
    """

    base: str
    blocks: tuple[str, ...]
    command: str
    operator: str

    @property
    def digests(self) -> tuple[str, ...]:
        """All parts that the version consists of."""
        return (self.base, *self.blocks)

    def as_json(self) -> dict[str, Any]:
        """Return the form in which the head is stored."""
        return {
            'base': self.base,
            'blocks': list(self.blocks),
            'command': self.command,
            'operator': self.operator,
        }


def head_from_json(value: Any) -> Head:
    """Read a stored head."""
    return Head(
        value['base'],
        tuple(value['blocks']),
        value['command'],
        value['operator'],
    )


@dataclass(frozen=True)
class Package:
    """A head with parts that it names, by digest."""

    head: Head
    parts: dict[str, bytes]


@dataclass(frozen=True)
class Unpacked:
    """A configuration put together from its parts."""

    document: SteeringDocument
    table: BlockTable


def pack(document: SteeringDocument, command: str, operator: str) -> Package:
    """Split a configuration into parts.

    Args:
        document: The checked configuration.
        command: Key of the order that makes the version.
        operator: Who gave the order.
    """
    numbers = {site.name: index for index, site in enumerate(document.sites)}
    table = build_table(
        Block(block.network, numbers[block.site]) for block in document.blocks
    )
    pieces = list(pack_table(table))
    blocks = tuple(part_digest(piece) for piece in pieces)
    package = repack(Head('', blocks, command, operator), document)
    parts = {part_digest(piece): piece for piece in pieces}
    return Package(package.head, {**package.parts, **parts})


def repack(head: Head, document: SteeringDocument) -> Package:
    """Make a version that keeps the block table of another.

    Args:
        head: Names the block table, command and operator.
        document: The configuration; its own blocks are left out.

    Returns:
        The new head and the one new part.
    """
    base = _deflate(document.model_dump(mode='json', exclude={'blocks'}))
    digest = part_digest(base)
    return Package(replace(head, base=digest), {digest: base})


def unpack(
    head: Head,
    parts: dict[str, bytes],
) -> Result[Unpacked, list[Fault]]:
    """Put a configuration together from its parts.

    Args:
        head: Its head.
        parts: All parts that the head names, by digest.
    """
    for digest in head.digests:
        if part_digest(parts[digest]) != digest:
            hint = 'fetch the part again from the platform'
            return Err([Fault('head', digest, 'the part is damaged', hint)])
    checked = check_document(_inflate(parts[head.base]), 'head')
    match checked:
        case Ok(document):
            rows = (parts[digest] for digest in head.blocks)
            return Ok(Unpacked(document, unpack_table(rows)))
        case Err(faults):
            return Err(faults)


def pack_table(table: BlockTable) -> Iterator[bytes]:
    """Cut a block table into parts of about 8,192 rows."""
    first = 0
    for row in range(1, table.size + 1):
        is_last = row == table.size
        is_cut = not is_last and _cuts_before(table.starts[row])
        if is_last or is_cut or row - first >= MAX_ROWS_PER_PART:
            starts = _little(table.starts[first:row])
            sites = table.sites[first:row].tobytes()
            yield zlib.compress(starts + sites, 6)
            first = row


def unpack_table(parts: Iterator[bytes]) -> BlockTable:
    """Put a block table together from its parts, in order."""
    starts = array('I')
    sites = array('B')
    for part in parts:
        raw = zlib.decompress(part)
        rows = len(raw) // _ROW_BYTES
        piece = array('I')
        piece.frombytes(raw[: rows * _START_BYTES])
        if sys.byteorder == 'big':
            piece.byteswap()
        starts.extend(piece)
        sites.frombytes(raw[rows * _START_BYTES :])
    return BlockTable(starts, sites)


def part_digest(part: bytes) -> str:
    """Return the name of a part."""
    return hashlib.sha256(part).hexdigest()[:_DIGEST_LETTERS]


def part_as_json(part: bytes) -> str:
    """Return the form in which a part is stored."""
    return base64.b64encode(part).decode()


def part_from_json(value: str) -> bytes:
    """Read a stored part."""
    return base64.b64decode(value)


def _cuts_before(start: int) -> bool:
    digest = xxh32_intdigest(start.to_bytes(_START_BYTES, 'little'))
    return digest % ROWS_PER_PART == 0


def _little(starts: 'array[int]') -> bytes:
    if sys.byteorder == 'big':
        starts.byteswap()
    return starts.tobytes()


def _deflate(content: object) -> bytes:
    text = json.dumps(content, sort_keys=True, separators=(',', ':'))
    return zlib.compress(text.encode(), 6)


def _inflate(part: bytes) -> Any:
    return json.loads(zlib.decompress(part))
