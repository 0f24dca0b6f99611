"""Rate limits announced by upstreams: parsing, retention and exchange."""

from dataclasses import replace

import pytest
from lib.upstreams import ENTRY, Clock

from wardstair.platform.headers import ReportedLimit, decode_upstream
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
    assert fields.limit == ReportedLimit(rate)
    # The caller receives the header unchanged.
    assert fields.forwarded_headers == (('server-LIMIT', text),)


def test_an_answer_without_the_header_has_no_limit() -> None:
    assert decode_upstream([('Content-Length', '3')]).limit is None


@pytest.mark.parametrize(
    ('announced', 'rate'),
    [
        ([4.0], 4.0),
        ([4.0, 2.5], 2.5),
        ([4.0, None], None),
        ([4.0, None, 3.0], 3.0),
        # A value that cannot be parsed keeps the previous limit in force.
        ([4.0, 'unreadable'], 4.0),
        (['unreadable'], None),
        # Rates so high that they are no limit.
        ([4.0, 1e300], None),
        ([float('inf')], None),
        ([0.0], 0.0),
    ],
)
def test_the_last_announced_limit_is_in_force(
    announced: list[float | str | None],
    rate: float | None,
) -> None:
    clock = Clock()
    table = LimitTable(clock)
    upstream = upstream_of()
    for one in announced:
        clock.now += 1
        match one:
            case None:
                table.note(upstream, None)
            case str():
                table.note(upstream, ReportedLimit(None))
            case _:
                table.note(upstream, ReportedLimit(one))
    assert table.rate_of(upstream) == rate


def test_a_limit_holds_for_one_incarnation() -> None:
    clock = Clock()
    table = LimitTable(clock)
    table.note(upstream_of(born=1), ReportedLimit(4.0))
    assert table.rate_of(upstream_of(born=2)) is None
    table.note(upstream_of(born=2), None)
    table.note(upstream_of(born=2), ReportedLimit(7.0))
    # A late report about the previous incarnation.
    clock.now += 1
    table.merge_peer_limits({'u': SharedLimit(1, 4.0, 0.0)}, 'host')
    assert table.rate_of(upstream_of(born=2)) == 7.0


@pytest.mark.parametrize(
    ('age', 'rate'),
    [
        # The answer to the other host was before or after that to this host.
        (5.0, 4.0),
        (1.0, None),
    ],
)
def test_the_last_answer_to_any_host_counts(
    age: float,
    rate: float | None,
) -> None:
    clock = Clock()
    table = LimitTable(clock)
    upstream = upstream_of()
    table.note(upstream, ReportedLimit(4.0))
    clock.now += 3
    table.merge_peer_limits({'u': SharedLimit(1, None, age)}, 'host')
    assert table.rate_of(upstream) == rate


def test_hosts_agree_after_an_exchange() -> None:
    clock = Clock()
    one = LimitTable(clock)
    two = LimitTable(clock)
    one.note(upstream_of('a'), ReportedLimit(4.0))
    two.note(upstream_of('b'), ReportedLimit(2.0))
    clock.now += 1
    two.note(upstream_of('b'), None)
    assert one.digest != two.digest
    two.merge_peer_limits(one.shared, 'one')
    one.merge_peer_limits(two.shared, 'two')
    assert one.digest == two.digest
    before = one.digest
    clock.now += 1
    one.note(upstream_of('a'), ReportedLimit(4.0))
    # Only the age has changed, which is not announced.
    assert one.digest == before


def test_a_repeated_limit_is_announced_once() -> None:
    table = LimitTable(Clock())
    calls: list[None] = []
    table.on_change = lambda: calls.append(None)
    clock = table.clock
    assert isinstance(clock, Clock)
    for _ in range(3):
        clock.now += 1
        table.note(upstream_of(), ReportedLimit(4.0))
    assert len(calls) == 1


def test_ended_limits_and_absent_upstreams_are_dropped_after_a_while() -> None:
    clock = Clock()
    table = LimitTable(clock)
    for name in ('here', 'gone', 'ended'):
        table.note(upstream_of(name), ReportedLimit(4.0))
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
