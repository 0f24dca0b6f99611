"""How many of a region's keys have their home in the region itself.

A home nearby saves the way between regions, but regions differ in upstreams:
one with a third of the callers may have a tenth of the slots. Each region
keeps what its slots carry beside what the other regions send it; the rest
falls on all others by rank.
"""

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RegionShare:
    """A region's part in a service.

    Attributes:
        slots: Its part of the slots that may serve the request, 0 to 1.
        callers: Its part of the callers, 0 to 1.
    """

    slots: float
    callers: float


@dataclass(frozen=True, slots=True)
class LocalityTarget:
    """How many of its keys a region keeps.

    Attributes:
        max_kept: Largest share of the keys, 0 to 1. Below 1 because load moves
            between regions over the day, and the spread keys even it out.
        max_relative_load: Largest load per slot that a region with few slots
            may get, as a multiple of the mean load per slot.
    """

    max_kept: float
    max_relative_load: float


def local_weight_factor(
    parts: Mapping[str, RegionShare],
    region: str,
    wanted: LocalityTarget,
) -> float:
    """Return the factor on the weight of a region's own upstreams.

    With it, the region's callers have the wanted part of their keys' homes
    among the region's own upstreams.

    Args:
        parts: All regions by name.
        region: The region.
        wanted: How many keys are to be kept.
    """
    own = parts[region]
    far_slots = 1 - own.slots
    if own.slots <= 0 or far_slots <= 0 or own.callers <= 0:
        return 1.0
    sent_here = sum(
        _sent(part, own, wanted)
        for name, part in parts.items()
        if name != region
    )
    carried = max(0.0, own.slots * wanted.max_relative_load - sent_here)
    kept = min(wanted.max_kept, carried / own.callers)
    return max(1.0, kept / (1 - kept) * far_slots / own.slots)


def _sent(part: RegionShare, to: RegionShare, wanted: LocalityTarget) -> float:
    """Return the part of all work that one region sends to another."""
    if part.callers <= 0 or part.slots >= 1:
        return 0.0
    kept = min(
        wanted.max_kept, part.slots * wanted.max_relative_load / part.callers
    )
    return (1 - kept) * part.callers * to.slots / (1 - part.slots)
