"""An entry that vanishes right after a host has the store back."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from lib.fleet import running_fleet
from lib.rig import until
from lib.upstream_standin import UpstreamStandin
from soak.proxy import Mode, Proxy

from wardstair.fleet.radio import BEAT_SECONDS
from wardstair.gateway.host import GatewayHost
from wardstair.state.catalog import RETURN_SECONDS


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test within a bound of time."""

    async def main() -> None:
        async with asyncio.timeout(60):
            await test()

    asyncio.run(main())


def uses(host: GatewayHost, name: str) -> bool:
    """Return whether a host would send requests to an upstream."""
    known = host.belief.catalog.of_service('views')
    return name in {upstream.name for upstream in known}


@pytest.mark.parametrize('mode', [Mode.reset, Mode.silence])
def test_a_removal_is_no_lapse_where_another_host_had_the_store(
    mode: Mode,
) -> None:
    async def test() -> None:
        upstreams = [UpstreamStandin('i-1'), UpstreamStandin('i-2')]
        async with running_fleet(1, upstreams) as fleet:
            proxy = Proxy(fleet.store.port)
            await proxy.start()
            port = fleet.hosts[0].settings.fleet_ports[0]
            late = await fleet.start_host(1, port, proxy.port)
            await until(fleet.knows_all)
            # Both follow the store by themselves.
            await until(lambda: late.is_sentinel)
            proxy.set_mode(mode)
            await until(lambda: late.contact.is_lost)
            proxy.set_mode(Mode.carry)
            proxy.reset_all()
            await until(lambda: late.contact.is_held and late.is_sentinel)
            fleet.store.delete('servers', 'i-2')
            revision = fleet.store.revision
            await until(lambda: late.belief.catalog.revision.number >= revision)
            assert not uses(late, 'i-2')
            await proxy.stop()

    run(test)


def test_a_removal_is_no_lapse_where_another_host_had_the_store_back() -> None:
    async def test() -> None:
        upstreams = [UpstreamStandin('i-1'), UpstreamStandin('i-2')]
        async with running_fleet(1, upstreams) as fleet:
            proxy = Proxy(fleet.store.port)
            await proxy.start()
            port = fleet.hosts[0].settings.fleet_ports[0]
            late = await fleet.start_host(1, port, proxy.port)
            await until(fleet.knows_all)
            await until(lambda: late.is_sentinel)
            proxy.set_mode(Mode.reset)
            fleet.store.status = 503
            first = fleet.hosts[0].contact
            await until(lambda: late.contact.is_lost and first.is_lost)
            fleet.store.status = None
            await until(lambda: first.is_held)
            # Long enough for entries to be back, and to tell of it.
            await asyncio.sleep(RETURN_SECONDS + BEAT_SECONDS)
            proxy.set_mode(Mode.carry)
            await until(lambda: late.contact.is_held and late.is_sentinel)
            fleet.store.delete('servers', 'i-2')
            revision = fleet.store.revision
            await until(lambda: late.belief.catalog.revision.number >= revision)
            assert not uses(late, 'i-2')
            await proxy.stop()

    run(test)


def test_what_vanishes_after_the_store_was_away_for_all_is_kept() -> None:
    async def test() -> None:
        upstreams = [UpstreamStandin('i-1'), UpstreamStandin('i-2')]
        async with running_fleet(2, upstreams) as fleet:
            fleet.store.status = 503
            await until(
                lambda: all(host.contact.is_lost for host in fleet.hosts)
            )
            await asyncio.sleep(RETURN_SECONDS)
            fleet.store.status = None
            await until(lambda: any(one.contact.is_held for one in fleet.hosts))
            fleet.store.delete('servers', 'i-2')
            revision = fleet.store.revision
            for host in fleet.hosts:
                catalog = host.belief.catalog
                await until(lambda: catalog.revision.number >= revision)  # noqa: B023
                assert uses(host, 'i-2')
            await until(
                lambda: not any(uses(one, 'i-2') for one in fleet.hosts)
            )

    run(test)
