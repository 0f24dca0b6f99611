"""Evidence against requests: merging, and which requests are held."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wardstair.decisions.suspicion import Evidence, held_requests, merge

INCARNATIONS = st.sampled_from([f'u{number}@1' for number in range(6)])
EVIDENCE = st.builds(
    Evidence,
    st.dictionaries(INCARNATIONS, st.integers(1, 9)),
    st.frozensets(INCARNATIONS),
    st.integers(0, 9),
)
REPORTS = st.lists(st.tuples(st.sampled_from('abc'), EVIDENCE), max_size=8)


def ended(*incarnations: str, answered: tuple[str, ...] = ()) -> Evidence:
    return Evidence(dict.fromkeys(incarnations, 1), frozenset(answered))


def merged(reports: list[tuple[str, Evidence]]) -> dict[str, Evidence]:
    records: dict[str, Evidence] = {}
    for name, evidence in reports:
        records[name] = merge(records.get(name, Evidence()), evidence)
    return records


@given(REPORTS, st.integers(0, 99))
def test_order_and_repetition_of_reports_do_not_matter(
    reports: list[tuple[str, Evidence]],
    seed: int,
) -> None:
    again = reports + reports[: seed % 4]
    Random(seed).shuffle(again)
    records = merged(again)
    assert records == merged(reports)
    assert held_requests(records) == held_requests(merged(reports))


@pytest.mark.parametrize(
    ('records', 'held'),
    [
        pytest.param(
            {'a': ended('1', '2')}, '', id='two exits may be coincidence'
        ),
        pytest.param({'a': ended('1', '2', '3')}, 'a', id='three exits'),
        pytest.param(
            {'a': ended('1', '2', '3', answered=('3',))},
            '',
            id='one of them had answered',
        ),
        pytest.param(
            {'a': ended('1', '2', '3', answered=('4',))},
            '',
            id='another upstream answered',
        ),
        pytest.param(
            {'a': ended('1', '2', '3', '4', answered=('5',))},
            'a',
            id='more exits than an answer offsets',
        ),
        pytest.param(
            {'a': ended(*'123456789', answered=tuple('abcdefghi'))},
            'a',
            id='answers offset at most six exits',
        ),
        pytest.param(
            {'a': ended('1', '2', '3', '4'), 'b': ended('1', '2', '3')},
            'a',
            id='request in another slot',
        ),
        pytest.param(
            {'a': ended('1', '2', '3', '4'), 'b': ended('2', '5', '6', '7')},
            'ab',
            id='two harmful requests with one common exit',
        ),
        pytest.param(
            {'a': ended('1', '2', '3'), 'b': ended('1', '2', '3')},
            'ab',
            id='equal evidence',
        ),
        pytest.param(
            {'a': Evidence(dict.fromkeys('123', 5), lifted_at=5)},
            '',
            id='dismissed by an operator',
        ),
        pytest.param(
            {'a': Evidence({**dict.fromkeys('123', 5), '4': 6}, lifted_at=5)},
            '',
            id='one more exit since',
        ),
    ],
)
def test_held_requests(records: dict[str, Evidence], held: str) -> None:
    assert held_requests(records) == frozenset(held)
