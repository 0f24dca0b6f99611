"""A host that starts after a restore of the store and finds an older life.

All hosts had ended. The copy lists the life of an upstream that has started
again since: the host takes the new one, which is cold, for the old one, and
floods it until the upstream has written its entry again. Found by the soak.
"""

import asyncio

from lib.beats import peer_of
from lib.fleet import Fleet, Load
from lib.rig import free_ports, until
from lib.specs import Stored, configuration_spec, upstream_spec
from lib.upstream_standin import UpstreamStandin

from wardstair.platform.objects import HOST_KIND, RegisteredHost, encode_host

# What the configuration says that a cold upstream bears in a second, with the
# bounds that gateways have when nothing else is said.
COLD_RATE = 10.0
COLD_OVERSHOOT = 1.5
COLD_SLACK = 5
MOST_COLD = int(COLD_RATE * COLD_OVERSHOOT + COLD_SLACK)
CALLER_RATE = 200.0
# Less than upstreams take to write again, and no more than one window.
PLAYED_SECONDS = 0.9


def life_of(upstream: UpstreamStandin, born: int, cold_ms: float) -> Stored:
    """Return the entry of one life of an upstream."""
    entry = upstream_spec(upstream.port, cold_left_ms=cold_ms)
    return {**entry, 'born': born}


def test_the_next_life_of_an_upstream_is_not_flooded() -> None:
    async def test() -> None:
        upstream = UpstreamStandin('i-0')
        await upstream.start()
        fleet = Fleet(upstreams=[upstream])
        store = fleet.store
        store.start()
        store.put('config', 'main', configuration_spec(1))
        store.put('servers', 'i-0', life_of(upstream, 1000, 0))
        copy = store.copy()
        store.put('servers', 'i-0', life_of(upstream, 2000, 3000))
        store.restore(copy)
        (port,) = free_ports(1)
        host = await fleet.start_host(0, port)
        await until(lambda: host.is_ready)
        await until(lambda: bool(host.local_state.catalog.of_service('views')))
        load = Load(CALLER_RATE)
        await load.play(fleet.hosts, PLAYED_SECONDS)
        came = len(upstream.seen)
        await host.close()
        await upstream.stop()
        await store.stop()
        assert came <= MOST_COLD

    async def main() -> None:
        async with asyncio.timeout(60):
            await test()

    asyncio.run(main())


def test_upstreams_are_not_cold_in_an_era_stated_as_complete() -> None:
    async def test() -> None:
        upstream = UpstreamStandin('i-0')
        await upstream.start()
        fleet = Fleet(upstreams=[upstream])
        store = fleet.store
        store.start()
        store.put('config', 'main', configuration_spec(1))
        store.put('servers', 'i-0', life_of(upstream, 1000, 0))
        store.restore(store.copy())
        registered = RegisteredHost(peer_of('host-9'), 1, store.era)
        store.put(HOST_KIND, 'host-9', encode_host(registered)['spec'])
        (port,) = free_ports(1)
        host = await fleet.start_host(0, port)
        catalog = host.local_state.catalog
        await until(lambda: bool(catalog.of_service('views')))
        assert not catalog.upstreams['i-0'].is_cold(catalog.clock())
        await host.close()
        await upstream.stop()
        await store.stop()

    async def main() -> None:
        async with asyncio.timeout(60):
            await test()

    asyncio.run(main())
