"""An entry that vanishes right after a host has the store back."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

import pytest
from lib.fleet import Fleet, running_fleet
from lib.rig import until
from lib.upstream_standin import UpstreamStandin
from soak.proxy import Mode, Proxy

from wardstair.fleet.heartbeat_endpoint import HEARTBEAT_SECONDS
from wardstair.gateway.host import GatewayHost
from wardstair.state.catalog import RETURN_SECONDS


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test within a bound of time."""

    async def main() -> None:
        async with asyncio.timeout(60):
            await test()

    asyncio.run(main())


@dataclass(frozen=True)
class LateHost:
    """A host that may lose its way to the store, in a fleet of two.

    Attributes:
        host: The host.
        proxy: Its way to the store.
        fleet: With the other host, which is never cut off.
    """

    host: GatewayHost
    proxy: Proxy
    fleet: Fleet

    async def cut_off(self, mode: Mode) -> None:
        """Cut the host off from the store until it has noticed."""
        self.proxy.set_mode(mode)
        await until(lambda: self.host.contact.is_lost)

    async def bring_back(self) -> None:
        """Give the host its way to the store back."""
        self.proxy.set_mode(Mode.carry)
        self.proxy.reset_all()
        contact = self.host.contact
        await until(lambda: contact.is_held and self.host.is_sentinel)

    async def remove(self, name: str) -> None:
        """Remove an upstream, and wait until the host has read that."""
        store = self.fleet.store
        store.delete('servers', name)
        revision = store.revision
        catalog = self.host.local_state.catalog
        await until(lambda: catalog.revision.number >= revision)


@asynccontextmanager
async def late_host() -> AsyncIterator[LateHost]:
    """Run two hosts that both follow the store, and two upstreams."""
    upstreams = [UpstreamStandin('i-1'), UpstreamStandin('i-2')]
    async with running_fleet(1, upstreams) as fleet:
        proxy = Proxy(fleet.store.port)
        await proxy.start()
        port = fleet.hosts[0].settings.fleet_ports[0]
        host = await fleet.start_host(1, port, proxy.port)
        await until(fleet.knows_all)
        await until(lambda: host.is_sentinel)
        yield LateHost(host, proxy, fleet)
        await proxy.stop()


def uses(host: GatewayHost, name: str) -> bool:
    """Return whether a host would send requests to an upstream."""
    known = host.local_state.catalog.of_service('views')
    return name in {upstream.name for upstream in known}


@pytest.mark.parametrize('mode', [Mode.reset, Mode.silence])
def test_a_removal_is_no_lapse_where_another_host_had_the_store(
    mode: Mode,
) -> None:
    async def test() -> None:
        async with late_host() as late:
            await late.cut_off(mode)
            await late.bring_back()
            await late.remove('i-2')
            assert not uses(late.host, 'i-2')

    run(test)


def test_a_removal_is_no_lapse_where_another_host_had_the_store_back() -> None:
    async def test() -> None:
        async with late_host() as late:
            store = late.fleet.store
            first = late.fleet.hosts[0].contact
            store.status = 503
            await late.cut_off(Mode.reset)
            await until(lambda: first.is_lost)
            store.status = None
            await until(lambda: first.is_held)
            # Long enough for entries to be back, and to tell of it.
            await asyncio.sleep(RETURN_SECONDS + HEARTBEAT_SECONDS)
            await late.bring_back()
            await late.remove('i-2')
            assert not uses(late.host, 'i-2')

    run(test)


def test_what_vanishes_after_the_store_was_away_for_all_is_kept() -> None:
    async def test() -> None:
        upstreams = [UpstreamStandin('i-1'), UpstreamStandin('i-2')]
        async with running_fleet(2, upstreams) as fleet:
            fleet.store.status = 503
            await until(
                lambda: all(host.contact.is_lost for host in fleet.hosts)
            )
            heartbeat = fleet.hosts[0].live_settings.current.heartbeat
            await asyncio.sleep(heartbeat.tolerated_outage_seconds)
            fleet.store.status = None
            await until(lambda: any(one.contact.is_held for one in fleet.hosts))
            fleet.store.delete('servers', 'i-2')
            revision = fleet.store.revision
            for host in fleet.hosts:
                catalog = host.local_state.catalog
                await until(lambda: catalog.revision.number >= revision)  # noqa: B023
                assert uses(host, 'i-2')
            await until(
                lambda: not any(uses(one, 'i-2') for one in fleet.hosts)
            )

    run(test)
