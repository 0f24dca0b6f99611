"""Age of the state, by answers of the store and reports of other hosts."""

from dataclasses import replace

import pytest

from wardstair.decisions.state_age import (
    MAX_HOPS,
    Reading,
    ReportedAge,
    complete_at,
    may_query,
    query_age,
    refresh_times,
)
from wardstair.decisions.timing import MAX_BOUND_SHARE, timing_for
from wardstair.state.age import StateAge
from wardstair.state.revision import Revision

KINDS = ('config', 'evacuations', 'servers')


class Clock:
    """A clock that is set manually."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


@pytest.mark.parametrize(
    ('waited', 'answered_at', 'is_empty', 'expected'),
    [
        pytest.param(1.0, 11.02, True, 11.0, id='whole wait'),
        pytest.param(1.0, 10.4, False, 10.0, id='with a change'),
        pytest.param(1.0, 10.4, True, 10.0, id='wait cut short'),
        pytest.param(0.0, 12.5, True, 10.0, id='slow'),
    ],
)
def test_answer_is_complete_to_its_query_or_the_end_of_wait(
    waited: float,
    answered_at: float,
    is_empty: bool,
    expected: float,
) -> None:
    reading = Reading(10.0, waited, answered_at, is_empty)
    assert complete_at(reading) == expected


def known_age(clock: Clock) -> StateAge:
    """Return the age of a state that has just been read."""
    age = StateAge(clock, KINDS)
    for kind in KINDS:
        age.note_read(kind, Revision(1, 7), clock.now)
    return age


def test_age_is_reported_once_all_kinds_were_read() -> None:
    clock = Clock()
    age = StateAge(clock, KINDS)
    age.note_read('config', Revision(1, 7), clock.now)
    assert age.reportable is None
    age.note_read('evacuations', Revision(1, 7), clock.now)
    age.note_read('servers', Revision(1, 7), clock.now)
    assert age.reportable == ReportedAge(0.0, 0)


@pytest.mark.parametrize(
    ('revision', 'expected'),
    [
        pytest.param(Revision(1, 7), 0.0, id='no change'),
        pytest.param(Revision(1, 8), 5.0, id='another kind has changed'),
        pytest.param(Revision(2, 3), 5.0, id='the store was restored'),
    ],
)
def test_equal_revision_proves_other_kinds_complete(
    revision: Revision,
    expected: float,
) -> None:
    clock = Clock()
    age = known_age(clock)
    clock.now += 5.0
    age.note_read('evacuations', revision, clock.now)
    assert age.seconds == expected


@pytest.mark.parametrize(
    ('unseen', 'expected'),
    [
        pytest.param(0.05, 0.5, id='running'),
        pytest.param(1.5, 2.0, id='paused: the report may have waited as long'),
    ],
)
def test_reports_to_a_paused_host_count_as_older(
    unseen: float,
    expected: float,
) -> None:
    clock = Clock()
    age = known_age(clock)
    clock.now += 10.0
    age.tick(10.0)
    clock.now += unseen
    age.note_reported(ReportedAge(0.5, 0))
    assert age.seconds == pytest.approx(expected)


def test_requested_report_counts_from_the_query() -> None:
    clock = Clock()
    age = known_age(clock)
    clock.now += 10.0
    asked_at = clock.now
    clock.now += 1.8
    age.note_reported(ReportedAge(0.5, 0), asked_at)
    assert age.seconds == pytest.approx(2.3)


def test_age_passed_between_hosts_keeps_growing() -> None:
    """Each hop is 0.08 s slower than assumed, and no host reads the store."""
    clock = Clock()
    one, other = known_age(clock), known_age(clock)
    for _ in range(100):
        for sender, receiver in ((one, other), (other, one)):
            clock.now += 0.05
            sender.tick(0.05)
            receiver.tick(0.05)
            reported = sender.reportable
            assert reported is not None
            receiver.note_reported(
                replace(reported, seconds=reported.seconds - 0.08)
            )
    assert one.seconds == pytest.approx(10.0 - 0.08 * MAX_HOPS)


def test_report_of_an_older_state_is_ignored() -> None:
    clock = Clock()
    age = known_age(clock)
    age.note_reported(ReportedAge(60.0, 0))
    assert age.seconds == 0.0


@pytest.mark.parametrize(
    ('open_queries', 'since', 'expected'),
    [
        pytest.param(0, 60.0, True, id='no query'),
        pytest.param(1, 0.2, False, id='query sent just now'),
        pytest.param(1, 0.3, True, id='unanswered: repeated'),
        pytest.param(2, 60.0, False, id='two unanswered'),
    ],
)
def test_at_most_two_queries_are_open(
    open_queries: int,
    since: float,
    expected: bool,
) -> None:
    assert may_query(open_queries, since, retry_seconds=0.3) is expected


@pytest.mark.parametrize('bound', [1.5, 2.5, 3.0, 4.0, 5.0])
@pytest.mark.parametrize('is_reporter', [True, False])
def test_host_queries_in_time_but_not_without_a_fault(
    bound: float,
    is_reporter: bool,
) -> None:
    """Queries start after a sentinel's watch, and fit twice in the bound."""
    timing = timing_for(bound, bound + 0.5)
    times = [
        refresh_times(bound, f'host-{number}', timing.far_hedge)
        for number in range(200)
    ]
    ages = [query_age(one, is_reporter=is_reporter) for one in times]
    assert min(ages) > timing.watch
    queried_twice = max(ages) + times[0].poll_interval + timing.far_hedge
    assert queried_twice < bound * MAX_BOUND_SHARE
    # Without reports, all states age together; the queries must be spread.
    assert is_reporter or len(set(ages)) > 190
