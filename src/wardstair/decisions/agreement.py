"""Decides when a host lists the upstreams again because another one differs.

Hosts that know the same revision of the store list the same upstreams. If they
do not, one of them has received incomplete changes, which neither the revision
nor the age of its state shows. Either may be wrong, so both read the store.
"""

from dataclasses import dataclass

from wardstair.decisions.ranking import unit_hash
from wardstair.state.revision import NO_REVISION, Revision

# Share of the bound on updates over which the listings of hosts are spread. The
# first listing often corrects the others.
SPREAD_SHARE = 0.1


@dataclass(frozen=True, slots=True)
class ListedState:
    """What a host believes that the store lists.

    Attributes:
        revision: Revision of the store.
        digest: Digest of the listed upstreams.
    """

    revision: Revision
    digest: int

    def contradicts(self, other: 'ListedState') -> bool:
        """Return whether only one of two states can be right."""
        is_known = self.revision != NO_REVISION
        return (
            is_known
            and self.revision == other.revision
            and self.digest != other.digest
        )


def listing_delay(update_bound_seconds: float, name: str) -> float:
    """Return how long a host waits before it lists again, in seconds.

    Args:
        update_bound_seconds: The tightest bound on updates.
        name: Name of the host.
    """
    return update_bound_seconds * SPREAD_SHARE * unit_hash(f'listing {name}')
