"""Keys move off an upstream that stays more crowded than its like.

Hashing gives each upstream its keys by chance: of twelve with sixteen keys in
the mean, the fullest has some twenty-five, and its callers queue while others
idle. Every host lowers the weight of such an upstream step by step, so that
only some of its keys move at a time, to where each would go if it were gone.
Before it was kept to calm services, 0.898 of the credit was earned with it in
place of 0.890 on a day of high load of one deployment, 0.882 for 0.879 and
0.886 for 0.890 on two others (one play each). By itself it is not measured
since.
"""

from collections.abc import Collection
from dataclasses import dataclass

# Requests for each slot, running and waiting, from which one is crowded.
OVERLOADED = 0.8
# Beside the mean of its service, so that a service that is full as a whole
# moves nothing.
OVERLOADED_MULTIPLE = 1.3
# Mean of a service above which nothing moves: while most keys run first, or all
# upstreams are full, every moved key is one more first run.
MAX_MEAN_UTILIZATION = 1.0
# Part of its weight, and so about of its keys, that goes in one step.
WEIGHT_STEP = 0.1
# Beside the mean, from which one gets a step of its keys back.
UNDERUSED_MULTIPLE = 0.6
MIN_WEIGHT = 0.4
# Seconds between steps: a key that has moved runs first in its new place, and
# the load told has to show that.
WEIGHT_STEP_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class UpstreamUtilization:
    """How full an upstream is.

    Attributes:
        name: Names the upstream's run.
        weight: Factor on its weight now, 1 at most.
        utilization: Requests for each slot, averaged over the last seconds.
    """

    name: str
    weight: float
    utilization: float


def rebalanced_weights(
    crowds: Collection[UpstreamUtilization],
) -> dict[str, float]:
    """Return new factors for the upstreams of a service whose factor changes.

    Args:
        crowds: Those that told their load lately.
    """
    if not crowds:
        return {}
    mean = sum(one.utilization for one in crowds) / len(crowds)
    if mean >= MAX_MEAN_UTILIZATION:
        return {}
    limit = max(OVERLOADED, mean * OVERLOADED_MULTIPLE)
    changed = {}
    for one in crowds:
        weight = one.weight
        if one.utilization > limit:
            weight = max(MIN_WEIGHT, weight * (1 - WEIGHT_STEP))
        elif one.utilization < mean * UNDERUSED_MULTIPLE:
            weight = min(1.0, weight / (1 - WEIGHT_STEP))
        if weight != one.weight:
            changed[one.name] = weight
    return changed
