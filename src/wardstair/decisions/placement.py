"""Choice of the upstream for one request among the ranked ones.

The estimate is time to a whole answer: the way there, waiting for a slot, and
the work, which is short where the key is warm. A request leaves the home of
its key only for an upstream with a slot to spare: a run on a key that is not
warm needs a slot several times as long and displaces a key that is, so a busy
fleet that spills makes itself slower and spills more.
"""

from collections.abc import Sequence
from dataclasses import dataclass

# Work on a key that the upstream does not remember, beside one that it does.
# By the sheets of three deployments a first run takes 0.25 to 0.84 s, and later
# ones three tenths of that.
COLD_KEY_FACTOR = 3.0
# Part of its slots up to which an upstream takes keys that are not its own:
# all of them while it remembers the key, some while it does not.
WARM_SPARE_SHARE = 1.0
COLD_SPARE_SHARE = 0.6
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
        is_warm: Whether it probably remembers the key.
        slowness: Its work time beside others of the service; 1 is usual.
        transfer_cost: What sending it there costs, in seconds of delay that
            would be as bad.
    """

    name: str
    rank: int
    round_trip: float
    load: float
    slots: int
    is_warm: bool = True
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


def choose_by_cost(
    candidates: Sequence[Candidate],
    work: float,
    queue_share: float,
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
        if not _has_room(candidate, queue_share):
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
    over = max(0.0, candidate.load + 1 - candidate.slots)
    wait = over * work * candidate.slowness / candidate.slots
    own_work = work * candidate.slowness
    if not candidate.is_warm:
        own_work *= COLD_KEY_FACTOR
    return candidate.round_trip + wait + own_work


def has_queue_capacity(candidate: Candidate, queue_share: float) -> bool:
    """Return whether its queue is short enough for one request more.

    Args:
        candidate: The upstream.
        queue_share: Requests above its slots that it may have, as a share of
            the slots.
    """
    return candidate.load < candidate.slots * (1 + queue_share)


def _has_room(candidate: Candidate, queue_share: float) -> bool:
    if candidate.rank == 0:
        return has_queue_capacity(candidate, queue_share)
    share = WARM_SPARE_SHARE if candidate.is_warm else COLD_SPARE_SHARE
    return candidate.load + 1 <= max(candidate.slots * share, 1)
