"""Look-up and readiness endpoints of the platform."""

import json
from collections.abc import Sequence
from dataclasses import dataclass
from urllib.parse import parse_qs

READY_PATH = '/readyz'
LOOKUP_PATH = '/resolve'
# The platform accepts at most this many addresses in an answer.
MAX_ADDRESSES = 64


@dataclass(frozen=True, slots=True)
class Lookup:
    """Look-up query of a caller.

    Attributes:
        host: Host name to resolve.
        region: Region of the caller; empty if not given.
        zone: Availability zone of the caller; empty if not given.
    """

    host: str
    region: str
    zone: str


def decode_lookup(query: str) -> Lookup:
    """Decode the query string of a look-up."""
    fields = parse_qs(query)
    return Lookup(
        fields.get('name', [''])[0],
        fields.get('region', [''])[0],
        fields.get('zone', [''])[0],
    )


def encode_addresses(addresses: Sequence[str], seconds: float) -> bytes:
    """Encode the answer to a look-up.

    Args:
        addresses: Addresses (`ip:port`) of entry hosts for callers.
        seconds: Seconds for which the answer may be cached.
    """
    document = {
        'addresses': list(addresses[:MAX_ADDRESSES]),
        'ttl_s': seconds,
    }
    return json.dumps(document).encode()
