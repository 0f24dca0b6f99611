"""One exchange with one upstream or entry host, through tornado's curl client.

Disables what libcurl does by default and a proxy must not do: following
redirects, decompressing bodies, normalizing paths and using a proxy from the
environment. libcurl also resends a request on a new connection if a reused one
closes early. This cannot be disabled, so a request that must not be repeated
always uses a new connection.
"""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse

from wardstair.connection.pipe import Pipe, PipeBroken
from wardstair.decisions.attempts import (
    Abandoned,
    Answered,
    AttemptOutcome,
    DeclaredNotRun,
    IncompleteAnswer,
    MismatchedAnswer,
    NeverSent,
)

CONNECT_SECONDS = 1.0
IDLE_SECONDS = 60.0
CALLER_IDLE_SECONDS = 300.0
POOLED_IDLE_SECONDS = 20
REQUEST_ID_HEADER = 'request-id'
NOT_RUN_HEADER = 'not-run'
RETRY_AFTER_HEADER = 'retry-after'
_MIN_FINAL_STATUS = 200
_UNKNOWN_LENGTH = -1


@dataclass(frozen=True)
class Outgoing:
    """A request as it is sent.

    Attributes:
        url: Absolute URL with an IP address as host.
        method: HTTP method.
        headers: Header names and values, without hop-by-hop headers.
        request_id: Identifies the request; an answer with another id belongs
            to another request.
        is_once: Whether it must not be sent more than once.
        body_length: Length of the body in bytes; None if there is no body, -1
            if the length is unknown.
        seconds: Timeout of the whole exchange in seconds, or None.
        send_by: Monotonic time from which it must not be sent, or None.
        idle_seconds: Timeout without progress in seconds.
    """

    url: str
    method: str
    headers: tuple[tuple[str, str], ...]
    request_id: str
    is_once: bool
    body_length: int | None
    seconds: float | None
    send_by: float | None = None
    idle_seconds: float = IDLE_SECONDS


@dataclass
class IncomingHead:
    """Status line and headers of the answer."""

    status: int
    reason: str = ''
    headers: list[tuple[str, str]] = field(default_factory=list)

    def first(self, name: str) -> str | None:
        """Return the first value of a header, given its lower-case name."""
        for header, text in self.headers:
            if header.lower() == name:
                return text
        return None


class Exchange:
    """Sends one request and streams the answer as it arrives."""

    def __init__(
        self,
        client: CurlAsyncHTTPClient,
        outgoing: Outgoing,
        body: Pipe | None,
    ) -> None:
        """Create an exchange; nothing is sent before `start` or `run`.

        Args:
            client: The process's curl client.
            outgoing: The request.
            body: The request body, or None.
        """
        self.answer = Pipe()
        self.last_progress = time.monotonic()
        self._client = client
        self._outgoing = outgoing
        self._body = body
        self._head: IncomingHead | None = None
        self._head_ready: asyncio.Future[IncomingHead | None] = (
            asyncio.get_running_loop().create_future()
        )
        self._ended = asyncio.Event()
        self._outcome: AttemptOutcome | None = None
        self._curl: pycurl.Curl | None = None
        self._is_sent = False
        self._is_mismatched = False
        self._is_abandoned = False
        self._has_timed_out = False
        self._read_paused = False
        self._write_paused = False

    def is_idle(self, now: float) -> bool:
        """Return whether there was no progress within the timeout.

        A caller with a slow connection may stall for much longer than an
        upstream.
        """
        limit = self._outgoing.idle_seconds
        if self._read_paused or self._write_paused:
            limit = max(limit, CALLER_IDLE_SECONDS)
        return now - self.last_progress > limit

    def start(self) -> None:
        """Start the exchange; `outcome` returns its result.

        It has no task of its own: libcurl's callbacks run on the event loop.
        """
        request = HTTPRequest(
            self._outgoing.url,
            connect_timeout=CONNECT_SECONDS,
            request_timeout=self._outgoing.seconds or 0,
            follow_redirects=False,
            decompress_response=False,
            prepare_curl_callback=self._prepare,
        )
        fetched = self._client.fetch(request, raise_error=True)
        fetched.add_done_callback(self._on_fetched)

    async def head(self) -> IncomingHead | None:
        """Wait for status and headers; None if the exchange ends before."""
        return await self._head_ready

    async def outcome(self) -> AttemptOutcome:
        """Wait for the end of the exchange and return its outcome."""
        await self._ended.wait()
        assert self._outcome is not None
        return self._outcome

    async def run(self) -> AttemptOutcome:
        """Start the exchange and wait for its outcome."""
        self.start()
        return await self.outcome()

    def abort(self) -> None:
        """End the exchange because the caller has disconnected."""
        self._is_abandoned = True
        self._stop()

    def give_up(self) -> None:
        """End the exchange because it makes no progress."""
        self._has_timed_out = True
        self._stop()

    def _stop(self) -> None:
        """Close the connection of the exchange instead of reusing it."""
        self.answer.fail()
        if self._curl is None:
            return
        # libcurl processes an idle transfer only when its state changes.
        # Pausing and resuming it triggers the progress callback.
        self._curl.setopt(pycurl.NOPROGRESS, 0)
        self._curl.setopt(pycurl.XFERINFOFUNCTION, _abort_transfer)
        self._toggle_pause(self._curl)

    def _toggle_pause(self, curl: pycurl.Curl) -> None:
        try:
            curl.pause(pycurl.PAUSE_ALL)
            curl.pause(pycurl.PAUSE_CONT)
        except pycurl.error:
            # The transfer has already failed; the fetch reports it.
            return

    def _prepare(self, curl: pycurl.Curl) -> None:
        self._curl = curl
        outgoing = self._outgoing
        lines = [
            f'{name}: {text}' if text else f'{name};'
            for name, text in outgoing.headers
        ]
        curl.setopt(pycurl.HTTPHEADER, [*lines, 'Expect:', 'Pragma:'])
        curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        curl.setopt(pycurl.PATH_AS_IS, 1)
        curl.setopt(pycurl.PROXY, '')
        curl.setopt(pycurl.TCP_NODELAY, 1)
        curl.setopt(pycurl.MAXAGE_CONN, POOLED_IDLE_SECONDS)
        curl.setopt(pycurl.HEADERFUNCTION, self._on_header)
        curl.setopt(pycurl.WRITEFUNCTION, self._on_write)
        curl.setopt(pycurl.PREREQFUNCTION, self._on_connected)
        curl.setopt(pycurl.CUSTOMREQUEST, outgoing.method)
        curl.setopt(pycurl.NOBODY, int(outgoing.method == 'HEAD'))
        if outgoing.is_once:
            curl.setopt(pycurl.FRESH_CONNECT, 1)
            curl.setopt(pycurl.FORBID_REUSE, 1)
        if outgoing.body_length is not None and self._body is not None:
            curl.setopt(pycurl.UPLOAD, 1)
            curl.setopt(pycurl.INFILESIZE_LARGE, outgoing.body_length)
            curl.setopt(pycurl.READFUNCTION, self._on_read)
            self._body.on_readable = self._resume_soon(self._resume_body)
        self.answer.on_writable = self._resume_soon(self._resume_answer)

    def _on_connected(self, *_addresses: object) -> int:
        send_by = self._outgoing.send_by
        if send_by is not None and time.monotonic() >= send_by:
            # The loan of the slot has expired: a process that was paused must
            # not use it once the lender may have granted it to another host.
            return int(pycurl.PREREQFUNC_ABORT)
        self._is_sent = True
        return int(pycurl.PREREQFUNC_OK)

    def _on_read(self, size: int) -> bytes | int:
        assert self._body is not None
        try:
            chunk = self._body.take(size)
        except PipeBroken:
            return int(pycurl.READFUNC_ABORT)
        if chunk is None:
            self._read_paused = True
            return int(pycurl.READFUNC_PAUSE)
        self.last_progress = time.monotonic()
        return chunk

    def _on_header(self, raw: bytes) -> None:
        self.last_progress = time.monotonic()
        if not raw.endswith(b'\n'):
            # libcurl passes on the beginning of a line if the connection closes
            # within it, and reports no failure.
            return
        line = raw.decode('latin-1').rstrip('\r\n')
        if line.startswith('HTTP/'):
            self._head = _status_line(line)
            return
        if self._head is None:
            return
        if line:
            name, _, text = line.partition(':')
            self._head.headers.append((name, text.strip()))
            return
        if self._head.status < _MIN_FINAL_STATUS:
            self._head = None
            return
        self._check_head(self._head)

    def _check_head(self, head: IncomingHead) -> None:
        named = head.first(REQUEST_ID_HEADER)
        if named is not None and named != self._outgoing.request_id:
            self._is_mismatched = True
            self._set_head(None)
            return
        self._set_head(head)

    def _on_write(self, chunk: bytes) -> int | None:
        if self._is_mismatched or self._is_abandoned or self._has_timed_out:
            return 0
        if self.answer.offer(chunk):
            self.last_progress = time.monotonic()
            return None
        self._write_paused = True
        return int(pycurl.WRITEFUNC_PAUSE)

    def _resume_soon(self, resume: Callable[[], None]) -> Callable[[], None]:
        loop = asyncio.get_running_loop()

        def schedule() -> None:
            # libcurl does not allow `pause` inside its callbacks.
            loop.call_soon(resume)

        return schedule

    def _resume_body(self) -> None:
        if self._read_paused:
            self._read_paused = False
            self._resume()

    def _resume_answer(self) -> None:
        if self._write_paused:
            self._write_paused = False
            self._resume()

    def _resume(self) -> None:
        if self._curl is None:
            return
        try:
            self._curl.pause(pycurl.PAUSE_CONT)
        except pycurl.error:
            # The transfer has already failed; the fetch reports it.
            return

    def _set_head(self, head: IncomingHead | None) -> None:
        if not self._head_ready.done():
            self._head_ready.set_result(head)

    def _on_fetched(self, fetched: 'asyncio.Future[HTTPResponse]') -> None:
        try:
            fetched.result()
        except CurlError as error:
            self._finish(self._failure(error.errno))
        except HTTPClientError:
            # tornado raises for a status of 300 and above; it is an answer.
            self._finish(self._success())
        else:
            self._finish(self._success())

    def _success(self) -> AttemptOutcome:
        if self._is_mismatched:
            return MismatchedAnswer()
        head = self._head
        if head is None or not self._head_ready.done():
            return IncompleteAnswer()
        if head.first(NOT_RUN_HEADER) == 'true' and head.status >= 400:
            seconds = head.first(RETRY_AFTER_HEADER) or ''
            retry_after = int(seconds) if seconds.isdecimal() else None
            return DeclaredNotRun(head.status, retry_after)
        return Answered(head.status)

    def _failure(self, errno: int | None) -> AttemptOutcome:
        timed_out = self._has_timed_out or errno == pycurl.E_OPERATION_TIMEDOUT
        if self._is_mismatched:
            return MismatchedAnswer()
        if not self._is_sent:
            return NeverSent(timed_out)
        if self._is_abandoned:
            return Abandoned()
        begun = self._head_ready.done()
        return IncompleteAnswer(answer_begun=begun, timed_out=timed_out)

    def _finish(self, outcome: AttemptOutcome) -> None:
        # The handle returns to the client's pool and may serve another request.
        self._curl = None
        self._outcome = outcome
        self._set_head(None)
        match outcome:
            case Answered() | DeclaredNotRun():
                self.answer.end()
            case _:
                self.answer.fail()
        self._ended.set()


def _status_line(line: str) -> IncomingHead:
    parts = line.split(' ', 2)
    status = int(parts[1]) if len(parts) > 1 and parts[1].isdecimal() else 0
    return IncomingHead(status, parts[2] if len(parts) > 2 else '')


def _abort_transfer(*_progress: object) -> int:
    return 1
