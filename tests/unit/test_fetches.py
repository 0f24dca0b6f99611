"""Choice of the hosts that are queried for missing state."""

import pytest

from wardstair.decisions.fetches import host_to_query, is_any_overdue


@pytest.mark.parametrize(
    ('heard', 'asked', 'expected'),
    [
        pytest.param([], [], None, id='no host is ahead'),
        pytest.param(['a', 'b'], [], 'b', id='most recently heard'),
        pytest.param(
            ['a', 'b'], ['b'], 'a', id='not queried twice in parallel'
        ),
        pytest.param(['b'], ['b'], None, id='the only host is being queried'),
        pytest.param(
            ['a', 'b'], ['c', 'd'], 'b', id='other hosts do not answer'
        ),
        pytest.param(
            ['a'], ['b', 'c', 'd'], None, id='maximum of parallel queries'
        ),
    ],
)
def test_the_host_that_is_queried(
    heard: list[str],
    asked: list[str],
    expected: str | None,
) -> None:
    assert host_to_query(heard, asked, 3) == expected


@pytest.mark.parametrize(
    ('late_at', 'is_overdue'),
    [
        pytest.param([], False, id='no host was queried'),
        pytest.param([5.1], False, id='not yet overdue'),
        pytest.param([5.0], True, id='overdue'),
        pytest.param([5.1, 4.0], True, id='one of two overdue'),
    ],
)
def test_an_overdue_answer_is_detected(
    late_at: list[float],
    *,
    is_overdue: bool,
) -> None:
    assert is_any_overdue(late_at, 5.0) is is_overdue
