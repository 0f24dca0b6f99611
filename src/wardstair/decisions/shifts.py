"""Pace of a shift: what share of look-ups names the target region.

The cap itself is kept by tokens where the traffic arrives. The pace only
keeps refusals rare: it follows what the target sees in flight, not what was
sent, since cached answers move traffic a time to live and more later.
"""

from dataclasses import dataclass, replace
from enum import StrEnum

PER_MILLE = 1000
FIRST_STEP = 10
LARGEST_STEP = 100
NEAR_CAP = 0.8
STALE_SECONDS = 15.0
HEADROOM_LEAST = 0.1


class Movement(StrEnum):
    """What the last decision did, for explanations."""

    start = 'start'
    grow = 'grow'
    hold = 'hold'
    shrink = 'shrink'
    give_back = 'give-back'


@dataclass(frozen=True)
class ShiftRamp:
    """The pace of one shift on one host.

    Attributes:
        per_mille: Callers out of a thousand whose look-ups name the target.
        step: Next growth.
        decided_at: Time of the last decision.
        movement: What it did.
    """

    per_mille: int = 0
    step: int = FIRST_STEP
    decided_at: float = float('-inf')
    movement: Movement = Movement.start


@dataclass(frozen=True)
class TargetView:
    """The target as its zones report it.

    Attributes:
        in_flight: Requests of the shift in flight there.
        slots: Slots of the workload there.
        free: Free slots there.
        age: Age in seconds of the oldest report that counts.
    """

    in_flight: int
    slots: int
    free: int
    age: float


def next_ramp(
    pace: ShiftRamp,
    target: TargetView,
    cap: int,
    settle_seconds: float,
    now: float,
) -> ShiftRamp:
    """Decide the pace anew, at most once in the time an answer is cached.

    Args:
        pace: The pace so far.
        target: What the target's zones report.
        cap: Most requests in flight.
        settle_seconds: Time until a change of answers shows in full.
        now: Time now.
    """
    if now - pace.decided_at < settle_seconds:
        return pace
    decided = replace(pace, decided_at=now)
    if target.age > STALE_SECONDS or cap == 0:
        return replace(
            decided,
            per_mille=pace.per_mille // 2,
            step=FIRST_STEP,
            movement=Movement.give_back,
        )
    if target.free < target.slots * HEADROOM_LEAST or target.in_flight >= cap:
        return replace(
            decided,
            per_mille=pace.per_mille * 3 // 4,
            step=FIRST_STEP,
            movement=Movement.shrink,
        )
    if target.in_flight >= cap * NEAR_CAP:
        return replace(decided, movement=Movement.hold)
    # Caches and upstreams there are cold at first: small steps that double.
    return replace(
        decided,
        per_mille=min(pace.per_mille + pace.step, PER_MILLE),
        step=min(pace.step * 2, LARGEST_STEP),
        movement=Movement.grow,
    )
