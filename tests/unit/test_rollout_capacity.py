"""Tests of the estimate of what a new version can bear."""

import pytest

from wardstair.decisions.rollout_capacity import VersionCapacity, bearable_share

OLD = VersionCapacity(slots=40)


@pytest.mark.parametrize(
    ('new', 'rate', 'least', 'most'),
    [
        pytest.param(VersionCapacity(), 100, 0, 0, id='none'),
        pytest.param(VersionCapacity(), 0, 0, 0, id='none-without-load'),
        pytest.param(VersionCapacity(slots=40), 100, 1, 1, id='as-many-slots'),
        pytest.param(VersionCapacity(slots=40), 9000, 1, 1, id='overload'),
        pytest.param(VersionCapacity(slots=4), 80, 0.4, 0.5, id='few-slots'),
        pytest.param(VersionCapacity(slots=4), 10, 1, 1, id='little-load'),
        pytest.param(VersionCapacity(cold=10), 500, 0.05, 0.2, id='all-cold'),
        pytest.param(VersionCapacity(slots=1), 0, 1, 1, id='no-load'),
    ],
)
def test_the_share_follows_slots_and_cold_rates(
    new: VersionCapacity, rate: float, least: float, most: float
) -> None:
    share = bearable_share(new, OLD, rate=rate, work_seconds=0.1, cold_rate=10)
    assert least <= share <= most
