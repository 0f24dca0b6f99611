"""What a refused connection says of an upstream, and of who listens next.

An upstream that starts again under its name is cold. Until hosts have read its
new entry they take it for the life before, and would send at full rate: 21
requests in a second came to one that bears 8, from hosts that had only been
refused.
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
def test_refused_without_an_open_connection_counts_as_ended(
    keeps_connection: bool,
) -> None:
    one = UpstreamStandin('i-1')

    async def test(rig: Rig) -> None:
        # A request that may run once does not use a connection of another.
        assert (await rig.ask()).status == 200
        if keeps_connection:
            one.refuse()
        else:
            await one.stop()
        known = rig.gateway.local_state.catalog.upstreams['i-1']
        pool = rig.gateway.pool
        if not keeps_connection:
            await rig.until(lambda: not pool.is_connected('i-1'))
        made = await pool.connect('i-1', known.entry.host, known.entry.port)
        assert made.is_dead is not keeps_connection  # type: ignore[union-attr]
        if keeps_connection:
            return
        assert (await rig.ask(request_id='r2')).status == 503
        # Whoever listens there next gets what a cold one bears, until its own
        # entry says more.
        assert known.is_cold(time.monotonic())
        await one.start()
        entry = {**upstream_spec(one.port), 'born': 5}
        rig.store.put('servers', 'i-1', entry)
        catalog = rig.gateway.local_state.catalog
        await rig.until(lambda: catalog.upstreams['i-1'].entry.born == 5)
        assert not catalog.upstreams['i-1'].is_cold(time.monotonic())
        caller = await Caller.connect(rig)
        assert (await caller.ask(request_id='r3')).status == 200
        caller.close()

    run(test, one)


def test_without_cold_starts_a_refused_connection_costs_no_more() -> None:
    one = UpstreamStandin('i-1')

    async def test(rig: Rig) -> None:
        spec = configuration_spec(2)
        services = spec['services']
        assert isinstance(services, dict)
        services['views'].pop('cold_per_s')
        rig.store.put('config', 'main', spec)
        belief = rig.gateway.local_state
        await rig.until(lambda: belief.versions.configuration == 2)
        await one.stop()
        assert (await rig.ask()).status == 503
        known = belief.catalog.upstreams['i-1']
        # A cold upstream would get nothing at all there.
        assert not known.is_cold(time.monotonic())
        belief.suspects.note_ended((f'{1:016x}',), known.life)
        assert known.is_avoided(time.monotonic())
        assert not known.is_cold(time.monotonic())

    run(test, one)
