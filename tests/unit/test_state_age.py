"""Up to which moment a state is complete, by answers and by other hosts."""

from dataclasses import replace

import pytest

from wardstair.decisions.state_age import (
    MOST_HOPS,
    Reading,
    ToldAge,
    ask_after,
    complete_at,
    may_ask,
    refresh_times,
)
from wardstair.decisions.timing import KEPT_SHARE, timing_for
from wardstair.state.age import StateAge
from wardstair.state.revision import Revision

KINDS = ('config', 'evacuations', 'servers')


class Clock:
    """A clock that is set by hand."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


@pytest.mark.parametrize(
    ('waited', 'answered_at', 'is_empty', 'expected'),
    [
        pytest.param(1.0, 11.02, True, 11.0, id='waited to the end'),
        pytest.param(1.0, 10.4, False, 10.0, id='tells of a change'),
        pytest.param(1.0, 10.4, True, 10.0, id='cut before its end'),
        pytest.param(0.0, 12.5, True, 10.0, id='slow'),
    ],
)
def test_an_answer_is_complete_up_to_its_question_or_the_end_of_its_wait(
    waited: float,
    answered_at: float,
    is_empty: bool,
    expected: float,
) -> None:
    reading = Reading(10.0, waited, answered_at, is_empty)
    assert complete_at(reading) == expected


def known_age(clock: Clock) -> StateAge:
    """Return the age of a state that was read at this moment."""
    age = StateAge(clock, KINDS)
    for kind in KINDS:
        age.note_read(kind, Revision(1, 7), clock.now)
    return age


def test_an_age_is_told_once_all_kinds_were_read() -> None:
    clock = Clock()
    age = StateAge(clock, KINDS)
    age.note_read('config', Revision(1, 7), clock.now)
    assert age.reportable is None
    age.note_read('evacuations', Revision(1, 7), clock.now)
    age.note_read('servers', Revision(1, 7), clock.now)
    assert age.reportable == ToldAge(0.0, 0)


@pytest.mark.parametrize(
    ('revision', 'expected'),
    [
        pytest.param(Revision(1, 7), 0.0, id='nothing has changed'),
        pytest.param(Revision(1, 8), 5.0, id='another kind has changed'),
        pytest.param(Revision(2, 3), 5.0, id='the store was restored'),
    ],
)
def test_one_kind_shows_others_complete_while_the_revision_stays(
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
        pytest.param(0.05, 0.5, id='runs'),
        pytest.param(1.5, 2.0, id='stood still: it may have waited as long'),
    ],
)
def test_what_is_told_to_a_host_that_stood_still_counts_as_older(
    unseen: float,
    expected: float,
) -> None:
    clock = Clock()
    age = known_age(clock)
    clock.now += 10.0
    age.tick(10.0)
    clock.now += unseen
    age.note_reported(ToldAge(0.5, 0))
    assert age.seconds == pytest.approx(expected)


def test_what_was_asked_for_counts_from_the_question() -> None:
    clock = Clock()
    age = known_age(clock)
    clock.now += 10.0
    asked_at = clock.now
    clock.now += 1.8
    age.note_reported(ToldAge(0.5, 0), asked_at)
    assert age.seconds == pytest.approx(2.3)


def test_an_age_that_is_handed_round_does_not_stop_growing() -> None:
    """Each hop is 0.08 s slower than assumed, and nobody reads the store."""
    clock = Clock()
    one, other = known_age(clock), known_age(clock)
    for _ in range(100):
        for teller, listener in ((one, other), (other, one)):
            clock.now += 0.05
            teller.tick(0.05)
            listener.tick(0.05)
            told = teller.reportable
            assert told is not None
            listener.note_reported(replace(told, seconds=told.seconds - 0.08))
    assert one.seconds == pytest.approx(10.0 - 0.08 * MOST_HOPS)


def test_a_state_that_is_told_older_does_not_age_this_one() -> None:
    clock = Clock()
    age = known_age(clock)
    age.note_reported(ToldAge(60.0, 0))
    assert age.seconds == 0.0


@pytest.mark.parametrize(
    ('asking', 'since', 'expected'),
    [
        pytest.param(0, 60.0, True, id='not asked'),
        pytest.param(1, 0.2, False, id='asked just now'),
        pytest.param(1, 0.3, True, id='not answered: once more'),
        pytest.param(2, 60.0, False, id='not answered twice'),
    ],
)
def test_the_store_is_asked_twice_at_most_while_it_does_not_answer(
    asking: int,
    since: float,
    expected: bool,
) -> None:
    assert may_ask(asking, since, again=0.3) is expected


@pytest.mark.parametrize('bound', [1.5, 2.5, 3.0, 4.0, 5.0])
@pytest.mark.parametrize('tells_others', [True, False])
def test_a_host_asks_in_time_and_not_on_calm_days(
    bound: float,
    tells_others: bool,
) -> None:
    """Later than the clock of a sentinel, and twice within the bound."""
    timing = timing_for(bound, bound + 0.5)
    times = [
        refresh_times(bound, f'host-{number}', timing.far_hedge)
        for number in range(200)
    ]
    ages = [ask_after(one, tells_others=tells_others) for one in times]
    assert min(ages) > timing.watch
    asked_twice = max(ages) + times[0].look + timing.far_hedge
    assert asked_twice < bound * KEPT_SHARE
    # All grow old together where nobody tells: they ask spread over a while.
    assert tells_others or len(set(ages)) > 190
