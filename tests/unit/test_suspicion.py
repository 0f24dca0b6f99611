"""Evidence against requests: how it adds up, and whom it holds."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wardstair.decisions.suspicion import Evidence, held_requests, merge

LIVES = st.sampled_from([f'u{number}@1' for number in range(6)])
EVIDENCE = st.builds(
    Evidence,
    st.dictionaries(LIVES, st.integers(1, 9)),
    st.frozensets(LIVES),
    st.integers(0, 9),
)
TOLD = st.lists(st.tuples(st.sampled_from('abc'), EVIDENCE), max_size=8)


def ended(*lives: str, answered: tuple[str, ...] = ()) -> Evidence:
    return Evidence(dict.fromkeys(lives, 1), frozenset(answered))


def together(told: list[tuple[str, Evidence]]) -> dict[str, Evidence]:
    records: dict[str, Evidence] = {}
    for name, evidence in told:
        records[name] = merge(records.get(name, Evidence()), evidence)
    return records


@given(TOLD, st.integers(0, 99))
def test_order_and_repetition_make_no_difference(
    told: list[tuple[str, Evidence]],
    seed: int,
) -> None:
    again = told + told[: seed % 4]
    Random(seed).shuffle(again)
    records = together(again)
    assert records == together(told)
    assert held_requests(records) == held_requests(together(told))


@pytest.mark.parametrize(
    ('records', 'held'),
    [
        pytest.param({'a': ended('1', '2')}, '', id='two may happen to anyone'),
        pytest.param({'a': ended('1', '2', '3')}, 'a', id='three'),
        pytest.param(
            {'a': ended('1', '2', '3', answered=('3',))},
            '',
            id='one of them had answered it',
        ),
        pytest.param(
            {'a': ended('1', '2', '3', answered=('4',))},
            '',
            id='another answered it',
        ),
        pytest.param(
            {'a': ended('1', '2', '3', '4', answered=('5',))},
            'a',
            id='more than an answer excuses',
        ),
        pytest.param(
            {'a': ended(*'123456789', answered=tuple('abcdefghi'))},
            'a',
            id='answers excuse six',
        ),
        pytest.param(
            {'a': ended('1', '2', '3', '4'), 'b': ended('1', '2', '3')},
            'a',
            id='the neighbour in another slot',
        ),
        pytest.param(
            {'a': ended('1', '2', '3', '4'), 'b': ended('2', '5', '6', '7')},
            'ab',
            id='two harmful ones that met once',
        ),
        pytest.param(
            {'a': ended('1', '2', '3'), 'b': ended('1', '2', '3')},
            'ab',
            id='nothing tells them apart',
        ),
        pytest.param(
            {'a': Evidence(dict.fromkeys('123', 5), lifted_at=5)},
            '',
            id='set aside by an operator',
        ),
        pytest.param(
            {'a': Evidence({**dict.fromkeys('123', 5), '4': 6}, lifted_at=5)},
            '',
            id='one more since',
        ),
    ],
)
def test_who_is_held(records: dict[str, Evidence], held: str) -> None:
    assert held_requests(records) == frozenset(held)
