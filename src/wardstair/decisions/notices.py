"""What an upstream takes from a host, by what its answers have said."""

from dataclasses import dataclass
from enum import StrEnum


class Standing(StrEnum):
    """What an upstream takes from a host.

    Attributes:
        open: Anything.
        leaving: It has said that it will end soon.
        paused: It has asked for no requests for a time.
    """

    open = 'open'
    leaving = 'leaving'
    paused = 'paused'


@dataclass(slots=True)
class Notice:
    """What one life of an upstream has said in its answers to a host.

    Attributes:
        leaving_since: Monotonic time at which an answer first said that it
            leaves; None if none did.
        paused_until: Monotonic time until which it wants no request.
    """

    leaving_since: float | None = None
    paused_until: float = float('-inf')


def standing_of(notice: Notice, now: float) -> Standing:
    """Return what an upstream takes from a host.

    Args:
        notice: What it has said to the host.
        now: Monotonic time in seconds.
    """
    if now < notice.paused_until:
        return Standing.paused
    if notice.leaving_since is not None:
        return Standing.leaving
    return Standing.open
