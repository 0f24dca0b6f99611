"""Divides the requests that a version under test may receive among hosts.

Hosts spend allowances. An allowance is cumulative: the number of requests that
one host may ever send to the version. Their sum therefore keeps the bound
whatever messages are lost and whichever hosts are cut off.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from wardstair.decisions.rollouts import RolloutBounds


@dataclass(frozen=True, slots=True)
class HostUsage:
    """What a host has reported of a roll-out.

    Attributes:
        host: Name of the host.
        requests: Requests of the service that it has sent since the order, to
            either version.
        sent: Requests that it has sent to the new version.
        allowed: Its allowance so far.
        can_use_more: Whether it has an upstream of the new version to which it
            may send now.
    """

    host: str
    requests: int
    sent: int
    allowed: int
    can_use_more: bool


def max_exposure(bounds: RolloutBounds, requests: int) -> int:
    """Return how many requests the new version may have received by now.

    Args:
        bounds: The limits.
        requests: Requests of the service since the order, as far as known.
    """
    raise NotImplementedError


def next_allowances(
    available: int,
    hosts: Sequence[HostUsage],
    rollout: str,
) -> dict[str, int]:
    """Return the allowances of those hosts that get more.

    Args:
        available: Requests that may be given in sum beyond the allowances.
        hosts: The hosts that report.
        rollout: Identifies the roll-out in the order in which hosts get the
            first requests.
    """
    raise NotImplementedError


def next_reserve(reserved: int, needed: int, limit: int) -> int:
    """Return the sum of allowances to record before more are given.

    Recording ahead in blocks saves writes to the store.

    Args:
        reserved: The recorded sum.
        needed: Sum of allowances that hosts can use now.
        limit: Result of `max_exposure`.
    """
    raise NotImplementedError
