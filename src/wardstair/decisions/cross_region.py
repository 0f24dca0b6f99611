"""Limits on traffic from other regions: headroom and the caps of shifts.

The limits are enforced where the traffic arrives. Each zone of the receiving
region has tokens for cross-region traffic of each workload and its part of the
cap of each shift, so the sum over all hosts stays within the limit even if
senders act on outdated state.
"""

from collections.abc import Sequence
from dataclasses import dataclass

SHIFT_STALE_SECONDS = 15.0


@dataclass(frozen=True)
class Origin:
    """Region and workload of a request.

    Attributes:
        region: Region of the caller, or None if not known.
        workload: Name of the workload.
    """

    region: str | None
    workload: str


@dataclass(frozen=True)
class ActiveShift:
    """A shift that directs traffic to this region."""

    name: str
    workload: str
    source: str
    cap: int


def zone_part(cap: int, zones: Sequence[str], zone: str) -> int:
    """Return a zone's part of a region's cap; the parts sum to the cap.

    Args:
        cap: Maximum number of requests in flight for the whole region.
        zones: The region's zones, sorted by name.
        zone: The zone.
    """
    index = list(zones).index(zone)
    return len(range(index, cap, len(zones)))


def cross_region_tokens(slots: int, share: float) -> int:
    """Return how many slots of a zone may serve other regions' traffic."""
    return int(slots * share)


def tokens_needed(
    origin: Origin,
    own_region: str,
    shifts: Sequence[ActiveShift],
) -> tuple[str, ...]:
    """Return the resources of which a request needs a token to be admitted.

    Args:
        origin: Origin of the request.
        own_region: Region of this host.
        shifts: Shifts to this region.
    """
    if origin.region is None or origin.region == own_region:
        return ()
    needed = [cross_region_resource(origin.workload)]
    needed.extend(
        shift_resource(shift.name)
        for shift in shifts
        if shift.workload == origin.workload and shift.source == origin.region
    )
    return tuple(needed)


def cross_region_resource(workload: str) -> str:
    """Return the resource name of a workload's cross-region tokens."""
    return f'outside/{workload}'


def shift_resource(shift: str) -> str:
    """Return the resource name of the tokens of a shift's cap."""
    return f'shift/{shift}'
