"""Placement policies: rules by which an upstream is chosen for a request.

Operators select a policy in the settings and may change it while requests run.
To add one, add a data class here, a case in `choose_by_policy` and a name in
`POLICIES`. The following apply under every policy: permitted regions,
evacuations, cold upstreams, attempts, budgets and queue capacity.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from wardstair.decisions.placement import (
    Candidate,
    Choice,
    choose_by_cost,
    expected_seconds,
    has_queue_capacity,
)


@dataclass(frozen=True, slots=True)
class WarmPreferred:
    """The key's preferred upstream; others only if they have spare slots.

    Attributes:
        first_ranks: Number of top-ranked upstreams that are considered before
            all others.
    """

    first_ranks: int = 6


@dataclass(frozen=True, slots=True)
class LeastInFlight:
    """The upstream with the lowest share of slots in use; a baseline."""


@dataclass(frozen=True, slots=True)
class EqualShares:
    """A random upstream with queue capacity; a baseline that ignores keys."""


PlacementPolicy = WarmPreferred | LeastInFlight | EqualShares
DEFAULT_POLICY = WarmPreferred()
POLICIES: Mapping[str, PlacementPolicy] = {
    'warm-home': DEFAULT_POLICY,
    'least-in-flight': LeastInFlight(),
    'equal-shares': EqualShares(),
}


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """Parameters of the request to place.

    Attributes:
        work: Usual seconds of work on a warm key.
        queue_share: Requests above its slots that an upstream may have, as a
            share of the slots.
        draw: Random number for this request, at least 0 and less than 1.
    """

    work: float
    queue_share: float
    draw: float = 0.0


def choose_by_policy(
    policy: PlacementPolicy,
    candidates: Sequence[Candidate],
    request: PlacementRequest,
) -> Choice | None:
    """Choose an upstream by a policy; None if none has queue capacity.

    Args:
        policy: The policy.
        candidates: Upstreams that may serve the request, in rank order.
        request: The request.
    """
    match policy:
        case WarmPreferred():
            return choose_by_cost(candidates, request.work, request.queue_share)
        case LeastInFlight():
            return _least_loaded(candidates, request)
        case EqualShares():
            return _random_choice(candidates, request)


def _least_loaded(
    candidates: Sequence[Candidate],
    request: PlacementRequest,
) -> Choice | None:
    open_upstreams = _with_capacity(candidates, request)
    if not open_upstreams:
        return None
    best = min(open_upstreams, key=lambda one: (one.load / one.slots, one.rank))
    return Choice(best, expected_seconds(best, request.work))


def _random_choice(
    candidates: Sequence[Candidate],
    request: PlacementRequest,
) -> Choice | None:
    open_upstreams = _with_capacity(candidates, request)
    if not open_upstreams:
        return None
    chosen = open_upstreams[int(request.draw * len(open_upstreams))]
    return Choice(chosen, expected_seconds(chosen, request.work))


def _with_capacity(
    candidates: Sequence[Candidate],
    request: PlacementRequest,
) -> list[Candidate]:
    return [
        one
        for one in candidates
        if has_queue_capacity(one, request.queue_share)
    ]
