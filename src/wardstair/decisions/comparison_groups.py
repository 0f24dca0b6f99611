"""Selects upstreams to compare with one that refuses connections.

A refused connection indicates that the upstream process has exited only if
this host can connect to comparable upstreams. A host that is cut off from a
zone, a service or all upstreams gets refusals from all of them.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

# More than one, because an upstream of the group may have exited too, or may
# have reached its connection limit.
MAX_GROUP_SIZE = 3


@dataclass(frozen=True, slots=True)
class UpstreamLocation:
    """Service and zone of an upstream.

    Attributes:
        name: Name of the upstream.
        service: Its service.
        zone: Its availability zone.
    """

    name: str
    service: str
    zone: str


def find_comparison_groups(
    target: UpstreamLocation,
    others: Iterable[UpstreamLocation],
) -> list[Sequence[str]]:
    """Return the comparison groups; one upstream of each must be reachable.

    Args:
        target: The upstream that refuses connections.
        others: All other upstreams that accept work.

    Returns:
        Names of upstreams in the same zone, and names of upstreams of the same
        service. Upstreams with both in common come first, so that a single
        connection can satisfy both groups. A group without members is omitted.
    """
    same_zone = [other for other in others if other.zone == target.zone]
    same_service = [
        other for other in others if other.service == target.service
    ]
    same_zone.sort(key=lambda other: other.service != target.service)
    same_service.sort(key=lambda other: other.zone != target.zone)
    return [
        tuple(other.name for other in group[:MAX_GROUP_SIZE])
        for group in (same_zone, same_service)
        if group
    ]
