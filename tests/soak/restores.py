"""Restores of the store, and a check that later writes take effect."""

import asyncio
import time

from lib.specs import Stored
from lib.store_standin import StoreCopy, StoredKind

from soak.faults import Scene
from soak.ledger import Ledger
from soak.upstreams import SoakUpstream

# Kinds that the operator and the upstreams write; hosts write the others.
CONFIGURATION = 'config'
EVACUATIONS = 'evacuations'
UPSTREAMS = 'servers'
# Additional changes that a restore loses, so that revisions are issued again.
LOST_CHANGES = 40
MAX_OUTAGE_SECONDS = 1.0
# Time after which hosts have received what was written.
PROPAGATION_SECONDS = 1.0
# The store expires an entry that is not renewed for three heartbeats.
EXPIRY_SECONDS = 4.5
# Documented time after which an evacuated zone gets no requests.
EVACUATED_SECONDS = 5.0
WATCHED_SECONDS = 2.0


async def restore_store(scene: Scene) -> None:
    """Restore the store from a copy some seconds old, once or twice in a row.

    The writers of changes that the copy lacks write them again.
    """
    times = scene.random.randint(1, 2)
    async with scene.restoring:
        for _ in range(times):
            await _restore_once(scene)
        await asyncio.sleep(EXPIRY_SECONDS)
        _delete_stale_entries(scene)


async def _restore_once(scene: Scene) -> None:
    store = scene.store
    copy = store.copy()
    for number in range(LOST_CHANGES):
        store.put('unrelated', 'one', {'number': number})
    await _evacuate_briefly(scene)
    await asyncio.sleep(scene.draw_seconds())
    store.status = 503
    await asyncio.sleep(scene.random.random() * MAX_OUTAGE_SECONDS)
    lost = store.copy()
    store.restore(copy)
    await asyncio.sleep(scene.random.random())
    for kind in (CONFIGURATION, UPSTREAMS):
        _write_again(scene, kind, copy, lost)
    _evacuate_again(scene)


async def _evacuate_briefly(scene: Scene) -> None:
    """Write an evacuation and its end with revisions that will be lost."""
    zone = scene.random.choice(scene.zones)
    if zone in scene.evacuated:
        return
    scene.evacuate(zone)
    # Hosts that have just started may receive it only after this long.
    await asyncio.sleep(EVACUATED_SECONDS)
    scene.end_evacuation(zone)
    await asyncio.sleep(PROPAGATION_SECONDS)


def _objects(copy: StoreCopy, kind: str) -> dict[str, Stored]:
    return copy.kinds.get(kind, StoredKind()).objects


def _write_again(
    scene: Scene,
    kind: str,
    copy: StoreCopy,
    lost: StoreCopy,
) -> None:
    """Write lost objects again unless they have changed since the restore."""
    copied = _objects(copy, kind)
    present = scene.store.kind(kind).objects
    for name, stored in _objects(lost, kind).items():
        is_lost = copied.get(name) != stored
        if is_lost and present.get(name) == copied.get(name):
            scene.store.put(kind, name, stored['spec'])


def _evacuate_again(scene: Scene) -> None:
    """Write lost evacuations and ends of evacuations again."""
    present = set(scene.store.kind(EVACUATIONS).objects)
    for zone in scene.evacuated - present:
        scene.evacuate(zone)
    for zone in present - scene.evacuated:
        scene.end_evacuation(zone)


def _delete_stale_entries(scene: Scene) -> None:
    """Delete entries of upstreams that no longer exist."""
    living = {one.name for one in scene.upstreams}
    for name in scene.store.kind(UPSTREAMS).objects.keys() - living:
        scene.store.delete(UPSTREAMS, name)


async def check_evacuation(
    scene: Scene,
    upstreams: list[SoakUpstream],
    ledger: Ledger,
) -> None:
    """Evacuate a zone without faults and check that it gets no requests.

    Args:
        scene: The scene after the last fault.
        upstreams: All upstreams.
        ledger: Where a violation is recorded.
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
