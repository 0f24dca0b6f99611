"""In-memory stand-in for the platform's object API, with injected faults."""

import asyncio
import json
from dataclasses import dataclass, field
from typing import Any

from tornado.web import Application, RequestHandler

from wardstair.standins.server import StandinServer, log_nothing

VALUE_BYTES = 1048576
LOST_SECONDS = 0.05


@dataclass
class Faults:
    """The faults that the stand-in currently injects.

    Attributes:
        down: Whether to answer all calls with 503.
        delay: Delay of each call, in seconds.
        lose_replies: Number of writes still to process and answer with 503.
        late_watch: Delay of the answers of watches, in seconds.
        duplicate_watch: Whether watches report each change twice.
        forget_watch: Whether to answer watches with 410.
    """

    down: bool = False
    delay: float = 0.0
    lose_replies: int = 0
    late_watch: float = 0.0
    duplicate_watch: bool = False
    forget_watch: bool = False


@dataclass
class _Entry:
    kind: str
    name: str
    version: int
    revision: int
    value: Any

    def as_json(self) -> dict[str, Any]:
        return {
            'kind': self.kind,
            'name': self.name,
            'version': self.version,
            'value': self.value,
        }


@dataclass
class ObjectStore:
    """The stored objects, with one revision number for all changes."""

    faults: Faults = field(default_factory=Faults)
    entries: dict[tuple[str, str], _Entry] = field(default_factory=dict)
    hosts: dict[str, str] = field(default_factory=dict)
    revision: int = 0
    reads: int = 0
    writes: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def list_kind(self, kind: str) -> list[_Entry]:
        """Return the objects of a kind."""
        return [entry for entry in self.entries.values() if entry.kind == kind]

    def put(
        self,
        kind: str,
        name: str,
        value: Any,
        expected: int,
    ) -> _Entry | None:
        """Store a value if the version matches; return None otherwise."""
        entry = self.entries.get((kind, name))
        version = entry.version if entry else 0
        if version != expected:
            return None
        self.revision += 1
        stored = _Entry(kind, name, version + 1, self.revision, value)
        self.entries[kind, name] = stored
        self._notify_watches()
        return stored

    def delete(self, kind: str, name: str, expected: int) -> bool:
        """Delete an object if the version matches; return whether it did."""
        entry = self.entries.get((kind, name))
        if entry is None or entry.version != expected:
            return False
        self.entries.pop((kind, name))
        self.revision += 1
        self._notify_watches()
        return True

    def _notify_watches(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()


class _StoreHandler(RequestHandler):
    def initialize(self, store: ObjectStore) -> None:
        self.store = store

    async def prepare(self) -> None:
        if self.store.faults.delay:
            await asyncio.sleep(self.store.faults.delay)
        if self.store.faults.down:
            self.set_status(503)
            await self.finish()

    def reply(self, body: object) -> None:
        self.finish(json.dumps(body))

    def fail(self, status: int) -> None:
        self.set_status(status)
        self.finish()


class _ObjectHandler(_StoreHandler):
    def get(self, kind: str, name: str) -> None:
        self.store.reads += 1
        entry = self.store.entries.get((kind, name))
        if entry is None:
            return self.fail(404)
        return self.reply(entry.as_json())

    def put(self, kind: str, name: str) -> None:
        self.store.writes += 1
        body = json.loads(self.request.body)
        if len(self.request.body) > VALUE_BYTES:
            return self.fail(413)
        stored = self.store.put(kind, name, body['value'], body['expected'])
        if self._drop_reply():
            return self.fail(503)
        if stored is None:
            return self.fail(409)
        return self.reply(stored.as_json())

    def delete(self, kind: str, name: str) -> None:
        self.store.writes += 1
        expected = int(self.get_query_argument('expected'))
        deleted = self.store.delete(kind, name, expected)
        if self._drop_reply():
            return self.fail(503)
        return self.reply({}) if deleted else self.fail(409)

    def _drop_reply(self) -> bool:
        if not self.store.faults.lose_replies:
            return False
        self.store.faults.lose_replies -= 1
        return True


class _ObjectListHandler(_StoreHandler):
    def get(self, kind: str) -> None:
        self.store.reads += 1
        self.reply(
            {
                'revision': self.store.revision,
                'objects': [
                    entry.as_json() for entry in self.store.list_kind(kind)
                ],
            }
        )


class _WatchHandler(_StoreHandler):
    async def get(self, kind: str) -> None:
        self.store.reads += 1
        since = int(self.get_query_argument('since'))
        seconds = float(self.get_query_argument('seconds'))
        if self.store.faults.forget_watch or since > self.store.revision:
            return self.fail(410)
        changes = await self._wait_for_changes(kind, since, seconds)
        if self.store.faults.late_watch:
            await asyncio.sleep(self.store.faults.late_watch)
        if self.store.faults.duplicate_watch:
            changes += changes
        return self.reply(
            {
                'revision': self.store.revision,
                'objects': [entry.as_json() for entry in changes],
            }
        )

    async def _wait_for_changes(
        self,
        kind: str,
        since: int,
        seconds: float,
    ) -> list[_Entry]:
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while True:
            changed = self.store.changed
            changes = [
                entry
                for entry in self.store.list_kind(kind)
                if entry.revision > since
            ]
            remaining = end - loop.time()
            if changes or remaining <= 0:
                return changes
            try:
                async with asyncio.timeout(remaining):
                    await changed.wait()
            except TimeoutError:
                return []


class _HostsHandler(_StoreHandler):
    def get(self) -> None:
        self.store.reads += 1
        hosts = [
            {'name': name, 'state': state}
            for name, state in self.store.hosts.items()
        ]
        self.reply({'hosts': hosts})


class _FaultsHandler(RequestHandler):
    def initialize(self, store: ObjectStore) -> None:
        self.store = store

    def post(self) -> None:
        for name, setting in json.loads(self.request.body).items():
            setattr(self.store.faults, name, setting)
        self.finish('{}')


class PlatformStandin(StandinServer):
    """Serves the object API on the loopback interface."""

    def __init__(self, store: ObjectStore | None = None) -> None:
        """Prepare the stand-in.

        Args:
            store: Objects to serve; an empty store if None.
        """
        self.store = store or ObjectStore()
        arguments = {'store': self.store}
        super().__init__(
            Application(
                [
                    ('/objects/([^/]+)/([^/]+)', _ObjectHandler, arguments),
                    ('/objects/([^/]+)', _ObjectListHandler, arguments),
                    ('/watch/([^/]+)', _WatchHandler, arguments),
                    ('/hosts', _HostsHandler, arguments),
                    ('/faults', _FaultsHandler, arguments),
                ],
                log_function=log_nothing,
            ),
        )

    @property
    def url(self) -> str:
        """Base URL of the API."""
        return f'http://{self.address}'
