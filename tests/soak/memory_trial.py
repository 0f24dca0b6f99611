"""Memory of a gateway process, idle and under load, with stand-ins.

Run: PYTHONPATH=src:tests python -m soak.memory_trial [seconds]
"""

import asyncio
import os
import socket
import sys
import tempfile
from asyncio.subprocess import DEVNULL
from collections.abc import Iterator
from pathlib import Path
from random import Random

from lib.beats import beat_of
from lib.rig import free_ports, own_address
from lib.specs import ADDRESS, Stored, configuration_spec, upstream_spec
from lib.store_standin import StoreStandin
from lib.upstream_standin import Seen, UpstreamStandin, answer_ok

from wardstair.fleet.heartbeats import PeerName, encode_heartbeat

UPSTREAMS = 196
PEERS = 87
ORGANISATIONS = 86
ZONES = {
    f'{region}-{letter}': region
    for region in ('north', 'south', 'east')
    for letter in 'ab'
}
CONNECTIONS = 40
REQUESTS_PER_SECOND = 40
UPLOAD_SHARE = 0.064
UPLOAD_BYTES = 60000
WORK_SECONDS = 0.5
DEFAULT_LOAD_SECONDS = 20.0
_KILOBYTES = ('Rss', 'Pss', 'Private_Clean', 'Private_Dirty')


def memory_of(pid: int) -> dict[str, int]:
    """Return resident, proportional, private and peak memory in kilobytes."""
    read: dict[str, int] = {}
    folder = Path('/proc') / str(pid)
    text = (folder / 'smaps_rollup').read_text()
    text += (folder / 'status').read_text()
    for line in text.splitlines():
        name, _, rest = line.partition(':')
        if name in {*_KILOBYTES, 'VmHWM'}:
            read[name] = int(rest.split()[0])
    private = read['Private_Clean'] + read['Private_Dirty']
    return {
        'rss': read['Rss'],
        'pss': read['Pss'],
        'private': private,
        'peak': read['VmHWM'],
    }


async def _answer_later(
    upstream: UpstreamStandin,
    seen: Seen,
    writer: asyncio.StreamWriter,
) -> None:
    upstream.seen.clear()
    await asyncio.sleep(WORK_SECONDS)
    await answer_ok(upstream, seen, writer)


def _settings_text(store: StoreStandin, address: str, ports: list[int]) -> str:
    names = ('callers', 'ready', 'control', 'lookups', 'metrics')
    listen = '\n'.join(
        f'{name} = "{address}:{port}"'
        for name, port in zip(names, ports, strict=False)
    )
    zones = '\n'.join(f'"{zone}" = "{ZONES[zone]}"' for zone in ZONES)
    return (
        f'name = "host-0"\naddress = "{address}"\nzone = "north-a"\n'
        f'fleet_ports = [{ports[5]}, {ports[5] + 1}]\nseeds = []\n'
        f'store = "{ADDRESS}:{store.port}"\n'
        'bounds = ["grace_s=6", "quota_window_s=5"]\n'
        f'[limits]\nmemory_megabytes = 200\ndescriptors = 4100\n'
        f'[listen]\n{listen}\n[zones]\n{zones}\n'
    )


def _configuration() -> Stored:
    tenants = {
        f'org-{number}': {'api_keys': [f'key-{number}'], 'priority': 1}
        for number in range(ORGANISATIONS)
    }
    return {**configuration_spec(1), 'tenants': tenants}


def _request(random: Random, number: int) -> bytes:
    is_upload = random.random() < UPLOAD_SHARE
    body = random.randbytes(UPLOAD_BYTES) if is_upload else b''
    target = f'POST /send/{number}' if is_upload else f'GET /read/{number}'
    key = random.randrange(5000)
    head = (
        f'{target} HTTP/1.1\r\nHost: music.example\r\n'
        f'Wardstair-Attempt-Id: r{number}\r\n'
        f'Cookie: Wardstair-Affinity-Key={key}\r\n'
        f'Wardstair-Deadline-Ms: 6000\r\n'
        f'Wardstair-Credential: key-{random.randrange(ORGANISATIONS)}\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body


class Trial:
    """One gateway process with stand-ins of all its neighbours."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / 'settings.toml'
        self._store = StoreStandin()
        self._upstreams = [
            UpstreamStandin(f'i-{number}', _answer_later)
            for number in range(UPSTREAMS)
        ]
        self._address = own_address()
        self._ports = free_ports(6)
        self._answers: dict[bytes, int] = {}

    async def run(self, seconds: float) -> None:
        """Start everything, play the load and print the figures."""
        self._store.start()
        self._store.put('config', 'main', _configuration())
        zones = list(ZONES)
        for number, upstream in enumerate(self._upstreams):
            await upstream.start()
            zone = zones[number % len(zones)]
            entry = upstream_spec(upstream.port, zone=zone)
            self._store.put('servers', upstream.name, entry)
        self._path.write_text(
            _settings_text(self._store, self._address, self._ports)
        )
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'wardstair.cli.gateway',
            stdout=DEVNULL,
            env={**os.environ, 'WARDSTAIR_CONFIG': str(self._path)},
        )
        beating = asyncio.ensure_future(self._beat())
        await asyncio.sleep(6)
        print('idle', memory_of(process.pid))
        await self._load(seconds)
        print('busy', memory_of(process.pid))
        print('answers', self._answers)
        beating.cancel()
        process.terminate()
        await process.wait()

    async def _beat(self) -> None:
        zones = list(ZONES)
        peers = [
            PeerName(
                f'host-{number}',
                zones[number % len(zones)],
                f'127.3.0.{number}',
                f'127.3.0.{number}:8381',
            )
            for number in range(1, PEERS + 1)
        ]
        sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        number = 0
        while True:
            number += 1
            for peer in peers:
                beat = beat_of(
                    peer,
                    number,
                    zone_size=15,
                    fleet_size=88,
                    named=tuple(peers[:4]),
                )
                sender.sendto(
                    encode_heartbeat(beat), (self._address, self._ports[5])
                )
            await asyncio.sleep(1)

    async def _load(self, seconds: float) -> None:
        random = Random(1)
        total = int(seconds * REQUESTS_PER_SECOND)
        waiting = iter(range(total))
        pace = CONNECTIONS / REQUESTS_PER_SECOND
        callers = [
            self._call(waiting, pace, random) for _ in range(CONNECTIONS)
        ]
        await asyncio.gather(*callers)

    async def _call(
        self, waiting: Iterator[int], pace: float, random: Random
    ) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(random.random() * pace)
        reader, writer = await asyncio.open_connection(
            self._address, self._ports[0]
        )
        for number in waiting:
            due = loop.time() + pace
            writer.write(_request(random, number))
            head = await reader.readuntil(b'\r\n\r\n')
            status = head.split(b' ', 2)[1]
            self._answers[status] = self._answers.get(status, 0) + 1
            for line in head.lower().split(b'\r\n'):
                if line.startswith(b'content-length:'):
                    await reader.readexactly(int(line.split(b':')[1]))
            await asyncio.sleep(max(0, due - loop.time()))
        writer.close()


async def _main() -> None:
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_LOAD_SECONDS
    with tempfile.TemporaryDirectory() as folder:
        await Trial(Path(folder)).run(seconds)


if __name__ == '__main__':
    asyncio.run(_main())
