"""What upstreams name, as a host reads, keeps and hands it on."""

from dataclasses import replace

import pytest
from lib.upstreams import ENTRY, Clock

from wardstair.platform.headers import ToldLimit, decode_upstream
from wardstair.state.limits import (
    REMEMBERED_SECONDS,
    LimitTable,
    SharedLimit,
)
from wardstair.state.upstream import Upstream


def upstream_of(name: str = 'u', born: int = 1) -> Upstream:
    return Upstream(replace(ENTRY, name=name, born=born))


@pytest.mark.parametrize(
    ('text', 'rate'),
    [
        ('4', 4.0),
        ('3.6', 3.6),
        (' .5 ', 0.5),
        ('7.', 7.0),
        ('0', 0.0),
        ('9' * 400, float('inf')),
        ('', None),
        ('soon', None),
        ('nan', None),
        ('inf', None),
        ('-3', None),
        ('+3', None),
        ('1e3', None),
        ('4, 5', None),
        ('1_0', None),
        ('\u0664', None),
    ],
)
def test_a_limit_is_a_decimal_number(text: str, rate: float | None) -> None:
    fields = decode_upstream([('server-LIMIT', text)])
    assert fields.limit == ToldLimit(rate)
    # The caller's side gets it as the upstream wrote it.
    assert fields.passed_on == (('server-LIMIT', text),)


def test_an_answer_without_the_header_names_none() -> None:
    assert decode_upstream([('Content-Length', '3')]).limit is None


@pytest.mark.parametrize(
    ('named', 'rate'),
    [
        ([4.0], 4.0),
        ([4.0, 2.5], 2.5),
        ([4.0, None], None),
        ([4.0, None, 3.0], 3.0),
        # Unreadable: it is still in need, as far as it said before.
        ([4.0, 'unreadable'], 4.0),
        (['unreadable'], None),
        # So much that it binds nobody.
        ([4.0, 1e300], None),
        ([float('inf')], None),
        ([0.0], 0.0),
    ],
)
def test_what_it_named_last_holds(
    named: list[float | str | None],
    rate: float | None,
) -> None:
    clock = Clock()
    table = LimitTable(clock)
    upstream = upstream_of()
    for one in named:
        clock.now += 1
        match one:
            case None:
                table.note(upstream, None)
            case str():
                table.note(upstream, ToldLimit(None))
            case _:
                table.note(upstream, ToldLimit(one))
    assert table.rate_of(upstream) == rate


def test_it_belongs_to_a_life() -> None:
    clock = Clock()
    table = LimitTable(clock)
    table.note(upstream_of(born=1), ToldLimit(4.0))
    assert table.rate_of(upstream_of(born=2)) is None
    table.note(upstream_of(born=2), None)
    table.note(upstream_of(born=2), ToldLimit(7.0))
    # What is told late of the life before.
    clock.now += 1
    table.merge_peer_limits({'u': SharedLimit(1, 4.0, 0.0)}, 'host')
    assert table.rate_of(upstream_of(born=2)) == 7.0


@pytest.mark.parametrize(
    ('age', 'rate'),
    [
        # Another host had an answer before, and one after this host's.
        (5.0, 4.0),
        (1.0, None),
    ],
)
def test_the_last_answer_of_any_host_counts(
    age: float,
    rate: float | None,
) -> None:
    clock = Clock()
    table = LimitTable(clock)
    upstream = upstream_of()
    table.note(upstream, ToldLimit(4.0))
    clock.now += 3
    table.merge_peer_limits({'u': SharedLimit(1, None, age)}, 'host')
    assert table.rate_of(upstream) == rate


def test_hosts_that_told_each_other_know_the_same() -> None:
    clock = Clock()
    one = LimitTable(clock)
    two = LimitTable(clock)
    one.note(upstream_of('a'), ToldLimit(4.0))
    two.note(upstream_of('b'), ToldLimit(2.0))
    clock.now += 1
    two.note(upstream_of('b'), None)
    assert one.digest != two.digest
    two.merge_peer_limits(one.shared, 'one')
    one.merge_peer_limits(two.shared, 'two')
    assert one.digest == two.digest
    before = one.digest
    clock.now += 1
    one.note(upstream_of('a'), ToldLimit(4.0))
    # Only its age is new: nobody has to be told.
    assert one.digest == before


def test_news_are_told_once() -> None:
    table = LimitTable(Clock())
    told: list[None] = []
    table.on_change = lambda: told.append(None)
    clock = table.clock
    assert isinstance(clock, Clock)
    for _ in range(3):
        clock.now += 1
        table.note(upstream_of(), ToldLimit(4.0))
    assert len(told) == 1


def test_what_has_ended_or_gone_is_forgotten_after_a_while() -> None:
    clock = Clock()
    table = LimitTable(clock)
    for name in ('here', 'gone', 'ended'):
        table.note(upstream_of(name), ToldLimit(4.0))
    clock.now += 1
    table.note(upstream_of('ended'), None)
    table.forget({'here', 'ended'})
    assert set(table.rows) == {'here', 'gone', 'ended'}
    clock.now += REMEMBERED_SECONDS + 1
    table.forget({'here', 'ended'})
    assert set(table.rows) == {'here'}
    table.forget(())
    assert not table.rows
    assert table.digest == 0
