"""The store comes back from a copy, and whether what follows is in force."""

import asyncio
import time

from lib.specs import Stored
from lib.store_standin import StoreCopy, StoredKind

from soak.faults import Scene
from soak.ledger import Ledger
from soak.upstreams import SoakUpstream

# Written by the operator and the upstreams; the rest is the hosts' own.
CONFIGURATION = 'config'
EVACUATIONS = 'evacuations'
UPSTREAMS = 'servers'
# Changes that a restore loses beside others, so that numbers are issued again.
LOST_CHANGES = 40
LONGEST_AWAY_SECONDS = 1.0
# Hosts know by then what was written.
KNOWN_SECONDS = 1.0
# The store drops an entry that nobody renews for three heartbeats.
LAPSE_SECONDS = 4.5
# Time after which a zone that is being emptied gets nothing; the users' bound.
EVACUATED_SECONDS = 5.0
WATCHED_SECONDS = 2.0


async def restore_store(scene: Scene) -> None:
    """Restore the store from a copy some seconds old, once or twice in a row.

    Who wrote what the copy lacks writes it again.
    """
    times = scene.random.randint(1, 2)
    async with scene.restoring:
        for _ in range(times):
            await _restore_once(scene)
        await asyncio.sleep(LAPSE_SECONDS)
        _drop_silent(scene)


async def _restore_once(scene: Scene) -> None:
    store = scene.store
    copy = store.copy()
    for number in range(LOST_CHANGES):
        store.put('unrelated', 'one', {'number': number})
    await _evacuate_shortly(scene)
    await asyncio.sleep(scene.draw_seconds())
    store.status = 503
    await asyncio.sleep(scene.random.random() * LONGEST_AWAY_SECONDS)
    lost = store.copy()
    store.restore(copy)
    await asyncio.sleep(scene.random.random())
    for kind in (CONFIGURATION, UPSTREAMS):
        _write_again(scene, kind, copy, lost)
    _evacuate_again(scene)


async def _evacuate_shortly(scene: Scene) -> None:
    """Let hosts know an evacuation, and its end, by numbers that are lost."""
    zone = scene.random.choice(scene.zones)
    if zone in scene.evacuated:
        return
    scene.evacuate(zone)
    # Hosts that have just started do not all know it sooner.
    await asyncio.sleep(EVACUATED_SECONDS)
    scene.end_evacuation(zone)
    await asyncio.sleep(KNOWN_SECONDS)


def _objects(copy: StoreCopy, kind: str) -> dict[str, Stored]:
    return copy.kinds.get(kind, StoredKind()).objects


def _write_again(
    scene: Scene,
    kind: str,
    copy: StoreCopy,
    lost: StoreCopy,
) -> None:
    """Write what was lost and nobody has changed since the restore."""
    copied = _objects(copy, kind)
    present = scene.store.kind(kind).objects
    for name, stored in _objects(lost, kind).items():
        is_lost = copied.get(name) != stored
        if is_lost and present.get(name) == copied.get(name):
            scene.store.put(kind, name, stored['spec'])


def _evacuate_again(scene: Scene) -> None:
    """Write evacuations, and their ends, that were lost."""
    present = set(scene.store.kind(EVACUATIONS).objects)
    for zone in scene.evacuated - present:
        scene.evacuate(zone)
    for zone in present - scene.evacuated:
        scene.end_evacuation(zone)


def _drop_silent(scene: Scene) -> None:
    """Drop entries of upstreams that are not there any more."""
    living = {one.name for one in scene.upstreams}
    for name in scene.store.kind(UPSTREAMS).objects.keys() - living:
        scene.store.delete(UPSTREAMS, name)


async def check_evacuation(
    scene: Scene,
    upstreams: list[SoakUpstream],
    ledger: Ledger,
) -> None:
    """Empty a zone in quiet and see whether its upstreams get anything.

    Args:
        scene: With the store, after the last fault.
        upstreams: All upstreams.
        ledger: Told of a broken promise.
    """
    zone = scene.random.choice(scene.zones)
    scene.evacuate(zone)
    await asyncio.sleep(EVACUATED_SECONDS)
    begin = time.monotonic()
    await asyncio.sleep(WATCHED_SECONDS)
    names = {one.name for one in upstreams if one.zone == zone}
    late = [
        run.upstream
        for one in ledger.tries.values()
        for run in one.runs
        if run.upstream in names and run.at >= begin
    ]
    scene.end_evacuation(zone)
    if late:
        ledger.broken.append(
            f'{len(late)} requests ran in {zone} later than '
            f'{EVACUATED_SECONDS} s after its evacuation',
        )
