"""How often a host looks at the store and at others, from the bounds.

News reaches every host by a chain: a watch of the store is answered, datagrams
tell of it, and a host that misses one fetches what it lacks. Each link has a
longest time in which its own failure is noticed and made good; the links of
each chain add up to `KEPT_SHARE` of the tightest bound on news.
"""

from dataclasses import dataclass
from functools import lru_cache

# Part of a bound that a chain takes at most. The rest is for what no chain
# foresees.
MAX_BOUND_SHARE = 0.8
# Round trip between the regions that are furthest apart.
ROUND_TRIP_SECONDS = 0.12
# A way within a zone, and a fetch on it.
NEAR_SECONDS = 0.01
NEAR_FETCH_SECONDS = 0.02
# Parts of the bound. A store that is well answers within the slack; one that
# is slower widens it. Less than the least would take its usual answers for
# silence.
SLACK_SHARE = 0.1
LEAST_SLACK_SECONDS = 0.15
# A datagram is sent again after this, whether or not it was lost.
REPEAT_SHARE = 0.03
# How often a host looks whether its roles have changed.
ROLE_SHARE = 0.03
# How long one host is waited for before another is asked as well.
NEAR_HEDGE_SHARE = 0.04
FAR_HEDGE_SHARE = 0.12
# Timers that go off late, and work.
WORK_SHARE = 0.03
# A configuration is larger than other news.
BODY_SHARE = 0.02
# Sentinels send heartbeats more often than others, so that one heartbeat may
# be lost without their being replaced.
SENTINEL_BEAT_SHARE = 0.15
SENTINEL_SILENCE_SHARE = 0.34
# Changes of upstreams that are close together cost one call. Of what a bound
# leaves beside the way of news.
PAUSE_SHARE = 0.3
UNPAUSED_SECONDS = 1.0
# Shorter watches are a load on the store rather than a gain.
LEAST_WATCH_SECONDS = 0.25
LEAST_PAUSE_SECONDS = 0.1
# The second sentinel covers the first while it fails unnoticed, which is a
# failure of its own: its clock may be slower.
SECOND_WATCH_FACTOR = 2.0
# A relay that fails leaves its zone to the second one; if both fail, the zone
# hears nothing until it is replaced.
REPLACED_SHARE = 0.64
# Callers gain by early news also where no bound asks for it: an upstream that
# is gone costs a failed connection for each request that is sent to it.
MOST_WATCH_SECONDS = 2.0
MOST_PAUSE_SECONDS = 1.0
# One heartbeat of a second, with its jitter, may be lost. A needless
# replacement costs calls on the store; leaving a live host out of look-ups
# would cost more, so these wait longer.
MIN_RELAY_TIMEOUT_SECONDS = 1.6
MAX_RELAY_TIMEOUT_SECONDS = 3.0
# Time after its start that a host takes to hear the others: until then it sends
# nothing to cold upstreams, is no relay beside hosts that have a configuration,
# and does not register in the store. Seeds may load for longer than others:
# without the wait 63 of 65 hosts that started together took themselves for
# alone and registered, and 69 objects were written anew.
SETTLE_SECONDS = 2.5
# Contact is proved twice within the time after which a host is held to the
# bounds again, and by a host that is no relay once in twice that time: for it
# only whether it could become one depends on it.
PROOF_SHARE = 0.5
RARE_PROOF_SHARE = 2.0
# Longer would hide an outage from the metrics.
MOST_PROOF_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class PathStage:
    """A part of the way of news.

    Attributes:
        name: What happens in it.
        seconds: The longest time that it takes, its own failure included.
    """

    name: str
    seconds: float


@dataclass(frozen=True, slots=True)
class Timing:
    """Periods of one host, in seconds.

    Attributes:
        watch: Longest wait of the watch that the first sentinel uses as its
            clock.
        second_watch: The same of the second sentinel.
        watch_tolerance: Minimum time past the requested wait after which an
            unanswered watch is treated as broken.
        coalescing_delay: Wait for further changes of upstreams after one.
        repeat_delay: Time after which news is told again.
        role_poll_interval: Period of a host's looks at what its roles are.
        near_hedge: Wait for a host of the own zone before another is asked.
        far_hedge: The same for a host of another zone.
        sentinel_heartbeat: Period of the heartbeats of a sentinel.
        sentinel_silence: Silence after which a sentinel is replaced.
        relay_timeout: Silence after which a relay is replaced.
        contact_check_interval: Period at which a relay checks that it is in
            contact with the store.
        rare_contact_check_interval: The same of another host.
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


# Asked for at each look, some ten times a second.
@lru_cache(maxsize=8)
def timing_for(news_seconds: float, contact_seconds: float) -> Timing:
    """Return the periods that keep the bounds.

    Args:
        news_seconds: The tightest bound on news, in seconds: that a
            configuration is in force, that a leaving upstream or a zone that
            is emptied gets nothing more.
        contact_seconds: Undisturbed contact after which bounds hold.
    """
    replaced = max(MIN_RELAY_TIMEOUT_SECONDS, news_seconds * REPLACED_SHARE)
    proof = min(contact_seconds * PROOF_SHARE, MOST_PROOF_SECONDS)
    watch = _longest_watch(news_seconds)
    return Timing(
        watch=watch,
        second_watch=watch * SECOND_WATCH_FACTOR,
        watch_tolerance=_slack(news_seconds),
        coalescing_delay=_pause(news_seconds),
        repeat_delay=news_seconds * REPEAT_SHARE,
        role_poll_interval=news_seconds * ROLE_SHARE,
        near_hedge=news_seconds * NEAR_HEDGE_SHARE,
        far_hedge=news_seconds * FAR_HEDGE_SHARE,
        sentinel_heartbeat=news_seconds * SENTINEL_BEAT_SHARE,
        sentinel_silence=news_seconds * SENTINEL_SILENCE_SHARE,
        relay_timeout=min(replaced, MAX_RELAY_TIMEOUT_SECONDS),
        contact_check_interval=proof,
        rare_contact_check_interval=proof / PROOF_SHARE * RARE_PROOF_SHARE,
    )


def propagation_paths(news_seconds: float) -> dict[str, tuple[PathStage, ...]]:
    """Return the ways by which news is known though one part of them fails.

    Each begins at the store's acknowledgement, or at the failure if that comes
    later, and ends where no host acts on what was before. A request takes the
    last link from its choice of an upstream to its arrival.

    Args:
        news_seconds: The tightest bound on news.

    Returns:
        The links of each chain, by what fails in it.
    """
    watch = PathStage('clock waits', _longest_watch(news_seconds))
    return {
        failure: (watch, *links)
        for failure, links in _after_clock(news_seconds).items()
    } | _without_clock(news_seconds)


def _after_clock(news: float) -> dict[str, tuple[PathStage, ...]]:
    """Return the chains that begin with the clock of a sentinel."""
    doubt = PathStage('clock is late', _slack(news))
    renewed = PathStage('new connection, answer', 2 * ROUND_TRIP_SECONDS)
    role = PathStage('look at roles', news * ROLE_SHARE)
    body = PathStage('size of a configuration', 2 * news * BODY_SHARE)
    hedge = PathStage('a host does not answer', news * NEAR_HEDGE_SHARE)
    near_fetch = PathStage('fetch in the zone', NEAR_FETCH_SECONDS)
    return {
        'all watches fall silent': (doubt, renewed, *_told(news)),
        'the ways of both sentinels fall silent': (
            doubt,
            *_told_far(news),
            role,
            renewed,
            *_told(news),
        ),
        'all watches of a configuration fall silent': (
            doubt,
            *_told_far(news),
            renewed,
            body,
            PathStage('heartbeat in the zone, lost once', news * REPEAT_SHARE),
            hedge,
            near_fetch,
            PathStage('work', news * WORK_SHARE),
        ),
    }


def _without_clock(news: float) -> dict[str, tuple[PathStage, ...]]:
    joined = PathStage('changes are joined', _pause(news))
    return {
        'both sentinels stand still': (
            PathStage('sentinels are silent', news * SENTINEL_SILENCE_SHARE),
            PathStage('look at roles', news * ROLE_SHARE),
            PathStage('new connection, answer', 2 * ROUND_TRIP_SECONDS),
            *_told(news),
        ),
        'a change right after another': (
            joined,
            PathStage('answer', ROUND_TRIP_SECONDS),
            *_told(news),
        ),
        'datagrams are lost and a host does not answer': (
            joined,
            PathStage('answer', ROUND_TRIP_SECONDS),
            *_told_far(news),
            PathStage('a host does not answer', news * FAR_HEDGE_SHARE),
            PathStage('fetch', 2 * ROUND_TRIP_SECONDS),
            *_told_near(news),
        ),
    }


def _told(news: float) -> tuple[PathStage, ...]:
    return (*_told_far(news), *_told_near(news))


def _told_far(news: float) -> tuple[PathStage, ...]:
    return (
        PathStage('datagram to another region', ROUND_TRIP_SECONDS / 2),
        PathStage('it is lost once', news * REPEAT_SHARE),
    )


def _told_near(news: float) -> tuple[PathStage, ...]:
    return (
        PathStage('datagram in the zone', NEAR_SECONDS),
        PathStage('it is lost once', news * REPEAT_SHARE),
        PathStage('work', news * WORK_SHARE),
        PathStage('a request on its way', 1.5 * ROUND_TRIP_SECONDS),
    )


def _slack(news: float) -> float:
    return max(LEAST_SLACK_SECONDS, news * SLACK_SHARE)


def _pause(news: float) -> float:
    share = (news - UNPAUSED_SECONDS) * PAUSE_SHARE
    return min(max(share, LEAST_PAUSE_SECONDS), MOST_PAUSE_SECONDS)


def _longest_watch(news: float) -> float:
    """Return what the chains leave for the wait of the first sentinel."""
    taken = max(
        sum(link.seconds for link in links)
        for links in _after_clock(news).values()
    )
    left = news * MAX_BOUND_SHARE - taken
    return min(max(left, LEAST_WATCH_SECONDS), MOST_WATCH_SECONDS)
