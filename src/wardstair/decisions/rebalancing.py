"""Moves keys off an upstream that stays more loaded than its peers.

Hashing assigns keys to upstreams at random: of twelve upstreams with 16 keys on
average, the fullest has about 25, and its callers queue while other upstreams
are idle. Every host lowers the weight of such an upstream in steps, so that few
of its keys move at a time, each to the upstream that ranks next for it.
"""

from collections.abc import Collection
from dataclasses import dataclass

# Running and waiting requests per slot above which an upstream is overloaded.
OVERLOADED = 0.8
# Multiple of the mean of the service that it must exceed as well, so that no
# keys move while the whole service is full.
OVERLOADED_MULTIPLE = 1.3
# Mean utilization of a service from which no keys move: while most runs are
# cold or all upstreams are full, every moved key adds a cold run.
MAX_MEAN_UTILIZATION = 1.0
# Share of its weight, and so about the share of its keys, that an upstream
# loses in one step.
WEIGHT_STEP = 0.1
# Multiple of the mean below which an upstream regains a step of its weight.
UNDERUSED_MULTIPLE = 0.6
MIN_WEIGHT = 0.4
# Time between steps. A moved key causes a cold run on its new upstream, which
# has to appear in the reported load before the next step.
WEIGHT_STEP_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class UpstreamUtilization:
    """Utilization of an upstream.

    Attributes:
        name: Name of the upstream and its incarnation.
        weight: Current factor on its weight, at most 1.
        utilization: Requests per slot, averaged over the last seconds.
    """

    name: str
    weight: float
    utilization: float


def rebalanced_weights(
    upstreams: Collection[UpstreamUtilization],
) -> dict[str, float]:
    """Return the new factors of the upstreams whose factor changes.

    Args:
        upstreams: Upstreams of one service with a recently reported load.
    """
    if not upstreams:
        return {}
    mean = sum(one.utilization for one in upstreams) / len(upstreams)
    if mean >= MAX_MEAN_UTILIZATION:
        return {}
    limit = max(OVERLOADED, mean * OVERLOADED_MULTIPLE)
    changed = {}
    for one in upstreams:
        weight = one.weight
        if one.utilization > limit:
            weight = max(MIN_WEIGHT, weight * (1 - WEIGHT_STEP))
        elif one.utilization < mean * UNDERUSED_MULTIPLE:
            weight = min(1.0, weight / (1 - WEIGHT_STEP))
        if weight != one.weight:
            changed[one.name] = weight
    return changed
