"""A store that is restored from a copy without the latest changes."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from lib.fleet import ZONES, Fleet, running_fleet
from lib.restores import is_evacuated, is_used, restore, write_again
from lib.rig import until
from lib.specs import upstream_spec
from lib.upstream_standin import UpstreamStandin

from wardstair.state.catalog import RETURN_SECONDS

HOSTS = 3
# Time in which the operator and the upstreams have not repeated their writes.
SILENT_SECONDS = 1.0


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test with a timeout."""

    async def main() -> None:
        async with asyncio.timeout(60):
            await test()

    asyncio.run(main())


def knows_new_era(fleet: Fleet) -> bool:
    return all(
        host.local_state.evacuations_revision.era == fleet.store.era
        for host in fleet.hosts
    )


async def stays_true(is_true: Callable[[], bool], seconds: float) -> bool:
    """Return whether a condition holds at every check for some seconds."""
    end = asyncio.get_running_loop().time() + seconds
    while asyncio.get_running_loop().time() < end:
        if not is_true():
            return False
        await asyncio.sleep(0.01)
    return True


@pytest.mark.parametrize('restores', [1, 2])
def test_an_evacuation_stays_in_force_until_it_is_written_again(
    restores: int,
) -> None:
    async def test() -> None:
        upstreams = [UpstreamStandin(f'i-{number}') for number in range(HOSTS)]
        async with running_fleet(HOSTS, upstreams) as fleet:
            copy = fleet.store.copy()
            fleet.store.put('evacuations', ZONES[1], {})
            await until(lambda: is_evacuated(fleet, ZONES[1]))
            for _ in range(restores):
                await restore(fleet, copy)
                write_again(fleet, 2)
                # A host that starts now and reads the copy learns it as well.
                port = fleet.hosts[0].settings.fleet_ports[0]
                host = await fleet.start_host(len(fleet.hosts), port)
                await until(lambda: knows_new_era(fleet))
                await until(lambda: host.is_ready)  # noqa: B023
                await until(lambda: is_evacuated(fleet, ZONES[1]))
                assert await stays_true(
                    lambda: is_evacuated(fleet, ZONES[1]),
                    SILENT_SECONDS,
                )
            fleet.store.put('evacuations', ZONES[1], {})
            await until(
                lambda: (
                    not any(host.local_state.kept_zones for host in fleet.hosts)
                )
            )
            assert is_evacuated(fleet, ZONES[1])
            fleet.store.delete('evacuations', ZONES[1])
            await until(
                lambda: (
                    not any(host.local_state.evacuated for host in fleet.hosts)
                )
            )

    run(test)


@pytest.mark.parametrize('restores', [1, 2])
@pytest.mark.parametrize('has_left', [False, True])
def test_an_upstream_that_leaves_is_not_used_again(
    restores: int,
    *,
    has_left: bool,
) -> None:
    async def test() -> None:
        upstreams = [UpstreamStandin(f'i-{number}') for number in range(HOSTS)]
        async with running_fleet(HOSTS, upstreams) as fleet:
            copy = fleet.store.copy()
            store = fleet.store
            if has_left:
                store.delete('servers', 'i-0')
            else:
                spec = upstream_spec(upstreams[0].port, state='draining')
                store.put('servers', 'i-0', spec)
            await until(lambda: not any(is_used(fleet, 'i-0')))
            for _ in range(restores):
                await restore(fleet, copy)
                assert await stays_true(
                    lambda: not any(is_used(fleet, 'i-0')),
                    SILENT_SECONDS,
                )
                assert knows_new_era(fleet)
            # The store removes the entry, as it is no longer renewed.
            store.delete('servers', 'i-0')
            assert await stays_true(
                lambda: not any(is_used(fleet, 'i-0')),
                SILENT_SECONDS,
            )

    run(test)


def test_an_upstream_missing_in_the_copy_is_used_until_it_registers() -> None:
    async def test() -> None:
        upstreams = [UpstreamStandin(f'i-{number}') for number in range(HOSTS)]
        async with running_fleet(HOSTS, upstreams) as fleet:
            copy = fleet.store.copy()
            fleet.store.put('servers', 'i-new', upstream_spec(9))
            await until(lambda: all(is_used(fleet, 'i-new')))
            await restore(fleet, copy)
            assert await stays_true(
                lambda: all(is_used(fleet, 'i-new')),
                SILENT_SECONDS,
            )
            fleet.store.put('servers', 'i-new', upstream_spec(9))
            assert await stays_true(
                lambda: all(is_used(fleet, 'i-new')),
                RETURN_SECONDS + SILENT_SECONDS,
            )

    run(test)
