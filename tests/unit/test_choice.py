"""Choice of an upstream, the waiting queue, and ejection of upstreams."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wardstair.decisions.admission import (
    Enqueued,
    Rejected,
    Waiter,
    WaitingQueue,
)
from wardstair.decisions.choice import (
    Candidate,
    choose,
    score,
    slow_start_share,
)
from wardstair.decisions.health import (
    FAILURES_TO_EJECT,
    LEAVING_SECONDS,
    UpstreamHealth,
    record_failure,
    record_leaving,
    record_success,
    set_drained,
)

CANDIDATES = st.lists(
    st.builds(
        Candidate,
        name=st.uuids().map(str),
        free_slots=st.integers(0, 3),
        in_flight=st.integers(0, 9),
        latency=st.floats(0.001, 2),
        reported_load=st.floats(-1, 5),
        report_age=st.floats(0, 10),
        in_service_seconds=st.floats(0, 60),
    ),
    max_size=8,
    unique_by=lambda candidate: candidate.name,
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(CANDIDATES, st.integers(0, 1000))
def test_never_chooses_what_has_no_slot_or_was_tried(
    candidates: list[Candidate],
    seed: int,
) -> None:
    tried = frozenset(one.name for one in candidates[::3])
    chosen = choose(candidates, tried, Random(seed))
    able = [
        one for one in candidates if one.free_slots and one.name not in tried
    ]
    assert (chosen is None) == (not able)
    assert chosen is None or chosen in able


@settings(max_examples=200, deadline=None, derandomize=True)
@given(CANDIDATES, st.integers(0, 1000))
def test_agrees_with_naive_choice_of_the_same_draw(
    candidates: list[Candidate],
    seed: int,
) -> None:
    able = [one for one in candidates if one.free_slots]
    drawn = able if len(able) < 3 else Random(seed).sample(able, 2)
    chosen = choose(candidates, frozenset(), Random(seed))
    if not drawn:
        assert chosen is None
        return
    assert chosen in drawn
    assert score(chosen) == sorted(map(score, drawn))[0]


def test_the_worst_of_several_is_never_chosen() -> None:
    candidates = [
        Candidate(str(number), 1, number, 0.01) for number in range(5)
    ]
    chosen = [
        choose(candidates, frozenset(), Random(seed)) for seed in range(200)
    ]
    assert {one.name for one in chosen if one} == {'0', '1', '2', '3'}


@pytest.mark.parametrize(
    ('load', 'age', 'is_worse'),
    [(1.0, 0.0, True), (1.0, 60.0, False), (-9.0, 0.0, False)],
)
def test_a_load_report_never_improves_the_score(
    load: float,
    age: float,
    is_worse: bool,
) -> None:
    plain = Candidate('u', 1, 0, 0.1)
    reported = Candidate('u', 1, 0, 0.1, reported_load=load, report_age=age)
    assert (score(reported) > score(plain)) is is_worse
    assert score(reported) >= score(plain)


@pytest.mark.parametrize(
    ('seconds', 'share'),
    [(-5, 0.25), (0, 0.25), (15, 0.625), (30, 1.0), (1e9, 1.0)],
)
def test_load_is_ramped_up_in_slow_start(seconds: float, share: float) -> None:
    assert slow_start_share(seconds) == pytest.approx(share)


def test_the_newest_of_the_least_important_waiters_is_displaced() -> None:
    queue = WaitingQueue(limit=2)
    queue.add(Waiter(1, 2, 10.0))
    queue.add(Waiter(2, 2, 10.0))
    assert queue.add(Waiter(3, 2, 10.0)) == Rejected()
    entered = queue.add(Waiter(4, 8, 10.0))
    assert entered == Enqueued((Waiter(2, 2, 10.0),))
    assert [one.number for one in queue.by_priority()] == [4, 1]


def test_waiters_past_their_deadline_are_dropped() -> None:
    queue = WaitingQueue(limit=2)
    queue.add(Waiter(1, 2, 10.0))
    queue.add(Waiter(2, 2, 30.0))
    assert [one.number for one in queue.drop_expired(9.0, 2.0)] == [1]


def test_only_the_operator_ends_a_leaving_period_early() -> None:
    leaving = record_leaving(UpstreamHealth(), 100.0)
    assert not record_success(leaving).may_serve(101.0)
    assert leaving.may_serve(100.0 + LEAVING_SECONDS)
    drained = set_drained(leaving, 101.0, is_drained=True)
    resumed = set_drained(drained, 102.0, is_drained=False)
    assert resumed.may_serve(102.0)


def test_consecutive_failures_eject_for_longer_each_time() -> None:
    health = UpstreamHealth()
    for _ in range(FAILURES_TO_EJECT - 1):
        health = record_failure(health, 0.0)
    assert health.may_serve(0.0)
    first = record_failure(health, 0.0)
    second = record_failure(first, 0.0)
    assert not first.may_serve(0.0)
    assert second.ejected_until > first.ejected_until
