"""Periods at which a host polls the store and other hosts, from the bounds.

An update reaches every host on a propagation path: a watch of the store is
answered, datagrams announce the change, and a host that misses one fetches what
it lacks. Each stage of a path has a maximum time, including detection and
recovery of its own failure. The stages of each path add up to at most
`MAX_BOUND_SHARE` of the tightest bound on updates.
"""

from dataclasses import dataclass
from functools import lru_cache

# Maximum share of a bound that a propagation path may take. The rest covers
# delays that no path includes.
MAX_BOUND_SHARE = 0.8
# Round trip between the most distant regions.
ROUND_TRIP_SECONDS = 0.12
# Transit time of a datagram within a zone, and duration of a fetch there.
NEAR_SECONDS = 0.01
NEAR_FETCH_SECONDS = 0.02

# The shares from here to `SENTINEL_SILENCE_SHARE` are of the bound on updates.

# Tolerance for late answers of a watch. A healthy store answers within it, and
# it grows with a slower store. With a tolerance below the minimum, usual
# answers would count as missing.
TOLERANCE_SHARE = 0.1
MIN_TOLERANCE_SECONDS = 0.15
# Delay after which a datagram is sent again, whether or not it was lost.
REPEAT_SHARE = 0.03
# Interval at which a host checks whether its roles have changed.
ROLE_SHARE = 0.03
# Wait for the answer of one host before another one is queried as well.
NEAR_HEDGE_SHARE = 0.04
FAR_HEDGE_SHARE = 0.12
# Late timers and processing.
WORK_SHARE = 0.03
# Time for the larger size of a configuration, compared with other updates.
BODY_SHARE = 0.02
# Sentinels send heartbeats more often than other hosts, so that a sentinel is
# not replaced because of one lost heartbeat.
SENTINEL_HEARTBEAT_SHARE = 0.15
SENTINEL_SILENCE_SHARE = 0.34
# Changes of upstreams in quick succession are fetched with one call. The delay
# is a share of the bound less the time that propagation takes.
COALESCING_SHARE = 0.3
PROPAGATION_SECONDS = 1.0
# Shorter watches would load the store without benefit.
MIN_WATCH_SECONDS = 0.25
MIN_COALESCING_SECONDS = 0.1
# The second sentinel covers the first until a failure of that is detected.
# Since this case already includes one failure, its watches may be longer.
SECOND_WATCH_FACTOR = 2.0
# Silence after which a relay is replaced, as a share of the bound on updates.
# If one relay fails, the second one serves the zone; if both fail, the zone
# gets no updates until a relay is replaced.
RELAY_TIMEOUT_SHARE = 0.64
# Early updates help callers even if the bounds are wide: every request that is
# sent to a removed upstream costs a failed connection.
MAX_WATCH_SECONDS = 2.0
MAX_COALESCING_SECONDS = 1.0
# One heartbeat, with a period of 1 s plus jitter, may be lost. A needless
# replacement of a relay costs calls to the store. Excluding a live host from
# look-ups would cost more, so look-ups use a longer timeout.
MIN_RELAY_TIMEOUT_SECONDS = 1.6
MAX_RELAY_TIMEOUT_SECONDS = 3.0
# Time after its start for which a host waits for heartbeats of the others.
# Until then it sends nothing to cold upstreams, does not become a relay if
# other hosts have a configuration, and does not register in the store. Seed
# hosts may take longer to load than others: without the wait, 63 of 65 hosts
# that started together found no other host and registered, and 69 objects were
# rewritten.
SETTLE_SECONDS = 2.5
# Relays check their contact with the store twice within the contact time after
# which the bounds apply again. Other hosts check it once in twice that time,
# since only their eligibility as a relay depends on it.
CONTACT_CHECK_SHARE = 0.5
RARE_CONTACT_CHECK_SHARE = 2.0
# A longer interval would hide an outage from the metrics.
MAX_CONTACT_CHECK_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class PathStage:
    """A stage of a propagation path.

    Attributes:
        name: Short description of the stage.
        seconds: Its maximum duration, including its own failure.
    """

    name: str
    seconds: float


@dataclass(frozen=True, slots=True)
class Timing:
    """Periods of one host, in seconds.

    Attributes:
        watch: Maximum wait of the periodic watch of the first sentinel.
        second_watch: The same for the second sentinel.
        watch_tolerance: Minimum time past the requested wait after which an
            unanswered watch is treated as broken.
        coalescing_delay: Wait for further changes after a change of upstreams.
        repeat_delay: Time after which an update is sent again.
        role_poll_interval: Interval at which a host checks its roles.
        near_hedge: Wait for a host of the same zone before another one is
            queried.
        far_hedge: The same for a host of another zone.
        sentinel_heartbeat: Heartbeat period of a sentinel.
        sentinel_silence: Silence after which a sentinel is replaced.
        relay_timeout: Silence after which a relay is replaced.
        contact_check_interval: Period at which a relay checks that it is in
            contact with the store.
        rare_contact_check_interval: The same for other hosts.
    """

    watch: float
    second_watch: float
    watch_tolerance: float
    coalescing_delay: float
    repeat_delay: float
    role_poll_interval: float
    near_hedge: float
    far_hedge: float
    sentinel_heartbeat: float
    sentinel_silence: float
    relay_timeout: float
    contact_check_interval: float
    rare_contact_check_interval: float


# Called about ten times per second.
@lru_cache(maxsize=8)
def timing_for(update_bound_seconds: float, contact_seconds: float) -> Timing:
    """Return the periods that keep the bounds.

    Args:
        update_bound_seconds: The tightest bound on updates in seconds: until a
            configuration is in force, and until a leaving upstream or an
            evacuated zone gets no more requests.
        contact_seconds: Uninterrupted contact after which the bounds apply.
    """
    relay_timeout = max(
        MIN_RELAY_TIMEOUT_SECONDS, update_bound_seconds * RELAY_TIMEOUT_SHARE
    )
    contact_check = min(
        contact_seconds * CONTACT_CHECK_SHARE, MAX_CONTACT_CHECK_SECONDS
    )
    watch = _longest_watch(update_bound_seconds)
    return Timing(
        watch=watch,
        second_watch=watch * SECOND_WATCH_FACTOR,
        watch_tolerance=_watch_tolerance(update_bound_seconds),
        coalescing_delay=_coalescing_delay(update_bound_seconds),
        repeat_delay=update_bound_seconds * REPEAT_SHARE,
        role_poll_interval=update_bound_seconds * ROLE_SHARE,
        near_hedge=update_bound_seconds * NEAR_HEDGE_SHARE,
        far_hedge=update_bound_seconds * FAR_HEDGE_SHARE,
        sentinel_heartbeat=update_bound_seconds * SENTINEL_HEARTBEAT_SHARE,
        sentinel_silence=update_bound_seconds * SENTINEL_SILENCE_SHARE,
        relay_timeout=min(relay_timeout, MAX_RELAY_TIMEOUT_SECONDS),
        contact_check_interval=contact_check,
        rare_contact_check_interval=contact_check
        / CONTACT_CHECK_SHARE
        * RARE_CONTACT_CHECK_SHARE,
    )


def propagation_paths(
    update_bound_seconds: float,
) -> dict[str, tuple[PathStage, ...]]:
    """Return the propagation paths on which one part fails.

    Each path begins with the store's acknowledgement, or with the failure if
    that is later, and ends when no host acts on the previous state. The stage
    `request in transit` lasts from the choice of an upstream for a request to
    its arrival there.

    Args:
        update_bound_seconds: The tightest bound on updates in seconds.

    Returns:
        The stages of each path, by the failure on it.
    """
    watch = PathStage('wait of the watch', _longest_watch(update_bound_seconds))
    return {
        failure: (watch, *stages)
        for failure, stages in _paths_with_watch(update_bound_seconds).items()
    } | _paths_without_watch(update_bound_seconds)


def _paths_with_watch(bound: float) -> dict[str, tuple[PathStage, ...]]:
    """Return the paths that begin with the periodic watch of a sentinel."""
    late = PathStage('watch is late', _watch_tolerance(bound))
    reconnected = PathStage('new connection and answer', 2 * ROUND_TRIP_SECONDS)
    role = PathStage('check of roles', bound * ROLE_SHARE)
    body = PathStage('transfer of a configuration', 2 * bound * BODY_SHARE)
    hedge = PathStage('unanswered query', bound * NEAR_HEDGE_SHARE)
    near_fetch = PathStage('fetch in the zone', NEAR_FETCH_SECONDS)
    return {
        'all watches fail silently': (late, reconnected, *_sent(bound)),
        'the connections of both sentinels fail silently': (
            late,
            *_sent_far(bound),
            role,
            reconnected,
            *_sent(bound),
        ),
        'all watches of a configuration fail silently': (
            late,
            *_sent_far(bound),
            reconnected,
            body,
            PathStage('heartbeat in the zone, lost once', bound * REPEAT_SHARE),
            hedge,
            near_fetch,
            PathStage('processing', bound * WORK_SHARE),
        ),
    }


def _paths_without_watch(bound: float) -> dict[str, tuple[PathStage, ...]]:
    coalesced = PathStage('changes are coalesced', _coalescing_delay(bound))
    return {
        'both sentinels are paused': (
            PathStage('sentinels are silent', bound * SENTINEL_SILENCE_SHARE),
            PathStage('check of roles', bound * ROLE_SHARE),
            PathStage('new connection and answer', 2 * ROUND_TRIP_SECONDS),
            *_sent(bound),
        ),
        'a change right after another': (
            coalesced,
            PathStage('answer', ROUND_TRIP_SECONDS),
            *_sent(bound),
        ),
        'datagrams are lost and a host does not answer': (
            coalesced,
            PathStage('answer', ROUND_TRIP_SECONDS),
            *_sent_far(bound),
            PathStage('unanswered query', bound * FAR_HEDGE_SHARE),
            PathStage('fetch', 2 * ROUND_TRIP_SECONDS),
            *_sent_near(bound),
        ),
    }


def _sent(bound: float) -> tuple[PathStage, ...]:
    return (*_sent_far(bound), *_sent_near(bound))


def _sent_far(bound: float) -> tuple[PathStage, ...]:
    return (
        PathStage('datagram to another region', ROUND_TRIP_SECONDS / 2),
        PathStage('resend of a lost datagram', bound * REPEAT_SHARE),
    )


def _sent_near(bound: float) -> tuple[PathStage, ...]:
    return (
        PathStage('datagram in the zone', NEAR_SECONDS),
        PathStage('resend of a lost datagram', bound * REPEAT_SHARE),
        PathStage('processing', bound * WORK_SHARE),
        PathStage('request in transit', 1.5 * ROUND_TRIP_SECONDS),
    )


def _watch_tolerance(bound: float) -> float:
    return max(MIN_TOLERANCE_SECONDS, bound * TOLERANCE_SHARE)


def _coalescing_delay(bound: float) -> float:
    share = (bound - PROPAGATION_SECONDS) * COALESCING_SHARE
    return min(max(share, MIN_COALESCING_SECONDS), MAX_COALESCING_SECONDS)


def _longest_watch(bound: float) -> float:
    """Return the time that the paths leave for the first sentinel's watch."""
    taken = max(
        sum(stage.seconds for stage in stages)
        for stages in _paths_with_watch(bound).values()
    )
    left = bound * MAX_BOUND_SHARE - taken
    return min(max(left, MIN_WATCH_SECONDS), MAX_WATCH_SECONDS)
