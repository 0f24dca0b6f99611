"""What a region takes from outside: its headroom and the caps of shifts.

Limits are kept where the traffic arrives. A zone of the receiving region has
tokens for outside traffic of each workload, and its part of each shift's
cap, so the sum over all hosts cannot pass the limit whatever senders believe.
"""

from collections.abc import Sequence
from dataclasses import dataclass

SHIFT_STALE_SECONDS = 15.0


@dataclass(frozen=True)
class Origin:
    """Where a request comes from and what it wants.

    Attributes:
        region: Region of the caller, or None if not known.
        workload: Its workload.
    """

    region: str | None
    workload: str


@dataclass(frozen=True)
class ActiveShift:
    """A shift that brings traffic to this region."""

    name: str
    workload: str
    source: str
    cap: int


def zone_part(cap: int, zones: Sequence[str], zone: str) -> int:
    """Return a zone's part of a region's cap; the parts sum to the cap.

    Args:
        cap: Requests in flight for the whole region.
        zones: The region's zones in order of name.
        zone: The zone.
    """
    index = list(zones).index(zone)
    return len(range(index, cap, len(zones)))


def cross_region_tokens(slots: int, share: float) -> int:
    """Return how many slots of a zone may serve traffic from outside."""
    return int(slots * share)


def tokens_needed(
    origin: Origin,
    own_region: str,
    shifts: Sequence[ActiveShift],
) -> tuple[str, ...]:
    """Return the resources that a request needs a token of to be let in.

    Args:
        origin: Where it comes from.
        own_region: Region of this host.
        shifts: Shifts towards this region.
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
    """Return the name of a workload's tokens for outside traffic."""
    return f'outside/{workload}'


def shift_resource(shift: str) -> str:
    """Return the name of the tokens of a shift's cap."""
    return f'shift/{shift}'
