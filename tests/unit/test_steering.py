"""Steering policies select open zones only; ramps of shifts stay in bounds."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wardstair.decisions.forecast import (
    ZoneLoad,
    forecast_drain,
    forecast_shift,
)
from wardstair.decisions.policies import (
    FRESH_SECONDS,
    HeadroomFirst,
    LeastInFlight,
    Nearest,
    Policy,
    Weighted,
    ZoneView,
    draw,
    weigh,
)
from wardstair.decisions.shifts import (
    PER_MILLE,
    STALE_SECONDS,
    Movement,
    ShiftRamp,
    TargetView,
    next_ramp,
)

POLICIES = st.one_of(
    st.builds(Nearest, st.floats(0.01, 1)),
    st.builds(
        Weighted,
        st.dictionaries(st.sampled_from('abcdef'), st.floats(0, 9)),
    ),
    st.just(LeastInFlight()),
    st.just(HeadroomFirst()),
)
ZONES = st.lists(
    st.builds(
        ZoneView,
        zone=st.sampled_from('abcdef'),
        delay=st.floats(0, 100),
        slots=st.integers(0, 20),
        free=st.integers(-3, 20),
        age=st.floats(0, 2 * FRESH_SECONDS),
    ),
    unique_by=lambda zone: zone.zone,
)


@settings(max_examples=400, deadline=None, derandomize=True)
@given(POLICIES, ZONES, st.integers(0, 99))
def test_only_open_zones_are_drawn(
    policy: Policy,
    zones: list[ZoneView],
    seed: int,
) -> None:
    weights = weigh(policy, zones)
    open_zones = {zone.zone for zone in zones if zone.is_open}
    assert {one.zone for one in weights} <= open_zones
    assert all(one.weight > 0 for one in weights)
    drawn = draw(weights, Random(seed))
    assert (drawn is None) == (not weights)
    if open_zones and not isinstance(policy, Weighted):
        assert weights


@pytest.mark.parametrize(
    ('policy', 'expected'),
    [
        (Nearest(0.8), {'near': 1.0}),
        (Nearest(0.2), {'near': 0.375, 'far': 0.625}),
        (Weighted({'far': 3, 'gone': 5}), {'far': 3}),
        (LeastInFlight(), {'far': 1}),
        (HeadroomFirst(), {'near': 3, 'far': 9}),
    ],
)
def test_weights(policy: Policy, expected: dict[str, float]) -> None:
    zones = [
        ZoneView('near', 0, 10, 3),
        ZoneView('far', 35, 10, 9),
        ZoneView('gone', 1, 10, 9, age=FRESH_SECONDS + 1),
    ]
    # 70% are used: with `spill_at` 0.2, 0.5 / 0.8 of the requests spill over.
    found = {one.zone: one.weight for one in weigh(policy, zones)}
    assert found == pytest.approx(expected)


def view(in_flight: int, free: int = 50, age: float = 0) -> TargetView:
    """Return a target region with 100 slots."""
    return TargetView(in_flight, 100, free, age)


@pytest.mark.parametrize(
    ('target', 'movement', 'per_mille'),
    [
        (view(0), Movement.grow, 140),
        (view(16), Movement.hold, 100),
        (view(20), Movement.shrink, 75),
        (view(0, free=9), Movement.shrink, 75),
        (view(0, age=STALE_SECONDS + 1), Movement.give_back, 50),
    ],
)
def test_ramp(target: TargetView, movement: Movement, per_mille: int) -> None:
    before = ShiftRamp(per_mille=100, step=40, decided_at=0)
    after = next_ramp(before, target, 20, 15, 20)
    assert (after.movement, after.per_mille) == (movement, per_mille)


def test_ramp_waits_for_the_settling_time() -> None:
    before = ShiftRamp(per_mille=100, decided_at=10)
    assert next_ramp(before, view(0), 20, 15, 24) == before


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(
            st.integers(0, 60),
            st.integers(0, 100),
            st.floats(0, 40),
            st.floats(0.1, 60),
        ),
        max_size=30,
    ),
    st.integers(0, 50),
)
def test_ramp_stays_in_bounds_and_ends_at_zero_when_stale(
    steps: list[tuple[int, int, float, float]],
    cap: int,
) -> None:
    ramp, now = ShiftRamp(), 0.0
    for in_flight, free, age, wait in steps:
        now += wait
        target = TargetView(in_flight, 100, free, age)
        ramp = next_ramp(ramp, target, cap, 15, now)
        assert 0 <= ramp.per_mille <= PER_MILLE
    for _ in range(11):
        now += 16
        ramp = next_ramp(ramp, view(0, age=99), cap, 15, now)
    assert ramp.per_mille == 0


def load(zone: str, slots: int, in_use: int) -> ZoneLoad:
    """Return the load of a zone whose region is before the dash."""
    return ZoneLoad(zone, zone.split('-')[0], slots, in_use)


@pytest.mark.parametrize(
    ('in_use', 'is_safe'),
    [(0, True), (8, True), (9, True), (10, False)],
)
def test_forecast_of_a_drained_zone(in_use: int, is_safe: bool) -> None:
    loads = {'views': [load('w-a', 10, in_use), load('w-b', 10, 0)]}
    found = forecast_drain(loads, {('views', 'w-a'): 10})
    assert [one.is_safe for one in found] == [is_safe]


def test_a_region_without_slots_is_not_safe_even_if_idle() -> None:
    loads = {'views': [load('w-a', 10, 0)]}
    found = forecast_drain(loads, {('views', 'w-a'): 10})
    assert [one.is_safe for one in found] == [False]


@pytest.mark.parametrize(('cap', 'is_safe'), [(4, True), (5, False)])
def test_forecast_of_a_shift(cap: int, is_safe: bool) -> None:
    found = forecast_shift([load('w-a', 10, 5)], 'views', 'w', cap)
    assert [one.is_safe for one in found] == [is_safe]
