"""A rate that binds the sum of all hosts, divided without a count in common.

Played: what comes to one upstream that names a limit. Each host draws requests
for it and knows the others as of a second ago.
"""

from collections.abc import Callable
from dataclasses import replace
from random import Random

import pytest
from lib.fleet_load import (
    PlayedFleet,
    PlayedHost,
    bound_of,
    most_in_window,
    steady,
)

from wardstair.decisions.fleet_rate import (
    MAX_SAVED_REQUESTS,
    RATE_FRACTION_USED,
    Allowance,
    LoadView,
    host_share,
)

SECONDS = 30.0
# Requests a second that callers have for the upstream, all hosts together.
WANTED = 16.0
# What of a limit is to be used where callers have enough for it.
USED = 0.8
RATES = (0.1, 0.5, 2.0, 3.6, 10.0, 40.0)


def wanted_by(fleet: PlayedFleet, rate: float, wanted: float = WANTED) -> float:
    """Return what each host that may send has for the upstream."""
    parts = []
    for host in fleet.hosts:
        host.told = host.load
    for host in fleet.hosts:
        fleet.refresh(host)
        parts.append(host_share('u', 'z0', bound_of(rate), host.view))
    load_multiple = max(part.load_multiple for part in parts if part.rate)
    return wanted / len(fleet.hosts) * min(load_multiple, 32)


@pytest.mark.parametrize('rate', RATES)
@pytest.mark.parametrize(
    ('zones', 'hosts_a_zone', 'load'),
    [(6, 2, 33.0), (6, 1, 66.0), (1, 4, 10.0), (9, 21, 4.0)],
)
def test_no_window_has_more_than_is_borne(
    zones: int,
    hosts_a_zone: int,
    load: float,
    rate: float,
) -> None:
    fleet = PlayedFleet.of(zones, hosts_a_zone, load)
    # Far more than it takes, so that each part is used up.
    came = fleet.play(
        lambda _host, _now: 5.0,
        steady(rate),
        12,
        most=5.0,
    )
    assert most_in_window(came) <= bound_of(rate).max_per_window


@pytest.mark.parametrize('rate', [0.5, 2.0, 3.6])
@pytest.mark.parametrize(
    ('zones', 'hosts_a_zone', 'load'),
    [(6, 2, 33.0), (9, 21, 4.0)],
)
def test_a_limit_is_used_where_callers_have_enough(
    zones: int,
    hosts_a_zone: int,
    load: float,
    rate: float,
) -> None:
    fleet = PlayedFleet.of(zones, hosts_a_zone, load)
    wanted = wanted_by(fleet, rate)
    seconds = 100
    came = fleet.play(
        lambda _host, _now: wanted,
        steady(rate),
        seconds,
        most=wanted,
    )
    assert len(came) >= rate * seconds * USED
    assert len(came) <= rate * seconds


@pytest.mark.parametrize('rate', [0.5, 1.0, 25.0])
def test_the_parts_of_the_planned_fleet_make_the_rate(rate: float) -> None:
    """1,178 hosts in 62 zones; a part each would be one in 40 minutes."""
    fleet = PlayedFleet.of(62, 19, 20.0)
    for host in fleet.hosts:
        host.told = host.load
    for host in fleet.hosts:
        fleet.refresh(host)
    bound = bound_of(rate)
    rates = [host_share('u', 'z0', bound, one.view).rate for one in fleet.hosts]
    senders = [one for one in rates if one]
    assert sum(rates) == pytest.approx(rate * RATE_FRACTION_USED)
    assert 0 < len(senders) <= bound.senders
    # Each may have saved up a request, and one may be held up on the way.
    most = rate * RATE_FRACTION_USED * bound.window + len(senders) * (
        MAX_SAVED_REQUESTS + 0.5
    )
    assert most <= bound.max_per_window


@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('rate', [0.5, 3.6, 20.0])
@pytest.mark.parametrize('kind', ['zones in turn', 'one zone', 'by chance'])
def test_parts_that_follow_the_load_stay_within_what_is_borne(
    kind: str,
    rate: float,
    seed: int,
) -> None:
    """Callers come and go by hosts and zones every few seconds."""
    fleet = PlayedFleet.of(6, 2, 33.0, seed)

    def is_loaded(host: PlayedHost, now: float) -> bool:
        zone = int(host.zone[1:])
        match kind:
            case 'zones in turn':
                return (int(now / 5) + zone) % 2 == 0
            case 'one zone':
                return int(now / 5) % 6 == zone
            case _:
                drawn = Random(f'{seed}{host.name}{int(now / 3)}').random()
                return drawn < 0.5

    def wanted(host: PlayedHost, now: float) -> float:
        target = 66.0 if is_loaded(host, now) else 0.0
        # What a host tells follows its callers within some seconds.
        host.load += (target - host.load) * 0.02
        return 8.0 if target else 0.0

    came = fleet.play(wanted, steady(rate), SECONDS)
    assert most_in_window(came) <= bound_of(rate).max_per_window


def other_half(one: PlayedHost, other: PlayedHost) -> bool:
    return (int(one.zone[1:]) < 3) == (int(other.zone[1:]) < 3)


def same_number(one: PlayedHost, other: PlayedHost) -> bool:
    return one.name[-1] == other.name[-1]


def nobody(one: PlayedHost, other: PlayedHost) -> bool:
    return one is other


@pytest.mark.parametrize('rate', [2.0, 3.6, 10.0, 40.0])
@pytest.mark.parametrize(
    'hears',
    [
        pytest.param(other_half, id='two halves by zones'),
        pytest.param(same_number, id='two halves in each zone'),
        pytest.param(nobody, id='each host alone'),
    ],
)
def test_hosts_that_are_cut_off_from_each_other_keep_their_part(
    hears: Callable[[PlayedHost, PlayedHost], bool],
    rate: float,
) -> None:
    fleet = PlayedFleet.of(6, 2, 33.0)
    fleet.hears = hears
    came = fleet.play(lambda _host, _now: 20.0, steady(rate), SECONDS)
    assert most_in_window(came) <= bound_of(rate).max_per_window


def other_third(one: PlayedHost, other: PlayedHost) -> bool:
    return int(one.zone[1:]) // 3 == int(other.zone[1:]) // 3


def all_but_every_tenth(one: PlayedHost, other: PlayedHost) -> bool:
    """Return whether a host hears another; some hear nobody, nor are heard."""
    numbers = (one.name, other.name)
    return one is other or not any(name.endswith('0') for name in numbers)


@pytest.mark.parametrize('rate', [0.5, 3.6, 20.0])
@pytest.mark.parametrize(
    'hears',
    [
        pytest.param(other_third, id='three parts by zones'),
        pytest.param(same_number, id='ten parts in each zone'),
        pytest.param(all_but_every_tenth, id='some cut off from all'),
    ],
)
def test_a_large_fleet_whose_views_differ_keeps_its_part(
    hears: Callable[[PlayedHost, PlayedHost], bool],
    rate: float,
) -> None:
    """198 hosts; each is told up to 1.5 s late, and loads swing meanwhile."""
    fleet = PlayedFleet.of(9, 22, 4.0)
    fleet.hears = hears
    random = Random(1)
    for host in fleet.hosts:
        host.knows_at = random.uniform(0, 1.5)

    def wanted(host: PlayedHost, now: float) -> float:
        is_loaded = (int(now / 5) + int(host.zone[1:])) % 2 == 0
        host.load += ((8.0 if is_loaded else 0.0) - host.load) * 0.02
        return 1.0

    came = fleet.play(wanted, steady(rate), SECONDS, most=1.0)
    late = [at for at in came if at >= 4]
    assert most_in_window(late) <= bound_of(rate).max_per_window


@pytest.mark.parametrize('rate', [0.5, 3.6, 10.0])
def test_hosts_that_are_told_late_take_no_request_beside_the_others(
    rate: float,
) -> None:
    """Up to 1.5 s late; counted from four seconds after it was first named."""
    for seed in range(4):
        fleet = PlayedFleet.of(6, 2, 33.0, seed)
        random = Random(seed)
        for host in fleet.hosts:
            host.knows_at = random.uniform(0, 1.5)
        came = fleet.play(lambda _host, _now: 2.0, steady(rate), SECONDS)
        late = [at for at in came if at >= 4]
        assert most_in_window(late) <= bound_of(rate).max_per_window


def test_a_limit_that_falls_binds_from_then_on() -> None:
    high = bound_of(20.0)
    low = bound_of(2.0)
    fleet = PlayedFleet.of(6, 2, 33.0)
    came = fleet.play(
        lambda _host, _now: 5.0,
        lambda now: high if now < 10 else low,
        SECONDS,
    )
    after = [at for at in came if at >= 10.1]
    assert most_in_window(after) <= low.max_per_window


@pytest.mark.parametrize(
    ('changes', 'senders'),
    [
        pytest.param({}, {'a1', 'a2'}, id='own zone'),
        # A host that cannot know the others sends nothing.
        pytest.param({'is_settled': False}, set(), id='just started'),
        pytest.param({'own': 'x'}, set(), id='about to stop'),
        # Nobody of the upstream's own zone has callers.
        pytest.param({'zone': 'b', 'hosts': {'a1': 0, 'a2': 0}}, set(), id='b'),
    ],
)
def test_who_may_send(changes: dict[str, object], senders: set[str]) -> None:
    view = LoadView(
        'a1',
        'a',
        {'a1': 5.0, 'a2': 5.0},
        {'a': 10.0, 'b': 10.0, 'c': 10.0},
        {'a': 'r', 'b': 'r', 'c': 's'},
        is_settled=True,
    )
    found = {
        own
        for own in ('a1', 'a2')
        if host_share(
            'u',
            'a',
            bound_of(0.5),
            replace(replace(view, own=own), **changes),  # type: ignore[arg-type]
        ).rate
    }
    assert found == senders


def test_a_zone_without_callers_is_passed_over_for_the_next_of_its_region() -> (
    None
):
    view = LoadView(
        'b1',
        'b',
        {'b1': 5.0},
        {'a': 0.0, 'b': 5.0, 'c': 50.0},
        {'a': 'r', 'b': 'r', 'c': 's'},
        is_settled=True,
    )
    part = host_share('u', 'a', bound_of(0.5), view)
    assert part.rate == pytest.approx(0.5 * RATE_FRACTION_USED)
    assert part.load_multiple == pytest.approx(55.5 / 5)


def test_what_is_saved_up_is_bounded_and_begins_with_nothing() -> None:
    allowance = Allowance()
    assert not allowance.is_due(1.0, 0.0)
    assert not allowance.is_due(1.0, 0.9)
    assert allowance.is_due(1.0, 1.0)
    allowance.take()
    assert not allowance.is_due(1.0, 1.5)
    # Hours later it has one request and a half.
    assert allowance.is_due(1.0, 9000.0)
    allowance.take()
    assert not allowance.is_due(1.0, 9000.4)
    assert allowance.is_due(1.0, 9000.5)
    # A part that has passed to another host allows nothing.
    assert not allowance.is_due(0.0, 9999.0)
