"""What an upstream takes from a host, by what its answers have said."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import TypeVar

# Part of the drain time, from the answer that first said so, in which an
# upstream that leaves gets requests that no other upstream takes.
LAST_RESORT_SHARE = 0.5
# Part of the time left of a pause that is added to what callers are told.
RETURN_SPREAD = 0.25

_One = TypeVar('_One')


class Availability(StrEnum):
    """What an upstream takes from a host.

    Attributes:
        open: Anything.
        paused: Nothing for a time that it has named.
        leaving: What no other upstream takes: it will end soon.
        closed: Nothing more in this life.
    """

    open = 'open'
    paused = 'paused'
    leaving = 'leaving'
    closed = 'closed'


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


def availability_of(
    notice: Notice, now: float, drain_seconds: float
) -> Availability:
    """Return what an upstream takes from a host.

    Args:
        notice: What it has said to the host.
        now: Monotonic time in seconds.
        drain_seconds: Time after which an upstream that leaves must not get
            any more.
    """
    since = notice.leaving_since
    if since is not None and now >= since + drain_seconds * LAST_RESORT_SHARE:
        return Availability.closed
    if now < notice.paused_until:
        return Availability.paused
    return Availability.open if since is None else Availability.leaving


def accepting_upstreams(
    upstreams: Sequence[tuple[_One, Availability]],
) -> list[_One]:
    """Return the upstreams that a request may go to, in the same order.

    Those that leave are kept for a service that has no other.

    Args:
        upstreams: Upstreams with what each takes.
    """
    for wanted in (Availability.open, Availability.leaving):
        found = [one for one, standing in upstreams if standing is wanted]
        if found:
            return found
    return []


def shortest_pause(notices: Iterable[Notice], now: float) -> float | None:
    """Return when the first of some paused upstreams takes requests again.

    Args:
        notices: What each has said; those that leave are not waited for.
        now: Monotonic time in seconds.

    Returns:
        Seconds from now; None if one is not paused, or all leave.
    """
    staying = [one for one in notices if one.leaving_since is None]
    if not staying:
        return None
    left = min(one.paused_until for one in staying) - now
    return left if left > 0 else None


def retry_after_seconds(pause_left: float) -> float:
    """Return when a caller that meets a pause should come back, in seconds.

    Callers refused at different times would all come back at the end of the
    pause, and be refused again. Those refused last come back first.

    Args:
        pause_left: Seconds until an upstream takes requests again.
    """
    return pause_left * (1 + RETURN_SPREAD)
