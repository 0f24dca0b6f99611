"""Which entry hosts a look-up names."""

from collections.abc import Mapping
from dataclasses import dataclass

# With fewer in the caller's zone, hosts of its region are named too: a caller
# that fails at one address goes on to another without asking again.
ENOUGH_HOSTS = 2


@dataclass(frozen=True, slots=True)
class NamedHost:
    """A live entry host.

    Attributes:
        front: Its address for callers, `ip:port`.
        zone: Its availability zone.
        is_leaving: Whether it is about to stop.
    """

    front: str
    zone: str
    is_leaving: bool = False


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
    near = [host for host in staying if host.zone == zone]
    if len(near) >= ENOUGH_HOSTS:
        return near
    wanted = region or regions.get(zone, '')
    around = [host for host in staying if regions.get(host.zone) == wanted]
    return around or staying
