"""Divides the requests that a version under test may receive among hosts.

Hosts spend allowances. An allowance is cumulative: the number of requests that
one host may ever send to the version. Their sum therefore keeps the bound
whatever messages are lost and whichever hosts are cut off.

This answers the load of a roll-out on fleets of one to 1,200 hosts. In a large
fleet a host's part is less than one request, and only whole requests can be
given.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from wardstair.decisions.ranking import unit_hash
from wardstair.decisions.rollouts import RolloutBounds

# Requests that a host may hold unspent: a few at first, and later a fraction
# of what it has sent, which covers several reports. What a host holds when it
# dies is lost to the test.
FIRST_UNSPENT = 4
UNSPENT_FRACTION = 0.25
# Requests recorded ahead of those needed: a fixed number at first, later a
# fraction of the sum.
FIRST_RESERVE = 16
RESERVE_FRACTION = 0.5
# Smallest growth of the recorded sum that is worth a write to the store.
MIN_RESERVE_GROWTH = 0.25
# Binary rounding makes some products smaller than the whole number that they
# are, such as 0.29 * 100.
_ROUNDING = 1e-9


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

    @property
    def unspent(self) -> int:
        """Requests that the host may still send."""
        return max(self.allowed - self.sent, 0)

    @property
    def room(self) -> int:
        """Further requests that the host can soon use."""
        if not self.can_use_more:
            return 0
        most = FIRST_UNSPENT + int(self.sent * UNSPENT_FRACTION)
        return max(most - self.unspent, 0)


def max_exposure(bounds: RolloutBounds, requests: int) -> int:
    """Return how many requests the new version may have received by now.

    Args:
        bounds: The limits.
        requests: Requests of the service since the order, as far as known.
    """
    return math.floor(bounds.share * requests + bounds.slack + _ROUNDING)


def next_allowances(
    available: int,
    hosts: Sequence[HostUsage],
    rollout: str,
) -> dict[str, int]:
    """Return the allowances of those hosts that get more.

    Hosts that have nothing left come first, with one request each. What
    remains is divided in proportion to the requests of each host.

    Args:
        available: Requests that may be given in sum beyond the allowances.
        hosts: The hosts that report.
        rollout: Identifies the roll-out in the order in which hosts get the
            first requests.
    """
    able = [usage for usage in hosts if usage.room]
    if available <= 0 or not able:
        return {}
    given = {usage.host: 0 for usage in able}
    in_order = sorted(
        (usage for usage in able if not usage.unspent),
        key=lambda usage: (
            usage.allowed,
            unit_hash(f'{rollout} {usage.host}'),
            usage.host,
        ),
    )
    for usage in in_order[:available]:
        given[usage.host] = 1
    left = available - min(available, len(in_order))
    if left:
        _divide(left, able, given)
    return {
        usage.host: usage.allowed + given[usage.host]
        for usage in able
        if given[usage.host]
    }


def _divide(
    left: int,
    able: Sequence[HostUsage],
    given: dict[str, int],
) -> None:
    # In ascending order of room per request, whoever cannot use its part
    # leaves the rest to those that follow.
    in_order = sorted(
        able,
        key=lambda usage: (
            (usage.room - given[usage.host]) / max(usage.requests, 1),
            usage.host,
        ),
    )
    total = sum(max(usage.requests, 1) for usage in able)
    for usage in in_order:
        weight = max(usage.requests, 1)
        part = min(left * weight // total, usage.room - given[usage.host])
        total -= weight
        given[usage.host] += part
        left -= part


def next_reserve(reserved: int, needed: int, limit: int) -> int:
    """Return the sum of allowances to record before more are given.

    Recording ahead in blocks saves writes to the store.

    Args:
        reserved: The recorded sum.
        needed: Sum of allowances that hosts can use now.
        limit: Result of `max_exposure`.
    """
    if needed <= reserved:
        return reserved
    ahead = max(FIRST_RESERVE, int(needed * RESERVE_FRACTION))
    reserve = min(needed + ahead, limit)
    if reserve - reserved < max(reserved * MIN_RESERVE_GROWTH, 1):
        return reserved
    return reserve
