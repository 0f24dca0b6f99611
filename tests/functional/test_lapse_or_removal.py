"""Entries that disappear right after a host has regained the store.

Upstreams cannot renew their entries during an outage of the store, so an entry
that disappears afterwards may have expired. It was removed if another host had
contact to the store during the outage or regained it earlier.
"""

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
    """Run a test with a time limit."""

    async def main() -> None:
        async with asyncio.timeout(60):
            await test()

    asyncio.run(main())


@dataclass(frozen=True)
class ProxiedHost:
    """A host that reaches the store through a proxy, in a fleet of two.

    Attributes:
        host: The host.
        proxy: The proxy between the host and the store.
        fleet: The fleet. The proxy does not affect its other host.
    """

    host: GatewayHost
    proxy: Proxy
    fleet: Fleet

    async def cut_off(self, mode: Mode) -> None:
        """Cut the host off from the store and wait until it has noticed."""
        self.proxy.set_mode(mode)
        await until(lambda: self.host.contact.is_lost)

    async def bring_back(self) -> None:
        """Restore the connection of the host to the store."""
        self.proxy.set_mode(Mode.carry)
        self.proxy.reset_all()
        contact = self.host.contact
        await until(lambda: contact.is_held and self.host.is_sentinel)

    async def remove(self, name: str) -> None:
        """Remove an upstream and wait until the host has read the removal."""
        store = self.fleet.store
        store.delete('servers', name)
        revision = store.revision
        catalog = self.host.local_state.catalog
        await until(lambda: catalog.revision.number >= revision)


@asynccontextmanager
async def proxied_host() -> AsyncIterator[ProxiedHost]:
    """Run two hosts that both watch the store, and two upstreams."""
    upstreams = [UpstreamStandin('i-1'), UpstreamStandin('i-2')]
    async with running_fleet(1, upstreams) as fleet:
        proxy = Proxy(fleet.store.port)
        await proxy.start()
        port = fleet.hosts[0].settings.fleet_ports[0]
        host = await fleet.start_host(1, port, proxy.port)
        await until(fleet.knows_all)
        await until(lambda: host.is_sentinel)
        yield ProxiedHost(host, proxy, fleet)
        await proxy.stop()


def uses(host: GatewayHost, name: str) -> bool:
    """Return whether a host would send requests to an upstream."""
    known = host.local_state.catalog.of_service('views')
    return name in {upstream.name for upstream in known}


@pytest.mark.parametrize('mode', [Mode.reset, Mode.silence])
def test_a_removal_is_applied_if_another_host_kept_the_store(
    mode: Mode,
) -> None:
    async def test() -> None:
        async with proxied_host() as proxied:
            await proxied.cut_off(mode)
            await proxied.bring_back()
            await proxied.remove('i-2')
            assert not uses(proxied.host, 'i-2')

    run(test)


def test_a_removal_is_applied_if_another_host_regained_the_store_earlier() -> (
    None
):
    async def test() -> None:
        async with proxied_host() as proxied:
            store = proxied.fleet.store
            first_contact = proxied.fleet.hosts[0].contact
            store.status = 503
            await proxied.cut_off(Mode.reset)
            await until(lambda: first_contact.is_lost)
            store.status = None
            await until(lambda: first_contact.is_held)
            # Long enough for entries to be written again and for a heartbeat
            # that reports the contact.
            await asyncio.sleep(RETURN_SECONDS + HEARTBEAT_SECONDS)
            await proxied.bring_back()
            await proxied.remove('i-2')
            assert not uses(proxied.host, 'i-2')

    run(test)


def test_an_entry_missing_after_an_outage_for_all_hosts_is_kept_at_first() -> (
    None
):
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
