"""Requests to a cold upstream after many hosts start at once.

Guards against this failure: all hosts started within a tenth of a second after
a loss of power, and two upstreams that were still cold got 20 and 24 requests
in one second, where the limit is 19.9. A host's share of the limit depends on
the hosts that it hears. A host that had not heard any other yet considered
itself settled and the only host of the fleet. It allowed itself 6.93 requests a
second to an upstream of any zone until its first sweep, half a second later.
Twelve such hosts can send 12 requests at once and 48 in that half second.

The same could happen later: a host that no other answered within 2.5 s of its
start considered itself settled.
"""

import asyncio
from random import Random
from types import SimpleNamespace

import pytest
from lib.beats import beat_of, peer_of
from lib.cold import most_allowed, most_sent
from lib.rig import gateway_settings
from lib.upstreams import Clock

from wardstair.decisions.cold_upstreams import ColdLimit, HostView
from wardstair.fleet.members import Members
from wardstair.gateway import host as host_module
from wardstair.gateway.fleet_views import ZONE_DISCOVERY_SECONDS
from wardstair.gateway.host import GatewayHost

LIMIT = ColdLimit(rate=9.9, overshoot=1.5, tolerance=5.0)
OWN_ZONE = 'north-a'
OTHER_ZONE = 'south-a'


def assemble_hosts(amount: int) -> list[GatewayHost]:
    """Return hosts that have not received any heartbeat."""

    async def assemble() -> list[GatewayHost]:
        return [
            GatewayHost(gateway_settings(1, f'host-{number}'), Random(number))
            for number in range(amount)
        ]

    return asyncio.run(assemble())


def end_settling(host: GatewayHost) -> HostView:
    """End the time for settling after a start and return the host's view."""
    host.views.settle_seconds = 0
    host.views.refresh()
    return host.chooser.view


@pytest.mark.parametrize('amount', [1, 12, 45])
@pytest.mark.parametrize('zone', [OWN_ZONE, OTHER_ZONE])
def test_hosts_that_have_just_started_send_nothing(
    amount: int,
    zone: str,
) -> None:
    views = [host.chooser.view for host in assemble_hosts(amount)]
    assert most_sent(views, LIMIT, zone) == 0


@pytest.mark.parametrize('amount', [3, 12, 45])
def test_hosts_without_any_answer_keep_the_limit(amount: int) -> None:
    hosts = assemble_hosts(amount)
    views = [end_settling(host) for host in hosts]
    assert most_sent(views, LIMIT, OWN_ZONE) <= most_allowed(LIMIT)


def test_hosts_that_hear_one_another_share_the_limit() -> None:
    hosts = assemble_hosts(3)
    for host in hosts:
        for other in hosts:
            host.members.hear(beat_of(other.members.own))
    sent = most_sent([end_settling(host) for host in hosts], LIMIT, OWN_ZONE)
    assert 0 < sent <= most_allowed(LIMIT)


@pytest.mark.parametrize(
    ('listed', 'sends'),
    [
        # Listed before this host registered: others may be missing too.
        ((), False),
        (('host-0',), True),
        (('host-0', 'host-9'), False),
    ],
)
def test_a_host_without_peers_sends_only_if_the_registry_lists_no_other(
    listed: tuple[str, ...],
    *,
    sends: bool,
) -> None:
    (host,) = assemble_hosts(1)
    host.members.note_registry(listed)
    assert bool(most_sent([end_settling(host)], LIMIT, OWN_ZONE)) is sends


def test_settling_starts_with_the_first_heartbeat_received() -> None:
    clock = Clock()
    members = Members(peer_of('a'), clock)
    clock.now += 100
    assert not members.knows_fleet(2.5)
    members.hear(beat_of(peer_of('b')))
    clock.now += 2
    assert not members.knows_fleet(2.5)
    # A pause of this process does not count, since it receives nothing then.
    clock.now += 10
    members.forgive_pause(10)
    assert not members.knows_fleet(2.5)
    clock.now += 0.5
    assert members.knows_fleet(2.5)


def test_zones_are_known_some_time_after_the_first_heartbeat(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A host that hears others late must not treat a zone as empty yet."""
    clock = Clock()
    monkeypatch.setattr(host_module, 'time', SimpleNamespace(monotonic=clock))
    (host,) = assemble_hosts(1)
    clock.now += 2 * ZONE_DISCOVERY_SECONDS
    host.members.hear(beat_of(peer_of('host-9', OWN_ZONE)))
    clock.now += host.views.settle_seconds
    host.views.refresh()
    assert host.chooser.view.is_settled
    assert not host.chooser.view.knows_zones
    clock.now += ZONE_DISCOVERY_SECONDS
    host.views.refresh()
    assert host.chooser.view.knows_zones
