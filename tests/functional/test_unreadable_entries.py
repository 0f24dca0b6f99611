"""Entries of other writers that a JSON parser may reject."""

import asyncio
import json
from collections.abc import Awaitable, Callable

import pytest
from lib.logs import logged
from lib.revisions import at
from lib.rig import Rig, until
from lib.specs import ADDRESS, configuration_spec, upstream_spec
from lib.upstream_standin import UpstreamStandin
from result import Ok

from wardstair.platform.store import Store
from wardstair.platform.store_answers import Changes, Listing

LONG_NUMBER = '1' * 5000
# What another writer has put into an entry, as it stands in the store's answer.
FORMS = {
    'no UTF-8': b'"\xff\xfe"',
    'lone surrogate': b'"\\udcff"',
    'lone surrogate as key': b'{"\\udcff": 1}',
    'long number': f'{{"info": {{"slots": {LONG_NUMBER}}}}}'.encode(),
    'long version': f'{{"info": {{"version": {LONG_NUMBER}}}}}'.encode(),
    'no number': b'{"info": {"slots": NaN}}',
    'nested lists': b'{"info": {"slots": %b}}' % (b'[' * 300 + b']' * 300),
    'nested objects': b'{"a": ' * 300 + b'1' + b'}' * 300,
    'very deep': b'[' * 100_000 + b']' * 100_000,
    'brackets in text': b'"' + b'[{\\"' * 300 + b'"',
    'long text': b'"' + b'x' * 70_000 + b'"',
    'duplicate keys': b'{"address": "a", "address": 7}',
}
NAMES = ['i-\u2713', 'i-\U0001f600', 'i ', 'i\r\nA: b', 'x' * 70_000]


def entry(name: str, spec: bytes) -> bytes:
    metadata = json.dumps({'name': name, 'revision': 4}).encode()
    return b'{"metadata": %b, "spec": %b}' % (metadata, spec)


def run(test: Callable[[], Awaitable[None]]) -> None:
    async def main() -> None:
        async with asyncio.timeout(30):
            await test()

    asyncio.run(main())


async def read(raw: bytes, *, is_watch: bool) -> Listing | Changes:
    """Let a client of the store read an answer with these bytes."""

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(raw)}\r\n\r\n'
        writer.write(head.encode() + raw)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(answer, ADDRESS, 0)
    store = Store(f'{ADDRESS}:{server.sockets[0].getsockname()[1]}')
    reading = (
        store.watch_kind('servers', at(1), 5)
        if is_watch
        else store.list_kind('servers')
    )
    found = await reading
    store.close()
    server.close()
    assert isinstance(found, Ok), found
    return found.ok_value


@pytest.mark.parametrize('form', FORMS)
@pytest.mark.parametrize('is_watch', [False, True])
def test_an_unreadable_entry_hides_no_other(form: str, is_watch: bool) -> None:
    """One such entry made the whole answer of the store unreadable."""
    good = json.dumps(upstream_spec(8080)).encode()
    objects = [
        entry('i-1', good),
        entry('i-bad', FORMS[form]),
        entry('i-2', good),
    ]

    async def test() -> None:
        if is_watch:
            rows = [
                b'{"object": %b, "deleted": false}' % one for one in objects
            ]
            raw = b'{"as_of": 4, "events": [%b]}' % b', '.join(rows)
            changes = await read(raw, is_watch=True)
            assert isinstance(changes, Changes)
            names = [one.stored.metadata.name for one in changes.changes]
        else:
            raw = b'{"as_of": 4, "items": [%b]}' % b', '.join(objects)
            listing = await read(raw, is_watch=False)
            assert isinstance(listing, Listing)
            names = [one.metadata.name for one in listing.objects]
        assert names == ['i-1', 'i-bad', 'i-2']

    run(test)


UNREADABLE: dict[str, object] = {
    'lone surrogate': '\udcff',
    'nested lists': json.loads('[' * 300 + ']' * 300),
    'long number': {'info': {'slots': 10**4200}},
}


@pytest.mark.parametrize('form', UNREADABLE)
def test_a_host_that_starts_beside_an_unreadable_entry_serves(
    form: str,
) -> None:
    one = UpstreamStandin('i-1')

    async def test() -> None:
        async with Rig(one) as rig:
            rig.store.put('servers', 'i-bad', UNREADABLE[form])
            unusable = rig.gateway.sync.unusable
            await rig.until(lambda: 'i-bad' in unusable)
            assert await rig.gateway.sync.list_upstreams()
            services = rig.gateway.local_state.catalog.of_service
            assert len(services('views')) == 1
            assert (await rig.ask()).status == 200

    run(test)


@pytest.mark.parametrize('name', NAMES)
def test_an_upstream_whose_name_no_header_can_carry_is_not_used(
    name: str,
) -> None:
    """Each request that was placed on it got 500."""
    one, other = UpstreamStandin('i-1'), UpstreamStandin(name)

    async def test() -> None:
        await other.start()
        async with Rig(one) as rig:
            rig.store.put('servers', name, upstream_spec(other.port))
            unusable = rig.gateway.sync.unusable
            await rig.until(lambda: name in unusable)
            for number in range(8):
                key = str(number)
                answer = await rig.ask(request_id=f'r{key}', key=key)
                assert (answer.status, answer.body) == (200, b'i-1')
        await other.stop()

    run(test)


@pytest.mark.parametrize('form', UNREADABLE)
def test_the_last_readable_configuration_stays_in_force(form: str) -> None:
    async def test() -> None:
        async with Rig(UpstreamStandin('i-1')) as rig:
            spec = {**configuration_spec(7), 'routes': UNREADABLE[form]}
            with logged() as lines:
                rig.store.put('config', 'main', spec)
                await until(
                    lambda: any('configuration-rejected' in ln for ln in lines)
                )
            metrics = rig.gateway.metrics.render().decode()
            count = 'wardstair_configurations_rejected_total'
            assert f'\n{count}' in metrics
            assert f'\n{count} 0.0' not in metrics
            assert (await rig.ask()).status == 200
            rig.store.put('config', 'main', configuration_spec(8))
            state = rig.gateway.local_state
            await rig.until(
                lambda: (
                    state.steering is not None and state.steering.version == 8
                )
            )

    run(test)
