"""After a simultaneous start of all hosts, some host watches the store."""

import asyncio
from collections.abc import Awaitable, Callable

from lib.fleet import ZONES, Fleet
from lib.rig import free_ports, until
from lib.specs import configuration_spec

HOSTS = 2
POLL_SECONDS = 0.01


def run(test: Callable[[Fleet], Awaitable[None]]) -> None:
    """Run a test with a fleet that has no host yet, with a time limit."""

    async def main() -> None:
        fleet = Fleet()
        fleet.store.start()
        fleet.store.put('config', 'main', configuration_spec(1))
        try:
            async with asyncio.timeout(30):
                await test(fleet)
        finally:
            for host in fleet.hosts:
                await host.close()
            await fleet.store.stop()

    asyncio.run(main())


def test_some_host_always_watches_the_store_after_all_have_started() -> None:
    async def test(fleet: Fleet) -> None:
        (port,) = free_ports(1)
        # Multiples of the number of zones put all hosts into one zone.
        for number in range(HOSTS):
            await fleet.start_host(number * len(ZONES), port)
        hosts = fleet.hosts
        await until(lambda: all(one.is_ready for one in hosts))
        while not all(one.chooser.view.is_settled for one in hosts):
            assert any(one.members.is_relay for one in hosts)
            await asyncio.sleep(POLL_SECONDS)

    run(test)
