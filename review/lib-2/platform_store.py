"""Stand-in for the platform's store, as PROTOCOL.md describes it.

Objects are kept by kind and name, with revisions, conditional writes and
watches. An object of another writer may hold bytes that are no JSON: they
stand in the answers as they were written.
"""

import asyncio
import json
import re
import time
from urllib.parse import parse_qs, unquote, urlsplit

PAGE_ITEMS = 500
_RAW = re.compile(rb'"@raw-(\d+)@"')


class Store:
    """The store; the operator and the endpoints write to it directly."""

    def __init__(self, address):
        self.address = address
        self.port = 0
        # The counter begins above 0.
        self.revision = 100
        self.calls = 0
        self._kinds = {}
        self._history = {}
        self._raws = []
        self._changed = asyncio.Event()
        self._server = None
        self._tasks = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self.address, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self):
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    def raw(self, content):
        """Return a text in whose place answers have these bytes."""
        self._raws.append(content)
        return f'@raw-{len(self._raws) - 1}@'

    def objects(self, kind):
        return self._kinds.setdefault(kind, {})

    def put(self, kind, name, spec, status=None):
        """Write an object without a condition; return it."""
        held = self.objects(kind).get(name)
        if held is not None and (held['spec'], held['status']) == (
            spec,
            status,
        ):
            return held
        self.revision += 1
        created = self.revision if held is None else held['metadata']['created']
        stored = {
            'metadata': {
                'name': name,
                'revision': self.revision,
                'created': created,
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': status,
        }
        self.objects(kind)[name] = stored
        self._note(kind, stored, False)
        return stored

    def delete(self, kind, name):
        stored = self.objects(kind).pop(name, None)
        if stored is not None:
            self.revision += 1
            self._note(kind, stored, True)

    def _note(self, kind, stored, deleted):
        event = (self.revision, {'deleted': deleted, 'object': stored})
        self._history.setdefault(kind, []).append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def _encode(self, document):
        return _RAW.sub(
            lambda found: self._raws[int(found[1])],
            json.dumps(document).encode(),
        )

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        try:
            while True:
                method, target, body = await _read_request(reader)
                self.calls += 1
                status, document = await self._answer(method, target, body)
                encoded = self._encode(document)
                writer.write(
                    f'HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n'
                    f'Content-Length: {len(encoded)}\r\n\r\n'.encode() + encoded
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The other side has left, or the script ends.
            pass
        finally:
            self._tasks.discard(asyncio.current_task())
            writer.close()

    async def _answer(self, method, target, body):
        parts = urlsplit(target)
        query = {name: text[0] for name, text in parse_qs(parts.query).items()}
        path = [unquote(part) for part in parts.path.strip('/').split('/')]
        if path[0] != 'objects' or len(path) < 2:
            return 404, {}
        kind = path[1]
        name = path[2] if len(path) > 2 else None
        match method:
            case 'GET' if name is not None:
                held = self.objects(kind).get(name)
                return (200, held) if held else (404, {})
            case 'GET' if 'watch' in query:
                return await self._watch(kind, query)
            case 'GET':
                return 200, self._list(kind, query.get('after', ''))
        return self._write(method, kind, path, query, body)

    def _list(self, kind, after):
        names = sorted(n for n in self.objects(kind) if n > after)
        page = names[:PAGE_ITEMS]
        return {
            'items': [self.objects(kind)[one] for one in page],
            'truncated': len(names) > len(page),
            'as_of': self.revision,
        }

    async def _watch(self, kind, query):
        since = int(query['watch'])
        end = time.monotonic() + int(query.get('wait_ms', 0)) / 1000
        while True:
            events = [
                event
                for revision, event in self._history.get(kind, [])
                if revision > since
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {'events': events, 'as_of': self.revision}
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                pass

    def _write(self, method, kind, path, query, body):
        document = json.loads(body) if body else {}
        metadata = document.get('metadata') or {}
        name = path[2] if len(path) > 2 else metadata.get('name')
        held = self.objects(kind).get(name)
        if method == 'POST':
            if held is not None:
                return 409, held
            return 201, self.put(kind, name, document.get('spec'))
        if held is None:
            return 404, {}
        wanted = query.get('revision', metadata.get('revision'))
        if wanted is not None and int(wanted) != held['metadata']['revision']:
            return 409, held
        if method == 'DELETE':
            self.delete(kind, name)
            return 200, held
        if len(path) > 3:
            return 200, self.put(kind, name, held['spec'], document['status'])
        return 200, self.put(kind, name, document['spec'], held['status'])


async def _read_request(reader):
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    line, *fields = head.split('\r\n')
    method, target, _ = line.split(' ')
    length = 0
    for field in fields:
        key, _, text = field.partition(':')
        if key.lower() == 'content-length':
            length = int(text)
    return method, target, await reader.readexactly(length)
