"""Age of a host's state, and the age from which the host queries the store.

State updates reach a host through other hosts, and a broken propagation path
looks the same as a time without changes. Each host therefore keeps the moment
up to which it knows all changes that the store had acknowledged, and queries
the store itself once that moment is too long ago. Hosts exchange durations
only, so their clocks are never compared.
"""

from dataclasses import dataclass

from wardstair.decisions.ranking import unit_hash
from wardstair.decisions.timing import NEAR_SECONDS, ROUND_TRIP_SECONDS

# Shares of the bound on updates after which a host queries the store itself.
# Hosts that report to others query first, so that one call serves their zone.
# The queries of the other hosts are spread over time, because their states all
# reach the same age together when no host reports.
REPORTER_SHARE = 0.47
OTHER_SHARE = 0.53
SPREAD_SHARE = 0.07
# Interval at which a host checks the age, as a share of the bound on updates.
POLL_SHARE = 0.05
# Maximum number of hosts that a reported age may pass through. A datagram that
# takes longer than assumed makes the age too low at each hop, so an age that
# was passed on without limit might never grow.
MAX_HOPS = 2
# An unanswered query is repeated once while the first one continues.
MAX_OPEN_QUERIES = 2


@dataclass(frozen=True, slots=True)
class ReportedAge:
    """The age of a host's state, as reported to other hosts.

    Attributes:
        seconds: The age in seconds.
        hops: Number of hosts that it has passed through since the store was
            read.
    """

    seconds: float
    hops: int


@dataclass(frozen=True, slots=True)
class RefreshTimes:
    """When a host queries the store, in seconds.

    Attributes:
        poll_interval: Interval at which the host checks the age of its state.
        reporter_query_age: Age from which a host that reports to others
            queries the store.
        other_query_age: The same for other hosts.
        retry_seconds: Time after which an unanswered query is repeated.
    """

    poll_interval: float
    reporter_query_age: float
    other_query_age: float
    retry_seconds: float


@dataclass(frozen=True, slots=True)
class Reading:
    """An answer of the store.

    Attributes:
        asked_at: Monotonic time of the query in seconds.
        waited: Maximum wait given in the query, in seconds; 0 for none.
        answered_at: Monotonic time of the answer in seconds.
        is_empty: Whether the answer contains no change.
    """

    asked_at: float
    waited: float
    answered_at: float
    is_empty: bool


def complete_at(reading: Reading) -> float:
    """Return the moment up to which an answer is complete.

    This is the time of the query, so that a slow answer does not count as a
    recent one. If the store has waited for the whole wait without a change, it
    is the end of the wait.

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
    """Return how long a datagram may have been in transit, in seconds.

    Args:
        is_near: Whether its sender is in the same availability zone.
    """
    return NEAR_SECONDS if is_near else ROUND_TRIP_SECONDS / 2


def refresh_times(
    update_bound_seconds: float,
    name: str,
    retry_seconds: float,
) -> RefreshTimes:
    """Return when a host queries the store.

    Args:
        update_bound_seconds: The tightest bound on updates.
        name: Name of the host.
        retry_seconds: Seconds after which an answer of the store is late.
    """
    share = OTHER_SHARE + SPREAD_SHARE * unit_hash(f'state age {name}')
    return RefreshTimes(
        update_bound_seconds * POLL_SHARE,
        update_bound_seconds * REPORTER_SHARE,
        update_bound_seconds * share,
        retry_seconds,
    )


def query_age(times: RefreshTimes, *, is_reporter: bool) -> float:
    """Return the state age, in seconds, from which a host queries the store.

    Args:
        times: The query times of the host.
        is_reporter: Whether the host reports to others.
    """
    return times.reporter_query_age if is_reporter else times.other_query_age


def may_query(open_queries: int, since: float, retry_seconds: float) -> bool:
    """Return whether a host whose state is old queries the store now.

    Args:
        open_queries: Number of queries without an answer.
        since: Seconds since the last query.
        retry_seconds: Seconds after which an answer is late.
    """
    return open_queries < MAX_OPEN_QUERIES and since >= retry_seconds
