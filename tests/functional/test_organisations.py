"""Requests of organisations through a gateway.

Guards against API keys that are sent to upstreams, requests that run without a
valid key, and requests that run outside their organisation's regions.
"""

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from lib.logs import logged
from lib.rig import Caller, Rig
from lib.specs import Stored, configuration_spec, route_spec, upstream_spec
from lib.upstream_standin import UpstreamStandin, answer_full, answer_ok

KEY = 'choir-key-1'
SOUTH_KEY = 'band-key-1'
ADDED_KEY = 'choir-key-2'


def configuration(version: int, *api_keys: str) -> Stored:
    """Return a configuration with two organisations.

    One of them is restricted to the region `south`.

    Args:
        version: Its version.
        api_keys: Keys of the other organisation.
    """
    routes = {
        'read': route_spec('/read/', 'safe'),
        'order': route_spec('/order/', 'unsafe'),
        'open': route_spec('/open/', 'safe', public=True),
        'north': route_spec('/north/', 'safe', allowed_regions=['north']),
    }
    tenants = {
        'choir': {'api_keys': list(api_keys), 'priority': 1},
        'band': {'api_keys': [SOUTH_KEY], 'allowed_regions': ['south']},
    }
    return {**configuration_spec(version, **routes), 'tenants': tenants}


async def adopt(rig: Rig, version: int, *api_keys: str) -> None:
    """Write a version and wait until the gateway has adopted it."""
    rig.store.put('config', 'main', configuration(version, *api_keys))
    local_state = rig.gateway.local_state
    await rig.until(lambda: local_state.versions.configuration == version)


def run(
    test: Callable[[Rig], Awaitable[None]],
    *upstreams: UpstreamStandin,
) -> None:
    async def main() -> None:
        async with Rig(*upstreams) as rig, asyncio.timeout(25):
            await adopt(rig, 2, KEY)
            await test(rig)

    asyncio.run(main())


def test_upstreams_receive_the_organisation_but_not_the_key() -> None:
    full = UpstreamStandin('i-full', answer_full)
    accepting = UpstreamStandin('i-ok', answer_ok)

    async def test(rig: Rig) -> None:
        for number in range(20):
            await rig.ask(
                '/read/x',
                request_id=f'r{number}',
                key=str(number),
                Wardstair_Credential=KEY,
                Wardstair_Tenant='band',
            )
        seen = full.seen + accepting.seen
        # Requests that the full upstream rejected were sent twice.
        assert len(seen) > len({one.request_id for one in seen}) == 20
        for one in seen:
            assert one.header('Wardstair-Tenant') == 'choir'
            assert one.header('Wardstair-Credential') is None
            assert KEY not in one.head

    run(test, full, accepting)


@pytest.mark.parametrize(
    ('target', 'fields', 'status', 'organisation'),
    [
        ('/read/x', {}, 401, None),
        ('/read/x', {'Wardstair_Credential': 'other'}, 401, None),
        ('/read/x', {'Wardstair_Credential': ''}, 401, None),
        ('/read/x', {'Wardstair_Tenant': 'choir'}, 401, None),
        ('/read/x', {'Wardstair_Credential': KEY}, 200, 'choir'),
        ('/open/x', {}, 200, None),
        ('/open/x', {'Wardstair_Tenant': 'choir'}, 200, None),
        ('/open/x', {'Wardstair_Credential': KEY}, 200, 'choir'),
        # No region is permitted by both the route and the organisation.
        ('/north/x', {'Wardstair_Credential': SOUTH_KEY}, 503, None),
        ('/nowhere/x', {}, 404, None),
    ],
)
def test_requests_are_authorised_by_api_key(
    target: str,
    fields: dict[str, str],
    status: int,
    organisation: str | None,
) -> None:
    upstream = UpstreamStandin('i-1')

    async def test(rig: Rig) -> None:
        caller = await Caller.connect(rig)
        with logged() as lines:
            answer = await caller.ask(target, 'GET', b'', 'r1', **fields)
        assert answer.status == status
        assert ('www-authenticate' in answer.headers) is (status == 401)
        assert len(upstream.seen) == (status == 200)
        if upstream.seen:
            seen = upstream.seen[0].header('Wardstair-Tenant')
            assert seen == organisation
        output = ''.join(lines) + answer.body.decode()
        output += rig.gateway.metrics.render().decode()
        assert KEY not in output
        assert SOUTH_KEY not in output

    run(test, upstream)


def test_key_changes_apply_to_an_open_connection() -> None:
    async def test(rig: Rig) -> None:
        caller = await Caller.connect(rig)

        async def status_of(api_key: str) -> int:
            answer = await caller.ask(Wardstair_Credential=api_key)
            return answer.status

        assert await status_of(ADDED_KEY) == 401
        await adopt(rig, 3, KEY, ADDED_KEY)
        assert await status_of(ADDED_KEY) == 200
        await adopt(rig, 4, ADDED_KEY)
        assert await status_of(KEY) == 401
        assert await status_of(ADDED_KEY) == 200

    run(test, UpstreamStandin('i-1'))


def test_an_unknown_key_is_unverified_without_the_store() -> None:
    async def test(rig: Rig) -> None:
        rig.store.status = 503
        rig.store.cut_watches()
        rig.store.status = 503
        await rig.until(lambda: not rig.gateway.contact.is_held)
        unknown = await rig.ask(Wardstair_Credential='other')
        known = await rig.ask(request_id='r2', Wardstair_Credential=KEY)
        missing = await rig.ask(request_id='r3')
        assert (unknown.status, known.status, missing.status) == (503, 200, 401)
        assert 'retry-after' in unknown.headers

    run(test, UpstreamStandin('i-1'))


def test_requests_stay_in_the_regions_of_their_organisation() -> None:
    near, far = UpstreamStandin('i-near'), UpstreamStandin('i-far')

    async def test(rig: Rig) -> None:
        entry = upstream_spec(far.port, zone='south-a')
        rig.store.put('servers', 'i-far', entry)
        catalog = rig.gateway.local_state.catalog
        await rig.until(
            lambda: catalog.upstreams['i-far'].entry.zone == 'south-a',
        )
        for number in range(10):
            answer = await rig.ask(
                request_id=f'r{number}',
                key=str(number),
                Wardstair_Credential=SOUTH_KEY,
            )
            assert answer.body == b'i-far'
        rig.store.delete('servers', 'i-far')
        await rig.until(lambda: not catalog.is_present('i-far'))
        answer = await rig.ask(request_id='r', Wardstair_Credential=SOUTH_KEY)
        assert answer.status == 503
        assert not near.seen

    run(test, near, far)


def test_requests_of_one_connection_are_counted_for_their_organisations() -> (
    None
):
    north, south = UpstreamStandin('i-north'), UpstreamStandin('i-south')
    senders = [KEY, SOUTH_KEY, 'unknown', SOUTH_KEY, KEY, KEY]

    async def test(rig: Rig) -> None:
        entry = upstream_spec(south.port, zone='south-a')
        rig.store.put('servers', 'i-south', entry)
        catalog = rig.gateway.local_state.catalog
        await rig.until(
            lambda: catalog.upstreams['i-south'].entry.zone == 'south-a',
        )
        with_quotas = configuration(3, KEY)
        tenants = with_quotas['tenants']
        assert isinstance(tenants, dict)
        tenants['choir'].update(rate_per_s=100, burst=10)
        tenants['band'].update(rate_per_s=100, burst=10)
        rig.store.put('config', 'main', with_quotas)
        await rig.until(
            lambda: rig.gateway.local_state.versions.configuration == 3
        )
        caller = await Caller.connect(rig)
        for number, api_key in enumerate(senders):
            await caller.send(
                '/read/x', request_id=f'r{number}', Wardstair_Credential=api_key
            )
        answers = [await caller.answer() for _ in senders]
        statuses = [answer.status for answer in answers]
        assert statuses == [200, 200, 401, 200, 200, 200]
        received = {
            seen.request_id: seen.header('Wardstair-Tenant')
            for seen in north.seen + south.seen
        }
        assert received == {
            'r0': 'choir',
            'r1': 'band',
            'r3': 'band',
            'r4': 'choir',
            'r5': 'choir',
        }
        counts = rig.gateway.quotas.own_counts()
        assert sorted(counts.values()) == [2, 3]
        caller.close()

    run(test, north, south)
