"""Shares of each host by which the whole fleet keeps its limits."""

from collections import Counter
from random import Random

import pytest
from hypothesis import example, given
from hypothesis import strategies as st
from lib.beats import beat_of
from lib.cold import most_allowed, most_sent, settled_view
from lib.rig import gateway_settings

from wardstair.decisions.cold_upstreams import (
    UNSETTLED_FLEET_SIZE,
    ColdLimit,
    HostView,
    sender_rate,
)
from wardstair.decisions.resends import (
    LONGEST_WINDOW,
    ResendBudget,
    ResendLimit,
    host_limit,
)
from wardstair.decisions.sentinels import SentinelCandidate, choose_sentinels
from wardstair.decisions.split import TOLERANCE, SplitTally
from wardstair.fleet.heartbeats import PeerName
from wardstair.fleet.members import GONE_SECONDS, Members
from wardstair.gateway.host import GatewayHost

FLEET = ResendLimit(0.2, 64, 10)


@given(
    hosts=st.integers(1, 40),
    rate=st.floats(0, 30),
    greed=st.floats(0, 3),
    seed=st.integers(0, 99),
)
def test_resends_of_all_hosts_stay_in_the_limit(
    hosts: int,
    rate: float,
    greed: float,
    seed: int,
) -> None:
    random = Random(seed)
    firsts: list[float] = []
    resends: list[float] = []
    for _ in range(hosts):
        budget = ResendBudget()
        own = host_limit(FLEET, hosts, FLEET.window)
        now = 0.0
        while now < 25:
            now += random.expovariate(max(rate, 0.2))
            budget.note_first(now)
            firsts.append(now)
            wanted = int(greed) + (random.random() < greed % 1)
            resends.extend(now for _ in range(wanted) if budget.take(own, now))
    for end in range(10, 26, 3):
        in_window = sum(1 for at in firsts if end - 10 <= at < end)
        again = sum(1 for at in resends if end - 10 <= at < end)
        # A resend may fall into the window after that of its first send.
        earlier = sum(1 for at in firsts if end - 20 <= at < end - 10)
        most = max(in_window, earlier)
        assert again <= FLEET.ratio * most + FLEET.extra


COLD = ColdLimit(rate=11.0, overshoot=1.5, tolerance=5.0)
COLD_LIMITS = [
    COLD,
    ColdLimit(rate=10.0, overshoot=1.5, tolerance=10.0),
    ColdLimit(rate=8.0, overshoot=1.0, tolerance=2.0),
    ColdLimit(rate=3.0, overshoot=2.0, tolerance=4.0),
]


@pytest.mark.parametrize('limit', COLD_LIMITS)
@pytest.mark.parametrize(
    'views',
    [
        # All hosts agree; two halves; every host alone.
        [(12, 12)] * 12,
        [(6, 12)] * 12,
        [(1, 12)] * 12,
        [(11, 12)] * 11 + [(1, 12)],
        # The same in zones of hundreds of hosts.
        [(45, 45)] * 45,
        [(1, 45)] * 45,
        [(30, 45)] * 30 + [(15, 45)] * 15,
    ],
)
def test_cold_sends_of_all_hosts_stay_within_the_limit(
    views: list[tuple[int, int]],
    limit: ColdLimit,
) -> None:
    names = [f'host-{number}' for number in range(len(views))]
    views_seen = []
    for number, (live, known) in enumerate(views):
        start = number - number % live
        heard = (names * 2)[start : start + live]
        own = names[number]
        views_seen.append(
            settled_view(own, 'z', {*heard, own}, names[:known], known)
        )
    assert most_sent(views_seen, limit) <= most_allowed(limit)


def test_a_host_that_has_just_started_sends_nothing_to_a_cold_upstream() -> (
    None
):
    view = HostView('a', 'z', {'a'}, {'a'}, 1, is_settled=False)
    assert sender_rate('i-1', 'z', COLD, view) == 0


def test_a_zone_without_known_hosts_is_left_to_its_own_hosts() -> None:
    """Hosts that know few zones would each choose a different substitute."""
    views = [
        settled_view(
            f'{zone}-1',
            zone,
            {f'{zone}-1'},
            {f'{zone}-1'},
            9,
            frozenset((zone,)),
            knows_zones=False,
        )
        for zone in 'abcdefgh'
    ]
    assert most_sent(views, COLD) == 0


@pytest.mark.parametrize('zones', [8, 62])
@pytest.mark.parametrize('has_own', [True, False])
def test_hosts_of_one_zone_send_to_a_cold_upstream(
    zones: int,
    has_own: bool,
) -> None:
    """Those of its own zone, or of the zone that substitutes for it."""
    names = [f'y{number}' for number in range(zones)] + ['z'] * has_own
    views = []
    for zone in names:
        hosts = [f'{zone}-{number}' for number in range(20)]
        size = 20 * len(names)
        views += [
            settled_view(host, zone, hosts, hosts, size, frozenset(names))
            for host in hosts
        ]
    rates = [sender_rate('i-1', 'z', COLD, view) for view in views]
    sending = [
        view.zone for view, rate in zip(views, rates, strict=True) if rate > 0
    ]
    # This leaves a margin for hosts with other views.
    assert sum(rates) <= COLD.rate
    assert len(sending) == 2
    assert len(set(sending)) == 1
    assert not has_own or sending[0] == 'z'
    assert most_sent(views, COLD) <= most_allowed(COLD)


@given(
    st.lists(
        st.tuples(st.sampled_from('abc'), st.floats(0.05, 1)),
        min_size=2,
        max_size=3,
        unique_by=lambda share: share[0],
    ),
    st.integers(1, 60),
)
@example([('a', 0.640625), ('b', 0.12109375), ('c', 1.0)], 16)
def test_parts_of_a_split_follow_the_weights(
    shares: list[tuple[str, float]],
    keys: int,
) -> None:
    tally = SplitTally()
    random = Random(keys)
    count: Counter[str] = Counter()
    for _ in range(600):
        count[tally.choose(f'key {random.randrange(keys)}', shares)] += 1
    total = sum(weight for _, weight in shares)
    for name, weight in shares:
        assert abs(count[name] / 600 - weight / total) < 0.06


@pytest.mark.parametrize(
    ('weights', 'keys'),
    [
        # Found by the test above: the first part had 0.303 of the requests
        # instead of 0.364.
        ([0.640625, 0.12109375, 1.0], 16),
        ([1.0] * 5, 40),
    ],
)
def test_no_part_of_a_split_falls_behind_its_weight(
    weights: list[float],
    keys: int,
) -> None:
    """Each other part may be slightly ahead, and the differences add up.

    A share may exceed the tolerance by one request, since the first few
    requests of a host cannot be divided more precisely.
    """
    shares = [(f'part {n}', weight) for n, weight in enumerate(weights)]
    most_behind = 0.0
    for seed in range(30):
        tally = SplitTally()
        random = Random(seed)
        count: Counter[str] = Counter()
        for _ in range(600):
            chosen = tally.choose(f'key {random.randrange(keys)}', shares)
            count[chosen] += 1
        for name, weight in shares:
            behind = weight / sum(weights) - count[name] / 600
            most_behind = max(most_behind, behind)
    assert most_behind <= TOLERANCE + 1 / 600


def test_keys_keep_their_part_while_weights_are_met() -> None:
    tally = SplitTally()
    random = Random(1)
    parts: dict[str, Counter[str]] = {}
    for _ in range(4000):
        key = f'key {random.randrange(500)}'
        chosen = tally.choose(key, [('a', 70), ('b', 30)])
        parts.setdefault(key, Counter())[chosen] += 1
    moved = sum(
        sum(count.values()) - max(count.values()) for count in parts.values()
    )
    assert moved < 4000 * 0.05


def test_all_hosts_choose_the_same_sentinels_of_different_regions() -> None:
    regions = {'a1': 'a', 'a2': 'a', 'b1': 'b'}
    hosts = [
        SentinelCandidate(f'h{n}', zone)
        for n, zone in enumerate(['a1', 'a2', 'b1'])
    ]
    chosen = choose_sentinels(hosts, regions)
    assert chosen == choose_sentinels(reversed(hosts), regions)
    assert 'h2' in chosen
    assert len(chosen) == 2
    left = [host for host in hosts if host.name != chosen[0]]
    assert chosen[1] in choose_sentinels(left, regions)


def test_an_unused_budget_stays_small() -> None:
    budget = ResendBudget()
    for number in range(20000):
        budget.note_first(number / 100)
    assert budget.size <= LONGEST_WINDOW * 100 + 1


def test_a_host_is_removed_after_a_long_silence() -> None:
    now = [0.0]
    own, other = PeerName('a', 'z', '1', '1:1'), PeerName('b', 'z', '2', '2:1')
    members = Members(own, lambda: now[0])
    members.hear(beat_of(other))
    assert members.live_names() == {'a', 'b'}
    now[0] = GONE_SECONDS - 1
    members.check()
    assert members.live_names() == {'a'}
    # It may be cut off and still use its share of the fleet's limits.
    assert 'b' in members.table
    now[0] = GONE_SECONDS + 1
    members.check()
    assert 'b' not in members.table


def test_hosts_that_have_just_started_assume_a_large_fleet() -> None:
    """After a loss of power, none of 195 hosts knows the others."""
    host = GatewayHost(gateway_settings(1), Random(1))
    bounds = host.settings.bounds
    fleet = ResendLimit(
        bounds.retry_ratio,
        bounds.retry_extra,
        bounds.retry_window,
    )
    own = host_limit(fleet, host.chooser.view.fleet_size, fleet.window)
    total_extra = own.extra * 195
    assert total_extra < fleet.extra / 5
    # The time for settling is over without any heartbeat received.
    host.views.settle_seconds = 0
    host.views.refresh()
    assert host.chooser.view.fleet_size == UNSETTLED_FLEET_SIZE
    host.members.note_registry({host.settings.name})
    host.views.refresh()
    assert host.chooser.view.fleet_size == 1
