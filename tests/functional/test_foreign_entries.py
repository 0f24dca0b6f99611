"""Unusable entries of other writers, wherever a gateway reads the store."""

import asyncio
from collections.abc import Awaitable, Callable

from lib.revisions import at
from lib.rig import Rig, until
from lib.specs import ADDRESS, Stored, upstream_spec
from lib.store_standin import StoreStandin
from lib.upstream_standin import UpstreamStandin
from result import Err, Ok

from wardstair.platform.store import Store


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test with a time limit."""

    async def main() -> None:
        async with asyncio.timeout(30):
            await test()

    asyncio.run(main())


async def serve_raw(raw: bytes) -> asyncio.Server:
    """Answer every request with these bytes."""

    async def answer(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(raw)}\r\n\r\n'
        writer.write(head.encode() + raw)
        await writer.drain()
        writer.close()

    return await asyncio.start_server(answer, ADDRESS, 0)


def test_an_unusable_entry_affects_no_other_in_a_listing_or_a_watch() -> None:
    one = UpstreamStandin('i-1')
    two = UpstreamStandin('i-2')

    async def test() -> None:
        async with Rig(one, two) as rig:
            gateway = rig.gateway
            services = gateway.local_state.catalog.of_service
            unusable = gateway.sync.unusable
            rig.store.put('servers', 'i-bad', {'address': 7})
            await rig.until(lambda: 'i-bad' in unusable)
            assert (await rig.ask()).status == 200
            # A known entry that becomes unusable takes its upstream out of use.
            rig.store.put('servers', 'i-2', {'address': 'nowhere'})
            await rig.until(lambda: len(services('views')) == 1)
            assert set(unusable) == {'i-bad', 'i-2'}
            for number in range(5):
                answer = await rig.ask(request_id=f'r{number}')
                assert answer.body == b'i-1'
            # One entry becomes usable again, the other is deleted.
            rig.store.put('servers', 'i-2', upstream_spec(two.port))
            rig.store.delete('servers', 'i-bad')
            await rig.until(lambda: len(services('views')) == 2)
            await rig.until(lambda: not unusable)
            lines = gateway.metrics.render().decode().splitlines()
            name = 'wardstair_upstream_entries_unusable'
            (gauge,) = (line for line in lines if line.startswith(name))
            assert gauge.endswith(' 0.0')

    run(test)


def test_an_object_without_a_name_affects_no_other() -> None:
    async def test() -> None:
        standin = StoreStandin()
        standin.start()
        standin.put('servers', 'i-1', upstream_spec(8080))
        for name, metadata in (('0', 7), ('z', {'name': 5}), ('y', {})):
            standin.kind('servers').objects[name] = {'metadata': metadata}
        store = Store(f'{ADDRESS}:{standin.port}')
        listed = await store.list_kind('servers')
        assert isinstance(listed, Ok)
        names = [one.metadata.name for one in listed.ok_value.objects]
        assert names == ['i-1']
        waiting = asyncio.ensure_future(store.watch_kind('servers', at(1), 5))
        await until(lambda: len(standin.calls) == 2)
        bad: Stored = {'metadata': 'none'}
        servers = standin.kind('servers')
        servers.history.append((2, bad, False))
        standin.put('servers', 'i-2', upstream_spec(8081))
        changed = await waiting
        assert isinstance(changed, Ok)
        seen = [one.stored.metadata.name for one in changed.ok_value.changes]
        assert seen == ['i-2']
        store.close()
        await standin.stop()

    run(test)


def test_a_page_without_readable_objects_is_not_a_complete_listing() -> None:
    raw = b'{"as_of": 4, "truncated": true, "items": [{"metadata": 7}]}'

    async def test() -> None:
        server = await serve_raw(raw)
        port = server.sockets[0].getsockname()[1]
        store = Store(f'{ADDRESS}:{port}')
        # Taken for complete, it would remove all upstreams of later pages.
        assert isinstance(await store.list_kind('servers'), Err)
        store.close()
        server.close()

    run(test)


def test_invalid_utf8_affects_no_other_object() -> None:
    raw = (
        b'{"as_of": 4, "items": [{"metadata": {"name": "i-0"}, '
        b'"spec": "\xff\xfe\x80"}, {"metadata": {"name": "i-1"}}]}'
    )

    async def test() -> None:
        server = await serve_raw(raw)
        port = server.sockets[0].getsockname()[1]
        store = Store(f'{ADDRESS}:{port}')
        listed = await store.list_kind('servers')
        assert isinstance(listed, Ok)
        names = [one.metadata.name for one in listed.ok_value.objects]
        assert names == ['i-0', 'i-1']
        store.close()
        server.close()

    run(test)
