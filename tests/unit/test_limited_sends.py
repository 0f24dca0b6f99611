"""Sends and retry times when upstreams report rate limits."""

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
from wardstair.platform.headers import ReportedLimit
from wardstair.state.limits import LimitTable
from wardstair.state.upstream import Upstream

SECONDS = 30.0
UPSTREAMS = 6
MIN_FRACTION_USED = 0.8


def steady(rate: float) -> Callable[[float], float]:
    return lambda _now: rate


@pytest.mark.parametrize('limit', [0.5, 1.0, 4.0])
def test_limits_are_used_when_all_upstreams_report_one(
    limit: float,
) -> None:
    """The callers send ten times as many requests as the upstreams accept."""
    service = LimitedService([limit] * UPSTREAMS)
    served = service.play(steady(limit * UPSTREAMS * 10), SECONDS)
    good = served.first + served.later
    assert good >= limit * UPSTREAMS * SECONDS * MIN_FRACTION_USED
    for came in served.came.values():
        assert most_in_window(came) <= bound_of(limit).max_per_window


@pytest.mark.parametrize('seed', range(3))
def test_staggered_retries_serve_more_callers_than_a_fixed_wait(
    seed: int,
) -> None:
    """On average 0.70 are served, and 0.66 with a fixed wait of 0.4 s.

    Callers arrive in bursts: 60 a second for two seconds, then 8 for eight.
    """

    def bursts(now: float) -> float:
        return 60.0 if now % 10 < 2 else 8.0

    limits: list[float | None] = [4.0] * UPSTREAMS
    staggered = LimitedService(limits, seed).play(bursts, 40)
    fixed = LimitedService(limits, seed).play(bursts, 40, fixed_wait=0.4)
    assert staggered.refused / staggered.all < fixed.refused / fixed.all


def test_no_caller_is_refused_while_one_upstream_has_no_limit() -> None:
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
    """Return a host with a part of the fleet's load, and an upstream."""
    table = table or LimitTable(Clock())
    upstream = Upstream(replace(ENTRY, zone='a'))
    table.note(upstream, ReportedLimit(rate))
    loads = {'a': 10.0}
    if part < 1:
        loads['b'] = 10.0 / part - 10.0
    view = LoadView('a1', 'a', {'a1': 10.0}, loads, is_settled=True)
    return LimitedSends(table, lambda: view), upstream


@pytest.mark.parametrize(
    ('part', 'wanted', 'drawn'),
    [
        # The host has the load of the whole fleet and sends for no other host.
        pytest.param(1.0, 0, 1.0, id='alone'),
        # The host has a tenth of the load and may use the whole limit.
        pytest.param(0.1, 0, 10.0, id='few callers'),
        pytest.param(0.1, 100, 1.0, id='many callers'),
        pytest.param(0.001, 0, MAX_WEIGHT_FACTOR, id='hardly any callers'),
    ],
)
def test_hosts_that_send_for_others_raise_the_weight(
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
    assert upstream.weight_factor == pytest.approx(drawn)


def test_the_weight_returns_to_one_when_the_limit_ends() -> None:
    clock = Clock()
    table = LimitTable(clock)
    sends, upstream = limited(0.5, 0.1, table)
    assert not sends.may_send(upstream, 1.0)
    assert sends.step([upstream], 10.0)
    assert upstream.weight_factor > 1
    clock.now += 1
    table.note(upstream, None)
    assert sends.may_send(upstream, 11.0)
    assert sends.step([upstream], 20.0)
    assert upstream.weight_factor == 1
    assert not sends.step([upstream], 30.0)


@pytest.mark.parametrize(
    ('rate', 'hosts', 'waits'),
    [
        # Slots are one and a half seconds apart.
        (2.0, 3, [1.5, 3.0, 4.5]),
        (1000.0, 1, [0.001, 0.002, 0.003]),
        # A limit of zero still allows one request in ten seconds.
        (0.0, 1, [10.0, 20.0, MAX_WAIT_SECONDS]),
        (0.0, 1200, [MAX_WAIT_SECONDS] * 3),
    ],
)
def test_each_caller_gets_another_retry_slot(
    rate: float,
    hosts: int,
    waits: list[float],
) -> None:
    sends, upstream = limited(rate, 1.0)
    staggered = [sends.wait([upstream], hosts, 1000.0, 50.0) for _ in waits]
    assert staggered == pytest.approx(waits)


def test_a_caller_that_will_not_wait_takes_no_slot() -> None:
    sends, upstream = limited(1.0, 1.0)
    assert sends.wait([upstream], 1, 2.9, 50.0) == pytest.approx(1.0)
    assert sends.wait([upstream], 1, 3.1, 50.0) == pytest.approx(1.0)
    assert sends.wait([upstream], 1, 9.0, 50.0) == pytest.approx(2.0)
