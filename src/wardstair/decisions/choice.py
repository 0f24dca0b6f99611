"""Chooses the upstream for a request.

The choice relies on what this host measures itself: its requests in flight and
their recent latency. Load reports of upstreams may be late or wrong, so a
report can only worsen an upstream's score.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

REPORT_MAX_AGE_SECONDS = 5.0
SLOW_START_SECONDS = 30.0
SLOW_START_MIN_SHARE = 0.25


@dataclass(frozen=True)
class Candidate:
    """A snapshot of an upstream as seen by one host.

    Attributes:
        name: Name of the upstream.
        free_slots: Unused slots that this host holds for it.
        in_flight: Requests of this host in flight at the upstream.
        latency: Recent latency measured by this host, in seconds.
        reported_load: Load that the upstream reports; 1.0 is full, more is
            overload.
        report_age: Age of that report in seconds.
        in_service_seconds: Seconds since the upstream entered or re-entered
            service.
    """

    name: str
    free_slots: int
    in_flight: int
    latency: float
    reported_load: float = 0.0
    report_age: float = REPORT_MAX_AGE_SECONDS
    in_service_seconds: float = SLOW_START_SECONDS


def score(candidate: Candidate) -> float:
    """Return the expected cost of one more request; lower is better."""
    expected = (candidate.in_flight + 1) * max(candidate.latency, 1e-4)
    load_factor = 1.0
    if candidate.report_age < REPORT_MAX_AGE_SECONDS:
        load_factor += max(candidate.reported_load, 0.0)
    return (
        expected * load_factor / slow_start_share(candidate.in_service_seconds)
    )


def slow_start_share(in_service_seconds: float) -> float:
    """Return the share of full load that an upstream gets in slow start."""
    progress = min(max(in_service_seconds, 0.0) / SLOW_START_SECONDS, 1.0)
    return SLOW_START_MIN_SHARE + (1.0 - SLOW_START_MIN_SHARE) * progress


def choose(
    candidates: Sequence[Candidate],
    tried: frozenset[str],
    random: Random,
) -> Candidate | None:
    """Choose among upstreams with a free slot by the power of two choices.

    Args:
        candidates: The upstreams that may serve the request.
        tried: Names of upstreams to which this request was already sent.
        random: Source of randomness.

    Returns:
        The better of two candidates drawn at random; None if no candidate is
        eligible.
    """
    eligible = [
        candidate
        for candidate in candidates
        if candidate.free_slots > 0 and candidate.name not in tried
    ]
    if not eligible:
        return None
    drawn = eligible if len(eligible) < 3 else random.sample(eligible, 2)
    return min(drawn, key=score)
