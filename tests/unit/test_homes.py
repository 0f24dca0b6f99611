"""Preferred upstreams: share of local keys, and rebalancing of weights."""

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wardstair.decisions.locality import (
    LocalityTarget,
    RegionShare,
    local_weight_factor,
)
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

LOCAL_TARGET = LocalityTarget(max_kept=0.7, max_relative_load=1.0)


def regions(*parts: tuple[float, float]) -> dict[str, RegionShare]:
    """Return regions with the given shares of the slots and callers."""
    return {str(one): RegionShare(*part) for one, part in enumerate(parts)}


def kept_share(parts: dict[str, RegionShare], region: str) -> float:
    """Return the share of its keys that a region keeps with the factor."""
    slots = parts[region].slots
    near = slots * local_weight_factor(parts, region, LOCAL_TARGET)
    return near / (near + 1 - slots)


def work_of(parts: dict[str, RegionShare], region: str) -> float:
    """Return the share of all work that a region's upstreams get."""
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
        # Many more slots than callers: up to the configured maximum.
        (UNEQUAL, '2', LOCAL_TARGET.max_kept),
        # Slightly more: keys of the other two regions use some of the slots.
        (UNEQUAL, '1', 0.649),
        # All slots are in one region.
        (regions((1.0, THIRD), (0.0, 2 * THIRD)), '0', 1.0),
        (regions((1.0, THIRD), (0.0, 2 * THIRD)), '1', 0.0),
        # No callers: the share of the slots.
        (regions((0.4, 0.0), (0.6, 1.0)), '0', 0.4),
    ],
)
def test_share_of_keys_that_a_region_keeps(
    parts: dict[str, RegionShare],
    region: str,
    kept: float,
) -> None:
    assert kept_share(parts, region) == pytest.approx(kept, abs=0.001)


def test_region_with_few_slots_is_not_overloaded() -> None:
    # With a tenth of the slots and a third of the callers, the keys that the
    # region keeps and those it gets from others lead to the mean utilization.
    assert 0.1 < kept_share(UNEQUAL, '0') < 0.3
    assert work_of(UNEQUAL, '0') == pytest.approx(0.1, rel=0.15)


shares = st.floats(0.05, 1.0)


@given(st.lists(st.tuples(shares, shares), min_size=2, max_size=6))
def test_region_keeps_at_least_its_share_of_the_slots(
    given_parts: list[tuple[float, float]],
) -> None:
    slots = sum(one for one, _ in given_parts)
    callers = sum(one for _, one in given_parts)
    parts = regions(*((a / slots, b / callers) for a, b in given_parts))
    for name, part in parts.items():
        kept = kept_share(parts, name)
        assert (
            part.slots - 1e-9
            <= kept
            <= max(LOCAL_TARGET.max_kept, part.slots) + 1e-9
        )


def test_share_of_local_keys_follows_the_factor() -> None:
    factor = local_weight_factor(UNEQUAL, '2', LOCAL_TARGET)
    places = [WeightedUpstream(f'near {one}', 5 * factor) for one in range(10)]
    places += [WeightedUpstream(f'far {one}', 5) for one in range(10)]
    preferred = Counter(
        rank(f'key {number}', places)[0].split()[0] for number in range(4000)
    )
    assert preferred['near'] / 4000 == pytest.approx(
        LOCAL_TARGET.max_kept, abs=0.03
    )


def utilizations(
    *upstream_states: tuple[float, float],
) -> list[UpstreamUtilization]:
    """Return upstreams with the given utilizations and weights."""
    return [
        UpstreamUtilization(f'u{number}', weight, utilization)
        for number, (utilization, weight) in enumerate(upstream_states)
    ]


@pytest.mark.parametrize(
    ('upstream_states', 'changed'),
    [
        ([], {}),
        # Far above the others: its weight is reduced by one step.
        ([(2.0, 1.0), (0.4, 1.0), (0.4, 1.0)], {'u0': 1 - WEIGHT_STEP}),
        # Above the others, but with spare slots.
        ([(OVERLOADED - 0.1, 1.0), (0.1, 1.0)], {}),
        # The whole service is full, or most runs are cold.
        ([(2.0, 1.0), (1.9, 1.0), (2.1, 1.0)], {}),
        ([(9.0, 1.0), (MAX_MEAN_UTILIZATION, 1.0), (0.1, 1.0)], {}),
        # Not below the minimum weight; raised again far below the mean.
        ([(9.0, MIN_WEIGHT), (0.1, 1.0)], {}),
        ([(0.2, 0.5), (0.6, 1.0)], {'u0': 0.5 / (1 - WEIGHT_STEP)}),
        ([(0.2, 0.95), (0.6, 1.0)], {'u0': 1.0}),
        # About as loaded as the others: the weight is kept.
        ([(0.5, 0.5), (0.6, 1.0)], {}),
    ],
)
def test_only_overloaded_upstreams_lose_weight(
    upstream_states: list[tuple[float, float]],
    changed: dict[str, float],
) -> None:
    assert rebalanced_weights(utilizations(*upstream_states)) == pytest.approx(
        changed
    )


def test_weight_step_moves_few_keys_of_that_upstream_only() -> None:
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
def test_weights_stay_within_their_bounds(
    upstream_states: list[tuple[float, float]],
) -> None:
    upstreams = utilizations(*upstream_states)
    mean = sum(one.utilization for one in upstreams) / (len(upstreams) or 1)
    for name, weight in rebalanced_weights(upstreams).items():
        assert MIN_WEIGHT <= weight <= 1
        (upstream,) = (one for one in upstreams if one.name == name)
        is_reduced = weight < upstream.weight
        assert is_reduced == (
            upstream.utilization > max(OVERLOADED, mean * OVERLOADED_MULTIPLE)
        )
