"""Choice of relays, and the recipients of heartbeats in a fleet."""

import asyncio
from collections import Counter
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from lib.beats import beat_of, peer_of
from lib.revisions import at
from lib.wire import Wire, zone_hosts

from wardstair.decisions.relays import RelayCandidate, choose_relays
from wardstair.decisions.timing import MIN_RELAY_TIMEOUT_SECONDS
from wardstair.fleet.heartbeat_endpoint import FAR_TARGETS, HeartbeatEndpoint
from wardstair.fleet.heartbeats import (
    HeartbeatDatagram,
    HeartbeatKind,
    Versions,
    decode_heartbeat,
    encode_heartbeat,
)
from wardstair.fleet.members import SILENT_SECONDS, Members


@given(
    st.dictionaries(st.text('abc', min_size=1), st.booleans(), min_size=1),
    st.randoms(use_true_random=False),
)
def test_relays_are_the_same_on_all_hosts_and_prefer_contact(
    hosts: dict[str, bool],
    random: Random,
) -> None:
    candidates = [RelayCandidate(name, hears) for name, hears in hosts.items()]
    chosen = choose_relays(candidates, 'z')
    random.shuffle(candidates)
    assert choose_relays(candidates, 'z') == chosen
    assert len(chosen) == min(2, len(hosts))
    without_contact = [name for name in chosen if not hosts[name]]
    with_contact = [name for name, hears in hosts.items() if hears]
    assert not without_contact or set(with_contact) <= set(chosen)


def members_of(name: str, zone: str = 'z') -> tuple[Members, list[float]]:
    now = [100.0]
    return Members(peer_of(name, zone), lambda: now[0], lambda: True), now


def test_silent_relay_is_replaced_before_it_counts_as_dead() -> None:
    members, now = members_of('a')
    others = [peer_of(name) for name in 'bcdef']
    for peer in others:
        members.hear(beat_of(peer))
    first = next(name for name in members.relays if name != 'a')
    now[0] += MIN_RELAY_TIMEOUT_SECONDS - 0.1
    for peer in others:
        if peer.name != first:
            members.hear(beat_of(peer, 2))
    assert first in members.relays
    now[0] += 0.2
    assert first not in members.relays
    assert first in members.live_names()
    now[0] += SILENT_SECONDS
    assert first not in members.live_names()


def test_leaving_host_is_no_relay() -> None:
    members, _now = members_of('a')
    members.hear(beat_of(peer_of('b')))
    members.hear(beat_of(peer_of('c'), is_leaving=True))
    assert set(members.relays) == {'a', 'b'}
    members.is_leaving = True
    assert set(members.relays) == {'b'}


def test_remote_host_that_is_no_relay_is_not_live() -> None:
    members, _now = members_of('a')
    far = peer_of('far', 'y')
    members.hear(beat_of(far))
    assert 'far' in members.live_names()
    members.hear(beat_of(far, 2, is_relay=False))
    # The host is alive, but sends no more heartbeats to this host.
    assert 'far' not in members.live_names()
    assert 'far' in members.table


def test_fleet_size_is_counted_from_zone_sizes() -> None:
    members, _now = members_of('a')
    members.hear(beat_of(peer_of('b'), fleet_size=9))
    members.hear(beat_of(peer_of('far', 'y'), zone_size=5))
    assert members.counted_size == 7
    assert members.fleet_size == 9


def fleet_of(zones: int, hosts: int) -> Wire:
    """Return a fleet in which each host knows all others."""
    peers = [
        peer
        for number in range(zones)
        for peer in zone_hosts(f'z{number}', hosts)
    ]
    wire = Wire()
    wire.start(peers, ())
    for members, _endpoint in wire.hosts.values():
        members.learn(peers)
    return wire


@pytest.mark.parametrize(
    ('zones', 'hosts'),
    [(1, 4), (3, 2), (6, 12), (9, 9)],
)
def test_hosts_get_heartbeats_of_their_zone_and_of_relays(
    zones: int,
    hosts: int,
) -> None:
    async def test() -> None:
        wire = fleet_of(zones, hosts)
        for _ in range(8):
            wire.beat()
        before = wire.sent
        wire.beat()
        for members, _endpoint in wire.hosts.values():
            near = [one.peer.zone == members.own.zone for one in members.live()]
            assert sum(near) == hosts - 1
            heard = Counter(one.peer.zone for one in members.live())
            if members.is_relay:
                assert len(heard) == zones or hosts == 1
                assert all(
                    heard[zone] <= FAR_TARGETS
                    for zone in heard
                    if zone != members.own.zone
                )
            else:
                assert len(heard) == 1
            assert members.fleet_size == zones * hosts
        relays = min(2, hosts) * zones
        most = zones * hosts * (hosts - 1) + relays * 2 * (zones - 1)
        assert wire.sent - before <= most

    asyncio.run(test())


def test_relays_find_the_new_relays_of_another_zone() -> None:
    async def test() -> None:
        wire = fleet_of(3, 6)
        for _ in range(6):
            wire.beat()
        # Both relays of a zone fail at once.
        for name in wire.hosts['z0-0'][0].relays:
            wire.hosts.pop(name)
        wire.now += SILENT_SECONDS
        for _ in range(6):
            wire.beat()
        for members, _endpoint in wire.hosts.values():
            if members.is_relay:
                zones = {one.peer.zone for one in members.live()}
                assert len(zones | {members.own.zone}) == 3

    asyncio.run(test())


def test_heartbeat_is_decoded_as_encoded() -> None:
    beat = beat_of(
        peer_of('a'),
        kind=HeartbeatKind.redirect,
        zone_size=3,
        fleet_size=40,
        versions=Versions(3, at(4), at(5)),
        named=(peer_of('b'), peer_of('c')),
    )
    assert decode_heartbeat(encode_heartbeat(beat)) == beat


def test_answer_to_a_new_host_lists_its_zone_first() -> None:
    answers: list[HeartbeatDatagram] = []

    class Answering(HeartbeatEndpoint):
        def _send_bytes(self, address: str, datagram: bytes) -> None:
            beat = decode_heartbeat(datagram)
            assert beat is not None
            answers.append(beat)

    members, _now = members_of('a')
    wanted = [peer_of(f'far-{number}', 'y') for number in range(3)]
    members.learn([*wanted, *[peer_of(f'b{number}') for number in range(40)]])
    endpoint = Answering(members, 1, Versions, Random(1))
    hello = beat_of(peer_of('new', 'y'), kind=HeartbeatKind.hello)
    endpoint.datagram_received(encode_heartbeat(hello), ('new', 1))
    (answer,) = answers
    assert {*wanted} <= {*answer.named}
