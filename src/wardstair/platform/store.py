"""The client of the platform's store.

Answers are typed results: a caller of the client decides what a store that is
away or has forgotten means to it.
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
from wardstair.errors import PlatformError, PlatformUnavailable
from wardstair.platform.objects import StoredObject
from wardstair.platform.store_answers import (
    Answer,
    Changes,
    Listing,
    read_body,
    read_changes,
    read_object,
    read_page,
    read_written,
)
from wardstair.state.revision import Revision

# A plain answer takes some 10 ms; a store under strain was seen to take 60
# times as long as usual, which this leaves room for.
CALL_SECONDS = 2.0
# Above the time a watch may wait, for its answer to travel.
WATCH_MARGIN_SECONDS = 1.5
CONNECT_SECONDS = 1.0
_MILLISECONDS = 1000
# Asked for changes that are there already, the store need not wait.
_ASK_MILLISECONDS = 20
# Rises by one each time that the store is restored from a copy.
_ERA_HEADER = 'Store-Era'
# Listings, proofs of contact and the registration, without watches.
_MANY_TRANSFERS = 8
# The store hands out at most about a megabyte in one answer.
_ANSWER_BYTES = 4194304


class CallKind(StrEnum):
    """What a call on the store is for; each is priced."""

    listing = 'list'
    stale_listing = 'stale-list'
    stale_read = 'stale-read'
    watch = 'watch'
    check = 'check'
    creation = 'create'
    replacement = 'replace'
    removal = 'delete'


@dataclass(frozen=True, slots=True)
class CallLabels:
    """What calls on the store are counted by.

    Attributes:
        call: What the call is for.
        kind: The kind of objects that it concerns.
    """

    call: CallKind
    kind: str


class Store:
    """Calls on the store.

    Attributes:
        calls: Calls made, by what they are for.
        era: The highest era that an answer has told; 0 for none.
        on_era: Told each era that is higher than those before.
        answer_timeout: How late answers may be.
    """

    def __init__(self, address: str) -> None:
        """Prepare without a connection.

        Args:
            address: `ip:port` of the store.
        """
        self.calls = Counter[CallLabels]()
        self.era = 0
        self.on_era: Callable[[int], None] = _ignore_era
        self.answer_timeout = AdaptiveTimeout()
        self._address = address
        self._client = make_client(_MANY_TRANSFERS, _ANSWER_BYTES)
        # A watch has a client of its own: tornado cannot end a transfer that
        # waits, but closing its client does.
        self._watches: dict[str, CurlAsyncHTTPClient] = {}

    def close(self) -> None:
        """Drop all connections."""
        close_client(self._client)
        for kind in tuple(self._watches):
            self.drop_watch(kind)

    def drop_watch(self, kind: str) -> None:
        """End a waiting watch of a kind, if there is one."""
        client = self._watches.pop(kind, None)
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
            is_stale: Whether it may be some seconds old, at a tenth of the
                price.
            new_connection: Whether to open a new connection; the network may
                have stopped carrying data on an existing one.
        """
        listed: list[StoredObject] = []
        # What changes on a page that is read already comes with the watch that
        # goes on from the first one.
        first_revision: Revision | None = None
        plain: dict[str, object] = {'stale_ok': 1} if is_stale else {}
        query = plain
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
                # Pages of two eras are no listing of either.
                return Err(PlatformUnavailable(f'restored amid {kind}'))
            page = read_page(kind, answer)
            if isinstance(page, Err):
                return page
            listed.extend(page.ok_value.objects)
            first_revision = first_revision or page.ok_value.revision
            if page.ok_value.is_last:
                return Ok(Listing(tuple(listed), first_revision))
            query = {**plain, 'after': listed[-1].metadata.name}

    async def watch_kind(
        self,
        kind: str,
        revision: Revision,
        seconds: float,
    ) -> Result[Changes, PlatformError]:
        """Wait for changes of a kind after a revision; one watch a kind.

        Args:
            kind: The kind.
            revision: Revision up to which everything is known.
            seconds: Longest wait; without changes the answer is empty.
        """
        query = {
            'watch': revision.number,
            'wait_ms': round(seconds * _MILLISECONDS),
        }
        self._count(CallKind.watch, kind)
        client = self._watches.get(kind)
        if client is None:
            client = make_client(1, _ANSWER_BYTES)
            self._watches[kind] = client
        began_at = time.monotonic()
        answered = await self._call(
            'GET',
            _path(kind, query=query),
            seconds=seconds + WATCH_MARGIN_SECONDS,
            client=client,
        )
        changes = answered.and_then(lambda answer: read_changes(kind, answer))
        match changes:
            case Ok(Changes(changes=())):
                self.answer_timeout.note(time.monotonic() - began_at - seconds)
        return changes

    async def poll_changes(
        self,
        kind: str,
        revision: Revision,
    ) -> Result[Changes, PlatformError]:
        """Ask for changes of a kind after a revision without waiting for any.

        It goes by a connection of its own: a kept one may carry nothing more.

        Args:
            kind: The kind.
            revision: Revision up to which everything is known.
        """
        query = {'watch': revision.number, 'wait_ms': _ASK_MILLISECONDS}
        self._count(CallKind.check, kind)
        began_at = time.monotonic()
        answered = await self._call(
            'GET',
            _path(kind, query=query),
            new_connection=True,
        )
        if isinstance(answered, Ok):
            self.answer_timeout.note(time.monotonic() - began_at)
        return answered.and_then(lambda answer: read_changes(kind, answer))

    async def read_stale(
        self,
        kind: str,
        name: str,
    ) -> Result[StoredObject, PlatformError]:
        """Read an object as it was some seconds ago, at a tenth of the price.

        Args:
            kind: Its kind.
            name: Its name.
        """
        self._count(CallKind.stale_read, kind)
        path = _path(kind, name, {'stale_ok': 1})
        began_at = time.monotonic()
        answered = await self._call('GET', path)
        if isinstance(answered, Ok):
            self.answer_timeout.note(time.monotonic() - began_at)
        return answered.and_then(read_object)

    async def create(
        self,
        kind: str,
        document: Mapping[str, object],
    ) -> Result[StoredObject | None, PlatformError]:
        """Create an object; a conflict means that it is there already.

        Returns:
            The object as written; None if the store did not hand it out.
        """
        self._count(CallKind.creation, kind)
        answered = await self._call('POST', _path(kind), document)
        return answered.map(read_written)

    async def replace(
        self,
        kind: str,
        name: str,
        document: Mapping[str, object],
    ) -> Result[StoredObject | None, PlatformError]:
        """Replace an object's own part.

        Returns:
            The object as written; None if the store did not hand it out.
        """
        self._count(CallKind.replacement, kind)
        answered = await self._call('PUT', _path(kind, name), document)
        return answered.map(read_written)

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
        used = client or self._client
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
            prepare_curl_callback=_prepare_apart
            if new_connection
            else _prepare,
        )
        try:
            response = await used.fetch(request, raise_error=False)
        except (HTTPClientError, OSError, pycurl.error) as error:
            return Err(PlatformUnavailable(f'{method} {path}: {error}'))
        judged = read_body(response, f'{method} {path}')
        era = self._note_era(response)
        return judged.map(lambda body: Answer(body, era))

    def _note_era(self, response: HTTPResponse) -> int:
        """Return the era of an answer; tell if it is a new one."""
        told = response.headers.get(_ERA_HEADER, '')
        if not (told.isascii() and told.isdecimal()):
            # Answers of what stands before the store do not tell.
            return self.era
        era = int(told)
        if era > self.era:
            self.era = era
            self.on_era(era)
        return era


def _ignore_era(_era: int) -> None:
    """Do nothing with a new era."""


def _prepare(curl: pycurl.Curl) -> None:
    curl.setopt(pycurl.PROXY, '')
    curl.setopt(pycurl.TCP_NODELAY, 1)
    curl.setopt(pycurl.SOCKOPTFUNCTION, _on_socket)


def _prepare_apart(curl: pycurl.Curl) -> None:
    _prepare(curl)
    curl.setopt(pycurl.FRESH_CONNECT, 1)
    curl.setopt(pycurl.FORBID_REUSE, 1)


def _on_socket(descriptor: int, _purpose: int) -> int:
    """Set up a socket of libcurl's; a waiting watch has no other sign."""
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
