"""Homes of keys: near ones as far as slots go, and relief of crowded ones."""

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wardstair.decisions.locality import Kept, RegionPart, near_factor
from wardstair.decisions.ranking import WeightedUpstream, rank
from wardstair.decisions.rebalancing import (
    MAX_MEAN_UTILIZATION,
    MIN_WEIGHT,
    OVERLOADED,
    OVERLOADED_MULTIPLE,
    WEIGHT_STEP,
    UpstreamUtilization,
    rebalanced_weights,
)

WANTED = Kept(most=0.7, fullness=1.0)


def regions(*parts: tuple[float, float]) -> dict[str, RegionPart]:
    """Return regions with these parts of the slots and of the callers."""
    return {str(one): RegionPart(*part) for one, part in enumerate(parts)}


def kept_share(parts: dict[str, RegionPart], region: str) -> float:
    """Return which part of its keys a region keeps with the factor."""
    slots = parts[region].slots
    near = slots * near_factor(parts, region, WANTED)
    return near / (near + 1 - slots)


def work_of(parts: dict[str, RegionPart], region: str) -> float:
    """Return the part of all work that a region's upstreams get."""
    own = kept_share(parts, region) * parts[region].callers
    others = sum(
        (1 - kept_share(parts, name))
        * part.callers
        * parts[region].slots
        / (1 - part.slots)
        for name, part in parts.items()
        if name != region and part.slots < 1
    )
    return own + others


THIRD = 1 / 3
UNEQUAL = regions((0.1, THIRD), (0.4, THIRD), (0.5, THIRD))


@pytest.mark.parametrize(
    ('parts', 'region', 'kept'),
    [
        # Many more slots than callers: as much as is wanted.
        (UNEQUAL, '2', WANTED.most),
        # A few more: what the two others send here takes some of them.
        (UNEQUAL, '1', 0.649),
        # Nothing to choose from.
        (regions((1.0, THIRD), (0.0, 2 * THIRD)), '0', 1.0),
        (regions((1.0, THIRD), (0.0, 2 * THIRD)), '1', 0.0),
        # No callers: the plain share.
        (regions((0.4, 0.0), (0.6, 1.0)), '0', 0.4),
    ],
)
def test_how_many_keys_a_region_keeps(
    parts: dict[str, RegionPart],
    region: str,
    kept: float,
) -> None:
    assert kept_share(parts, region) == pytest.approx(kept, abs=0.001)


def test_a_region_with_few_slots_gets_no_more_than_these_carry() -> None:
    # A tenth of the slots for a third of the callers: what it keeps, and what
    # the others send it, fill it as much as the mean.
    assert 0.1 < kept_share(UNEQUAL, '0') < 0.3
    assert work_of(UNEQUAL, '0') == pytest.approx(0.1, rel=0.15)


shares = st.floats(0.05, 1.0)


@given(st.lists(st.tuples(shares, shares), min_size=2, max_size=6))
def test_no_region_keeps_less_than_by_its_slots_alone(
    given_parts: list[tuple[float, float]],
) -> None:
    slots = sum(one for one, _ in given_parts)
    callers = sum(one for _, one in given_parts)
    parts = regions(*((a / slots, b / callers) for a, b in given_parts))
    for name, part in parts.items():
        kept = kept_share(parts, name)
        assert part.slots - 1e-9 <= kept <= max(WANTED.most, part.slots) + 1e-9


def test_keys_fall_on_a_region_as_the_factor_says() -> None:
    factor = near_factor(UNEQUAL, '2', WANTED)
    places = [WeightedUpstream(f'near {one}', 5 * factor) for one in range(10)]
    places += [WeightedUpstream(f'far {one}', 5) for one in range(10)]
    homes = Counter(
        rank(f'key {number}', places)[0].split()[0] for number in range(4000)
    )
    assert homes['near'] / 4000 == pytest.approx(WANTED.most, abs=0.03)


def crowds(*given_ones: tuple[float, float]) -> list[UpstreamUtilization]:
    """Return upstreams with these crowdings and weights."""
    return [
        UpstreamUtilization(f'u{number}', weight, crowding)
        for number, (crowding, weight) in enumerate(given_ones)
    ]


@pytest.mark.parametrize(
    ('given_ones', 'changed'),
    [
        ([], {}),
        # One far above the others sheds a step of its keys.
        ([(2.0, 1.0), (0.4, 1.0), (0.4, 1.0)], {'u0': 1 - WEIGHT_STEP}),
        # Above the others, but with slots to spare.
        ([(OVERLOADED - 0.1, 1.0), (0.1, 1.0)], {}),
        # The service is full as a whole, or most keys run first.
        ([(2.0, 1.0), (1.9, 1.0), (2.1, 1.0)], {}),
        ([(9.0, 1.0), (MAX_MEAN_UTILIZATION, 1.0), (0.1, 1.0)], {}),
        # Never below the least, and back when it is emptier than the mean.
        ([(9.0, MIN_WEIGHT), (0.1, 1.0)], {}),
        ([(0.2, 0.5), (0.6, 1.0)], {'u0': 0.5 / (1 - WEIGHT_STEP)}),
        ([(0.2, 0.95), (0.6, 1.0)], {'u0': 1.0}),
        # As full as the others: it keeps what it has.
        ([(0.5, 0.5), (0.6, 1.0)], {}),
    ],
)
def test_only_what_is_more_crowded_than_its_like_sheds_keys(
    given_ones: list[tuple[float, float]],
    changed: dict[str, float],
) -> None:
    assert rebalanced_weights(crowds(*given_ones)) == pytest.approx(changed)


def test_a_step_moves_few_keys_and_only_from_the_crowded_one() -> None:
    before = [WeightedUpstream(f'u{one}', 1.0) for one in range(12)]
    after = [WeightedUpstream('u0', 1 - WEIGHT_STEP), *before[1:]]
    keys = [f'key {number}' for number in range(6000)]
    moved = [
        (rank(key, before)[0], rank(key, after)[0])
        for key in keys
        if rank(key, before)[0] != rank(key, after)[0]
    ]
    assert {old for old, _ in moved} == {'u0'}
    assert len(moved) < 6000 / 12 * WEIGHT_STEP * 1.5


@given(st.lists(st.tuples(st.floats(0, 9), st.floats(MIN_WEIGHT, 1))))
def test_weights_stay_in_their_bounds(
    given_ones: list[tuple[float, float]],
) -> None:
    given_crowds = crowds(*given_ones)
    mean = sum(one.utilization for one in given_crowds) / (
        len(given_crowds) or 1
    )
    for name, weight in rebalanced_weights(given_crowds).items():
        assert MIN_WEIGHT <= weight <= 1
        (crowd,) = (one for one in given_crowds if one.name == name)
        sheds = weight < crowd.weight
        assert sheds == (
            crowd.utilization > max(OVERLOADED, mean * OVERLOADED_MULTIPLE)
        )
