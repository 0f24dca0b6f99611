"""How hosts discover each other through seeds and peers, without a store."""

import asyncio
from random import Random

import pytest
from lib.beats import beat_of
from lib.logs import logged
from lib.revisions import at
from lib.wire import Wire, zone_hosts

from wardstair.fleet.heartbeats import Versions
from wardstair.fleet.members import (
    FORGOTTEN_SECONDS,
    SILENT_SECONDS,
    UNHEARD_SECONDS,
    Members,
)
from wardstair.gateway.fleet_views import ZONE_DISCOVERY_SECONDS

SETTLING_BEATS = 12
# With 9 zones it takes 7; it took 15 when hosts passed names on less often.
ZONE_DISCOVERY_BEATS = 10


def assert_zone_sizes(wire: Wire, first: int, second: int) -> None:
    """Check that hosts of two zones hear all hosts of their own zone."""
    for members, _endpoint in wire.hosts.values():
        expected = first if members.own.zone == 'a' else second
        assert len(members.live_in_zone()) == expected


def assert_fleet_complete(wire: Wire, zones: int, hosts: int) -> None:
    """Check that hosts hear their own zone and relays hear all zones."""
    for members, _endpoint in wire.hosts.values():
        assert len(members.live_in_zone()) == hosts, members.own.name
        assert members.fleet_size == zones * hosts
        if members.is_relay:
            heard = {one.peer.zone for one in members.live()}
            assert len(heard | {members.own.zone}) == zones


@pytest.mark.parametrize(
    ('zones', 'hosts', 'loss'),
    [(1, 2, 0.0), (6, 2, 0.0), (9, 22, 0.0), (9, 22, 0.1), (3, 45, 0.05)],
)
def test_a_fleet_forms_from_its_seeds(
    zones: int,
    hosts: int,
    loss: float,
) -> None:
    async def test() -> None:
        random = Random(3)
        wire = Wire()
        wire.passes = lambda _sender, _receiver: random.random() >= loss
        peers = [
            peer
            for number in range(zones)
            for peer in zone_hosts(f'z{number}', hosts)
        ]
        random.shuffle(peers)
        seeds = [peer.address for peer in peers[-3:]]
        wire.start(peers, seeds)
        wire.beat(SETTLING_BEATS)
        wire.passes = lambda _sender, _receiver: True
        # Three heartbeats without loss make up for the last lost datagrams.
        wire.beat(3)
        assert_fleet_complete(wire, zones, hosts)

    asyncio.run(test())


def test_every_host_discovers_every_zone() -> None:
    async def test() -> None:
        wire = Wire()
        zones = [f'z{number}' for number in range(9)]
        peers = [p for zone in zones for p in zone_hosts(zone, 22)]
        wire.start(peers, [peers[0].address])
        wire.beat(ZONE_DISCOVERY_BEATS)
        assert ZONE_DISCOVERY_BEATS < ZONE_DISCOVERY_SECONDS
        for members, _endpoint in wire.hosts.values():
            assert members.zones() == set(zones)

    asyncio.run(test())


@pytest.mark.parametrize('regions', [3, 9])
def test_partitions_count_the_whole_fleet(regions: int) -> None:
    """Each partition continues to use only its share of the fleet's limits."""

    async def test() -> None:
        wire = Wire()
        peers = [p for zone in 'abcdefghi' for p in zone_hosts(zone, 22)]
        wire.start(peers, [peers[0].address])
        wire.beat(SETTLING_BEATS)
        wire.passes = lambda sender, receiver: (
            ord(sender[0]) % regions == ord(receiver[0]) % regions
        )
        wire.beat(60)
        for members, _endpoint in wire.hosts.values():
            assert members.fleet_size == 198

    asyncio.run(test())


def test_an_isolated_host_counts_the_whole_fleet() -> None:
    async def test() -> None:
        wire = Wire()
        peers = [p for zone in 'abc' for p in zone_hosts(zone, 12)]
        wire.start(peers, [peers[0].address])
        wire.beat(SETTLING_BEATS)
        wire.passes = lambda _sender, _receiver: False
        wire.beat(60)
        for members, _endpoint in wire.hosts.values():
            assert members.fleet_size == 36

    asyncio.run(test())


def test_no_live_host_is_logged_as_lost() -> None:
    """Neither at the start nor when relays of other zones change."""

    async def test() -> None:
        wire = Wire()
        peers = [p for zone in 'abc' for p in zone_hosts(zone, 12)]
        wire.start(peers, [peers[-1].address])
        wire.beat(SETTLING_BEATS)
        relay = next(
            name
            for name, (members, _) in wire.hosts.items()
            if members.is_relay and members.own.zone == 'b'
        )
        wire.hosts.pop(relay)
        wire.beat(SETTLING_BEATS)
        lost = [line for line in lines if 'event=host-lost' in line]
        assert len(lost) == 11
        assert all(f'host={relay} ' in line for line in lost)

    with logged() as lines:
        asyncio.run(test())


def test_a_newcomer_is_no_relay_if_other_hosts_have_state() -> None:
    async def test() -> None:
        wire = Wire()
        peers = zone_hosts('a', 4)
        wire.start(peers[:3], [])
        newcomer = Members(
            peers[3],
            lambda: wire.now,
            is_settled=lambda: wire.now > 105,
        )
        # Alone it has to read the store itself. A host without state does not
        # change that.
        assert newcomer.is_relay
        newcomer.hear(beat_of(peers[0]))
        assert newcomer.is_relay
        newcomer.hear(beat_of(peers[1], versions=Versions(1, at(1), at(1))))
        assert not newcomer.is_relay
        wire.now = 106
        for number, peer in enumerate(peers[:3]):
            newcomer.hear(beat_of(peer, number + 2))
        assert len(newcomer.relays) == 2

    asyncio.run(test())


def test_a_newcomer_learns_its_zone_from_a_seed_in_another() -> None:
    async def test() -> None:
        wire = Wire()
        peers = [p for zone in 'abc' for p in zone_hosts(zone, 30)]
        wire.start(peers[:-1], [peers[0].address])
        wire.beat(SETTLING_BEATS)
        wire.start(peers[-1:], [peers[0].address])
        wire.beat(5)
        assert_fleet_complete(wire, 3, 30)

    asyncio.run(test())


def test_a_zone_recovers_from_the_loss_of_its_relays() -> None:
    async def test() -> None:
        wire = Wire()
        peers = [p for zone in 'abc' for p in zone_hosts(zone, 12)]
        wire.start(peers, [peers[0].address])
        wire.beat(SETTLING_BEATS)
        relays = {
            name
            for name, (members, _) in wire.hosts.items()
            if members.is_relay and members.own.zone == 'b'
        }
        assert len(relays) == 2
        for name in relays:
            wire.hosts.pop(name)
        wire.beat(8)
        for members, _endpoint in wire.hosts.values():
            if members.is_relay:
                zones = {one.peer.zone for one in members.live()}
                assert {*zones, members.own.zone} == {'a', 'b', 'c'}

    asyncio.run(test())


def test_separate_fleets_merge_through_one_known_name() -> None:
    """One name per zone is enough, as the registry in the store provides."""

    async def test() -> None:
        wire = Wire()
        peers = [p for zone in 'ab' for p in zone_hosts(zone, 24)]
        halves = peers[::2], peers[1::2]
        for half in halves:
            wire.start(half, [half[0].address])
        wire.beat(SETTLING_BEATS)
        assert len(wire.hosts['a-0'][0].live_in_zone()) == 12
        for zone in 'ab':
            members, _endpoint = wire.hosts[f'{zone}-0']
            members.learn([wire.hosts[f'{zone}-1'][0].own])
        wire.beat(SETTLING_BEATS)
        assert_fleet_complete(wire, 2, 24)

    asyncio.run(test())


def test_names_of_hosts_that_are_gone_are_dropped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        wire = Wire()
        peers = zone_hosts('a', 4)
        wire.start(peers, [peers[0].address])
        wire.beat(SETTLING_BEATS)
        # One host has names that no other host has and does not pass them on.
        members, endpoint = wire.hosts['a-0']
        members.learn(zone_hosts('a', 9))
        monkeypatch.setattr(endpoint, '_names_for', lambda _zone: ((), ()))
        wire.beat(int(UNHEARD_SECONDS) + 1)
        sent = wire.sent
        wire.beat(10)
        # Each host sends heartbeats to the three others and nothing else.
        assert wire.sent - sent == 10 * 4 * 3

    asyncio.run(test())


def test_newcomers_do_not_pass_on_the_name_of_a_dead_host() -> None:
    """Hosts are replaced continually; each could keep the name alive."""

    async def test() -> None:
        wire = Wire()
        peers = [p for zone in 'ab' for p in zone_hosts(zone, 40)]
        running = peers[:4] + peers[40:44]
        wire.start(running, [running[0].address])
        wire.beat(SETTLING_BEATS)
        wire.hosts.pop('a-3')
        # Relays of the other zone send its name until they miss it.
        wire.beat(int(FORGOTTEN_SECONDS + SILENT_SECONDS) + 1)
        for number in range(4, 24):
            known = next(iter(wire.hosts))
            joining = [peers[number], peers[40 + number]]
            wire.start(joining, [known])
            wire.beat(8)
            for peer in joining:
                assert 'a-3' not in wire.hosts[peer.name][0].table
            for zone in 'ab':
                oldest = next(n for n in wire.hosts if n.startswith(zone))
                wire.hosts.pop(oldest)
        wire.beat(SETTLING_BEATS)
        # Running hosts are known.
        assert_zone_sizes(wire, 3, 4)

    asyncio.run(test())
