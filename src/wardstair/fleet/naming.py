"""Selects the entry hosts that a look-up returns."""

from collections.abc import Mapping
from dataclasses import dataclass

# With fewer hosts in the caller's zone, hosts of its region are returned too.
# A caller can then fail over to another address without a further look-up.
ENOUGH_HOSTS = 2
# In a zone whose hosts differ in size, only hosts with at least this share of
# the largest host's cores are returned, provided that together they have the
# share below of the zone's cores and none of them is busy. Small hosts have
# slow processors and links. With few hosts, a request more often finds open
# connections and a host with current data on the upstreams.
LARGE_SHARE = 0.5
MIN_ZONE_SHARE = 0.4
# Share of the cores of a zone or region that must belong to hosts which reach
# upstreams. Below it callers are sent to other hosts as well.
MIN_REACHING_SHARE = 0.3


@dataclass(frozen=True, slots=True)
class NamedHost:
    """A live entry host.

    Attributes:
        front: Its address for callers, `ip:port`.
        zone: Its availability zone.
        is_leaving: Whether it is about to stop.
        size: Number of processor cores that it may use.
        is_busy: Whether it reports a shortage of processor time.
        is_cut_off: Whether it reports that it reaches no upstream.
    """

    front: str
    zone: str
    is_leaving: bool = False
    size: float = 1.0
    is_busy: bool = False
    is_cut_off: bool = False


def name_hosts(
    hosts: list[NamedHost],
    zone: str,
    region: str,
    regions: Mapping[str, str],
) -> list[NamedHost]:
    """Return the hosts that a caller should use; empty only without hosts.

    Args:
        hosts: The live hosts.
        zone: The caller's availability zone.
        region: The caller's region.
        regions: Region of each zone.
    """
    staying = [host for host in hosts if not host.is_leaving] or hosts
    reaching = [host for host in staying if not host.is_cut_off] or staying
    near = [host for host in reaching if host.zone == zone]
    in_zone = [host for host in staying if host.zone == zone]
    if len(near) >= ENOUGH_HOSTS and _has_enough_cores(near, in_zone):
        return _large_hosts(near)
    wanted = region or regions.get(zone, '')
    around = [host for host in reaching if regions.get(host.zone) == wanted]
    in_region = [host for host in staying if regions.get(host.zone) == wanted]
    if around and _has_enough_cores(around, in_region):
        return around
    return reaching


def _has_enough_cores(
    reaching: list[NamedHost], hosts: list[NamedHost]
) -> bool:
    """Return whether the reaching hosts have enough cores for all callers."""
    return _total_cores(reaching) >= _total_cores(hosts) * MIN_REACHING_SHARE


def _total_cores(hosts: list[NamedHost]) -> float:
    return sum(host.size for host in hosts)


def _large_hosts(hosts: list[NamedHost]) -> list[NamedHost]:
    """Return the large hosts of a zone; all if those are too few or busy."""
    largest = max(host.size for host in hosts)
    large = [host for host in hosts if host.size >= largest * LARGE_SHARE]
    has_enough = _total_cores(large) >= _total_cores(hosts) * MIN_ZONE_SHARE
    is_busy = any(host.is_busy for host in large)
    if len(large) < ENOUGH_HOSTS or is_busy or not has_enough:
        return hosts
    return large
