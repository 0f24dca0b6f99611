"""Availability of upstreams, from the notices in their answers."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import TypeVar

# Share of the drain time, from the first answer with a leaving notice, during
# which a leaving upstream still gets requests that no other upstream accepts.
LAST_RESORT_SHARE = 0.5
# Share of the remaining pause that is added to the retry time sent to callers.
RETURN_SPREAD = 0.25

_Upstream = TypeVar('_Upstream')


class Availability(StrEnum):
    """Which requests a host may send to an upstream.

    Attributes:
        open: All requests.
        paused: No requests until the end of a pause that it asked for.
        leaving: Requests that no other upstream accepts; it will exit soon.
        closed: No more requests for this incarnation.
    """

    open = 'open'
    paused = 'paused'
    leaving = 'leaving'
    closed = 'closed'


UNAVAILABLE = frozenset((Availability.paused, Availability.closed))


@dataclass(slots=True)
class Notice:
    """Notices that one incarnation of an upstream has sent in its answers.

    Attributes:
        leaving_since: Monotonic time of the first answer that announced that
            it leaves; None if there was none.
        paused_until: Monotonic time until which it accepts no requests.
    """

    leaving_since: float | None = None
    paused_until: float = float('-inf')


def availability_of(
    notice: Notice, now: float, drain_seconds: float
) -> Availability:
    """Return the availability of an upstream.

    Args:
        notice: Its notices to this host.
        now: Monotonic time in seconds.
        drain_seconds: Time after the leaving notice from which the upstream
            must not get any more requests.
    """
    since = notice.leaving_since
    if since is not None and now >= since + drain_seconds * LAST_RESORT_SHARE:
        return Availability.closed
    if now < notice.paused_until:
        return Availability.paused
    return Availability.open if since is None else Availability.leaving


def accepting_upstreams(
    upstreams: Sequence[tuple[_Upstream, Availability]],
) -> list[_Upstream]:
    """Return the upstreams that a request may be sent to, in the same order.

    Leaving upstreams are used only if no upstream is open.

    Args:
        upstreams: Upstreams with the availability of each.
    """
    for wanted in (Availability.open, Availability.leaving):
        found = [
            one for one, availability in upstreams if availability is wanted
        ]
        if found:
            return found
    return []


def shortest_pause(notices: Iterable[Notice], now: float) -> float | None:
    """Return the time until the first of several paused upstreams is open.

    Args:
        notices: Notices of each upstream; leaving upstreams are ignored.
        now: Monotonic time in seconds.

    Returns:
        Seconds from now; None if one is not paused or all are leaving.
    """
    staying = [one for one in notices if one.leaving_since is None]
    if not staying:
        return None
    left = min(one.paused_until for one in staying) - now
    return left if left > 0 else None


def retry_after_seconds(pause_left: float) -> float:
    """Return the seconds after which a refused caller should retry.

    Without the added share, callers refused at different times would all retry
    at the end of the pause and be refused again. With it, the callers refused
    last retry first.

    Args:
        pause_left: Seconds until an upstream accepts requests again.
    """
    return pause_left * (1 + RETURN_SPREAD)
