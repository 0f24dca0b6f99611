"""Settings of one host: TLS on its listeners and operator tokens."""

import asyncio
from hashlib import sha256
from pathlib import Path
from random import Random
from typing import Any

import pytest
from tornado.httpclient import HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from wardstair.process.host import EntryHost
from wardstair.process.settings import check_settings
from wardstair.standins.platform import PlatformStandin

LIB = Path(__file__).parent.parent / 'lib'
TLS = {
    'certificate': str(LIB / 'test-only.crt'),
    'key': str(LIB / 'test-only.key'),
}
ANY_PORT = '127.0.0.1:0'


def settings_of(platform: str, **listeners: Any) -> dict[str, Any]:
    """Return the content of a settings file."""
    names = ('callers', 'peers', 'forward', 'operators')
    return {
        'host': {'name': 'west-a-1', 'zone': 'west-a', 'region': 'west'},
        'listen': {
            name: {'address': ANY_PORT, **listeners.get(name, {})}
            for name in names
        },
        'platform': {'url': platform},
        'operator_token_hashes': [sha256(b'secret').hexdigest()],
    }


@pytest.mark.parametrize(
    ('token', 'status'),
    [('secret', 200), ('other', 401), ('', 401)],
)
def test_operators_need_a_token_over_tls(token: str, status: int) -> None:
    async def test() -> None:
        platform = PlatformStandin()
        platform.start()
        content = settings_of(platform.url, operators={'tls': TLS})
        settings = check_settings(content, 'test').unwrap()
        host = EntryHost(settings, Random(1))
        await host.start()
        client = SimpleAsyncHTTPClient(force_instance=True)
        response = await client.fetch(
            HTTPRequest(
                f'https://127.0.0.1:{host.ports.operators}/v1/status',
                headers={'Authorization': f'Bearer {token}'},
                ca_certs=TLS['certificate'],
            ),
            raise_error=False,
        )
        assert response.code == status
        client.close()
        await host.stop()
        await platform.stop()

    asyncio.run(test())


@pytest.mark.parametrize('name', ['peers', 'forward'])
def test_tls_between_hosts_is_refused_rather_than_ignored(name: str) -> None:
    content = settings_of('http://127.0.0.1:1', **{name: {'tls': TLS}})
    faults = check_settings(content, 'test').unwrap_err()
    assert [fault.key for fault in faults] == [f'listen.{name}.tls']
