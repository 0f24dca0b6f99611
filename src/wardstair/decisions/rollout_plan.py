"""Decides the next stage of a roll-out and how it ends."""

from dataclasses import dataclass

from wardstair.decisions.rollout_verdict import Judgement
from wardstair.decisions.rollouts import (
    RolloutBounds,
    RolloutStage,
    RolloutState,
)


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
    raise NotImplementedError
