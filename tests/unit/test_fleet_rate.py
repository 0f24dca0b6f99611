"""Division of a fleet's rate limit among hosts that share no count.

A simulation of the requests that arrive at one limited upstream: each host
draws requests at random and knows the load of the others with a delay of about
a second.
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
# Requests per second for the upstream, summed over all hosts.
WANTED = 16.0
# Fraction of a limit that must be used if there are enough requests.
USED = 0.8
RATES = (0.1, 0.5, 2.0, 3.6, 10.0, 40.0)


def wanted_by(fleet: PlayedFleet, rate: float, wanted: float = WANTED) -> float:
    """Return the requests per second for the upstream at each sending host."""
    shares = []
    for host in fleet.hosts:
        host.told = host.load
    for host in fleet.hosts:
        fleet.refresh(host)
        shares.append(host_share('u', 'z0', bound_of(rate), host.view))
    load_multiple = max(share.load_multiple for share in shares if share.rate)
    return wanted / len(fleet.hosts) * min(load_multiple, 32)


@pytest.mark.parametrize('rate', RATES)
@pytest.mark.parametrize(
    ('zones', 'hosts_a_zone', 'load'),
    [(6, 2, 33.0), (6, 1, 66.0), (1, 4, 10.0), (9, 21, 4.0)],
)
def test_no_window_exceeds_its_maximum(
    zones: int,
    hosts_a_zone: int,
    load: float,
    rate: float,
) -> None:
    fleet = PlayedFleet.of(zones, hosts_a_zone, load)
    # Far more requests than the limit, so that each share is used up.
    arrivals = fleet.play(
        lambda _host, _now: 5.0,
        steady(rate),
        12,
        most=5.0,
    )
    assert most_in_window(arrivals) <= bound_of(rate).max_per_window


@pytest.mark.parametrize('rate', [0.5, 2.0, 3.6])
@pytest.mark.parametrize(
    ('zones', 'hosts_a_zone', 'load'),
    [(6, 2, 33.0), (9, 21, 4.0)],
)
def test_most_of_a_limit_is_used_if_there_are_enough_requests(
    zones: int,
    hosts_a_zone: int,
    load: float,
    rate: float,
) -> None:
    fleet = PlayedFleet.of(zones, hosts_a_zone, load)
    wanted = wanted_by(fleet, rate)
    seconds = 100
    arrivals = fleet.play(
        lambda _host, _now: wanted,
        steady(rate),
        seconds,
        most=wanted,
    )
    assert len(arrivals) >= rate * seconds * USED
    assert len(arrivals) <= rate * seconds


@pytest.mark.parametrize('rate', [0.5, 1.0, 25.0])
def test_the_shares_of_a_large_fleet_add_up_to_the_rate(rate: float) -> None:
    """1,178 hosts in 62 zones, about the largest planned fleet."""
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
    # Each sender may have saved requests, and one may arrive with a delay.
    most = rate * RATE_FRACTION_USED * bound.window + len(senders) * (
        MAX_SAVED_REQUESTS + 0.5
    )
    assert most <= bound.max_per_window


@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('rate', [0.5, 3.6, 20.0])
@pytest.mark.parametrize(
    'kind', ['alternating zones', 'one zone', 'random hosts']
)
def test_shares_that_follow_the_load_keep_windows_within_the_maximum(
    kind: str,
    rate: float,
    seed: int,
) -> None:
    """The callers of hosts and zones change every few seconds."""
    fleet = PlayedFleet.of(6, 2, 33.0, seed)

    def is_loaded(host: PlayedHost, now: float) -> bool:
        zone = int(host.zone[1:])
        match kind:
            case 'alternating zones':
                return (int(now / 5) + zone) % 2 == 0
            case 'one zone':
                return int(now / 5) % 6 == zone
            case _:
                drawn = Random(f'{seed}{host.name}{int(now / 3)}').random()
                return drawn < 0.5

    def wanted(host: PlayedHost, now: float) -> float:
        target = 66.0 if is_loaded(host, now) else 0.0
        # The reported load follows the callers with a delay of some seconds.
        host.load += (target - host.load) * 0.02
        return 8.0 if target else 0.0

    arrivals = fleet.play(wanted, steady(rate), SECONDS)
    assert most_in_window(arrivals) <= bound_of(rate).max_per_window


def in_same_half(one: PlayedHost, other: PlayedHost) -> bool:
    return (int(one.zone[1:]) < 3) == (int(other.zone[1:]) < 3)


def same_number(one: PlayedHost, other: PlayedHost) -> bool:
    return one.name[-1] == other.name[-1]


def is_same_host(one: PlayedHost, other: PlayedHost) -> bool:
    return one is other


@pytest.mark.parametrize('rate', [2.0, 3.6, 10.0, 40.0])
@pytest.mark.parametrize(
    'hears',
    [
        pytest.param(in_same_half, id='two halves by zones'),
        pytest.param(same_number, id='two halves in each zone'),
        pytest.param(is_same_host, id='each host isolated'),
    ],
)
def test_partitioned_hosts_stay_within_the_limit(
    hears: Callable[[PlayedHost, PlayedHost], bool],
    rate: float,
) -> None:
    fleet = PlayedFleet.of(6, 2, 33.0)
    fleet.hears = hears
    arrivals = fleet.play(lambda _host, _now: 20.0, steady(rate), SECONDS)
    assert most_in_window(arrivals) <= bound_of(rate).max_per_window


def in_same_third(one: PlayedHost, other: PlayedHost) -> bool:
    return int(one.zone[1:]) // 3 == int(other.zone[1:]) // 3


def are_both_connected(one: PlayedHost, other: PlayedHost) -> bool:
    """Return whether a host hears another; every tenth host is isolated."""
    numbers = (one.name, other.name)
    return one is other or not any(name.endswith('0') for name in numbers)


@pytest.mark.parametrize('rate', [0.5, 3.6, 20.0])
@pytest.mark.parametrize(
    'hears',
    [
        pytest.param(in_same_third, id='three parts by zones'),
        pytest.param(same_number, id='ten parts in each zone'),
        pytest.param(are_both_connected, id='every tenth host isolated'),
    ],
)
def test_a_large_partitioned_fleet_stays_within_the_limit(
    hears: Callable[[PlayedHost, PlayedHost], bool],
    rate: float,
) -> None:
    """198 hosts that learn the limit up to 1.5 s late, under changing load."""
    fleet = PlayedFleet.of(9, 22, 4.0)
    fleet.hears = hears
    random = Random(1)
    for host in fleet.hosts:
        host.knows_at = random.uniform(0, 1.5)

    def wanted(host: PlayedHost, now: float) -> float:
        is_loaded = (int(now / 5) + int(host.zone[1:])) % 2 == 0
        host.load += ((8.0 if is_loaded else 0.0) - host.load) * 0.02
        return 1.0

    arrivals = fleet.play(wanted, steady(rate), SECONDS, most=1.0)
    late = [at for at in arrivals if at >= 4]
    assert most_in_window(late) <= bound_of(rate).max_per_window


@pytest.mark.parametrize('rate', [0.5, 3.6, 10.0])
def test_hosts_that_learn_the_limit_late_stay_within_it(
    rate: float,
) -> None:
    """Up to 1.5 s late; counts from 4 s after the limit was first sent."""
    for seed in range(4):
        fleet = PlayedFleet.of(6, 2, 33.0, seed)
        random = Random(seed)
        for host in fleet.hosts:
            host.knows_at = random.uniform(0, 1.5)
        arrivals = fleet.play(lambda _host, _now: 2.0, steady(rate), SECONDS)
        late = [at for at in arrivals if at >= 4]
        assert most_in_window(late) <= bound_of(rate).max_per_window


def test_a_lowered_limit_takes_effect_immediately() -> None:
    high = bound_of(20.0)
    low = bound_of(2.0)
    fleet = PlayedFleet.of(6, 2, 33.0)
    arrivals = fleet.play(
        lambda _host, _now: 5.0,
        lambda now: high if now < 10 else low,
        SECONDS,
    )
    after = [at for at in arrivals if at >= 10.1]
    assert most_in_window(after) <= low.max_per_window


@pytest.mark.parametrize(
    ('changes', 'senders'),
    [
        pytest.param({}, {'a1', 'a2'}, id='own zone'),
        # A host that may not know all others yet sends nothing.
        pytest.param({'is_settled': False}, set(), id='just started'),
        pytest.param({'own': 'x'}, set(), id='not among the hosts'),
        # No host of the upstream's own zone has callers.
        pytest.param(
            {'zone': 'b', 'hosts': {'a1': 0, 'a2': 0}},
            set(),
            id='zone without load',
        ),
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


def test_a_zone_without_load_is_replaced_by_the_next_of_its_region() -> None:
    view = LoadView(
        'b1',
        'b',
        {'b1': 5.0},
        {'a': 0.0, 'b': 5.0, 'c': 50.0},
        {'a': 'r', 'b': 'r', 'c': 's'},
        is_settled=True,
    )
    share = host_share('u', 'a', bound_of(0.5), view)
    assert share.rate == pytest.approx(0.5 * RATE_FRACTION_USED)
    assert share.load_multiple == pytest.approx(55.5 / 5)


def test_an_allowance_starts_empty_and_saves_a_bounded_number() -> None:
    allowance = Allowance()
    assert not allowance.is_due(1.0, 0.0)
    assert not allowance.is_due(1.0, 0.9)
    assert allowance.is_due(1.0, 1.0)
    allowance.take()
    assert not allowance.is_due(1.0, 1.5)
    # Hours later it has saved one and a half requests.
    assert allowance.is_due(1.0, 9000.0)
    allowance.take()
    assert not allowance.is_due(1.0, 9000.4)
    assert allowance.is_due(1.0, 9000.5)
    # Without a share, saved requests may not be sent.
    assert not allowance.is_due(0.0, 9999.0)
