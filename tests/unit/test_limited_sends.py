"""What callers get of upstreams that name limits, and whose keys move."""

from collections.abc import Callable
from dataclasses import replace

import pytest
from lib.fleet_load import bound_of, most_in_window
from lib.limited_service import LimitedService
from lib.upstreams import ENTRY, Clock

from wardstair.decisions.fleet_rate import LoadView
from wardstair.gateway.limited_sends import (
    MAX_WAIT_SECONDS,
    MAX_WEIGHT_FACTOR,
    LimitedSends,
)
from wardstair.platform.headers import ToldLimit
from wardstair.state.limits import LimitTable
from wardstair.state.upstream import Upstream

SECONDS = 30.0
UPSTREAMS = 6
USED = 0.8


def steady(rate: float) -> Callable[[float], float]:
    return lambda _now: rate


@pytest.mark.parametrize('limit', [0.5, 1.0, 4.0])
def test_callers_get_what_upstreams_take_when_all_name_a_limit(
    limit: float,
) -> None:
    """Ten times what they take is asked for."""
    service = LimitedService([limit] * UPSTREAMS)
    served = service.play(steady(limit * UPSTREAMS * 10), SECONDS)
    good = served.first + served.later
    assert good >= limit * UPSTREAMS * SECONDS * USED
    for came in served.came.values():
        assert most_in_window(came) <= bound_of(limit).borne


@pytest.mark.parametrize('seed', range(3))
def test_callers_that_are_told_places_are_served_more_often(seed: int) -> None:
    """0.70 of them, and 0.66 of those that are all told 0.4 s, on average.

    Callers come in bursts: 60 a second for two seconds, then 8 for eight.
    """

    def bursts(now: float) -> float:
        return 60.0 if now % 10 < 2 else 8.0

    limits: list[float | None] = [4.0] * UPSTREAMS
    told = LimitedService(limits, seed).play(bursts, 40)
    same = LimitedService(limits, seed).play(bursts, 40, fixed_wait=0.4)
    assert told.refused / told.all < same.refused / same.all


def test_nobody_is_refused_while_one_upstream_names_no_limit() -> None:
    limits: list[float | None] = [0.5] * (UPSTREAMS - 1)
    service = LimitedService([*limits, None])
    served = service.play(steady(30.0), SECONDS)
    assert served.refused == 0
    assert served.first == served.all


def limited(
    rate: float,
    part: float,
    table: LimitTable | None = None,
) -> tuple[LimitedSends, Upstream]:
    """Return a host with a part of the fleet's callers, and an upstream."""
    table = table or LimitTable(Clock())
    upstream = Upstream(replace(ENTRY, zone='a'))
    table.note(upstream, ToldLimit(rate))
    loads = {'a': 10.0}
    if part < 1:
        loads['b'] = 10.0 / part - 10.0
    view = LoadView('a1', 'a', {'a1': 10.0}, loads, is_settled=True)
    return LimitedSends(table, lambda: view), upstream


@pytest.mark.parametrize(
    ('part', 'wanted', 'drawn'),
    [
        # It has all callers of the fleet: none to stand for.
        pytest.param(1.0, 0, 1.0, id='alone'),
        # A tenth of the callers, and the whole of the limit.
        pytest.param(0.1, 0, 10.0, id='few callers'),
        pytest.param(0.1, 100, 1.0, id='many callers'),
        pytest.param(0.001, 0, MAX_WEIGHT_FACTOR, id='hardly any callers'),
    ],
)
def test_keys_are_drawn_to_hosts_that_send_for_others(
    part: float,
    wanted: int,
    drawn: float,
) -> None:
    sends, upstream = limited(0.5, part)
    now = 100.0
    assert not sends.may_send(upstream, now)
    for _ in range(20):
        now += 2.0
        for _ in range(wanted):
            sends.note_first_choice(upstream)
        sends.step([upstream], now)
    assert upstream.drawn == pytest.approx(drawn)


def test_keys_go_back_when_the_limit_ends() -> None:
    clock = Clock()
    table = LimitTable(clock)
    sends, upstream = limited(0.5, 0.1, table)
    assert not sends.may_send(upstream, 1.0)
    assert sends.step([upstream], 10.0)
    assert upstream.drawn > 1
    clock.now += 1
    table.note(upstream, None)
    assert sends.may_send(upstream, 11.0)
    assert sends.step([upstream], 20.0)
    assert upstream.drawn == 1
    assert not sends.step([upstream], 30.0)


@pytest.mark.parametrize(
    ('rate', 'hosts', 'waits'),
    [
        # Each next one gets the next place, a second and a half further on.
        (2.0, 3, [1.5, 3.0, 4.5]),
        (1000.0, 1, [0.001, 0.002, 0.003]),
        # Named zero: it is asked once in ten seconds.
        (0.0, 1, [10.0, 20.0, MAX_WAIT_SECONDS]),
        (0.0, 1200, [MAX_WAIT_SECONDS] * 3),
    ],
)
def test_each_caller_is_told_another_place(
    rate: float,
    hosts: int,
    waits: list[float],
) -> None:
    sends, upstream = limited(rate, 1.0)
    told = [sends.wait([upstream], hosts, 1000.0, 50.0) for _ in waits]
    assert told == pytest.approx(waits)


def test_a_caller_that_will_not_wait_takes_no_place() -> None:
    sends, upstream = limited(1.0, 1.0)
    assert sends.wait([upstream], 1, 2.9, 50.0) == pytest.approx(1.0)
    assert sends.wait([upstream], 1, 3.1, 50.0) == pytest.approx(1.0)
    assert sends.wait([upstream], 1, 9.0, 50.0) == pytest.approx(2.0)
