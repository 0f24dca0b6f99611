"""Refused connections as evidence that an upstream has exited.

An upstream that restarts under its name is cold. Until hosts have read its new
entry, they take it for the previous incarnation. If a refused connection did
not count as its exit, hosts would send at full rate: an upstream that can take
8 requests in a second received 21 from hosts that had only been refused.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable

import pytest
from lib.rig import Caller, Rig
from lib.specs import configuration_spec, upstream_spec
from lib.upstream_standin import UpstreamStandin

Test = Callable[[Rig], Awaitable[None]]


def run(test: Test, *upstreams: UpstreamStandin) -> None:
    """Run a test against a gateway with these upstreams."""

    async def main() -> None:
        async with Rig(*upstreams) as rig, asyncio.timeout(25):
            await test(rig)

    asyncio.run(main())


@pytest.mark.parametrize('keeps_connection', [False, True])
def test_a_refusal_without_open_connections_counts_as_an_exit(
    keeps_connection: bool,
) -> None:
    upstream = UpstreamStandin('i-1')

    async def test(rig: Rig) -> None:
        # Once-only requests do not reuse the connection of another request.
        assert (await rig.ask()).status == 200
        if keeps_connection:
            upstream.refuse()
        else:
            await upstream.stop()
        known = rig.gateway.local_state.catalog.upstreams['i-1']
        pool = rig.gateway.pool
        if not keeps_connection:
            await rig.until(lambda: not pool.is_connected('i-1'))
        made = await pool.connect('i-1', known.entry.host, known.entry.port)
        assert made.is_dead is not keeps_connection  # type: ignore[union-attr]
        if keeps_connection:
            return
        assert (await rig.ask(request_id='r2')).status == 503
        # The next process at this address is assumed cold until its own entry
        # is read.
        assert known.is_cold(time.monotonic())
        await upstream.start()
        entry = {**upstream_spec(upstream.port), 'born': 5}
        rig.store.put('servers', 'i-1', entry)
        catalog = rig.gateway.local_state.catalog
        await rig.until(lambda: catalog.upstreams['i-1'].entry.born == 5)
        assert not catalog.upstreams['i-1'].is_cold(time.monotonic())
        caller = await Caller.connect(rig)
        assert (await caller.ask(request_id='r3')).status == 200
        caller.close()

    run(test, upstream)


def test_a_refusal_does_not_make_upstreams_without_cold_starts_cold() -> None:
    upstream = UpstreamStandin('i-1')

    async def test(rig: Rig) -> None:
        spec = configuration_spec(2)
        services = spec['services']
        assert isinstance(services, dict)
        services['views'].pop('cold_per_s')
        rig.store.put('config', 'main', spec)
        local_state = rig.gateway.local_state
        await rig.until(lambda: local_state.versions.configuration == 2)
        await upstream.stop()
        assert (await rig.ask()).status == 503
        known = local_state.catalog.upstreams['i-1']
        # A cold upstream of this service would get no requests at all.
        assert not known.is_cold(time.monotonic())
        local_state.suspects.note_ended((f'{1:016x}',), known.incarnation)
        assert known.is_avoided(time.monotonic())
        assert not known.is_cold(time.monotonic())

    run(test, upstream)
