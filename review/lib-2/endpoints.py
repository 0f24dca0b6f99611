"""Stand-in for an endpoint: HTTP/1.1, one request at a time a connection."""

import asyncio
import time


class Endpoint:
    """An endpoint that runs each request for a while and answers it."""

    def __init__(self, store, name, service, address, zone, record, work=0.05):
        self.name = name
        self.service = service
        self.address = address
        self.zone = zone
        self.work = work
        self.port = 0
        self.slots = 9
        self.connections = 0
        # Ids of the requests that it has begun to run, in order.
        self.ran = []
        self._store = store
        self._record = record
        self._server = None
        self._sequence = 0
        self._tasks = set()
        self._beating = None
        self._born = int(time.time() * 1000)

    async def start(self, port=0):
        self._server = await asyncio.start_server(
            self._serve, self.address, port, limit=1 << 22
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.register()
        self._beating = asyncio.ensure_future(self._beat())

    def register(self, state='ready'):
        self._sequence += 1
        self._store.put(
            'servers',
            self.name,
            {
                'address': f'{self.address}:{self.port}',
                'born': self._born,
                'info': {
                    'service': self.service,
                    'version': 'v1',
                    'zone': self.zone,
                    'slots': self.slots,
                },
                'status': {
                    'state': state,
                    'call_seq': self._sequence,
                    'cold_left_ms': 0,
                },
            },
        )

    async def _beat(self):
        while True:
            await asyncio.sleep(1.5)
            self.register()

    def close(self):
        if self._beating is not None:
            self._beating.cancel()
        if self._server is not None:
            self._server.close()
        for task in tuple(self._tasks):
            task.cancel()

    async def _serve(self, reader, writer):
        self.connections += 1
        self._tasks.add(asyncio.current_task())
        try:
            while True:
                head, body = await read_request(reader)
                await self.handle(head, body, reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The other side has left, or the script ends.
            pass
        finally:
            self._tasks.discard(asyncio.current_task())
            writer.close()

    async def handle(self, head, body, reader, writer):
        """Answer one request."""
        attempt = head['wardstair-attempt-id']
        if head[':target'] == '/healthz':
            writer.write(
                answer(200, [('Wardstair-Instance-Id', self.name)], b'')
            )
            return
        if head.get('wardstair-expect-instance', self.name) != self.name:
            writer.write(answer(421, [('Wardstair-Attempt-Id', attempt)], b''))
            return
        self.note_run(attempt, head)
        await asyncio.sleep(self.work)
        writer.write(self.success(attempt))
        await writer.drain()

    def note_run(self, attempt, head):
        self.ran.append(attempt)
        line = f'{head[":method"]} {head[":target"]}'
        self._record.note('run', endpoint=self.name, id=attempt, line=line)

    def success(self, attempt, body=None):
        content = f'{self.name} {attempt}'.encode() if body is None else body
        return answer(
            200,
            [
                ('Wardstair-Attempt-Id', attempt),
                ('Wardstair-Server-Seal', f'seal.{attempt}'),
            ],
            content,
        )


async def read_request(reader):
    """Read a request; return its head by lower-case name and its body."""
    raw = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    line, *fields = raw.split('\r\n')
    method, target, _ = line.split(' ')
    head = {':method': method, ':target': target, 'wardstair-attempt-id': ''}
    for field in fields:
        key, _, text = field.partition(':')
        if key:
            head[key.lower()] = text.strip()
    body = await reader.readexactly(int(head.get('content-length', 0)))
    return head, body


def answer(status, fields, body):
    """Return the bytes of an answer."""
    lines = [f'HTTP/1.1 {status} X']
    lines.extend(f'{name}: {text}' for name, text in fields)
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body
