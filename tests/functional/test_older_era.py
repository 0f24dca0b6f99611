"""A host that knows an older era of the store than its peers.

Its connection to the store is cut while the store is restored. It learns of the
new era from its peers only. It must neither override their state nor fall
behind.
"""

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from lib.fleet import ZONES, running_fleet
from lib.restores import is_evacuated, is_used, restore, write_again
from lib.rig import until
from lib.specs import upstream_spec
from lib.upstream_standin import UpstreamStandin
from soak.proxy import Mode, Proxy

HOSTS = 3
# Longer than a reconnected host takes to read the store and update its peers.
SETTLED_SECONDS = 1.0


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test with a timeout."""

    async def main() -> None:
        async with asyncio.timeout(60):
            await test()

    asyncio.run(main())


@pytest.mark.parametrize('restores', [1, 2])
@pytest.mark.parametrize('mode', [Mode.reset, Mode.silence])
def test_a_host_in_an_older_era_follows_its_peers(
    restores: int,
    mode: Mode,
) -> None:
    async def test() -> None:
        upstreams = [UpstreamStandin(f'i-{number}') for number in range(HOSTS)]
        async with running_fleet(HOSTS, upstreams) as fleet:
            proxy = Proxy(fleet.store.port)
            await proxy.start()
            port = fleet.hosts[0].settings.fleet_ports[0]
            late = await fleet.start_host(HOSTS, port, proxy.port)
            await until(fleet.knows_all)
            copy = fleet.store.copy()
            # All hosts learn these at high revisions, which the copy lacks.
            fleet.store.put('evacuations', ZONES[0], {})
            await until(lambda: is_evacuated(fleet, ZONES[0]))
            fleet.store.delete('evacuations', ZONES[0])
            await until(lambda: not late.local_state.evacuated)
            proxy.set_mode(mode)
            for number in range(restores):
                await restore(fleet, copy)
                write_again(fleet, number + 2)
            fleet.store.put('evacuations', ZONES[1], {})
            fleet.store.put('servers', 'i-new', upstream_spec(9))
            await until(lambda: is_evacuated(fleet, ZONES[1]))
            await until(lambda: all(is_used(fleet, 'i-new')))
            await until(lambda: late.local_state.versions.configuration > 1)
            assert late.contact.era < fleet.store.era
            proxy.set_mode(Mode.carry)
            await until(lambda: late.contact.era == fleet.store.era)
            await asyncio.sleep(SETTLED_SECONDS)
            assert is_evacuated(fleet, ZONES[1])
            assert all(is_used(fleet, 'i-new'))
            fleet.store.delete('evacuations', ZONES[1])
            fleet.store.delete('servers', 'i-new')
            await until(
                lambda: (
                    not any(host.local_state.evacuated for host in fleet.hosts)
                )
            )
            await until(lambda: not any(is_used(fleet, 'i-new')))
            await proxy.stop()

    run(test)
