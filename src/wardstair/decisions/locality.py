"""Decides how many keys of a region have preferred upstreams in that region.

A preferred upstream in the caller's own region saves a hop between regions,
but capacity differs: a region with a third of the callers may have a tenth of
the slots. Each region keeps as many keys as its slots can carry in addition to
the load that other regions send it. The other keys go to upstreams of the
other regions by the key ranking.
"""

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RegionShare:
    """A region's share of a service.

    Attributes:
        slots: Share of the slots that may serve the request, 0 to 1.
        callers: Share of the callers, 0 to 1.
    """

    slots: float
    callers: float


@dataclass(frozen=True, slots=True)
class LocalityTarget:
    """How many of its keys a region should keep.

    Attributes:
        max_kept: Largest share of the keys, 0 to 1. Below 1 because load moves
            between regions over the day, and the spread keys even it out.
        max_relative_load: Largest load per slot that a region with few slots
            may get, as a multiple of the mean load per slot.
    """

    max_kept: float
    max_relative_load: float


def local_weight_factor(
    shares: Mapping[str, RegionShare],
    region: str,
    target: LocalityTarget,
) -> float:
    """Return the factor on the weights of a region's own upstreams.

    With these weights, the target share of the keys of the region's callers
    have their preferred upstream in the region.

    Args:
        shares: The shares of all regions by name.
        region: Name of the region.
        target: How many keys the region should keep.
    """
    own = shares[region]
    remote_slots = 1 - own.slots
    if own.slots <= 0 or remote_slots <= 0 or own.callers <= 0:
        return 1.0
    received = sum(
        _sent_load(share, own, target)
        for name, share in shares.items()
        if name != region
    )
    capacity_left = max(0.0, own.slots * target.max_relative_load - received)
    kept = min(target.max_kept, capacity_left / own.callers)
    return max(1.0, kept / (1 - kept) * remote_slots / own.slots)


def _sent_load(
    share: RegionShare, to: RegionShare, target: LocalityTarget
) -> float:
    """Return the share of the total load that one region sends to another."""
    if share.callers <= 0 or share.slots >= 1:
        return 0.0
    kept = min(
        target.max_kept, share.slots * target.max_relative_load / share.callers
    )
    return (1 - kept) * share.callers * to.slots / (1 - share.slots)
