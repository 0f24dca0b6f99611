"""Up to which moment the state of a host is complete, and when that is too old.

News reaches a host by a chain of others, and a chain that is broken looks like
a calm day. So each host keeps the moment up to which it knows all that the
store had acknowledged, whatever way it came, and asks the store itself once
that is too long ago. Only lengths of time travel between hosts: their clocks
are never compared.
"""

from dataclasses import dataclass

from wardstair.decisions.ranking import unit_hash
from wardstair.decisions.timing import NEAR_SECONDS, ROUND_TRIP_SECONDS

# Parts of the bound on news after which a host asks the store itself. Hosts
# that tell others ask first, so that one call serves their zone; the others
# follow spread over a while, as all grow old together where nobody tells.
TELLER_SHARE = 0.47
OTHER_SHARE = 0.53
SPREAD_SHARE = 0.07
# How often a host looks at the age.
LOOK_SHARE = 0.05


# Hosts that an age may pass through, each of which takes ways that were longer
# than assumed for age: handed round without end it would not grow at all.
MAX_HOPS = 2
# A question that is not answered is asked once more beside the first.
MOST_ASKING = 2


@dataclass(frozen=True, slots=True)
class ReportedAge:
    """The age of a host's state, as it tells others.

    Attributes:
        seconds: The age.
        hops: Hosts that it has passed through since one read the store.
    """

    seconds: float
    hops: int


@dataclass(frozen=True, slots=True)
class RefreshTimes:
    """When a host asks the store, in seconds.

    Attributes:
        poll_interval: Period of its looks at the age of its state.
        reporter_query_age: Age from which on it asks if it tells others.
        other_query_age: The same if it does not.
        retry_seconds: Time after which it asks once more without an answer.
    """

    poll_interval: float
    reporter_query_age: float
    other_query_age: float
    retry_seconds: float


@dataclass(frozen=True, slots=True)
class Reading:
    """An answer of the store.

    Attributes:
        asked_at: Monotonic time in seconds when it was asked.
        waited: Longest wait that it was asked for, in seconds; 0 for none.
        answered_at: Monotonic time in seconds of the answer.
        is_empty: Whether it tells of no change.
    """

    asked_at: float
    waited: float
    answered_at: float
    is_empty: bool


def complete_at(reading: Reading) -> float:
    """Return the moment up to which an answer is complete.

    It counts from the question, so that a slow answer does not pass for a new
    one. A store that has waited to the end has answered after that.

    Args:
        reading: The answer.

    Returns:
        Monotonic time in seconds.
    """
    took = reading.answered_at - reading.asked_at
    if reading.is_empty and took >= reading.waited:
        return reading.asked_at + reading.waited
    return reading.asked_at


def transit_seconds(*, is_near: bool) -> float:
    """Return how long a datagram may have been on its way.

    Args:
        is_near: Whether its sender is in the same availability zone.
    """
    return NEAR_SECONDS if is_near else ROUND_TRIP_SECONDS / 2


def refresh_times(
    news_seconds: float,
    name: str,
    retry_seconds: float,
) -> RefreshTimes:
    """Return when a host asks the store.

    Args:
        news_seconds: The tightest bound on news.
        name: Name of the host.
        retry_seconds: Seconds after which an answer of the store is late.
    """
    share = OTHER_SHARE + SPREAD_SHARE * unit_hash(f'state age {name}')
    return RefreshTimes(
        news_seconds * LOOK_SHARE,
        news_seconds * TELLER_SHARE,
        news_seconds * share,
        retry_seconds,
    )


def query_age(times: RefreshTimes, *, is_reporter: bool) -> float:
    """Return the age of its state, in seconds, from which on a host asks.

    Args:
        times: When it asks.
        is_reporter: Whether it speaks for its zone.
    """
    return times.reporter_query_age if is_reporter else times.other_query_age


def may_query(asking: int, since: float, retry_seconds: float) -> bool:
    """Return whether a host whose state is old asks the store now.

    Args:
        asking: Questions that are not answered yet.
        since: Seconds since the last question.
        retry_seconds: Seconds after which an answer is late.
    """
    return asking < MOST_ASKING and since >= retry_seconds
