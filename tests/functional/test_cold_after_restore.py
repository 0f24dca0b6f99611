"""Cold upstreams after a restore of the store while no host was running.

The restored copy lists an earlier incarnation of an upstream that has
restarted since. A host that starts now takes the new incarnation, which is
cold, for the old one and sends it too many requests until the upstream writes
its entry again.
"""

import asyncio

from lib.beats import peer_of
from lib.fleet import Fleet, Load
from lib.rig import free_ports, until
from lib.specs import Stored, configuration_spec, upstream_spec
from lib.upstream_standin import UpstreamStandin

from wardstair.platform.objects import HOST_KIND, RegisteredHost, encode_host

# Requests per second that the configuration allows to a cold upstream, and the
# default bounds of gateways.
COLD_RATE = 10.0
COLD_OVERSHOOT = 1.5
COLD_SLACK = 5
MAX_COLD_REQUESTS = int(COLD_RATE * COLD_OVERSHOOT + COLD_SLACK)
CALLER_RATE = 200.0
# Shorter than the time in which upstreams write their entries again, and no
# longer than one window.
PLAYED_SECONDS = 0.9


def incarnation_spec(
    upstream: UpstreamStandin, born: int, cold_ms: float
) -> Stored:
    """Return the entry of one incarnation of an upstream."""
    entry = upstream_spec(upstream.port, cold_left_ms=cold_ms)
    return {**entry, 'born': born}


def test_the_next_incarnation_of_an_upstream_is_not_flooded() -> None:
    async def test() -> None:
        upstream = UpstreamStandin('i-0')
        await upstream.start()
        fleet = Fleet(upstreams=[upstream])
        store = fleet.store
        store.start()
        store.put('config', 'main', configuration_spec(1))
        store.put('servers', 'i-0', incarnation_spec(upstream, 1000, 0))
        copy = store.copy()
        store.put('servers', 'i-0', incarnation_spec(upstream, 2000, 3000))
        store.restore(copy)
        (port,) = free_ports(1)
        host = await fleet.start_host(0, port)
        await until(lambda: host.is_ready)
        await until(lambda: bool(host.local_state.catalog.of_service('views')))
        load = Load(CALLER_RATE)
        await load.play(fleet.hosts, PLAYED_SECONDS)
        received = len(upstream.seen)
        await host.close()
        await upstream.stop()
        await store.stop()
        assert received <= MAX_COLD_REQUESTS

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
        store.put('servers', 'i-0', incarnation_spec(upstream, 1000, 0))
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
