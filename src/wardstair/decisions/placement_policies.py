"""Placement policies: by what rule an upstream is chosen for a request.

Operators name one in the settings and may change it while requests run. To
add one: a data class here, a case in `choose_by`, and its name in `POLICIES`.
What stands outside a policy holds under each of them: allowed regions,
evacuations, cold upstreams, attempts, budgets and room.
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
    """The home of the key, which remembers it; others only with room to spare.

    Attributes:
        first_ranks: Ranks of the key that are looked at before all others.
    """

    first_ranks: int = 6


@dataclass(frozen=True, slots=True)
class LeastInFlight:
    """The upstream with the smallest part of its slots in use; a baseline."""


@dataclass(frozen=True, slots=True)
class EqualShares:
    """Any upstream with room, drawn; a baseline that knows of no keys."""


PlacementPolicy = WarmPreferred | LeastInFlight | EqualShares
DEFAULT_POLICY = WarmPreferred()
POLICIES: Mapping[str, PlacementPolicy] = {
    'warm-home': DEFAULT_POLICY,
    'least-in-flight': LeastInFlight(),
    'equal-shares': EqualShares(),
}


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """What is known of the request beside the upstreams.

    Attributes:
        work: Usual seconds of work on a key that is warm.
        queue_share: Requests above its slots that an upstream may have, as a
            share of the slots.
        draw: A number from 0 up to 1, drawn for this request.
    """

    work: float
    queue_share: float
    draw: float = 0.0


def choose_by_policy(
    policy: PlacementPolicy,
    candidates: Sequence[Candidate],
    ask: PlacementRequest,
) -> Choice | None:
    """Choose an upstream by a policy; None if none has room.

    Args:
        policy: The rule.
        candidates: Upstreams that may serve the request, in rank order.
        ask: The request.
    """
    match policy:
        case WarmPreferred():
            return choose_by_cost(candidates, ask.work, ask.queue_share)
        case LeastInFlight():
            return _emptiest(candidates, ask)
        case EqualShares():
            return _drawn(candidates, ask)


def _emptiest(
    candidates: Sequence[Candidate],
    ask: PlacementRequest,
) -> Choice | None:
    open_ones = _with_room(candidates, ask)
    if not open_ones:
        return None
    best = min(open_ones, key=lambda one: (one.load / one.slots, one.rank))
    return Choice(best, expected_seconds(best, ask.work))


def _drawn(
    candidates: Sequence[Candidate],
    ask: PlacementRequest,
) -> Choice | None:
    open_ones = _with_room(candidates, ask)
    if not open_ones:
        return None
    drawn = open_ones[int(ask.draw * len(open_ones))]
    return Choice(drawn, expected_seconds(drawn, ask.work))


def _with_room(
    candidates: Sequence[Candidate],
    ask: PlacementRequest,
) -> list[Candidate]:
    return [
        one for one in candidates if has_queue_capacity(one, ask.queue_share)
    ]
