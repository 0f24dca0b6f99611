"""Which entry hosts a look-up names."""

from collections.abc import Mapping
from dataclasses import dataclass

# With fewer in the caller's zone, hosts of its region are named too: a caller
# that fails at one address goes on to another without asking again.
ENOUGH_HOSTS = 2
# In a zone whose hosts differ in size, only those that have at least this part
# of the largest one's size are named, as long as they have this part of the
# zone's processors together and none of them is busy. Small hosts have slow
# processors and links, and a request that comes to few hosts finds open
# connections and a host that knows the upstreams.
LARGE_SHARE = 0.5
LEAST_ZONE_SHARE = 0.4
# Hosts that reach upstreams, as a part of the processors of their zone or
# region, below which callers are sent to others as well.
LEAST_REACHING_SHARE = 0.3


@dataclass(frozen=True, slots=True)
class NamedHost:
    """A live entry host.

    Attributes:
        front: Its address for callers, `ip:port`.
        zone: Its availability zone.
        is_leaving: Whether it is about to stop.
        size: Processor cores that it may use.
        is_busy: Whether it says that it is short of processor time.
        is_cut_off: Whether it says that it reaches no upstream.
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
    """Return the hosts that a caller should use; never none if there is one.

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
    if len(near) >= ENOUGH_HOSTS and _can_carry(near, in_zone):
        return _large_ones(near)
    wanted = region or regions.get(zone, '')
    around = [host for host in reaching if regions.get(host.zone) == wanted]
    in_region = [host for host in staying if regions.get(host.zone) == wanted]
    if around and _can_carry(around, in_region):
        return around
    return reaching


def _can_carry(reaching: list[NamedHost], hosts: list[NamedHost]) -> bool:
    """Return whether hosts that reach upstreams can carry all callers."""
    return _cores(reaching) >= _cores(hosts) * LEAST_REACHING_SHARE


def _cores(hosts: list[NamedHost]) -> float:
    return sum(host.size for host in hosts)


def _large_ones(hosts: list[NamedHost]) -> list[NamedHost]:
    """Return the large hosts of a zone, or all if these are too few or busy."""
    largest = max(host.size for host in hosts)
    large = [host for host in hosts if host.size >= largest * LARGE_SHARE]
    has_enough = _cores(large) >= _cores(hosts) * LEAST_ZONE_SHARE
    is_busy = any(host.is_busy for host in large)
    if len(large) < ENOUGH_HOSTS or is_busy or not has_enough:
        return hosts
    return large
