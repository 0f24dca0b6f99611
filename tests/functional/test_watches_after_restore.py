"""Watches of a store that reuses revisions after a restore.

The store accepts such a watch as before the restore. The watch misses changes
below the revision from which it continues, so that these reached no host.
"""

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from lib.fleet import ZONES, Fleet, running_fleet
from lib.restores import is_evacuated, is_used, restore, write_upstreams
from lib.rig import until
from lib.specs import configuration_spec, upstream_spec
from lib.upstream_standin import UpstreamStandin

HOSTS = 3
# Writes of all upstreams after the copy, before and after the restore: the
# later ones exceed every revision that a host has read.
LOST_WRITES = 4
LATER_WRITES = 12


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test with a timeout."""

    async def main() -> None:
        async with asyncio.timeout(60):
            await test()

    asyncio.run(main())


def evacuate(fleet: Fleet) -> None:
    fleet.store.put('evacuations', ZONES[1], {})


def configure(fleet: Fleet) -> None:
    fleet.store.put('config', 'main', configuration_spec(9))


def add_upstream(fleet: Fleet) -> None:
    fleet.store.put('servers', 'i-new', upstream_spec(9))


@pytest.mark.parametrize('restores', [1, 2])
@pytest.mark.parametrize(
    ('write', 'is_in_force'),
    [
        pytest.param(
            evacuate,
            lambda fleet: is_evacuated(fleet, ZONES[1]),
            id='evacuation',
        ),
        pytest.param(
            configure,
            lambda fleet: all(
                host.local_state.versions.configuration == 9
                for host in fleet.hosts
            ),
            id='configuration',
        ),
        pytest.param(
            add_upstream,
            lambda fleet: all(is_used(fleet, 'i-new')),
            id='new upstream',
        ),
    ],
)
def test_changes_below_the_watched_revision_are_in_force(
    restores: int,
    write: Callable[[Fleet], None],
    is_in_force: Callable[[Fleet], bool],
) -> None:
    async def test() -> None:
        upstreams = [UpstreamStandin(f'i-{number}') for number in range(HOSTS)]
        async with running_fleet(HOSTS, upstreams) as fleet:
            copy = fleet.store.copy()
            for _ in range(LOST_WRITES):
                write_upstreams(fleet)
            fleet.store.put('config', 'main', configuration_spec(2))
            await until(
                lambda: all(
                    host.local_state.versions.configuration == 2
                    for host in fleet.hosts
                ),
            )
            # Watches of evacuations continue from this revision.
            fleet.store.put('evacuations', ZONES[0], {})
            await until(lambda: is_evacuated(fleet, ZONES[0]))
            fleet.store.delete('evacuations', ZONES[0])
            await until(lambda: not is_evacuated(fleet, ZONES[0]))
            for _ in range(restores):
                await restore(fleet, copy)
            write(fleet)
            for _ in range(LATER_WRITES):
                write_upstreams(fleet)
            await until(lambda: is_in_force(fleet))

    run(test)
