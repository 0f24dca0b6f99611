"""Decides what a stopping host still does with a request."""

from dataclasses import dataclass

# The process exits this long before the grace period ends.
GRACE_MARGIN_SECONDS = 0.5
# Requests end this long before that, so that their answers are sent.
ANSWER_MARGIN_SECONDS = 0.25
# Time that a request needs at least; with less it would probably be cut while
# an upstream runs it.
MIN_REQUEST_SECONDS = 1.0
# Time after the signal until which a request may begin without its whole time.
# The platform lets a host end a request at the end of the grace period only if
# it was sent by then.
LAST_START_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class StopTimes:
    """The monotonic times of a stop, in seconds.

    Attributes:
        began: When the signal came.
        ends: When the process exits at the latest.
    """

    began: float
    ends: float


def stop_times(began: float, grace_seconds: float) -> StopTimes:
    """Return the times of a stop.

    Args:
        began: Monotonic time of the signal.
        grace_seconds: Time until the platform kills the process.
    """
    return StopTimes(
        began, began + max(grace_seconds - GRACE_MARGIN_SECONDS, 0)
    )


def request_seconds(
    stop: StopTimes, now: float, seconds: float
) -> float | None:
    """Return the time for a request that begins during a stop, in seconds.

    Args:
        stop: Times of the stop.
        now: Monotonic time.
        seconds: Time for which its caller waits.

    Returns:
        The time; None if the request must not begin.
    """
    available = stop.ends - now - ANSWER_MARGIN_SECONDS
    if seconds <= available:
        return seconds
    is_late = now - stop.began > LAST_START_SECONDS
    if is_late or available < MIN_REQUEST_SECONDS:
        return None
    return available
