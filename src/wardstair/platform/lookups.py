"""Look-ups and readiness as the platform asks for them."""

import json
from collections.abc import Sequence
from dataclasses import dataclass
from urllib.parse import parse_qs

READY_PATH = '/readyz'
LOOKUP_PATH = '/resolve'
# The platform takes no more addresses in one answer.
MAX_ADDRESSES = 64


@dataclass(frozen=True, slots=True)
class Lookup:
    """What a caller asks.

    Attributes:
        host: Host name it wants to reach.
        region: Its own region; empty if it does not say.
        zone: Its own availability zone; empty if it does not say.
    """

    host: str
    region: str
    zone: str


def decode_lookup(query: str) -> Lookup:
    """Decode the query of a look-up."""
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
        seconds: How long the answer may be kept.
    """
    document = {
        'addresses': list(addresses[:MAX_ADDRESSES]),
        'ttl_s': seconds,
    }
    return json.dumps(document).encode()
