"""Host names of routes and requests, in any case."""

import asyncio

import pytest
from lib.rig import Caller, Rig
from lib.specs import configuration_spec, route_spec
from lib.upstream_standin import UpstreamStandin


@pytest.mark.parametrize('configured', ['music.example', 'Music.EXAMPLE'])
@pytest.mark.parametrize('sent', ['music.example', 'MUSIC.example:8381'])
def test_a_route_is_found_whatever_the_case_of_its_host(
    configured: str, sent: str
) -> None:
    """The name of the caller was turned to lower case, the route's was not."""
    route = route_spec('/read/', 'safe', host=configured)

    async def test() -> None:
        async with Rig(UpstreamStandin('i-1')) as rig, asyncio.timeout(20):
            rig.store.put('config', 'main', configuration_spec(2, read=route))
            state = rig.gateway.local_state
            await rig.until(
                lambda: (
                    state.steering is not None and state.steering.version == 2
                )
            )
            caller = await Caller.connect(rig)
            caller.writer.write(
                b'GET /read/x HTTP/1.1\r\nHost: %b\r\n'
                b'Wardstair-Attempt-Id: r1\r\n\r\n' % sent.encode()
            )
            assert (await caller.answer()).status == 200
            caller.close()

    asyncio.run(test())
