"""Decides the next stage of a roll-out and how it ends.

The load is that of a service whose requests move from one version to the other
within seconds. A test needs many answers, and the move needs requests too, as
the share of the new version rises gradually because keys are not warm there.
Both together stay within the bound of the exposure until the share is 1.
"""

from collections.abc import Sequence
from dataclasses import dataclass, replace

from wardstair.decisions.rollout_exposure import max_exposure
from wardstair.decisions.rollout_verdict import Judgement, Verdict
from wardstair.decisions.rollouts import (
    RolloutBounds,
    RolloutStage,
    RolloutState,
)

# Parts of the time between order and deadline: the test, the rise of the share
# to 1, and the part after which the rise may be faster. What is left is for
# requests under way at old upstreams and for the store.
TEST_FRACTION = 0.55
MOVE_FRACTION = 1 / 7
LATE_FRACTION = 0.75
# Longest rise of the share. The steps to come are computed at each step.
MAX_MOVE_SECONDS = 600.0
# Part of the time after which a version that is judged good gets all requests
# in one step if a gradual rise would exceed the bound.
LAST_FRACTION = 0.85
# Requests that the test leaves for the move, relative to the expected number.
MOVE_MARGIN = 1.15
# Fraction of the present rate at which requests are assumed to go on. Requests
# that do not come cannot back what has been sent to the new version.
FUTURE_RATE_FRACTION = 0.7
# Age from which the mean rate is known well enough; reports take a while.
MIN_MEAN_SECONDS = 1.0
# Largest share during the test, so that the old version has enough answers to
# compare with.
MAX_TEST_SHARE = 0.25
# Change of the share during the test that is too small to be worth it: keys
# lose their upstream with each change.
MIN_SHARE_CHANGE = 0.1
# Largest rise of the share in one step, and seconds between steps.
MAX_RISE = 0.35
STEP_SECONDS = 0.25
# Capacity at which the new version may take all requests: the estimate is
# rough. If time is short a lower one is enough.
ENOUGH_CAPACITY = 0.8
ENOUGH_CAPACITY_LATE = 0.5
# Answers without which an open verdict says little: a fraction of the requests
# sent, as answers of a slow version come late, and a number that is enough.
MIN_ANSWERED_FRACTION = 0.25
ENOUGH_ANSWERS = 100


@dataclass(frozen=True, slots=True)
class RolloutProgress:
    """What the coordinator knows of a running roll-out.

    Attributes:
        stage: The stage in force.
        share: Share of the keys that hosts send to the new version now.
        seconds: Time from the order to the deadline.
        age: Seconds since the order.
        stage_age: Seconds since the stage began.
        judgement: What the answers show.
        requests: Requests of the service since the order.
        sent: Requests sent to the new version, at most.
        rate: Requests of the service per second at present.
        bounds: The limits of the exposure.
        capacity: Share of the service's requests that the upstreams of the new
            version can bear now, given their slots and cold rates.
        new_upstreams: Number of upstreams of the new version in service.
        old_upstreams: The same for all other versions.
        waiting_hosts: Hosts that do not follow the stage yet, or have requests
            under way at old upstreams.
        has_contact: Whether the coordinator is in contact with the store.
    """

    stage: RolloutStage
    share: float
    seconds: float
    age: float
    stage_age: float
    judgement: Judgement
    requests: int
    sent: int
    rate: float
    bounds: RolloutBounds
    capacity: float
    new_upstreams: int
    old_upstreams: int
    waiting_hosts: int
    has_contact: bool


@dataclass(frozen=True, slots=True)
class RolloutStep:
    """What follows.

    Attributes:
        stage: The stage from now on.
        share: Share of the keys that hosts send to the new version.
        end: The end to record; None while the roll-out goes on.
        reason: Why it is at this stage, in a word for logs and operators.
    """

    stage: RolloutStage
    share: float
    end: RolloutState | None
    reason: str


def next_step(progress: RolloutProgress) -> RolloutStep:
    """Return the next step of a running roll-out."""
    if progress.judgement.verdict is Verdict.bad:
        return _stopped(progress, 'bad-answers')
    if progress.stage is RolloutStage.stopped:
        return _stopped(progress, 'stopped')
    if progress.new_upstreams <= 0:
        return _without_new_upstreams(progress)
    if progress.old_upstreams <= 0:
        return _without_old_upstreams(progress)
    if _ends_open(progress):
        return _stopped(progress, 'open-verdict')
    return _by_stage(progress)


def exposure_limit(progress: RolloutProgress) -> int:
    """Return how many requests the new version may get until the deadline.

    Counts the requests that are to be expected, at a rate that is lower than
    both the present one and the mean.
    """
    return _limit_after(progress, 0.0)


def _limit_after(progress: RolloutProgress, seconds: float) -> int:
    """Return the limit as it will be if requests go on for some seconds."""
    rate = min(progress.rate, _mean_rate(progress))
    further = max(_seconds_left(progress) - seconds, 0.0)
    future = rate * seconds + rate * FUTURE_RATE_FRACTION * further
    return max_exposure(progress.bounds, progress.requests + int(future))


def _stopped(progress: RolloutProgress, reason: str) -> RolloutStep:
    # The stop does not wait for the store, only the record does.
    end = RolloutState.rolled_back if progress.has_contact else None
    return RolloutStep(RolloutStage.stopped, 0.0, end, reason)


def _without_new_upstreams(progress: RolloutProgress) -> RolloutStep:
    if _is_overdue(progress) and progress.has_contact:
        return _stopped(progress, 'no-new-upstreams')
    if progress.stage is not RolloutStage.switched:
        return RolloutStep(progress.stage, 0.0, None, 'no-new-upstreams')
    if progress.old_upstreams > 0:
        return RolloutStep(RolloutStage.moving, 0.0, None, 'no-new-upstreams')
    return RolloutStep(progress.stage, 1.0, None, 'no-new-upstreams')


def _without_old_upstreams(progress: RolloutProgress) -> RolloutStep:
    if not progress.has_contact:
        return RolloutStep(progress.stage, 1.0, None, 'no-contact')
    if progress.stage is RolloutStage.switched:
        return _finish(progress)
    return RolloutStep(
        RolloutStage.switched,
        1.0,
        None,
        'no-old-upstreams',
    )


def _by_stage(progress: RolloutProgress) -> RolloutStep:
    match progress.stage:
        case RolloutStage.testing:
            return _test(progress)
        case RolloutStage.moving:
            return _move(progress)
        case _:
            return _finish(progress)


def _test(progress: RolloutProgress) -> RolloutStep:
    share = _test_share(progress)
    if progress.age < progress.seconds * TEST_FRACTION:
        return RolloutStep(RolloutStage.testing, share, None, 'testing')
    if not progress.has_contact:
        return RolloutStep(RolloutStage.testing, share, None, 'no-contact')
    if not _may_move(progress):
        return RolloutStep(RolloutStage.testing, share, None, 'open-verdict')
    return _move(replace(progress, stage_age=0.0))


def _move(progress: RolloutProgress) -> RolloutStep:
    share, reason = _moving_share(progress)
    if share < 1:
        return RolloutStep(RolloutStage.moving, share, None, reason)
    if not progress.has_contact:
        return RolloutStep(RolloutStage.moving, share, None, 'no-contact')
    return RolloutStep(RolloutStage.switched, share, None, 'moved')


def _finish(progress: RolloutProgress) -> RolloutStep:
    stage = RolloutStage.switched
    if not progress.has_contact:
        return RolloutStep(stage, 1.0, None, 'no-contact')
    capacity = _usable_capacity(progress)
    if progress.old_upstreams > 0 and capacity < 1:
        return RolloutStep(RolloutStage.moving, capacity, None, 'capacity')
    if _leans_to_bad(progress):
        return RolloutStep(stage, 1.0, None, 'open-verdict')
    if progress.waiting_hosts > 0:
        return RolloutStep(stage, 1.0, None, 'draining')
    return RolloutStep(stage, 1.0, RolloutState.complete, 'moved')


def _test_share(progress: RolloutProgress) -> float:
    seconds = progress.seconds * TEST_FRACTION - progress.age
    if seconds <= 0:
        # The test goes on with what the move does not need.
        seconds = max(_seconds_left(progress), STEP_SECONDS)
    move = _cost_of(_rise(progress, progress.bounds.share, 0.0), progress)
    limit = _limit_after(progress, seconds)
    left = limit - progress.sent - move * MOVE_MARGIN
    share = left / max(_known_rate(progress) * seconds, 1.0)
    share = min(max(share, 0.0), MAX_TEST_SHARE)
    if abs(share - progress.share) < share * MIN_SHARE_CHANGE:
        share = min(progress.share, MAX_TEST_SHARE)
    return min(share, max(progress.capacity, 0.0))


def _moving_share(progress: RolloutProgress) -> tuple[float, str]:
    capacity = _usable_capacity(progress)
    if _leans_to_bad(progress):
        return _paced(progress, min(progress.share, capacity)), 'open-verdict'
    if _is_overdue(progress):
        # Requests after the deadline are not bounded.
        share = min(progress.share + MAX_RISE, capacity)
        return share, 'overdue'
    if capacity < 1:
        return _paced(progress, capacity), 'capacity'
    return _rising_share(progress)


def _rising_share(progress: RolloutProgress) -> tuple[float, str]:
    left = exposure_limit(progress) - progress.sent
    gradual = _rise(progress, progress.share, progress.stage_age)
    if left >= _cost_of(gradual, progress):
        return gradual[0], 'moving'
    steep = _rise(progress, progress.share, progress.seconds)
    is_late = progress.age >= progress.seconds * LATE_FRACTION
    if is_late and left >= _cost_of(steep, progress):
        return steep[0], 'moving'
    is_last = progress.age >= progress.seconds * LAST_FRACTION
    if is_last and progress.judgement.verdict is Verdict.good:
        return 1.0, 'moving'
    return _paced(progress, steep[0]), 'exposure'


def _paced(progress: RolloutProgress, most: float) -> float:
    left = exposure_limit(progress) - progress.sent
    seconds = max(_seconds_left(progress), STEP_SECONDS)
    requests = _known_rate(progress) * seconds
    share = max(left, 0) / max(requests, 1.0)
    return max(min(share, most, 1.0), 0.0)


def _usable_capacity(progress: RolloutProgress) -> float:
    is_late = progress.age >= progress.seconds * LATE_FRACTION
    enough = ENOUGH_CAPACITY_LATE if is_late else ENOUGH_CAPACITY
    if progress.capacity >= enough:
        return 1.0
    return max(progress.capacity, 0.0)


def _may_move(progress: RolloutProgress) -> bool:
    judgement = progress.judgement
    if judgement.verdict is Verdict.good:
        return True
    if _leans_to_bad(progress):
        return False
    needed = min(progress.sent * MIN_ANSWERED_FRACTION, ENOUGH_ANSWERS)
    if judgement.answers >= max(needed, 1):
        return True
    return progress.age >= progress.seconds * LATE_FRACTION


def _leans_to_bad(progress: RolloutProgress) -> bool:
    judgement = progress.judgement
    return judgement.verdict is not Verdict.good and judgement.evidence > 0


def _ends_open(progress: RolloutProgress) -> bool:
    is_due = _is_overdue(progress) and progress.has_contact
    return is_due and _leans_to_bad(progress)


def _is_overdue(progress: RolloutProgress) -> bool:
    return progress.age >= progress.seconds


def _seconds_left(progress: RolloutProgress) -> float:
    return max(progress.seconds - progress.age, 0.0)


def _known_rate(progress: RolloutProgress) -> float:
    """Return the present rate, or the mean one while it is not measured."""
    return progress.rate if progress.rate > 0 else _mean_rate(progress)


def _mean_rate(progress: RolloutProgress) -> float:
    if progress.age < MIN_MEAN_SECONDS:
        return progress.rate
    return progress.requests / progress.age


def _rise(
    progress: RolloutProgress,
    share: float,
    stage_age: float,
) -> list[float]:
    """Return the shares of the next steps until all requests have moved."""
    seconds = min(progress.seconds * MOVE_FRACTION, MAX_MOVE_SECONDS)
    seconds = max(seconds, STEP_SECONDS)
    shares: list[float] = []
    while not shares or share < 1:
        stage_age += STEP_SECONDS
        planned = min(stage_age / seconds, 1.0) ** 2
        share = min(max(planned, share), share + MAX_RISE, 1.0)
        shares.append(share)
    return shares


def _cost_of(shares: Sequence[float], progress: RolloutProgress) -> float:
    """Return the requests to the new version before the share is 1."""
    rate = max(progress.rate, _mean_rate(progress))
    return rate * STEP_SECONDS * sum(share for share in shares if share < 1)
