"""Which host is asked for what another lacks."""

import pytest

from wardstair.decisions.fetches import host_to_query, is_any_overdue


@pytest.mark.parametrize(
    ('heard', 'asked', 'expected'),
    [
        pytest.param([], [], None, id='none is ahead'),
        pytest.param(['a', 'b'], [], 'b', id='the last one heard'),
        pytest.param(['a', 'b'], ['b'], 'a', id='never one twice at once'),
        pytest.param(['b'], ['b'], None, id='the only one is being asked'),
        pytest.param(['a', 'b'], ['c', 'd'], 'b', id='others do not answer'),
        pytest.param(['a'], ['b', 'c', 'd'], None, id='as many as may be'),
    ],
)
def test_the_host_that_is_asked(
    heard: list[str],
    asked: list[str],
    expected: str | None,
) -> None:
    assert host_to_query(heard, asked, 3) == expected


@pytest.mark.parametrize(
    ('late_at', 'is_late'),
    [
        pytest.param([], False, id='none was asked'),
        pytest.param([5.1], False, id='it has time left'),
        pytest.param([5.0], True, id='its time is over'),
        pytest.param([5.1, 4.0], True, id='one of two'),
    ],
)
def test_a_host_that_should_have_answered(
    late_at: list[float],
    *,
    is_late: bool,
) -> None:
    assert is_any_overdue(late_at, 5.0) is is_late
