"""States, stages and bounds of the roll-out of a service's version."""

from dataclasses import dataclass
from enum import IntEnum, StrEnum


class RolloutState(StrEnum):
    """What has been recorded of a roll-out; the last two are final."""

    running = 'running'
    complete = 'complete'
    rolled_back = 'rolled-back'

    @property
    def is_final(self) -> bool:
        """Whether the roll-out has ended."""
        return self is not RolloutState.running


class RolloutStage(IntEnum):
    """What hosts do while a roll-out is running."""

    # A bounded number of requests goes to a few upstreams of the new version.
    testing = 0
    # A rising share of the keys goes to the new version.
    moving = 1
    # Nothing goes to the old version.
    switched = 2
    # Nothing goes to the new version.
    stopped = 3


@dataclass(frozen=True, slots=True)
class RolloutBounds:
    """Limits of what a version that is not proved may receive, fleet-wide.

    Attributes:
        share: Share of the service's requests between order and deadline.
        slack: Further requests in that time.
        rollback_seconds: Time after the 50th bad answer in which requests to
            the version have to stop.
    """

    share: float
    slack: float
    rollback_seconds: float
