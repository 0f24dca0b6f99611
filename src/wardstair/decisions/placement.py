"""Choice of the upstream for one request among the ranked candidates.

The cost is the estimated time to a complete answer: the network round trip, the
wait for a slot, and the work, which takes less time if the key is warm. A
request leaves the preferred upstream of its key only for an upstream with a
spare slot: a cold run occupies a slot several times as long and displaces a
warm key, so a busy fleet that spills becomes slower and spills even more.
"""

from collections.abc import Sequence
from dataclasses import dataclass

# Ratio of the work of a cold run to that of a run on a warm key. Cold runs take
# 0.25 to 0.84 s, and runs on warm keys three tenths of that.
COLD_KEY_FACTOR = 3.0
# Share of its slots up to which an upstream takes requests for keys that prefer
# another upstream, by whether the key is warm there.
WARM_SPARE_SHARE = 1.0
COLD_SPARE_SHARE = 0.6
# Cost added for each rank, so that equal candidates are taken in rank order: a
# key is less likely to be warm at a later rank.
RANK_STEP_SECONDS = 0.01


@dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream with its current state, as known to this host.

    Attributes:
        name: Name of the upstream and its incarnation.
        rank: Rank of the upstream for the key; 0 is the preferred upstream.
        round_trip: Network round trip in seconds.
        load: Expected number of requests at the upstream, from all hosts.
        slots: Number of requests that it processes concurrently.
        is_warm: Whether the key is probably warm there.
        slowness: Ratio of its work time to that of the other upstreams of the
            service; 1 is usual.
        transfer_cost: Cost of the data transfer, as an equivalent delay in
            seconds.
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
        seconds: Expected time to a complete answer.
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
        work: Usual seconds of work on a warm key.
        queue_share: Requests above its slots that an upstream may have, as a
            share of the slots; lower for less important requests.

    Returns:
        The choice, or None if every upstream is full.
    """
    best: Choice | None = None
    best_cost = float('inf')
    for candidate in candidates:
        if not _has_capacity(candidate, queue_share):
            continue
        seconds = expected_seconds(candidate, work)
        cost = seconds + candidate.transfer_cost
        cost += RANK_STEP_SECONDS * candidate.rank
        if cost < best_cost:
            best = Choice(candidate, seconds)
            best_cost = cost
    return best


def expected_seconds(candidate: Candidate, work: float) -> float:
    """Return the expected time to a complete answer, in seconds."""
    over = max(0.0, candidate.load + 1 - candidate.slots)
    wait = over * work * candidate.slowness / candidate.slots
    own_work = work * candidate.slowness
    if not candidate.is_warm:
        own_work *= COLD_KEY_FACTOR
    return candidate.round_trip + wait + own_work


def has_queue_capacity(candidate: Candidate, queue_share: float) -> bool:
    """Return whether the queue of an upstream may take one more request.

    Args:
        candidate: The upstream.
        queue_share: Requests above its slots that the upstream may have, as a
            share of the slots.
    """
    return candidate.load < candidate.slots * (1 + queue_share)


def _has_capacity(candidate: Candidate, queue_share: float) -> bool:
    if candidate.rank == 0:
        return has_queue_capacity(candidate, queue_share)
    share = WARM_SPARE_SHARE if candidate.is_warm else COLD_SPARE_SHARE
    return candidate.load + 1 <= max(candidate.slots * share, 1)
