"""How hosts find each other through seeds and one another, without a store."""

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
from wardstair.gateway.fleet_views import ZONES_SECONDS

SETTLED_BEATS = 12
# 9 zones took 7; with a name less often it was 15.
ZONES_KNOWN_BEATS = 10


def assert_alive(wire: Wire, first: int, second: int) -> None:
    """Check that the hosts of two zones hear all of their own."""
    for members, _radio in wire.hosts.values():
        expected = first if members.own.zone == 'a' else second
        assert len(members.live_in_zone()) == expected


def assert_whole(wire: Wire, zones: int, hosts: int) -> None:
    """Check that all know their zone, and relays hear all other zones."""
    for members, _radio in wire.hosts.values():
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
        wire.beat(SETTLED_BEATS)
        wire.passes = lambda _sender, _receiver: True
        # What was lost last does not count; three beats bring it back.
        wire.beat(3)
        assert_whole(wire, zones, hosts)

    asyncio.run(test())


def test_every_host_hears_of_every_zone() -> None:
    async def test() -> None:
        wire = Wire()
        zones = [f'z{number}' for number in range(9)]
        peers = [p for zone in zones for p in zone_hosts(zone, 22)]
        wire.start(peers, [peers[0].address])
        wire.beat(ZONES_KNOWN_BEATS)
        assert ZONES_KNOWN_BEATS < ZONES_SECONDS
        for members, _radio in wire.hosts.values():
            assert members.zones() == set(zones)

    asyncio.run(test())


@pytest.mark.parametrize('regions', [3, 9])
def test_parts_that_are_cut_off_count_the_whole_fleet(regions: int) -> None:
    """Each part goes on spending its part of the fleet's bounds only."""

    async def test() -> None:
        wire = Wire()
        peers = [p for zone in 'abcdefghi' for p in zone_hosts(zone, 22)]
        wire.start(peers, [peers[0].address])
        wire.beat(SETTLED_BEATS)
        wire.passes = lambda sender, receiver: (
            ord(sender[0]) % regions == ord(receiver[0]) % regions
        )
        wire.beat(60)
        for members, _radio in wire.hosts.values():
            assert members.fleet_size == 198

    asyncio.run(test())


def test_a_host_that_hears_nobody_any_more_counts_the_whole_fleet() -> None:
    async def test() -> None:
        wire = Wire()
        peers = [p for zone in 'abc' for p in zone_hosts(zone, 12)]
        wire.start(peers, [peers[0].address])
        wire.beat(SETTLED_BEATS)
        wire.passes = lambda _sender, _receiver: False
        wire.beat(60)
        for members, _radio in wire.hosts.values():
            assert members.fleet_size == 36

    asyncio.run(test())


def test_no_host_that_lives_is_called_lost() -> None:
    """Neither at the start nor when relays of other zones change."""

    async def test() -> None:
        wire = Wire()
        peers = [p for zone in 'abc' for p in zone_hosts(zone, 12)]
        wire.start(peers, [peers[-1].address])
        wire.beat(SETTLED_BEATS)
        relay = next(
            name
            for name, (members, _) in wire.hosts.items()
            if members.is_relay and members.own.zone == 'b'
        )
        wire.hosts.pop(relay)
        wire.beat(SETTLED_BEATS)
        lost = [line for line in lines if 'event=host-lost' in line]
        assert len(lost) == 11
        assert all(f'host={relay} ' in line for line in lost)

    with logged() as lines:
        asyncio.run(test())


def test_a_newcomer_is_no_relay_beside_hosts_that_have_what_it_needs() -> None:
    async def test() -> None:
        wire = Wire()
        peers = zone_hosts('a', 4)
        wire.start(peers[:3], [])
        newcomer = Members(
            peers[3],
            lambda: wire.now,
            is_settled=lambda: wire.now > 105,
        )
        # Alone it has to look for itself; one that knows nothing is no help.
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


def test_a_newcomer_learns_its_zone_from_a_seed_elsewhere() -> None:
    async def test() -> None:
        wire = Wire()
        peers = [p for zone in 'abc' for p in zone_hosts(zone, 30)]
        wire.start(peers[:-1], [peers[0].address])
        wire.beat(SETTLED_BEATS)
        wire.start(peers[-1:], [peers[0].address])
        wire.beat(5)
        assert_whole(wire, 3, 30)

    asyncio.run(test())


def test_a_zone_that_lost_its_relays_hears_the_others_again() -> None:
    async def test() -> None:
        wire = Wire()
        peers = [p for zone in 'abc' for p in zone_hosts(zone, 12)]
        wire.start(peers, [peers[0].address])
        wire.beat(SETTLED_BEATS)
        relays = {
            name
            for name, (members, _) in wire.hosts.items()
            if members.is_relay and members.own.zone == 'b'
        }
        assert len(relays) == 2
        for name in relays:
            wire.hosts.pop(name)
        wire.beat(8)
        for members, _radio in wire.hosts.values():
            if members.is_relay:
                zones = {one.peer.zone for one in members.live()}
                assert {*zones, members.own.zone} == {'a', 'b', 'c'}

    asyncio.run(test())


def test_halves_that_formed_apart_meet_when_one_knows_one_of_the_other() -> (
    None
):
    """One name is enough; the registry in the store brings it."""

    async def test() -> None:
        wire = Wire()
        peers = [p for zone in 'ab' for p in zone_hosts(zone, 24)]
        halves = peers[::2], peers[1::2]
        for half in halves:
            wire.start(half, [half[0].address])
        wire.beat(SETTLED_BEATS)
        assert len(wire.hosts['a-0'][0].live_in_zone()) == 12
        for zone in 'ab':
            members, _radio = wire.hosts[f'{zone}-0']
            members.learn([wire.hosts[f'{zone}-1'][0].own])
        wire.beat(SETTLED_BEATS)
        assert_whole(wire, 2, 24)

    asyncio.run(test())


def test_names_of_hosts_that_are_gone_are_dropped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        wire = Wire()
        peers = zone_hosts('a', 4)
        wire.start(peers, [peers[0].address])
        wire.beat(SETTLED_BEATS)
        # One host has names that no other has and cannot pass on.
        members, radio = wire.hosts['a-0']
        members.learn(zone_hosts('a', 9))
        monkeypatch.setattr(radio, '_names_for', lambda _zone: ((), ()))
        wire.beat(int(UNHEARD_SECONDS) + 1)
        sent = wire.sent
        wire.beat(10)
        # Heartbeats from each to the three others, and no questions.
        assert wire.sent - sent == 10 * 4 * 3

    asyncio.run(test())


def test_the_name_of_a_dead_host_does_not_go_from_newcomer_to_newcomer() -> (
    None
):
    """Hosts are replaced all the time; each would prolong the name's life."""

    async def test() -> None:
        wire = Wire()
        peers = [p for zone in 'ab' for p in zone_hosts(zone, 40)]
        running = peers[:4] + peers[40:44]
        wire.start(running, [running[0].address])
        wire.beat(SETTLED_BEATS)
        wire.hosts.pop('a-3')
        # Relays of the other zone name it until they miss it.
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
        wire.beat(SETTLED_BEATS)
        # Those that run are known: the dead are not named, the living are.
        assert_alive(wire, 3, 4)

    asyncio.run(test())
