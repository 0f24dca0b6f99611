"""Limits the queue that a request may join, by its priority.

When upstreams are overloaded, requests of lower priority are refused first,
which keeps queues short for the others.
"""

# Requests above its slots that an upstream may have, as a share of the slots:
# the limit for priority 0, and the reduction for each further priority.
FULL_QUEUE_SHARE = 2.2
PRIORITY_STEP = 0.2
# The reduction for each route priority if the organisation has a priority of
# its own; smaller, so that it orders requests of equal organisation priority.
ROUTE_PRIORITY_STEP = 0.05
MIN_QUEUE_SHARE = 1.0


def queue_share(route: int, organisation: int | None) -> float:
    """Return the requests above its slots that an upstream may have.

    Args:
        route: Priority of the route; 0 is the most important.
        organisation: Priority of the organisation, which takes precedence;
            None if it has none.

    Returns:
        A share of the slots.
    """
    if organisation is None:
        share = FULL_QUEUE_SHARE - PRIORITY_STEP * route
    else:
        share = FULL_QUEUE_SHARE - PRIORITY_STEP * organisation
        share -= ROUTE_PRIORITY_STEP * route
    return max(share, MIN_QUEUE_SHARE)
