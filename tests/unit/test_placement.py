"""Ranking of upstreams and the choice among the ranked candidates."""

from dataclasses import replace
from random import Random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wardstair.decisions.placement import (
    Candidate,
    choose_by_cost,
    expected_seconds,
)
from wardstair.decisions.placement_policies import (
    POLICIES,
    PlacementRequest,
    choose_by_policy,
)
from wardstair.decisions.ranking import WeightedUpstream, rank
from wardstair.decisions.warm_keys import KEPT_SECONDS, MAX_KEYS, WarmKeys

HOME = Candidate('home', 0, 0.0, 0, 4)
NEXT = Candidate('next', 1, 0.0, 0, 4)
WORK = 0.2


@pytest.mark.parametrize(
    ('home', 'other', 'chosen'),
    [
        ({}, {}, 'home'),
        ({'load': 3}, {}, 'home'),
        # A short queue at the preferred upstream costs less than a cold run.
        ({'load': 6}, {'is_warm': False}, 'home'),
        # A long queue costs more, unless the other has no spare slot.
        ({'load': 13}, {'is_warm': False}, 'next'),
        ({'load': 13}, {'is_warm': False, 'load': 2}, 'home'),
        ({'load': 13}, {'load': 3}, 'next'),
        ({'load': 13}, {'load': 4}, 'home'),
        # A warm key outweighs the rank.
        ({'is_warm': False}, {}, 'next'),
        # Distance, slowness and transfer cost count as time.
        ({'is_warm': False}, {'is_warm': False, 'round_trip': 0.1}, 'home'),
        ({'slowness': 5.0}, {'is_warm': False}, 'next'),
        ({'load': 6}, {'transfer_cost': 0.4}, 'home'),
        # Full upstreams get no requests.
        ({'load': 16}, {'is_warm': False}, 'next'),
        ({'load': 16}, {'is_warm': False, 'load': 2}, None),
        ({'load': 16}, {'load': 16}, None),
    ],
)
def test_choice_of_two(
    home: dict[str, Any],
    other: dict[str, Any],
    chosen: str | None,
) -> None:
    candidates = [replace(HOME, **home), replace(NEXT, **other)]
    choice = choose_by_cost(candidates, WORK, 3.0)
    assert (choice and choice.candidate.name) == chosen


def has_capacity(candidate: Candidate, queue_share: float) -> bool:
    """Return whether an upstream has capacity, by a naive implementation."""
    if candidate.rank == 0:
        return candidate.load < candidate.slots * (1 + queue_share)
    if candidate.load == 0:
        return True
    usable = candidate.slots if candidate.is_warm else candidate.slots * 0.6
    return candidate.load + 1 <= usable


candidates = st.builds(
    Candidate,
    name=st.uuids().map(str),
    rank=st.integers(0, 20),
    round_trip=st.floats(0, 0.2),
    load=st.integers(0, 40),
    slots=st.integers(1, 9),
    is_warm=st.booleans(),
    slowness=st.floats(0.5, 10),
    transfer_cost=st.floats(0, 1),
)


@given(st.lists(candidates, max_size=12), st.floats(0.01, 2), st.floats(0, 4))
def test_no_available_candidate_is_better_in_every_respect(
    choices: list[Candidate],
    work: float,
    queue_share: float,
) -> None:
    choice = choose_by_cost(choices, work, queue_share)
    available = [one for one in choices if has_capacity(one, queue_share)]
    if choice is None:
        assert not available
        return
    # The choice has capacity, and no other one is better in every respect.
    chosen = choice.candidate
    assert chosen in available
    assert choice.seconds == expected_seconds(chosen, work)
    for other in available:
        assert not (
            other.load < chosen.load
            and other.slots >= chosen.slots
            and other.is_warm >= chosen.is_warm
            and other.slowness < chosen.slowness
            and other.round_trip < chosen.round_trip
            and other.rank < chosen.rank
            and other.transfer_cost < chosen.transfer_cost
        )


@given(
    st.lists(st.uuids().map(str), min_size=2, max_size=9, unique=True),
    st.text(),
)
def test_only_keys_of_a_leaving_upstream_move(
    names: list[str], key: str
) -> None:
    places = [WeightedUpstream(name, 3) for name in names]
    before = rank(key, places)
    gone = Random(len(names)).choice(names)
    after = rank(key, [place for place in places if place.name != gone])
    assert after == [name for name in before if name != gone]


def test_keys_are_distributed_by_weight() -> None:
    places = [
        WeightedUpstream('small', 1),
        WeightedUpstream('large', 3),
        WeightedUpstream('none', 0),
    ]
    preferred = [rank(f'key {number}', places)[0] for number in range(4000)]
    assert 2800 < preferred.count('large') < 3200
    assert preferred.count('none') == 0


def test_warm_keys_expire_and_are_bounded() -> None:
    warm = WarmKeys()
    warm.note('old', 0)
    assert warm.has('old', KEPT_SECONDS / 2)
    assert not warm.has('old', KEPT_SECONDS)
    for number in range(MAX_KEYS):
        warm.note(f'key {number}', 1)
    assert not warm.has('old', 1)
    assert warm.has('key 0', 1)


@pytest.mark.parametrize(
    ('name', 'draw', 'loads', 'chosen'),
    [
        ('warm-home', 0.9, (3, 0, 0), 'u0'),
        ('least-in-flight', 0.9, (3, 1, 2), 'u1'),
        ('least-in-flight', 0.0, (1, 1, 1), 'u0'),
        ('equal-shares', 0.0, (3, 0, 0), 'u0'),
        ('equal-shares', 0.99, (3, 0, 0), 'u2'),
        ('equal-shares', 0.99, (0, 0, 99), 'u1'),
        ('warm-home', 0.5, (99, 99, 99), None),
        ('least-in-flight', 0.5, (99, 99, 99), None),
        ('equal-shares', 0.5, (99, 99, 99), None),
    ],
)
def test_placement_policies(
    name: str,
    draw: float,
    loads: tuple[int, ...],
    chosen: str | None,
) -> None:
    choices = [
        Candidate(f'u{rank}', rank, 0.0, load, 4, is_warm=not rank)
        for rank, load in enumerate(loads)
    ]
    request = PlacementRequest(WORK, 2.0, draw)
    choice = choose_by_policy(POLICIES[name], choices, request)
    assert (choice and choice.candidate.name) == chosen
