"""Client of the platform's object API, over HTTP and JSON.

A local rate limit applies to all calls, so that a fault of this host cannot
flood the platform. If the reply to a write is lost, `write_with_read_back`
reads the object instead of repeating the write blindly.
"""

import json
import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any
from urllib.parse import quote

from result import Err, Ok, Result
from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse

from wardstair.connection.client import close_client, make_client
from wardstair.errors import (
    BudgetSpent,
    ObjectMissing,
    PlatformError,
    PlatformUnavailable,
    VersionConflict,
    WatchForgotten,
)

FIRST_BACKOFF_SECONDS = 0.2
MAX_BACKOFF_SECONDS = 10.0
BUDGET_BURST_SECONDS = 4.0
MAX_CONCURRENT_CALLS = 16
UNREACHABLE_URL = 'http://127.0.0.1:9'
MAX_ANSWER_BYTES = 16777216
_NO_BODY: Any = None


@dataclass(frozen=True)
class StoredObject:
    """An object stored on the platform.

    Attributes:
        kind: Kind of the object.
        name: Name, unique for the kind.
        version: Version number, which increases with each update.
        value: JSON value.
    """

    kind: str
    name: str
    version: int
    value: Any


@dataclass(frozen=True)
class ObjectList:
    """All objects of a kind at one revision of the store."""

    revision: int
    objects: tuple[StoredObject, ...]


@dataclass(frozen=True)
class ListedHost:
    """An entry of the platform's host list, which may be outdated.

    Attributes:
        name: Name of the host.
        state: `live`, `leaving` or `gone`.
    """

    name: str
    state: str


class CallBudget:
    """Token bucket that limits the rate of calls."""

    def __init__(self, calls_per_second: float) -> None:
        """Start with a full bucket.

        Args:
            calls_per_second: Sustained rate; the bucket holds the calls of
                `BUDGET_BURST_SECONDS`.
        """
        self._rate = calls_per_second
        self._capacity = max(calls_per_second * BUDGET_BURST_SECONDS, 1.0)
        self._tokens = self._capacity
        self._updated = time.monotonic()

    def spend(self) -> float:
        """Take a token; return 0, or the seconds until one is available."""
        now = time.monotonic()
        gained = (now - self._updated) * self._rate
        self._tokens = min(self._tokens + gained, self._capacity)
        self._updated = now
        if self._tokens < 1:
            return (1 - self._tokens) / self._rate
        self._tokens -= 1
        return 0


def backoff_seconds(failures: int, random: Random) -> float:
    """Return the exponential delay after consecutive failures, with jitter."""
    longest = min(FIRST_BACKOFF_SECONDS * 2**failures, MAX_BACKOFF_SECONDS)
    return random.uniform(longest / 2, longest)


class PlatformClient:
    """Client of the object API."""

    def __init__(
        self,
        url: str,
        timeout: float,
        calls_per_second: float,
        count_call: Callable[[str], None] = lambda outcome: None,
    ) -> None:
        """Create a client without opening connections.

        Args:
            url: Base URL of the object API.
            timeout: Timeout of a call in seconds; a watch adds its own wait.
            calls_per_second: Local rate limit.
            count_call: Called with the outcome of each call.
        """
        self._url = url.rstrip('/')
        self._timeout = timeout
        self._budget = CallBudget(calls_per_second)
        self._count_call = count_call
        self._client = make_client(MAX_CONCURRENT_CALLS, MAX_ANSWER_BYTES)

    async def read(
        self,
        kind: str,
        name: str,
    ) -> Result[StoredObject, PlatformError]:
        """Read one object."""
        path = f'/objects/{kind}/{quote(name, safe="")}'
        answer = await self._call('GET', path)
        return answer.map(_stored)

    async def list_kind(self, kind: str) -> Result[ObjectList, PlatformError]:
        """Read all objects of a kind, with the revision to watch from."""
        answer = await self._call('GET', f'/objects/{kind}')
        return answer.map(
            lambda reply: ObjectList(
                reply['revision'],
                tuple(_stored(one) for one in reply['objects']),
            ),
        )

    async def write(
        self,
        kind: str,
        name: str,
        value: Any,
        expected: int,
    ) -> Result[StoredObject, PlatformError]:
        """Write an object if it still has the expected version.

        Args:
            kind: Kind of the object.
            name: Name of the object.
            value: New JSON value, at most 1 MB.
            expected: Version that the object must have; 0 to create it.
        """
        path = f'/objects/{kind}/{quote(name, safe="")}'
        body = {'value': value, 'expected': expected}
        answer = await self._call('PUT', path, body)
        return answer.map(_stored)

    async def write_with_read_back(
        self,
        kind: str,
        name: str,
        value: Any,
        expected: int,
    ) -> Result[StoredObject, PlatformError]:
        """Write an object, and read it back if the reply was lost.

        The value must be one that no other writer would store. Otherwise the
        write of another writer could be mistaken for this one.
        """
        written = await self.write(kind, name, value, expected)
        match written:
            case Err(PlatformUnavailable()):
                return await self._read_back(kind, name, value, expected)
            case _:
                return written

    async def delete(
        self,
        kind: str,
        name: str,
        expected: int,
    ) -> Result[None, PlatformError]:
        """Delete an object if it still has the expected version."""
        path = f'/objects/{kind}/{quote(name, safe="")}?expected={expected}'
        answer = await self._call('DELETE', path)
        return answer.map(lambda _reply: None)

    async def watch(
        self,
        kind: str,
        since: int,
        seconds: float,
    ) -> Result[ObjectList, PlatformError]:
        """Wait for changes to objects of a kind after a revision.

        Args:
            kind: Kind to watch.
            since: Revision of the previous list or watch.
            seconds: Longest wait; without changes the result is empty.
        """
        path = f'/watch/{kind}?since={since}&seconds={seconds}'
        answer = await self._call('GET', path, extra_seconds=seconds)
        return answer.map(
            lambda reply: ObjectList(
                reply['revision'],
                tuple(_stored(one) for one in reply['objects']),
            ),
        )

    async def hosts(self) -> Result[tuple[ListedHost, ...], PlatformError]:
        """Read the platform's list of hosts, which may be outdated."""
        answer = await self._call('GET', '/hosts')
        return answer.map(
            lambda reply: tuple(
                ListedHost(one['name'], one['state']) for one in reply['hosts']
            ),
        )

    def cut(self) -> None:
        """Make all further calls fail, by a URL where nothing listens."""
        self._url = UNREACHABLE_URL

    def close(self) -> None:
        """Close all connections."""
        close_client(self._client)

    async def _read_back(
        self,
        kind: str,
        name: str,
        value: Any,
        expected: int,
    ) -> Result[StoredObject, PlatformError]:
        found = await self.read(kind, name)
        match found:
            case Ok(StoredObject() as stored) if (
                stored.version > expected and stored.value == value
            ):
                return Ok(stored)
            case Ok(StoredObject() as stored) if stored.version > expected:
                return Err(VersionConflict(name))
            case Ok() | Err(ObjectMissing()):
                # Not applied so far, but the write may still be in transit:
                # the caller must treat the outcome as unknown.
                return Err(PlatformUnavailable('no reply to a write'))
            case _:
                return found

    async def _call(
        self,
        method: str,
        path: str,
        body: object = _NO_BODY,
        extra_seconds: float = 0,
    ) -> Result[Any, PlatformError]:
        wait = self._budget.spend()
        if wait > 0:
            self._count_call('budget-spent')
            return Err(BudgetSpent(wait))
        request = HTTPRequest(
            self._url + path,
            method=method,
            body=None if body is _NO_BODY else json.dumps(body),
            connect_timeout=self._timeout,
            request_timeout=self._timeout + extra_seconds,
            follow_redirects=False,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (OSError, HTTPClientError) as error:
            # raise_error=False applies to HTTP statuses only; connection
            # errors are still raised.
            response = HTTPResponse(request, 599, error=error)
        answer = _result_of(response, path)
        self._count_call('ok' if answer.is_ok() else 'failed')
        return answer


def _result_of(response: HTTPResponse, path: str) -> Result[Any, PlatformError]:
    match response.code:
        case 200:
            return _decoded(response)
        case 404:
            return Err(ObjectMissing(path))
        case 409:
            return Err(VersionConflict(path))
        case 410:
            return Err(WatchForgotten(0))
        case _:
            reason = str(response.error or response.code)
            return Err(PlatformUnavailable(reason))


def _decoded(response: HTTPResponse) -> Result[Any, PlatformError]:
    try:
        return Ok(json.loads(response.body))
    except ValueError:
        return Err(PlatformUnavailable('the response is not JSON'))


def _stored(reply: Any) -> StoredObject:
    return StoredObject(
        reply['kind'],
        reply['name'],
        reply['version'],
        reply['value'],
    )
