"""How much work stays near, and where the rest goes."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wardstair.decisions.locality import Capacity, levels_of, spare_share

REGIONS = {'a1': 'a', 'a2': 'a', 'b1': 'b', 'b2': 'b', 'c1': 'c', 'c2': 'c'}
EVEN = Capacity(dict.fromkeys(REGIONS, 10), REGIONS)
# As at Palermo: the third region has a twelfth of the upstreams.
UNEVEN = Capacity(
    {'a1': 5, 'a2': 5, 'b1': 6, 'b2': 6, 'c1': 1, 'c2': 1},
    REGIONS,
)


@pytest.mark.parametrize(
    ('capacity', 'zone', 'headroom', 'own', 'region'),
    [
        (EVEN, 'a1', 1.0, 1.0, 0.0),
        (UNEVEN, 'a1', 1.0, 1.0, 0.0),
        (UNEVEN, 'c1', 1.0, 0.25, 0.0),
        (UNEVEN, 'c1', 1.5, 0.375, 0.0),
        # A zone without upstreams uses those of its region.
        (Capacity({'a2': 10, 'b1': 10}, REGIONS), 'a1', 1.0, 0.0, 1.0),
        (Capacity({}, REGIONS), 'a1', 1.0, 0.0, 0.0),
    ],
)
def test_what_stays_near(
    capacity: Capacity,
    zone: str,
    headroom: float,
    own: float,
    region: float,
) -> None:
    levels = levels_of(capacity, zone, headroom)
    assert levels.zone == pytest.approx(own)
    assert levels.region == pytest.approx(region)


slots = st.fixed_dictionaries(
    {zone: st.integers(0, 60) for zone in REGIONS},
)


@given(slots, st.floats(1.0, 2.0))
def test_nothing_nearby_gets_more_than_its_headroom(
    slots_by_zone: dict[str, int],
    headroom: float,
) -> None:
    capacity = Capacity(slots_by_zone, REGIONS)
    for zone in REGIONS:
        levels = levels_of(capacity, zone, headroom)
        assert 0 <= levels.zone <= 1
        assert 0 <= levels.region <= 1 - levels.zone + 1e-9
        relative = capacity.relative(zone)
        assert levels.zone <= relative * headroom + 1e-9
        assert 0 <= spare_share(capacity, zone, headroom) <= 1


@given(slots)
def test_what_is_spare_carries_what_goes_far(
    slots_by_zone: dict[str, int],
) -> None:
    capacity = Capacity(slots_by_zone, REGIONS)
    if not sum(slots_by_zone.values()):
        return
    leaving = sum(1 - levels_of(capacity, zone, 1.0).zone for zone in REGIONS)
    room = sum(
        spare_share(capacity, zone, 1.0) * capacity.relative(zone)
        for zone in REGIONS
    )
    assert room == pytest.approx(leaving, abs=1e-6)
