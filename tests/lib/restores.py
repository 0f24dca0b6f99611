"""Restores the store from a copy while a fleet is running."""

import asyncio

from lib.fleet import ZONES, Fleet
from lib.specs import configuration_spec, upstream_spec
from lib.store_standin import StoreCopy

OUTAGE_SECONDS = 0.3


def write_upstreams(fleet: Fleet) -> None:
    """Write the entries by which the upstreams register."""
    for number, upstream in enumerate(fleet.upstreams):
        entry = upstream_spec(upstream.port, zone=ZONES[number % len(ZONES)])
        fleet.store.put('servers', upstream.name, entry)


async def restore(fleet: Fleet, copy: StoreCopy) -> None:
    """Fail all calls on the store for a while, then restore it from a copy."""
    fleet.store.status = 503
    await asyncio.sleep(OUTAGE_SECONDS)
    fleet.store.restore(copy)


def write_again(fleet: Fleet, version: int) -> None:
    """Repeat the operator's and upstreams' writes that the copy may lack."""
    fleet.store.put('config', 'main', configuration_spec(version))
    write_upstreams(fleet)


def is_evacuated(fleet: Fleet, zone: str) -> bool:
    """Return whether all hosts treat a zone as evacuated."""
    return all(zone in host.local_state.evacuated for host in fleet.hosts)


def is_used(fleet: Fleet, upstream: str) -> list[bool]:
    """Return for each host whether it may send to an upstream."""
    return [
        any(
            one.name == upstream
            for one in host.local_state.catalog.of_service('views')
        )
        for host in fleet.hosts
    ]
