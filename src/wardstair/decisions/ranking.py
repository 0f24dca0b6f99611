"""Ranking of the upstreams for a key by weighted rendezvous hashing.

An upstream answers several times faster for a key that it has processed
recently, and caches a limited number of keys. Every entry host computes the
same ranking without communication. When an upstream leaves, only its own keys
move.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from xxhash import xxh64_intdigest

# Part of a process's memory that rankings may use: one in so many bytes.
RANKINGS_DIVISOR = 256
# Bytes of a ranking apart from its upstreams: the query with its key, the tuple
# and the entry in the table.
RANKING_BASE_BYTES = 400
POINTER_BYTES = 8
# Number of rankings kept on any host, however small or large.
MIN_RANKINGS = 256
MAX_RANKINGS = 20000
_HASH_RANGE = float(2**64)


@dataclass(frozen=True, slots=True)
class WeightedUpstream:
    """An upstream with its weight for one kind of request.

    Attributes:
        name: Name of the upstream and its incarnation.
        weight: Share of the keys that it should get, relative to the others.
    """

    name: str
    weight: float


@dataclass(frozen=True, slots=True)
class ProximityFactors:
    """Factors on the weight of an upstream by its location.

    Attributes:
        zone: Factor in the availability zone of this host.
        region: Factor in the other zones of its region.
        far: Factor in other regions.
    """

    zone: float
    region: float
    far: float = 1.0


def rank(key: str, upstreams: Iterable[WeightedUpstream]) -> list[str]:
    """Return upstream names in rank order, the preferred upstream first.

    Args:
        key: Affinity key of the request.
        upstreams: Upstreams with weights; those without weight are left out.
    """
    scored = [
        (_score(key, upstream), upstream.name)
        for upstream in upstreams
        if upstream.weight > 0
    ]
    scored.sort()
    return [name for _, name in scored]


def ranking_capacity(memory_bytes: int, upstreams: int) -> int:
    """Return how many rankings a process may keep.

    Args:
        memory_bytes: Memory that the process may use.
        upstreams: Number of upstreams in a ranking at most.
    """
    ranking_bytes = RANKING_BASE_BYTES + POINTER_BYTES * upstreams
    capacity = memory_bytes // RANKINGS_DIVISOR // ranking_bytes
    return min(MAX_RANKINGS, max(MIN_RANKINGS, capacity))


def unit_hash(text: str) -> float:
    """Hash a text to a number strictly between 0 and 1, equal on all hosts."""
    return (xxh64_intdigest(text.encode()) + 0.5) / _HASH_RANGE


def _score(key: str, upstream: WeightedUpstream) -> float:
    # With exponentially distributed scores, the probability that an upstream
    # has the lowest score is proportional to its weight.
    return -math.log(unit_hash(f'{key} {upstream.name}')) / upstream.weight
