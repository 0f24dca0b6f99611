"""Measures lookups, forwarding and memory of one entry host.

Runs the entry host, the upstream and the load generator as separate processes
on loopback, so that each figure describes one program on one core. Prints a
table and asserts nothing.
"""

import asyncio
import json
import resource
import subprocess
import sys
import time
from array import array
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random

from hdrh.histogram import HdrHistogram

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / 'tests'))

from lib.documents import small_document  # noqa: E402

from wardstair.decisions.blocks import BlockTable  # noqa: E402
from wardstair.process.host import EntryHost  # noqa: E402
from wardstair.process.log import configure_logging  # noqa: E402
from wardstair.standins.deployment import Deployment  # noqa: E402

BLOCKS = 1_100_000
SITES = 180
SECONDS = 6.0
CONNECTIONS = 16
UPLOADS = 400
SLOTS = 24
MAX_MICROSECONDS = 60_000_000


def planned_table(blocks: int, seed: int) -> BlockTable:
    """Return a random block table with a number of blocks.

    Args:
        blocks: Number of blocks.
        seed: Seed of the boundaries and sites of the blocks.
    """
    random = Random(seed)
    starts = sorted(random.sample(range(1, 1 << 24), blocks - 1))
    return BlockTable(
        array('I', [0, *(start << 8 for start in starts)]),
        array('B', [random.randrange(SITES) for _ in range(blocks)]),
    )


async def serve(slots: int) -> None:
    """Run an entry host with stand-ins and print its port for callers."""
    configure_logging('ERROR')
    document = small_document(
        hosts_a_zone=1,
        slots=slots,
        sites=[
            {'name': f'site-{number}', 'region': 'west'}
            for number in range(SITES)
        ],
    )
    deployment = Deployment(document)
    await deployment.start()
    host = deployment.hosts['west-a-1']
    assert host.topology is not None
    table = planned_table(BLOCKS, 1)
    host.topology.table.starts = table.starts
    host.topology.table.sites = table.sites
    upstream = sys.argv[2]
    for view in host.pool.views.values():
        view.model = view.model.model_copy(update={'address': upstream})
    print(json.dumps({'callers': host.ports.callers}), flush=True)
    await report_usage(host)


async def report_usage(host: EntryHost) -> None:
    """Answer each line of input with processor time, memory and requests."""
    loop = asyncio.get_running_loop()
    while await loop.run_in_executor(None, sys.stdin.readline):
        usage = resource.getrusage(resource.RUSAGE_SELF)
        print(
            json.dumps(
                {
                    'cpu': usage.ru_utime + usage.ru_stime,
                    'rss': resident_bytes(),
                    'open': host.open_requests,
                }
            ),
            flush=True,
        )


def resident_bytes() -> int:
    """Return the resident_bytes memory of this process, in bytes."""
    pages = int(Path('/proc/self/statm').read_text().split()[1])
    return pages * resource.getpagesize()


async def upstream_main() -> None:
    """Run the upstream and print its address."""
    from wardstair.standins.upstream import UpstreamStandin  # noqa: PLC0415

    standin = UpstreamStandin('bench', 1000)
    standin.start()
    print(json.dumps({'address': standin.address}), flush=True)
    await asyncio.Event().wait()


class Load:
    """Closed-loop load generator on raw connections.

    Raw connections keep the cost low enough for one core.
    """

    def __init__(self, address: str) -> None:
        """Prepare to send to an address."""
        self.host, _, port = address.rpartition(':')
        self.port = int(port)
        self.histogram = HdrHistogram(1, MAX_MICROSECONDS, 3)
        self.count = 0

    async def run(
        self,
        request: Callable[[int], bytes],
        seconds: float,
        connections: int,
    ) -> float:
        """Send requests for some seconds and return the rate per second."""
        end = time.monotonic() + seconds
        await asyncio.gather(
            *(self._loop(request, end, number) for number in range(connections))
        )
        return self.count / seconds

    async def _loop(
        self,
        request: Callable[[int], bytes],
        end: float,
        number: int,
    ) -> None:
        reader, writer = await asyncio.open_connection(self.host, self.port)
        while time.monotonic() < end:
            number += CONNECTIONS
            started = time.perf_counter()
            writer.write(request(number))
            head = await reader.readuntil(b'\r\n\r\n')
            assert head.startswith(b'HTTP/1.1 200'), head
            await reader.readexactly(_length(head))
            micros = int((time.perf_counter() - started) * 1e6)
            self.histogram.record_value(micros)
            self.count += 1
        writer.close()


def _length(head: bytes) -> int:
    for line in head.split(b'\r\n'):
        if line.lower().startswith(b'content-length:'):
            return int(line.split(b':')[1])
    raise ValueError(head)


def lookup_request(number: int) -> bytes:
    """Return a lookup request for a pseudo-random caller address."""
    spread = (number * 2654435761) % (1 << 32)
    address = '.'.join(str(spread >> shift & 255) for shift in (24, 16, 8, 0))
    target = f'/v1/lookup?workload=views&address={address}'
    return f'GET {target} HTTP/1.1\r\nHost: x\r\n\r\n'.encode()


def view_request(number: int) -> bytes:
    """Return a request for a view."""
    return f'GET /parts/{number} HTTP/1.1\r\nHost: x\r\n\r\n'.encode()


async def slow_uploads(port: int, count: int) -> list[asyncio.StreamWriter]:
    """Open uploads that send 4 KiB of a 13 MB body and then pause."""
    writers = []
    for number in range(count):
        _, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(
            f'PUT /uploads/{number} HTTP/1.1\r\nHost: x\r\n'
            'Content-Length: 13000000\r\n\r\n'.encode()
            + b's' * 4096,
        )
        writers.append(writer)
    return writers


class EntryProcess:
    """The process of the entry host."""

    def __init__(self, upstream: str) -> None:
        """Start the process and read its port for callers."""
        self.process = subprocess.Popen(
            [sys.executable, __file__, 'serve', upstream],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.port = int(self.read()['callers'])

    def read(self) -> dict[str, float]:
        """Read one line of the process's output."""
        assert self.process.stdout is not None
        found: dict[str, float] = json.loads(self.process.stdout.readline())
        return found

    def usage(self) -> dict[str, float]:
        """Return processor time, resident_bytes memory and open requests."""
        assert self.process.stdin is not None
        self.process.stdin.write('\n')
        self.process.stdin.flush()
        return self.read()


async def measured(
    entry: EntryProcess,
    name: str,
    work: Callable[[Load], Awaitable[float]],
    address: str,
) -> Load:
    """Run one load and print its row of the table."""
    load = Load(address)
    before = entry.usage()
    started = time.monotonic()
    rate = await work(load)
    spent = entry.usage()['cpu'] - before['cpu']
    busy = spent / (time.monotonic() - started)
    micros = load.histogram.get_value_at_percentile
    print(
        f'{name:28} {rate:8.0f} /s  p50 {micros(50) / 1000:7.2f} ms  '
        f'p99 {micros(99) / 1000:7.2f} ms  host busy {busy:4.0%}  '
        f'core-us each {spent / max(load.count, 1) * 1e6:6.0f}',
    )
    return load


async def main() -> None:
    """Start the processes and run all measurements."""
    upstream = subprocess.Popen(  # noqa: ASYNC220
        [sys.executable, __file__, 'upstream'],
        stdout=subprocess.PIPE,
        text=True,
    )
    assert upstream.stdout is not None
    address = json.loads(upstream.stdout.readline())['address']
    entry = EntryProcess(address)
    host_address = f'127.0.0.1:{entry.port}'
    try:
        await run_all(entry, host_address, address)
    finally:
        entry.process.terminate()
        upstream.terminate()


async def run_all(
    entry: EntryProcess,
    host_address: str,
    upstream: str,
) -> None:
    """Run all measurements and print their rows."""
    await measured(
        entry,
        f'look-ups, {BLOCKS} blocks',
        lambda load: load.run(lookup_request, SECONDS, CONNECTIONS),
        host_address,
    )
    await measured(
        entry,
        'look-ups, one connection',
        lambda load: load.run(lookup_request, SECONDS, 1),
        host_address,
    )
    await measured(
        entry,
        'forwarded views',
        lambda load: load.run(view_request, SECONDS, CONNECTIONS),
        host_address,
    )
    for name, target in (('direct', upstream), ('forwarded', host_address)):
        await measured(
            entry,
            f'{name} views, one connection',
            lambda load: load.run(view_request, SECONDS, 1),
            target,
        )
    before = entry.usage()
    writers = await slow_uploads(entry.port, UPLOADS)
    while entry.usage()['open'] < UPLOADS:  # noqa: ASYNC110
        await asyncio.sleep(0.1)
    for writer in writers:
        writer.write(b's' * 65536)
    await asyncio.sleep(2)
    after = entry.usage()
    each = (after['rss'] - before['rss']) / UPLOADS / 1024
    print(
        f'{UPLOADS} slow uploads: {before["rss"] / 1e6:.0f} MB before, '
        f'{after["rss"] / 1e6:.0f} MB with them, {each:.0f} KB each',
    )


if __name__ == '__main__':
    match sys.argv[1:]:
        case ['serve', _]:
            asyncio.run(serve(SLOTS))
        case ['upstream']:
            asyncio.run(upstream_main())
        case _:
            asyncio.run(main())
