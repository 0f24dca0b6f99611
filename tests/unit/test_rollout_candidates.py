"""Keys and upstreams that take part in a test of a version."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wardstair.decisions.ranking import WeightedUpstream, rank
from wardstair.decisions.rollout_candidates import (
    group_under_test,
    is_in_share,
)

KEYS = [f'key-{number}' for number in range(4000)]


@pytest.mark.parametrize('share', [0.0, 0.02, 0.1, 0.5, 0.9, 1.0])
def test_share_of_the_keys_is_as_asked(share: float) -> None:
    found = sum(is_in_share(key, 'web', share) for key in KEYS)
    # Five standard deviations.
    deviation = (share * (1 - share) * len(KEYS)) ** 0.5
    assert abs(found - share * len(KEYS)) <= 5 * deviation


@given(
    key=st.text(),
    shares=st.tuples(st.floats(0, 1), st.floats(0, 1)).map(sorted),
)
def test_rising_share_keeps_its_keys(key: str, shares: list[float]) -> None:
    lower, higher = shares
    if is_in_share(key, 'web', lower):
        assert is_in_share(key, 'web', higher)


def test_services_have_different_keys_in_the_share() -> None:
    web = {key for key in KEYS if is_in_share(key, 'web', 0.1)}
    mail = {key for key in KEYS if is_in_share(key, 'mail', 0.1)}
    assert len(web & mail) < len(web) / 4


def test_keys_in_the_share_are_spread_over_the_old_upstreams() -> None:
    """If they were those of a few upstreams, these would become idle."""
    upstreams = [WeightedUpstream(f'old-{number}', 1) for number in range(5)]
    firsts = [
        rank(key, upstreams)[0] for key in KEYS if is_in_share(key, 'web', 0.1)
    ]
    for upstream in upstreams:
        assert firsts.count(upstream.name) >= len(firsts) / 10


@pytest.mark.parametrize(
    ('new', 'slots', 'share', 'old_slots', 'size'),
    [
        # A tenth of 82 old upstreams.
        (82, 3, 0.1, 82 * 3, 8),
        (82, 3, 0.06, 82 * 3, 5),
        # At least two, if there are two.
        (10, 3, 0.05, 30, 2),
        (1, 3, 0.05, 30, 1),
        (0, 3, 0.05, 30, 0),
        # All of them.
        (10, 3, 1.0, 30, 10),
        (10, 3, 0.5, 600, 10),
        # New upstreams that are larger or smaller than the old ones.
        (40, 6, 0.1, 240, 4),
        (40, 1, 0.1, 240, 24),
        # No old upstream is left to share the load.
        (10, 3, 0.05, 0, 10),
        # Upstreams that cannot be used.
        (10, 0, 0.05, 30, 0),
    ],
)
def test_group_bears_about_the_load_of_old_upstreams(
    new: int,
    slots: int,
    share: float,
    old_slots: int,
    size: int,
) -> None:
    upstreams = {f'new-{number}': slots for number in range(new)}
    assert len(group_under_test(upstreams, share, old_slots)) == size


@pytest.mark.parametrize('lost', range(20))
def test_lost_upstream_is_replaced_and_the_others_stay(lost: int) -> None:
    upstreams = {f'new-{number}': 3 for number in range(20)}
    before = group_under_test(upstreams, 0.3, 60)
    upstreams.pop(f'new-{lost}')
    after = group_under_test(upstreams, 0.3, 60)
    assert len(before) == len(after) == 6
    assert len(before - after) == (f'new-{lost}' in before)


def test_group_does_not_depend_on_order_and_grows_with_the_share() -> None:
    upstreams = {f'new-{number}': 2 + number % 3 for number in range(20)}
    groups = [
        group_under_test(upstreams, share, 60) for share in (0.1, 0.2, 0.4)
    ]
    assert groups[0] < groups[1] < groups[2]
    in_reverse = dict(reversed(upstreams.items()))
    assert group_under_test(in_reverse, 0.2, 60) == groups[1]
