"""Load of hosts and zones, from the heartbeats that a host receives."""

import pytest
from lib.beats import beat_of, peer_of
from lib.upstreams import Clock

from wardstair.decisions.fleet_rate import LoadView
from wardstair.fleet.heartbeats import (
    HeartbeatDatagram,
    ZoneLoad,
    decode_heartbeat,
    encode_heartbeat,
)
from wardstair.fleet.loads import (
    MAX_REPORTED_ZONES,
    ZONE_REPORTS_SECONDS,
    FleetLoads,
)
from wardstair.fleet.members import FORGOTTEN_SECONDS, Members

REGIONS = {'z': 'r', 'y': 'r', 'x': 's'}


class Fixture:
    """A host of zone z that receives heartbeats."""

    def __init__(self, *, is_needed: bool = True) -> None:
        self.clock = Clock()
        self.members = Members(peer_of('own'), self.clock, lambda: True)
        self.loads = FleetLoads(
            self.members,
            lambda: REGIONS,
            lambda: is_needed,
        )

    def hear(
        self,
        name: str,
        zone: str = 'z',
        load: float = 0.0,
        *reported: ZoneLoad,
        is_leaving: bool = False,
        number: int = 1,
    ) -> None:
        heartbeat = beat_of(
            peer_of(name, zone),
            number,
            is_leaving=is_leaving,
            load=load,
            zone_loads=reported,
        )
        assert self.members.hear(heartbeat)
        self.loads.record(heartbeat)

    def view(self, *, knows_zones: bool = True) -> LoadView:
        return self.loads.view(is_settled=True, knows_zones=knows_zones)


def test_heartbeats_encode_load() -> None:
    heartbeat = beat_of(
        peer_of('a'),
        load=12.34,
        zone_loads=(ZoneLoad('x', 5.0), ZoneLoad('y', 0.0)),
    )
    decoded = decode_heartbeat(encode_heartbeat(heartbeat))
    assert isinstance(decoded, HeartbeatDatagram)
    assert decoded.load == pytest.approx(12.3)
    assert decoded.zone_loads == heartbeat.zone_loads


def test_own_load_follows_requests_within_seconds() -> None:
    host = Fixture()
    host.loads.step()
    for _ in range(40):
        host.clock.now += 0.5
        for _ in range(10):
            host.loads.note_request()
        host.loads.step()
    assert host.members.load == pytest.approx(20, rel=0.01)
    for _ in range(40):
        host.clock.now += 0.5
        host.loads.step()
    assert host.members.load < 0.1


def test_view_has_staying_hosts_of_the_zone_and_reported_zones() -> None:
    host = Fixture()
    host.members.load = 4.0
    host.hear('b', 'z', 6.0)
    host.hear('leaving', 'z', 6.0, is_leaving=True)
    host.hear('far', 'y', 3.0, ZoneLoad('y', 20.0))
    view = host.view()
    assert view.hosts == {'own': 4.0, 'b': 6.0}
    assert view.zones == {'z': 10.0, 'y': 20.0}
    assert view.regions == REGIONS
    assert view.silent_load == 0


def test_a_leaving_host_has_no_share() -> None:
    host = Fixture()
    host.members.is_leaving = True
    assert host.view().hosts == {}


def test_silent_hosts_keep_their_share_for_a_while() -> None:
    host = Fixture()
    host.members.load = 4.0
    host.hear('b', 'z', 6.0)
    host.hear('far', 'y', 3.0, ZoneLoad('y', 20.0))
    host.clock.now += FORGOTTEN_SECONDS - 1
    assert host.view().hosts == {'own': 4.0, 'b': 6.0}
    host.clock.now += 2
    view = host.view()
    assert view.hosts == {'own': 4.0}
    assert view.zones == {'z': 4.0}
    assert view.silent_load == 26.0


def test_an_unreported_zone_counts_with_the_mean_load() -> None:
    host = Fixture()
    host.members.load = 8.0
    host.loads.step()
    host.hear('far', 'y')
    # Zone x is in the settings, but the host has not learned of it yet.
    assert host.view(knows_zones=False).zones == dict.fromkeys('zyx', 8.0)
    assert host.view().zones == {'z': 8.0, 'y': 8.0}
    # By now its load would have been reported.
    host.clock.now += ZONE_REPORTS_SECONDS + 0.1
    assert host.view().zones == {'z': 8.0}


def test_relays_exchange_the_loads_of_zones() -> None:
    host = Fixture()
    host.members.load = 8.0
    host.hear('b', 'z', 2.0, ZoneLoad('x', 5.0))
    host.hear('far', 'y', 3.0, ZoneLoad('y', 20.0))
    assert host.loads.reported(to_others=True) == (ZoneLoad('z', 10.0),)
    # A load reported within the zone is known there, so it is not repeated.
    assert host.loads.reported(to_others=False) == (ZoneLoad('y', 20.0),)
    assert host.view().zones['x'] == 5.0
    # A report of the zone itself takes precedence over a forwarded one.
    host.hear('b', 'z', 2.0, ZoneLoad('y', 99.0), number=2)
    assert host.view().zones['y'] == 20.0
    assert Fixture(is_needed=False).loads.reported(to_others=True) == ()


def test_many_zones_are_reported_in_turns() -> None:
    host = Fixture()
    names = [f'far-{number}' for number in range(62)]
    for name in names:
        host.hear(name, name, 1.0, ZoneLoad(name, 1.0))
    reported: list[str] = []
    for _ in range(4):
        loads = host.loads.reported(to_others=False)
        assert len(loads) == MAX_REPORTED_ZONES
        reported.extend(one.zone for one in loads)
    assert set(reported) == set(names)
