"""LOST: one upload within the limits takes a gateway over its memory.

The platform kills the process, and all requests on it end without an answer.
"""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib'))

from rig import (  # noqa: E402
    ATTEMPT, DEADLINE, TROUBLE, CannotRun, _ids, ask, configuration, main,
    message, read_body, read_head, route,
)

# `memory_mb` of the settings: the smallest machines of the site.
MEMORY_MB = 200
MEMORY_KILOBYTES = MEMORY_MB * 1024
# `max_body_bytes` of the configuration is 67,108,864.
LARGE_BODIES = (20_000_000, 30_000_000, *(41_500_000,) * 8)
ORDINARY_BODY = 65_536
CLIENTS = 12
# More closed connections than this break the rule.
ALLOWED = 3


def peak_kilobytes(process):
    """Return the most memory that a process has held."""
    for line in Path(f'/proc/{process.pid}/status').read_text().splitlines():
        if line.startswith('VmHWM'):
            return int(line.split()[1])
    return 0


class Platform:
    """Kills a process that goes over its memory, and starts it again."""

    def __init__(self, rig):
        self.rig = rig
        self.kills = 0

    async def run(self):
        while True:
            for gateway in self.rig.gateways:
                try:
                    peak = peak_kilobytes(gateway.process)
                except OSError:
                    continue
                if peak > MEMORY_KILOBYTES:
                    self.rig.record.say(
                        f'{gateway.name} held {peak} kB of'
                        f' {MEMORY_KILOBYTES} kB: killed')
                    self.kills += 1
                    await gateway.kill()
                    await gateway.start()
            await asyncio.sleep(0.01)


class Client:
    """Orders prints on one kept connection until that closes."""

    def __init__(self, rig, gateway):
        self.rig, self.gateway = rig, gateway
        self.served = 0
        # The request that was open when the connection closed.
        self.unanswered = None

    async def run(self):
        reader, writer = await asyncio.open_connection(
            self.gateway.address, self.gateway.front)
        try:
            while True:
                attempt = next(_ids)
                self.rig.record('sent', attempt, 'POST /print/1 to',
                                self.gateway.name)
                self.unanswered = attempt
                writer.write(message(
                    'POST /print/1 HTTP/1.1',
                    [('Host', 'h.example'), (ATTEMPT, attempt),
                     (DEADLINE, '4000')], b'x' * 4000))
                first, headers = await read_head(reader)
                await read_body(reader, headers)
                self.rig.record('answered', attempt, first)
                self.unanswered = None
                self.served += ' 200 ' in first
        except (OSError, EOFError) as error:
            self.rig.record('connection closed under', self.unanswered,
                            type(error).__name__)
        finally:
            writer.close()


async def case(rig):
    rig.store.put('config', 'main', configuration(1, {
        'r-1': route('stamperia', '/print/', 'unsafe', timeout_ms=4000),
        'r-2': route('protocollo', '/scan/', 'upload', timeout_ms=4000),
    }, ['stamperia', 'protocollo']))
    for number in range(4):
        zone = f'z-{"ab"[number % 2]}'
        await rig.add_endpoint(f'p-{number}', 'stamperia', zone, work=0.84)
        await rig.add_endpoint(f's-{number}', 'protocollo', zone, work=0.1)
    await rig.start_gateways()
    await asyncio.sleep(6)
    platform = Platform(rig)
    watching = asyncio.ensure_future(platform.run())
    gateway = rig.gateways[0]
    clients = [Client(rig, gateway) for _ in range(CLIENTS)]
    running = [asyncio.ensure_future(one.run()) for one in clients]
    await asyncio.sleep(4)
    if any(one.served < 2 for one in clients):
        raise CannotRun('the prints are not served')
    for large in LARGE_BODIES:
        size = large if TROUBLE else ORDINARY_BODY
        upload = await ask(rig, gateway, 'POST', '/scan/1', body=b'x' * size)
        rig.record.say(
            f'upload of {size} bytes: {upload.status} {upload.error}')
        await asyncio.sleep(1)
        if platform.kills:
            break
    ran = {attempt for one in rig.endpoints for _, attempt, *_ in one.runs}
    closed = [one.unanswered for task, one in zip(running, clients)
              if task.done() and one.unanswered in ran]
    for task in (watching, *running):
        task.cancel()
    rig.record.say(
        f'{len(closed)} kept connections closed without an answer after their'
        f' request was passed on; {ALLOWED} allowed;'
        f' {platform.kills} process(es) killed for memory')
    return len(closed) > ALLOWED


main(case, HERE, memory_mb=MEMORY_MB)
