"""Allowances of hosts: the bound in sum, whatever reports are lost."""

import random
from collections import Counter
from dataclasses import dataclass, field, replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wardstair.decisions.rollout_exposure import (
    HostUsage,
    max_exposure,
    next_allowances,
    next_reserve,
)
from wardstair.decisions.rollouts import RolloutBounds

BOUNDS = RolloutBounds(0.1, 50, 5)
FLEETS = (1, 6, 26, 88, 404, 1200)
STEP_SECONDS = 0.25


def usage(
    host: str = 'host-1',
    requests: int = 100,
    sent: int = 0,
    allowed: int = 0,
    can_use_more: bool = True,
) -> HostUsage:
    return HostUsage(host, requests, sent, allowed, can_use_more)


def fleet_of(hosts: int, **values: int) -> list[HostUsage]:
    return [
        replace(usage(f'host-{number}'), **values)  # type: ignore[arg-type]
        for number in range(hosts)
    ]


@dataclass
class Fleet:
    """Hosts that spend allowances, and a coordinator that gives them.

    Attributes:
        hosts: Number of hosts.
        seed: Seed of all that is random.
        loss: Probability that a report or an allowance does not arrive.
        rate: Requests per second of all hosts.
        wish: Share of the requests that hosts would send to the new version.
        requests: Requests of the service.
        sent: Requests to the new version.
        given: Sum of the allowances.
        writes: Number of writes to the store.
        live: The running hosts by name and run, as they know themselves.
    """

    hosts: int
    seed: int = 1
    loss: float = 0.0
    rate: float = 660.0
    wish: float = 0.08
    requests: int = 0
    sent: int = 0
    given: int = 0
    writes: int = 0
    live: dict[str, HostUsage] = field(default_factory=dict)
    _reserve: int = 0
    _reported: dict[str, HostUsage] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Start the hosts."""
        self._random = random.Random(self.seed)
        self._runs = Counter(range(self.hosts))
        for number in range(self.hosts):
            self._start(number)

    def step(self) -> None:
        """Send requests, report them and give allowances."""
        for _ in range(int(self.rate * STEP_SECONDS)):
            self._send(self._random.choice(list(self.live)))
        for host, real in self.live.items():
            if self._random.random() >= self.loss:
                self._reported[host] = replace(
                    real,
                    # A later report may know an earlier allowance only.
                    allowed=max(
                        real.allowed,
                        self._reported.get(host, real).allowed,
                    ),
                )
        self._give()

    def restart(self, count: int) -> None:
        """Start some hosts under a new run: they know no allowance."""
        for number in self._random.sample(range(self.hosts), count):
            self.live.pop(f'{number}-{self._runs[number]}')
            self._runs[number] += 10000
            self._start(number)

    def _start(self, number: int) -> None:
        host = f'{number}-{self._runs[number]}'
        self.live[host] = usage(host, 0)

    def _send(self, host: str) -> None:
        real = self.live[host]
        self.requests += 1
        is_new = real.unspent and self._random.random() < self.wish
        self.sent += bool(is_new)
        self.live[host] = replace(
            real,
            requests=real.requests + 1,
            sent=real.sent + bool(is_new),
        )

    def _give(self) -> None:
        hosts = list(self._reported.values())
        known = sum(one.requests for one in hosts)
        limit = max_exposure(BOUNDS, known)
        needed = self.given + sum(one.room for one in hosts)
        reserve = next_reserve(self._reserve, needed, limit)
        self.writes += reserve != self._reserve
        self._reserve = reserve
        live = [one for one in hosts if one.host in self.live]
        allowances = next_allowances(reserve - self.given, live, 'web 2')
        for host, allowed in allowances.items():
            self.given += allowed - self._reported[host].allowed
            self._reported[host] = replace(
                self._reported[host], allowed=allowed
            )
        for host, told in self._reported.items():
            if host in self.live and self._random.random() >= self.loss:
                self.live[host] = replace(self.live[host], allowed=told.allowed)


@pytest.mark.parametrize('hosts', FLEETS)
@pytest.mark.parametrize('loss', [0.0, 0.5])
def test_fleet_stays_under_the_bound_with_losses_and_restarts(
    hosts: int,
    loss: float,
) -> None:
    fleet = Fleet(hosts, loss=loss, wish=1.0)
    for step in range(24):
        fleet.step()
        if step % 6 == 5:
            fleet.restart(max(hosts // 6, 1))
        assert fleet.sent <= fleet.given
        assert fleet.given <= max_exposure(BOUNDS, fleet.requests)
    assert fleet.sent >= 10


@pytest.mark.parametrize('hosts', FLEETS)
def test_typical_roll_out_needs_about_ten_writes(hosts: int) -> None:
    fleet = Fleet(hosts)
    for _ in range(56):
        fleet.step()
    assert fleet.writes <= 12


@pytest.mark.parametrize(
    ('hosts', 'wanted'),
    # Of 740 requests that the hosts would send.
    [(1, 600), (6, 600), (26, 600), (88, 500)],
)
def test_hosts_can_send_most_of_what_the_test_wants(
    hosts: int,
    wanted: int,
) -> None:
    fleet = Fleet(hosts)
    for _ in range(56):
        fleet.step()
    assert fleet.sent >= wanted


@pytest.mark.parametrize('hosts', [6, 26, 88])
def test_little_is_stranded_on_hosts_that_die(hosts: int) -> None:
    fleet = Fleet(hosts)
    for _ in range(56):
        fleet.step()
    stranded = [one.unspent for one in fleet.live.values()]
    assert max(stranded) <= fleet.given / hosts / 2 + 4


hosts_in_any_state = st.lists(
    st.builds(
        usage,
        requests=st.integers(0, 5000),
        sent=st.integers(0, 300),
        allowed=st.integers(0, 300),
        can_use_more=st.booleans(),
    ),
    max_size=60,
).map(
    lambda hosts: [
        replace(one, host=f'host-{number}') for number, one in enumerate(hosts)
    ]
)


@settings(deadline=None, derandomize=True)
@given(hosts=hosts_in_any_state, available=st.integers(-5, 500))
def test_given_requests_never_exceed_what_is_available(
    hosts: list[HostUsage],
    available: int,
) -> None:
    allowances = next_allowances(available, hosts, 'web 2')
    by_name = {one.host: one for one in hosts}
    more = {
        host: allowed - by_name[host].allowed
        for host, allowed in allowances.items()
    }
    assert sum(more.values()) <= max(available, 0)
    for host, number in more.items():
        assert 0 < number <= by_name[host].room
    # What is not given could not be used by any host.
    room = sum(one.room for one in hosts)
    assert sum(more.values()) == max(min(available, room), 0)


@pytest.mark.parametrize('hosts', FLEETS)
@pytest.mark.parametrize('available', [1, 5, 50, 2000])
def test_each_host_gets_one_request_before_any_gets_two(
    hosts: int,
    available: int,
) -> None:
    allowances = next_allowances(available, fleet_of(hosts), 'web 2')
    assert len(allowances) == min(hosts, available)
    if available <= hosts:
        assert set(allowances.values()) == {1}


def test_first_requests_go_to_other_hosts_in_another_roll_out() -> None:
    fleet = fleet_of(404)
    groups = [
        set(next_allowances(40, fleet, f'web {version}'))
        for version in range(4)
    ]
    assert all(len(group) == 40 for group in groups)
    assert len(set.union(*groups)) > 110
    in_reverse = next_allowances(40, fleet[::-1], 'web 0')
    assert set(in_reverse) == groups[0]


def test_hosts_without_an_allowance_come_before_those_that_spent_one() -> None:
    spent = fleet_of(50, sent=1, allowed=1)
    fresh = [usage(f'fresh-{number}') for number in range(50)]
    allowances = next_allowances(50, [*spent, *fresh], 'web 2')
    assert set(allowances) == {one.host for one in fresh}


@pytest.mark.parametrize(
    ('one', 'expected'),
    [
        # At first a few, later as many as it spends in several reports.
        (usage(), 4),
        (usage(sent=40, allowed=40), 54),
        # It has not spent what it has.
        (usage(sent=0, allowed=4), None),
        (usage(sent=0, allowed=3), 4),
        # It has no upstream of the version.
        (usage(can_use_more=False), None),
        # A new run of the coordinator may know less than the host.
        (usage(sent=8, allowed=6), 12),
    ],
)
def test_hosts_get_no_more_than_they_can_soon_use(
    one: HostUsage,
    expected: int | None,
) -> None:
    allowances = next_allowances(1000, [one], 'web 2')
    assert allowances.get('host-1') == expected


def test_requests_are_divided_by_the_requests_of_the_hosts() -> None:
    hosts = [
        usage('busy', 900, sent=90, allowed=90),
        usage('calm', 100, sent=90, allowed=90),
    ]
    assert next_allowances(20, hosts, 'web 2') == {'busy': 107, 'calm': 93}


@pytest.mark.parametrize(
    ('bounds', 'requests', 'expected'),
    [
        (BOUNDS, 0, 50),
        (BOUNDS, 9, 50),
        (BOUNDS, 10, 51),
        (BOUNDS, 9240, 974),
        (RolloutBounds(0.07, 0, 5), 100, 7),
        (RolloutBounds(0, 0, 5), 1000, 0),
        (RolloutBounds(0.1, 0.5, 5), 9, 1),
    ],
)
def test_exposure_is_a_share_and_a_fixed_part(
    bounds: RolloutBounds,
    requests: int,
    expected: int,
) -> None:
    assert max_exposure(bounds, requests) == expected


@settings(derandomize=True)
@given(
    reserved=st.integers(0, 2000),
    needed=st.integers(0, 2000),
    limit=st.integers(0, 2000),
)
def test_reserve_never_falls_nor_exceeds_the_limit(
    reserved: int,
    needed: int,
    limit: int,
) -> None:
    found = next_reserve(reserved, needed, limit)
    assert reserved <= found <= max(reserved, limit)


@pytest.mark.parametrize(
    ('reserved', 'needed', 'limit', 'expected'),
    [
        (0, 1, 50, 17),
        (17, 17, 50, 17),
        (17, 30, 200, 46),
        (100, 101, 300, 151),
        # Not yet worth a write.
        (100, 160, 110, 100),
        # Small bounds are used as well.
        (0, 5, 1, 1),
        (1, 5, 2, 2),
    ],
)
def test_reserve_grows_in_blocks(
    reserved: int,
    needed: int,
    limit: int,
    expected: int,
) -> None:
    assert next_reserve(reserved, needed, limit) == expected
