"""Ramp of a shift: the share of look-ups that name the target region.

The cap itself is enforced by tokens where the traffic arrives. The ramp only
keeps refusals rare. It follows the requests in flight at the target rather than
the answers sent, since cached answers move traffic only after their time to
live.
"""

from dataclasses import dataclass, replace
from enum import StrEnum

PER_MILLE = 1000
FIRST_STEP = 10
LARGEST_STEP = 100
NEAR_CAP = 0.8
STALE_SECONDS = 15.0
MIN_HEADROOM = 0.1


class Movement(StrEnum):
    """Effect of the last decision, for explanations."""

    start = 'start'
    grow = 'grow'
    hold = 'hold'
    shrink = 'shrink'
    give_back = 'give-back'


@dataclass(frozen=True)
class ShiftRamp:
    """The ramp of one shift on one host.

    Attributes:
        per_mille: Callers out of a thousand whose look-ups name the target.
        step: Next increase of `per_mille`.
        decided_at: Time of the last decision in seconds.
        movement: Effect of the last decision.
    """

    per_mille: int = 0
    step: int = FIRST_STEP
    decided_at: float = float('-inf')
    movement: Movement = Movement.start


@dataclass(frozen=True)
class TargetView:
    """The target region as reported by its zones.

    Attributes:
        in_flight: Requests of the shift in flight there.
        slots: Slots of the workload there.
        free: Free slots there.
        age: Age in seconds of the oldest report used.
    """

    in_flight: int
    slots: int
    free: int
    age: float


def next_ramp(
    ramp: ShiftRamp,
    target: TargetView,
    cap: int,
    settle_seconds: float,
    now: float,
) -> ShiftRamp:
    """Return the next ramp, which changes at most once in the settling time.

    Args:
        ramp: The current ramp.
        target: The reports of the target's zones.
        cap: Maximum number of requests in flight.
        settle_seconds: Time until a change of answers takes full effect.
        now: Current time in seconds.
    """
    if now - ramp.decided_at < settle_seconds:
        return ramp
    decided = replace(ramp, decided_at=now)
    if target.age > STALE_SECONDS or cap == 0:
        return replace(
            decided,
            per_mille=ramp.per_mille // 2,
            step=FIRST_STEP,
            movement=Movement.give_back,
        )
    if target.free < target.slots * MIN_HEADROOM or target.in_flight >= cap:
        return replace(
            decided,
            per_mille=ramp.per_mille * 3 // 4,
            step=FIRST_STEP,
            movement=Movement.shrink,
        )
    if target.in_flight >= cap * NEAR_CAP:
        return replace(decided, movement=Movement.hold)
    # Caches and upstreams at the target are cold at first, so the steps start
    # small and double.
    return replace(
        decided,
        per_mille=min(ramp.per_mille + ramp.step, PER_MILLE),
        step=min(ramp.step * 2, LARGEST_STEP),
        movement=Movement.grow,
    )
