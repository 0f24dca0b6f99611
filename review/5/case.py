"""DENIED: uploads on kept connections are refused by an older limit."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib'))

from rig import (  # noqa: E402
    ATTEMPT, DEADLINE, SEAL, TROUBLE, CannotRun, _ids, configuration, main,
    message, read_body, read_head, route,
)

CLIENTS = 45
SMALL = 4000
LARGE = 200_000


class Client:
    """A client that keeps one connection for many requests."""

    def __init__(self, rig, gateway):
        self.rig, self.gateway = rig, gateway
        self.reader = self.writer = None
        self.sent = 0

    async def upload(self, size):
        attempt = next(_ids)
        self.sent += 1
        self.rig.record('sent', attempt, 'POST /scan/1', size, 'bytes to',
                        self.gateway.name,
                        'new' if self.writer is None else 'kept')
        try:
            async with asyncio.timeout(4):
                if self.writer is None:
                    self.reader, self.writer = await asyncio.open_connection(
                        self.gateway.address, self.gateway.front)
                self.writer.write(message(
                    'POST /scan/1 HTTP/1.1',
                    [('Host', 'h.example'), (ATTEMPT, attempt),
                     (DEADLINE, '4000')], b'x' * size))
                first, headers = await read_head(self.reader)
                await read_body(self.reader, headers)
        except (OSError, EOFError, TimeoutError) as error:
            self.rig.record('answered', attempt, type(error).__name__)
            self.close()
            return None, False
        status = int(first.split(' ')[1])
        self.rig.record('answered', attempt, status)
        if headers.get('connection', '').lower() == 'close':
            self.close()
        return status, SEAL.lower() in headers

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.writer = None


def version(number, max_body):
    made = configuration(
        number, {'r-1': route('protocollo', '/scan/', 'upload',
                              timeout_ms=4000)}, ['protocollo'])
    made['limits']['max_body_bytes'] = max_body
    return made


async def case(rig):
    first_limit = 65_536 if TROUBLE else 67_108_864
    rig.store.put('config', 'main', version(1, first_limit))
    for number in range(4):
        await rig.add_endpoint(f'i-{number}', 'protocollo',
                               f'z-{"ab"[number % 2]}')
    await rig.start_gateways()
    await asyncio.sleep(6)
    clients = [Client(rig, rig.gateways[n % len(rig.gateways)])
               for n in range(CLIENTS)]
    for _ in range(3):
        found = await asyncio.gather(*(one.upload(SMALL) for one in clients))
        if any(status != 200 for status, _ in found):
            raise CannotRun(f'small uploads are not served: {found}')
        await asyncio.sleep(1)
    rig.store.put('config', 'main', version(2, 67_108_864))
    rig.record.say('version 2 acknowledged: max_body_bytes is 67108864')
    # Twice `config_apply_ms`, in which the connections stay in use.
    end = time.monotonic() + 5
    while time.monotonic() < end:
        await asyncio.gather(*(one.upload(SMALL) for one in clients))
        await asyncio.sleep(1)
    found = await asyncio.gather(*(one.upload(LARGE) for one in clients))
    denied = sum(status is not None and 300 <= status < 500 and not sealed
                 and status not in (408, 421, 429)
                 for status, sealed in found)
    sent = sum(one.sent for one in clients)
    rig.record.say(f'{denied} of {CLIENTS} uploads of {LARGE} bytes denied;'
                   f' {sent} requests in all, {5 + sent / 500:.1f} allowed')
    for one in clients:
        one.close()
    return denied > 5 + sent / 500


main(case, HERE)
