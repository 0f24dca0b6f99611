"""What the scripts share: the record, clients and a small deployment."""

import asyncio
import itertools
import os
import shutil
import signal
import sys
import tempfile
import time
from pathlib import Path

from endpoints import Endpoint
from gateways import Gateway, write_settings
from platform_store import Store

HOST = 'music.example'
# Scripts that run at the same time have loopback addresses of their own: one
# might otherwise take the ports of another whose gateways are down.
NETWORK = f'127.{1 + os.getpid() % 250}'
RULE_BROKEN, RULE_HELD, NOT_RUN = 1, 0, 2
# Less than the 120 seconds that a script may take, for its own end.
LONGEST_SECONDS = 110.0


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, path):
        self._file = path.open('w')
        self._began = time.monotonic()

    def note(self, event, **fields):
        at = time.monotonic() - self._began
        pairs = ' '.join(f'{name}={text}' for name, text in fields.items())
        self._file.write(f'{at:8.3f} {event} {pairs}\n')
        self._file.flush()


class Client:
    """Sends requests, each attempt with its own id."""

    _ids = itertools.count(1)

    def __init__(self, record):
        self._record = record

    async def send(
        self,
        front,
        target,
        method='GET',
        body=b'',
        deadline=3.0,
        key='1',
        name=None,
        leaves_after=None,
    ):
        """Send a request over a new connection; return status, head, body.

        The status is 0 without an answer. A client that leaves early closes its
        connection after so many seconds, whatever its deadline says.
        """
        attempt = name or f'a{next(self._ids):06d}'
        self._record.note(
            'sent', id=attempt, line=f'{method} {target}', to=front[0]
        )
        try:
            status, head, content = await asyncio.wait_for(
                self._exchange(
                    front, target, method, body, deadline, key, attempt
                ),
                deadline if leaves_after is None else leaves_after,
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            status, head, content = 0, {}, b''
            self._record.note('failed', id=attempt, error=type(error).__name__)
        else:
            self._record.note('answered', id=attempt, status=status)
        return attempt, status, head, content

    async def _exchange(
        self, front, target, method, body, deadline, key, attempt
    ):
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(*front), 1
        )
        try:
            length = f'Content-Length: {len(body)}\r\n' if body else ''
            writer.write(
                f'{method} {target} HTTP/1.1\r\nHost: {HOST}\r\n'
                f'Wardstair-Attempt-Id: {attempt}\r\n'
                f'Cookie: Wardstair-Affinity-Key={key}\r\n'
                f'Wardstair-Deadline-Ms: {round(deadline * 1000)}\r\n'
                f'{length}\r\n'.encode()
                + body
            )
            return await read_answer(reader)
        finally:
            writer.close()


async def read_answer(reader):
    """Read an answer with a length."""
    raw = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    line, *fields = raw.split('\r\n')
    head = {}
    for field in fields:
        name, _, text = field.partition(':')
        if name:
            head[name.lower()] = text.strip()
    content = await reader.readexactly(int(head.get('content-length', 0)))
    return int(line.split(' ')[1]), head, content


def configuration(version, **changes):
    """Return a configuration with a route of each kind."""
    route = {
        'host': HOST,
        'timeout_ms': 2500,
        'target_latency_ms': 500,
        'priority': 1,
        'max_attempts': 2,
        'sticky': True,
        'allowed_regions': [],
    }
    service = {
        'health_path': '/healthz',
        'max_conns': 390,
        'protocol': 'h1',
        'tls': False,
        'cold_start_s': 3.0,
        'cold_per_s': 11.0,
    }
    return {
        'version': f'{version:08x}',
        'routes': {
            'read': {
                **route,
                'path_prefix': '/read/',
                'kind': 'safe',
                'service': 'views',
            },
            'order': {
                **route,
                'path_prefix': '/order/',
                'kind': 'unsafe',
                'service': 'prints',
            },
        },
        'services': {'views': service, 'prints': service},
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 67108864,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        **changes,
    }


class Deployment:
    """A store, endpoints and gateways, each on a loopback address."""

    def __init__(self, folder, record, zones=('north', 'south', 'west')):
        self.folder = folder
        self.record = record
        self.store = Store(f'{NETWORK}.50.1')
        self.gateways = [
            Gateway(f'edge-{zone}-1', f'{NETWORK}.{number}.1', zone)
            for number, zone in enumerate(zones, 1)
        ]
        self.endpoints = []

    def add_endpoint(self, name, service, zone, **options):
        number = len(self.endpoints) + 1
        endpoint = Endpoint(
            self.store,
            name,
            service,
            f'{NETWORK}.60.{number}',
            zone,
            self.record,
            **options,
        )
        self.endpoints.append(endpoint)
        return endpoint

    async def start(self):
        await self.store.start()
        for endpoint in self.endpoints:
            await endpoint.start()
        write_settings(self.gateways, self.store, self.folder)
        await self.start_gateways()
        await asyncio.sleep(1.0)
        self.store.put('config', 'main', configuration(1))

    async def start_gateways(self):
        for one in self.gateways:
            if one.log is None:
                one.log = (self.folder / f'{one.name}.log').open('wb')
            await one.start()

    async def wait_ready(self, seconds=30.0):
        """Wait until all gateways are ready; return whether they are."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if all([await one.is_ready() for one in self.gateways]):
                return True
            await asyncio.sleep(0.2)
        return False

    async def kill_all(self):
        await asyncio.gather(*(one.kill() for one in self.gateways))

    async def close(self):
        await self.kill_all()
        for endpoint in self.endpoints:
            endpoint.close()
        self.store.close()


def run(main, record_path):
    """Run a script's `main` with a folder of its own; exit with its code."""
    folder = Path(tempfile.mkdtemp(prefix='review-'))
    record = Record(record_path)
    trouble = os.environ.get('TROUBLE', '1') != '0'

    async def play():
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        # An early end of the script ends its processes as well.
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(LONGEST_SECONDS):
            return await main(folder, record, trouble)

    try:
        code = asyncio.run(play())
    except (Exception, asyncio.CancelledError) as error:  # noqa: BLE001
        record.note('not-run', error=repr(error))
        print(f'the case could not run: {error!r}')
        code = NOT_RUN
    if os.environ.get('KEEP_LOGS'):
        print(folder)
    else:
        shutil.rmtree(folder, ignore_errors=True)
    print({0: 'held', 1: 'BROKEN', 2: 'not run'}[code])
    sys.exit(code)
