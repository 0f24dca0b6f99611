"""Which upstreams show that it is not this host's way that has failed.

A refused connection says that an upstream has ended only if others near it are
reached: a host that is cut off from a zone, a service or all upstreams is
refused by all of them.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

# Enough for one that has just ended as well, or is full.
MOST_IN_GROUP = 3


@dataclass(frozen=True, slots=True)
class UpstreamLocation:
    """Where an upstream is.

    Attributes:
        name: Its name.
        service: Its service.
        zone: Its availability zone.
    """

    name: str
    service: str
    zone: str


def find_comparison_groups(
    one: UpstreamLocation,
    others: Iterable[UpstreamLocation],
) -> list[Sequence[str]]:
    """Return the groups of which this host has to reach one upstream each.

    Args:
        one: The upstream that is not reached.
        others: All other upstreams that take work.

    Returns:
        Names, for its zone and for its service; those of both come first, so
        that one connection may do for both groups. A group is left out if there
        is nobody else in it.
    """
    near = [other for other in others if other.zone == one.zone]
    alike = [other for other in others if other.service == one.service]
    near.sort(key=lambda other: other.service != one.service)
    alike.sort(key=lambda other: other.zone != one.zone)
    return [
        tuple(other.name for other in group[:MOST_IN_GROUP])
        for group in (near, alike)
        if group
    ]
