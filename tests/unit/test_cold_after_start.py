"""A cold upstream after a start of many hosts.

What users saw: a region came back after a loss of power, and two of its
upstreams, cold for three seconds more, got 20 and 24 requests in one second
where 19.9 are borne. The order of events: the region's hosts and upstreams
were lost; all other hosts lost power as well; the upstreams started; all
hosts started within a tenth of a second; in that same second the requests
came.

The cause: what a host may send to a cold upstream follows from whom it hears.
One that had heard nobody yet took itself for the only host of the fleet, and
each of twelve sent as much as two are meant to send together.

The evidence: a host of the program that users ran was assembled and asked. By
its view it was settled, alone and in a fleet of one, and allowed itself 6.93
requests a second to an upstream of any zone until its first sweep, half a
second later. Twelve such hosts make 12 sends at once and 48 in that time. The
same order of events was played with that program: 21 and 20 requests in a
second, sent by all twelve hosts, also those of other regions, each within 1.3 s
of its start, to upstreams that they knew as cold. Played with this one: none.
The same mistake comes back later if nobody answers within the wait after a
start: 2.5 s after it the host counted as settled whatever it had heard.
"""

import asyncio
from random import Random
from types import SimpleNamespace

import pytest
from lib.beats import beat_of, peer_of
from lib.cold import most_allowed, most_sent
from lib.rig import gateway_settings
from lib.upstreams import Clock

from wardstair.decisions.cold import ColdLimit, HostView
from wardstair.fleet.members import Members
from wardstair.gateway import host as host_module
from wardstair.gateway.fleet_views import ZONE_DISCOVERY_SECONDS
from wardstair.gateway.host import GatewayHost

LIMIT = ColdLimit(rate=9.9, overshoot=1.5, slack=5.0)
OWN_ZONE = 'north-a'
OTHER_ZONE = 'south-a'


def hosts_of_a_zone(amount: int) -> list[GatewayHost]:
    """Return hosts that have been assembled and have heard nobody."""

    async def assemble() -> list[GatewayHost]:
        return [
            GatewayHost(gateway_settings(1, f'host-{number}'), Random(number))
            for number in range(amount)
        ]

    return asyncio.run(assemble())


def settle(host: GatewayHost) -> HostView:
    """Let the wait after a start be over; return what the host sees then."""
    host.views.settle_seconds = 0
    host.views.refresh()
    return host.chooser.view


@pytest.mark.parametrize('amount', [1, 12, 45])
@pytest.mark.parametrize('zone', [OWN_ZONE, OTHER_ZONE])
def test_hosts_that_have_just_started_send_nothing(
    amount: int,
    zone: str,
) -> None:
    views = [host.chooser.view for host in hosts_of_a_zone(amount)]
    assert most_sent(views, LIMIT, zone) == 0


@pytest.mark.parametrize('amount', [3, 12, 45])
def test_hosts_that_nobody_answers_stay_in_the_bound(amount: int) -> None:
    hosts = hosts_of_a_zone(amount)
    views = [settle(host) for host in hosts]
    assert most_sent(views, LIMIT, OWN_ZONE) <= most_allowed(LIMIT)


def test_hosts_that_hear_one_another_share_the_bound() -> None:
    hosts = hosts_of_a_zone(3)
    for host in hosts:
        for other in hosts:
            host.members.hear(beat_of(other.members.own))
    sent = most_sent([settle(host) for host in hosts], LIMIT, OWN_ZONE)
    assert 0 < sent <= most_allowed(LIMIT)


@pytest.mark.parametrize(
    ('listed', 'sends'),
    [
        # Listed before it had registered: others may be in the same place.
        ((), False),
        (('host-0',), True),
        (('host-0', 'host-9'), False),
    ],
)
def test_a_host_that_hears_nobody_asks_the_store_whether_it_is_the_only_one(
    listed: tuple[str, ...],
    *,
    sends: bool,
) -> None:
    (host,) = hosts_of_a_zone(1)
    host.members.note_registry(listed)
    assert bool(most_sent([settle(host)], LIMIT, OWN_ZONE)) is sends


def test_the_wait_begins_with_the_first_host_that_is_heard() -> None:
    clock = Clock()
    members = Members(peer_of('a'), clock)
    clock.now += 100
    assert not members.knows_fleet(2.5)
    members.hear(beat_of(peer_of('b')))
    clock.now += 2
    assert not members.knows_fleet(2.5)
    # A pause of this process is no time in which it could hear anybody.
    clock.now += 10
    members.forgive_pause(10)
    assert not members.knows_fleet(2.5)
    clock.now += 0.5
    assert members.knows_fleet(2.5)


def test_zones_are_known_some_time_after_somebody_is_heard(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Who hears somebody late takes no zone for one without hosts yet."""
    clock = Clock()
    monkeypatch.setattr(host_module, 'time', SimpleNamespace(monotonic=clock))
    (host,) = hosts_of_a_zone(1)
    clock.now += 2 * ZONE_DISCOVERY_SECONDS
    host.members.hear(beat_of(peer_of('host-9', OWN_ZONE)))
    clock.now += host.views.settle_seconds
    host.views.refresh()
    assert host.chooser.view.is_settled
    assert not host.chooser.view.knows_zones
    clock.now += ZONE_DISCOVERY_SECONDS
    host.views.refresh()
    assert host.chooser.view.knows_zones
