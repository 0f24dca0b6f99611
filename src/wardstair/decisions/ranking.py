"""Which upstreams a key belongs to: weighted rendezvous hashing.

An upstream that saw a key lately answers it several times faster, and
remembers a limited number of keys. Every entry host ranks the upstreams for a
key in the same order without talk, and when an upstream leaves only its own
keys move.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from xxhash import xxh64_intdigest

_HASH_RANGE = float(2**64)


@dataclass(frozen=True, slots=True)
class WeightedUpstream:
    """An upstream with its weight for one kind of request.

    Attributes:
        name: Names the upstream's run.
        weight: How many keys it should get, beside the others.
    """

    name: str
    weight: float


@dataclass(frozen=True, slots=True)
class ProximityFactors:
    """Factors on the weight of an upstream by its place.

    Attributes:
        zone: For the availability zone of this host.
        region: For other zones of its region.
        far: For other regions.
    """

    zone: float
    region: float
    far: float = 1.0


def rank(key: str, places: Iterable[WeightedUpstream]) -> list[str]:
    """Return upstream names, the key's home first.

    Args:
        key: What the request concerns.
        places: Upstreams with weights; those without weight are left out.
    """
    scored = [
        (_score(key, place), place.name) for place in places if place.weight > 0
    ]
    scored.sort()
    return [name for _, name in scored]


def unit_hash(text: str) -> float:
    """Return a number above 0 and below 1, the same on every host."""
    return (xxh64_intdigest(text.encode()) + 0.5) / _HASH_RANGE


def _score(key: str, place: WeightedUpstream) -> float:
    # The least of exponentially distributed scores falls on each place in
    # proportion to its weight.
    return -math.log(unit_hash(f'{key} {place.name}')) / place.weight
