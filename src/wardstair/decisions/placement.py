"""Choice of the upstream for one request among the ranked ones.

The estimate is time to a whole answer: the way there, waiting for a slot, and
the work, which is short where the key is warm. A request leaves the home of
its key only when that is expected to pay.
"""

from collections.abc import Sequence
from dataclasses import dataclass

# Ranks that are expected to remember a key: the home and the one that takes
# its overflow.
WARM_RANKS = 2
# Work on a key that the upstream does not remember, beside one that it does.
# First guess until a route's own figures are measured.
COLD_KEY_FACTOR = 2.5
# Requests that an upstream is sent above its slots, as a share of them; its
# queue is longer, but what waits there for long comes late.
QUEUE_SHARE = 1.0
# Keeps equal candidates in rank order: a later rank knows the key less well.
RANK_STEP_SECONDS = 0.01


@dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream as it looks to this host now.

    Attributes:
        name: Names the upstream's run.
        rank: Its place in the order for the key; 0 is the home.
        round_trip: Seconds there and back.
        load: Requests expected to be at it now, from all hosts.
        slots: Requests it works on at once.
        slowness: Its work time beside others of the service; 1 is usual.
        transfer_cost: What sending it there costs, in seconds of delay that
            would be as bad.
    """

    name: str
    rank: int
    round_trip: float
    load: float
    slots: int
    slowness: float = 1.0
    transfer_cost: float = 0.0


@dataclass(frozen=True, slots=True)
class Choice:
    """The chosen upstream.

    Attributes:
        candidate: The upstream.
        seconds: Expected time to a whole answer.
    """

    candidate: Candidate
    seconds: float


def choose_place(
    candidates: Sequence[Candidate],
    work: float,
    queue_share: float = QUEUE_SHARE,
) -> Choice | None:
    """Choose the candidate with the lowest cost.

    Args:
        candidates: Upstreams that may serve the request.
        work: Usual seconds of work on a key that is warm.
        queue_share: Requests above its slots that an upstream may have, as a
            share of the slots; less for what is less important.

    Returns:
        The choice, or None if every upstream is full.
    """
    best: Choice | None = None
    best_cost = float('inf')
    for candidate in candidates:
        if candidate.load >= candidate.slots * (1 + queue_share):
            continue
        seconds = expected_seconds(candidate, work)
        cost = seconds + candidate.transfer_cost
        cost += RANK_STEP_SECONDS * candidate.rank
        if cost < best_cost:
            best = Choice(candidate, seconds)
            best_cost = cost
    return best


def expected_seconds(candidate: Candidate, work: float) -> float:
    """Return the expected seconds to a whole answer."""
    own_work = work * candidate.slowness
    if candidate.rank >= WARM_RANKS:
        own_work *= COLD_KEY_FACTOR
    over = max(0.0, candidate.load + 1 - candidate.slots)
    wait = over * work * candidate.slowness / candidate.slots
    return candidate.round_trip + wait + own_work
