"""Client of the platform's store.

Methods return typed results, so that their callers decide how to handle an
unavailable store or an expired watch.
"""

import json
import time
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from urllib.parse import quote, urlencode

import pycurl
from result import Err, Ok, Result
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse

from wardstair.connection.client import close_client, make_client
from wardstair.connection.silence import notice_silence_of
from wardstair.decisions.adaptive_timeout import AdaptiveTimeout
from wardstair.errors import (
    PlatformError,
    PlatformUnavailable,
    VersionConflict,
)
from wardstair.platform.objects import StoredObject
from wardstair.platform.store_answers import (
    Answer,
    Changes,
    Listing,
    StatusWrite,
    read_body,
    read_changes,
    read_object,
    read_page,
)
from wardstair.process.log_limit import WarningLimit
from wardstair.state.revision import Revision

# An answer usually takes about 10 ms, and up to 60 times as long while the
# store is overloaded.
CALL_SECONDS = 2.0
# Added to the wait of a watch to allow for the transit of its answer.
WATCH_MARGIN_SECONDS = 1.5
CONNECT_SECONDS = 1.0
_MILLISECONDS = 1000
# Short, because a poll asks only for changes that already exist.
_POLL_WAIT_MILLISECONDS = 20
# Number that each restore of the store from a copy increases by one.
_ERA_HEADER = 'Store-Era'
_MAX_ERA_DIGITS = 18
# Concurrent listings, contact checks and registration calls; watches use
# clients of their own.
_MAX_TRANSFERS = 8
# The store returns at most about a megabyte in an answer.
_MAX_ANSWER_BYTES = 4194304


class CallKind(StrEnum):
    """Purpose of a call to the store; each kind has its own price."""

    listing = 'list'
    stale_listing = 'stale-list'
    stale_read = 'stale-read'
    read = 'read'
    watch = 'watch'
    check = 'check'
    creation = 'create'
    replacement = 'replace'
    status_replacement = 'replace-status'
    removal = 'delete'


@dataclass(frozen=True, slots=True)
class CallLabels:
    """Labels by which calls to the store are counted.

    Attributes:
        call: Purpose of the call.
        kind: Kind of the objects.
    """

    call: CallKind
    kind: str


class Store:
    """Client of the store.

    Attributes:
        calls: Number of calls made, by their labels.
        era: Highest era seen in an answer; 0 for none.
        on_era: Called with each era that is higher than all previous ones.
        answer_timeout: Timeout for answers, derived from recent answer times.
        unreadable: Logs and counts objects that cannot be read.
    """

    def __init__(self, address: str) -> None:
        """Create the client without connecting.

        Args:
            address: `ip:port` of the store.
        """
        self.calls = Counter[CallLabels]()
        self.era = 0
        self.on_era: Callable[[int], None] = _ignore_era
        self.answer_timeout = AdaptiveTimeout()
        self.unreadable = WarningLimit('object-unreadable')
        self._address = address
        self._client = make_client(_MAX_TRANSFERS, _MAX_ANSWER_BYTES)
        # Each watch has a client of its own: tornado cannot cancel a pending
        # transfer, but closing the client ends it.
        self._watch_clients: dict[str, CurlAsyncHTTPClient] = {}

    def close(self) -> None:
        """Close all connections."""
        close_client(self._client)
        for kind in tuple(self._watch_clients):
            self.drop_watch(kind)

    def drop_watch(self, kind: str) -> None:
        """End the pending watch of a kind, if any."""
        client = self._watch_clients.pop(kind, None)
        if client is not None:
            close_client(client)

    async def list_kind(
        self,
        kind: str,
        *,
        is_stale: bool = False,
        new_connection: bool = False,
    ) -> Result[Listing, PlatformError]:
        """List all objects of a kind, page by page.

        Args:
            kind: The kind.
            is_stale: Whether the listing may be some seconds old, at a tenth
                of the price.
            new_connection: Whether to open a new connection; the network may
                have stopped carrying data on an existing one.
        """
        listed: list[StoredObject] = []
        # The watch continues from the revision of the first page, so that it
        # reports what changed on a page after that page was read.
        first_revision: Revision | None = None
        base_query: dict[str, object] = {'stale_ok': 1} if is_stale else {}
        query = base_query
        call = CallKind.stale_listing if is_stale else CallKind.listing
        while True:
            self._count(call, kind)
            answered = await self._call(
                'GET',
                _path(kind, query=query),
                new_connection=new_connection,
            )
            if isinstance(answered, Err):
                return answered
            answer = answered.ok_value
            if listed and listed[0].era != answer.era:
                # Pages of two eras do not form a consistent listing.
                return Err(
                    PlatformUnavailable(f'store restored while listing {kind}')
                )
            page = read_page(kind, answer, self.unreadable)
            if isinstance(page, Err):
                return page
            listed.extend(page.ok_value.objects)
            first_revision = first_revision or page.ok_value.revision
            after = page.ok_value.after
            if after is None:
                return Ok(Listing(tuple(listed), first_revision))
            if after == query.get('after'):
                return Err(
                    PlatformUnavailable(
                        f'the pages of {kind} repeat themselves'
                    )
                )
            query = {**base_query, 'after': after}

    async def watch_kind(
        self,
        kind: str,
        revision: Revision,
        seconds: float,
    ) -> Result[Changes, PlatformError]:
        """Wait for changes of a kind after a revision, one watch per kind.

        Args:
            kind: The kind.
            revision: Revision up to which all changes are known.
            seconds: Longest wait; the result is empty if nothing changes.
        """
        query = {
            'watch': revision.number,
            'wait_ms': round(seconds * _MILLISECONDS),
        }
        self._count(CallKind.watch, kind)
        client = self._watch_clients.get(kind)
        if client is None:
            client = make_client(1, _MAX_ANSWER_BYTES)
            self._watch_clients[kind] = client
        began_at = time.monotonic()
        answered = await self._call(
            'GET',
            _path(kind, query=query),
            seconds=seconds + WATCH_MARGIN_SECONDS,
            client=client,
        )
        changes = answered.and_then(
            lambda answer: read_changes(kind, answer, self.unreadable)
        )
        match changes:
            case Ok(Changes(changes=())):
                self.answer_timeout.note(time.monotonic() - began_at - seconds)
        return changes

    async def poll_changes(
        self,
        kind: str,
        revision: Revision,
    ) -> Result[Changes, PlatformError]:
        """Read the changes of a kind after a revision without waiting.

        It opens a new connection, because the network may have stopped carrying
        data on an existing one.

        Args:
            kind: The kind.
            revision: Revision up to which all changes are known.
        """
        query = {'watch': revision.number, 'wait_ms': _POLL_WAIT_MILLISECONDS}
        self._count(CallKind.check, kind)
        began_at = time.monotonic()
        answered = await self._call(
            'GET',
            _path(kind, query=query),
            new_connection=True,
        )
        if isinstance(answered, Ok):
            self.answer_timeout.note(time.monotonic() - began_at)
        return answered.and_then(
            lambda answer: read_changes(kind, answer, self.unreadable)
        )

    async def read_stale(
        self,
        kind: str,
        name: str,
    ) -> Result[StoredObject, PlatformError]:
        """Read an object that may be some seconds old, at a tenth of the price.

        Args:
            kind: The kind of the object.
            name: The name of the object.
        """
        self._count(CallKind.stale_read, kind)
        path = _path(kind, name, {'stale_ok': 1})
        began_at = time.monotonic()
        answered = await self._call('GET', path)
        if isinstance(answered, Ok):
            self.answer_timeout.note(time.monotonic() - began_at)
        return answered.and_then(
            lambda answer: read_object(kind, answer, self.unreadable)
        )

    async def create(
        self,
        kind: str,
        document: Mapping[str, object],
    ) -> Result[StoredObject | None, PlatformError]:
        """Create an object; a conflict means that it already exists.

        Returns:
            The written object; None if the answer does not contain it.
        """
        self._count(CallKind.creation, kind)
        answered = await self._call('POST', _path(kind), document)
        return answered.map(lambda answer: self._read_written(kind, answer))

    async def replace(
        self,
        kind: str,
        name: str,
        document: Mapping[str, object],
    ) -> Result[StoredObject | None, PlatformError]:
        """Replace an object, apart from what the store itself sets.

        Returns:
            The written object; None if the answer does not contain it.
        """
        self._count(CallKind.replacement, kind)
        answered = await self._call('PUT', _path(kind, name), document)
        return answered.map(lambda answer: self._read_written(kind, answer))

    async def replace_status(
        self,
        kind: str,
        name: str,
        status: Mapping[str, object],
        revision: int,
    ) -> Result[StatusWrite, PlatformError]:
        """Replace an object's status if it still has the given revision."""
        self._count(CallKind.status_replacement, kind)
        document = {
            'metadata': {'name': name, 'revision': revision},
            'status': status,
        }
        path = f'{_path(kind, name)}/status'
        match await self._call('PUT', path, document):
            case Ok(answer):
                return Ok(StatusWrite(True, self._read_written(kind, answer)))
            case Err(VersionConflict(body=body)):
                held = self._read_written(kind, Answer(body, self.era))
                return Ok(StatusWrite(False, held))
            case Err(error):
                return Err(error)

    async def read(
        self, kind: str, name: str
    ) -> Result[StoredObject, PlatformError]:
        """Read an object.

        Args:
            kind: The kind of the object.
            name: The name of the object.
        """
        self._count(CallKind.read, kind)
        answered = await self._call('GET', _path(kind, name))
        return answered.and_then(
            lambda answer: read_object(kind, answer, self.unreadable)
        )

    async def delete(
        self,
        kind: str,
        name: str,
        revision: int,
    ) -> Result[bytes, PlatformError]:
        """Delete an object if it still has the given revision."""
        self._count(CallKind.removal, kind)
        query = {'revision': revision}
        answered = await self._call('DELETE', _path(kind, name, query))
        return answered.map(lambda answer: answer.body)

    def _read_written(self, kind: str, answer: Answer) -> StoredObject | None:
        """Read a written object; None if the answer does not contain it."""
        return read_object(kind, answer, self.unreadable).ok()

    def _count(self, call: CallKind, kind: str) -> None:
        self.calls[CallLabels(call, kind)] += 1

    async def _call(
        self,
        method: str,
        path: str,
        document: Mapping[str, object] | None = None,
        *,
        seconds: float = CALL_SECONDS,
        client: CurlAsyncHTTPClient | None = None,
        new_connection: bool = False,
    ) -> Result[Answer, PlatformError]:
        chosen_client = client or self._client
        body = None if document is None else json.dumps(document)
        request = HTTPRequest(
            f'http://{self._address}{path}',
            method=method,
            body=body,
            headers={'Content-Type': 'application/json'} if body else None,
            connect_timeout=CONNECT_SECONDS,
            request_timeout=seconds,
            follow_redirects=False,
            decompress_response=False,
            prepare_curl_callback=_prepare_new if new_connection else _prepare,
        )
        try:
            response = await chosen_client.fetch(request, raise_error=False)
        except (HTTPClientError, OSError, pycurl.error) as error:
            return Err(PlatformUnavailable(f'{method} {path}: {error}'))
        body_result = read_body(response, f'{method} {path}')
        era = self._note_era(response)
        return body_result.map(lambda body: Answer(body, era))

    def _note_era(self, response: HTTPResponse) -> int:
        """Return the era of an answer; call `on_era` if it is a new one."""
        header = response.headers.get(_ERA_HEADER, '')
        if not (
            header.isascii()
            and header.isdecimal()
            and len(header) <= _MAX_ERA_DIGITS
        ):
            # Proxies in front of the store do not send the era.
            return self.era
        era = int(header)
        if era > self.era:
            self.era = era
            self.on_era(era)
        return era


def _ignore_era(_era: int) -> None:
    """Ignore a new era."""


def _prepare(curl: pycurl.Curl) -> None:
    curl.setopt(pycurl.PROXY, '')
    curl.setopt(pycurl.TCP_NODELAY, 1)
    curl.setopt(pycurl.SOCKOPTFUNCTION, _set_up_socket)


def _prepare_new(curl: pycurl.Curl) -> None:
    _prepare(curl)
    curl.setopt(pycurl.FRESH_CONNECT, 1)
    curl.setopt(pycurl.FORBID_REUSE, 1)


def _set_up_socket(descriptor: int, _purpose: int) -> int:
    """Detect a dead connection; a pending watch has no other sign of it."""
    notice_silence_of(descriptor)
    return int(pycurl.SOCKOPT_OK)


def _path(
    kind: str,
    name: str = '',
    query: Mapping[str, object] | None = None,
) -> str:
    path = f'/objects/{quote(kind)}'
    if name:
        path = f'{path}/{quote(name)}'
    return f'{path}?{urlencode(query)}' if query else path
