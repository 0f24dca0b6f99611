"""A fleet whose store is restored from a copy that lacks what is in force."""

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
# Until the operator and the upstreams have written again.
SILENT_SECONDS = 1.0


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test within a bound of time."""

    async def main() -> None:
        async with asyncio.timeout(60):
            await test()

    asyncio.run(main())


def has_noticed(fleet: Fleet) -> bool:
    return all(
        host.local_state.evacuations_revision.era == fleet.store.era
        for host in fleet.hosts
    )


async def holds(is_true: Callable[[], bool], seconds: float) -> bool:
    """Return whether something is true at each look during some time."""
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
                # Also a host that starts now, and reads the copy.
                port = fleet.hosts[0].settings.fleet_ports[0]
                host = await fleet.start_host(len(fleet.hosts), port)
                await until(lambda: has_noticed(fleet))
                await until(lambda: host.is_ready)  # noqa: B023
                await until(lambda: is_evacuated(fleet, ZONES[1]))
                assert await holds(
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
                assert await holds(
                    lambda: not any(is_used(fleet, 'i-0')),
                    SILENT_SECONDS,
                )
                assert has_noticed(fleet)
            # The store notices its silence.
            store.delete('servers', 'i-0')
            assert await holds(
                lambda: not any(is_used(fleet, 'i-0')),
                SILENT_SECONDS,
            )

    run(test)


def test_an_upstream_that_the_copy_lacks_is_used_until_it_is_back() -> None:
    async def test() -> None:
        upstreams = [UpstreamStandin(f'i-{number}') for number in range(HOSTS)]
        async with running_fleet(HOSTS, upstreams) as fleet:
            copy = fleet.store.copy()
            fleet.store.put('servers', 'i-new', upstream_spec(9))
            await until(lambda: all(is_used(fleet, 'i-new')))
            await restore(fleet, copy)
            assert await holds(
                lambda: all(is_used(fleet, 'i-new')),
                SILENT_SECONDS,
            )
            fleet.store.put('servers', 'i-new', upstream_spec(9))
            assert await holds(
                lambda: all(is_used(fleet, 'i-new')),
                RETURN_SECONDS + SILENT_SECONDS,
            )

    run(test)
