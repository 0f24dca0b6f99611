"""Configurations that change in quick succession, and hosts killed meanwhile.

While these are the only faults, each version has to be in force on each host
within the time that the settings state, however soon the next one follows.
"""

import asyncio
import time
from typing import TYPE_CHECKING

from soak.notices import ENTRY_BOUNDS

if TYPE_CHECKING:
    from soak.faults import Scene
    from soak.processes import GatewayProcess

# Length of a storm, and shortest and longest time between its versions. All
# versions of a storm have to fit into the marker routes of a configuration.
STORM_SECONDS = 3.0
GAPS = (0.05, 0.2)
ADOPTED = b'event=configuration-adopted'
# Time within which a host adopts a change, and the interval of looking.
ADOPTION_SECONDS = 5.0
POLL_SECONDS = 0.005


async def storm_configurations(scene: 'Scene') -> None:
    """Change the configuration many times, then wait until all must hold."""
    async with scene.storming:
        end = time.monotonic() + STORM_SECONDS
        while time.monotonic() < end:
            scene.put_configuration()
            await asyncio.sleep(scene.random.uniform(*GAPS))
        await asyncio.sleep(2 * ENTRY_BOUNDS.apply_seconds)


async def kill_after_adoption(scene: 'Scene') -> None:
    """Kill the first host that adopts a change, and make another change."""
    async with scene.storming:
        logged = {one: _log_bytes(one) for one in scene.gateways}
        scene.put_configuration()
        first = await _first_adopter(scene, logged)
        if first is None:
            return
        await first.end()
        scene.put_configuration()
        await asyncio.sleep(2 * ENTRY_BOUNDS.apply_seconds)
        await first.start()
        # Until it has joined, the others have one sentinel less.
        await asyncio.sleep(ENTRY_BOUNDS.contact_seconds)


async def _first_adopter(
    scene: 'Scene', logged: dict['GatewayProcess', int]
) -> 'GatewayProcess | None':
    end = time.monotonic() + ADOPTION_SECONDS
    while time.monotonic() < end:
        for gateway, size in logged.items():
            if gateway.is_running and _has_adopted(gateway, size):
                return gateway
        await asyncio.sleep(POLL_SECONDS)
    return None


def _log_bytes(gateway: 'GatewayProcess') -> int:
    log = gateway.place.log
    return log.stat().st_size if log.exists() else 0


def _has_adopted(gateway: 'GatewayProcess', size: int) -> bool:
    with gateway.place.log.open('rb') as log:
        log.seek(size)
        return ADOPTED in log.read()
