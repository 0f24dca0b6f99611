"""Reads fields of messages from other hosts, in which any bytes may stand.

CBOR has more types than messages use. A decimal number of 18 bytes, for
example, has a million digits as an integer, and converting it takes a minute.
So a value of another type is rejected, never converted.
"""

import zlib
from collections.abc import Callable, Iterable
from contextlib import suppress
from ipaddress import IPv4Address
from typing import Any, TypeVar

import cbor2

# What the decoders of messages raise for odd bytes.
DECODE_ERRORS = (
    cbor2.CBORDecodeError,
    zlib.error,
    ValueError,
    TypeError,
    LookupError,
    AttributeError,
    ArithmeticError,
    RecursionError,
)
# Larger numbers are not used, as revisions or otherwise.
MAX_WHOLE = 2**63 - 1
MAX_NUMBER = 1e15
MAX_TEXT_LENGTH = 4096
# Names of hosts, zones, services and versions.
MAX_NAME_LENGTH = 512
_PORTS = range(1, 65536)
_MAX_DEPTH = 300
_T = TypeVar('_T')


def as_text(field: object, longest: int = MAX_TEXT_LENGTH) -> str:
    """Return a text.

    Raises:
        ValueError: It is none, or is too long.
    """
    if not isinstance(field, str) or len(field) > longest:
        raise ValueError(f'expected a text of at most {longest} characters')
    return field


def as_name(field: object) -> str:
    """Return a name, which goes into logs and to further hosts.

    Raises:
        ValueError: It is none.
    """
    found = as_text(field, MAX_NAME_LENGTH)
    if not found.isprintable():
        raise ValueError('expected printable characters')
    return found


def as_whole(field: object, least: int = 0, most: int = MAX_WHOLE) -> int:
    """Return an integer.

    Raises:
        ValueError: It is none, or is out of its range.
    """
    if (
        isinstance(field, bool)
        or not isinstance(field, int)
        or not least <= field <= most
    ):
        raise ValueError(f'expected an integer from {least} to {most}')
    return field


def as_number(
    field: object, least: float = 0.0, most: float = MAX_NUMBER
) -> float:
    """Return a finite number.

    Raises:
        ValueError: It is none, or is out of its range.
    """
    if (
        isinstance(field, bool)
        or not isinstance(field, int | float)
        or not least <= field <= most
    ):
        raise ValueError(f'expected a number from {least} to {most}')
    return float(field)


def usable(read: Callable[[Any], _T], rows: Iterable[Any]) -> tuple[_T, ...]:
    """Return the rows that can be read; an odd one costs itself alone."""
    found = []
    for row in rows:
        with suppress(*DECODE_ERRORS):
            found.append(read(row))
    return tuple(found)


def is_ip(address: str) -> bool:
    """Return whether an address is an IPv4 address, not a name to resolve."""
    try:
        IPv4Address(address)
    except ValueError:
        return False
    return True


def as_port(field: object) -> int:
    """Return a port.

    Raises:
        ValueError: It is none.
    """
    return as_whole(field, _PORTS.start, _PORTS.stop - 1)


def as_document(field: object, depth: int = 0) -> object:
    """Return a document as JSON may contain it.

    Raises:
        ValueError: It contains something else, or itself.
    """
    match field:
        case _ if depth > _MAX_DEPTH:
            raise ValueError(f'expected at most {_MAX_DEPTH} levels')
        case dict():
            for key, inner in field.items():
                as_text(key)
                as_document(inner, depth + 1)
        case list():
            for inner in field:
                as_document(inner, depth + 1)
        case None | str() | int() | float():
            return field
        case _:
            raise ValueError('expected a value of JSON')
    return field


def unpacked(compressed: object, largest: int) -> bytes:
    """Return decompressed bytes.

    Raises:
        ValueError: They are too many, or incomplete.
        zlib.error: The bytes were not compressed.
    """
    if not isinstance(compressed, bytes):
        raise TypeError('expected bytes')
    unpacker = zlib.decompressobj()
    found = unpacker.decompress(compressed, largest)
    if not unpacker.eof:
        raise ValueError(f'expected at most {largest} bytes')
    return found
