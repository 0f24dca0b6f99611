"""Builders of heartbeats for tests."""

from wardstair.fleet.heartbeats import (
    ContactAge,
    HeartbeatDatagram,
    HeartbeatKind,
    PeerName,
    Versions,
    ZoneLoad,
)


def peer_of(name: str, zone: str = 'z') -> PeerName:
    """Return a host whose address is its name."""
    return PeerName(name, zone, name, f'{name}:1')


def beat_of(
    sender: PeerName,
    number: int = 1,
    *,
    kind: HeartbeatKind = HeartbeatKind.heartbeat,
    run: int = 7,
    is_leaving: bool = False,
    hears_store: bool = True,
    is_busy: bool = False,
    is_relay: bool = True,
    zone_size: int = 1,
    fleet_size: int = 1,
    versions: Versions | None = None,
    named: tuple[PeerName, ...] = (),
    load: float = 0.0,
    zone_loads: tuple[ZoneLoad, ...] = (),
    contact: ContactAge | None = None,
    is_sentinel: bool = False,
    is_contact_suspect: bool = False,
) -> HeartbeatDatagram:
    """Return a heartbeat of a sender."""
    return HeartbeatDatagram(
        kind,
        sender,
        run,
        number,
        is_leaving,
        hears_store,
        is_busy,
        is_relay,
        zone_size,
        fleet_size,
        versions or Versions(),
        named,
        load,
        zone_loads,
        contact,
        is_sentinel,
        is_contact_suspect,
    )
