"""A store that is restored from a copy under a running fleet, for tests."""

import asyncio

from lib.fleet import ZONES, Fleet
from lib.specs import configuration_spec, upstream_spec
from lib.store_standin import StoreCopy

AWAY_SECONDS = 0.3


def write_upstreams(fleet: Fleet) -> None:
    """Write what the upstreams write of themselves."""
    for number, upstream in enumerate(fleet.upstreams):
        entry = upstream_spec(upstream.port, zone=ZONES[number % len(ZONES)])
        fleet.store.put('servers', upstream.name, entry)


async def restore(fleet: Fleet, copy: StoreCopy) -> None:
    """Let the store be away and come back from a copy."""
    fleet.store.status = 503
    await asyncio.sleep(AWAY_SECONDS)
    fleet.store.restore(copy)


def write_again(fleet: Fleet, version: int) -> None:
    """Let the operator and the upstreams write what the copy may lack."""
    fleet.store.put('config', 'main', configuration_spec(version))
    write_upstreams(fleet)


def is_evacuated(fleet: Fleet, zone: str) -> bool:
    """Return whether a zone gets nothing from any host."""
    return all(zone in host.local_state.evacuated for host in fleet.hosts)


def is_used(fleet: Fleet, upstream: str) -> list[bool]:
    """Return for each host whether it sends to an upstream."""
    return [
        any(
            one.name == upstream
            for one in host.local_state.catalog.of_service('views')
        )
        for host in fleet.hosts
    ]
