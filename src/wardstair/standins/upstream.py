"""Stand-in for an upstream, with configurable delays and faults."""

import asyncio
import json
from collections import Counter
from dataclasses import dataclass, field

from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler, stream_request_body

from wardstair.standins.server import StandinServer, log_nothing

BODY_LIMIT = 1 << 40


@dataclass
class Behaviour:
    """How the stand-in currently serves requests.

    Attributes:
        seconds: Processing time of a request, in seconds.
        shed: Refuse all requests with 503 and `Not-Run`.
        stall: Accept requests and never answer.
        reset_before: Run requests, then close the connection without an
            answer.
        reset_after: Close the connection in the middle of the answer.
        foreign: Answer with a `Request-Id` of another request.
        leaving: Announce in each answer and health check that the upstream
            is about to leave.
        load: Load to report in health checks; the actual load if None.
        answer_bytes: Size of the answer's body in bytes; 0 for a short JSON
            document.
    """

    seconds: float = 0.0
    shed: bool = False
    stall: bool = False
    reset_before: bool = False
    reset_after: bool = False
    foreign: bool = False
    leaving: bool = False
    load: float | None = None
    answer_bytes: int = 0


@dataclass
class UpstreamState:
    """State of the stand-in and records of the requests it received.

    Attributes:
        name: Name of the upstream.
        slots: Requests it can serve at once.
        behaviour: How it currently serves requests.
        runs: Number of runs of each `Idempotency-Key`.
        received: Number of requests received.
        body_bytes: Total size of all request bodies, in bytes.
        in_flight: Requests currently in flight.
        peak: Largest number of requests in flight at once.
        cancelled: Requests whose connection closed before the answer.
        deadlines: `Deadline-Ms` of each request that ran; empty if absent.
        started: Set when the first request arrives.
    """

    name: str
    slots: int
    behaviour: Behaviour = field(default_factory=Behaviour)
    runs: Counter[str] = field(default_factory=Counter)
    received: int = 0
    body_bytes: int = 0
    in_flight: int = 0
    peak: int = 0
    cancelled: int = 0
    deadlines: list[str] = field(default_factory=list)
    started: asyncio.Event = field(default_factory=asyncio.Event)
    never: asyncio.Event = field(default_factory=asyncio.Event)


@stream_request_body
class _ServeHandler(RequestHandler):
    def initialize(self, state: UpstreamState) -> None:
        self.state = state
        self.received_bytes = 0
        self.counted = False
        self.disconnected = asyncio.Event()

    def prepare(self) -> None:
        state = self.state
        self.request.connection.set_max_body_size(BODY_LIMIT)  # type: ignore[union-attr]
        state.received += 1
        state.in_flight += 1
        state.peak = max(state.peak, state.in_flight)
        self.counted = True
        state.started.set()

    def data_received(self, chunk: bytes) -> None:
        self.received_bytes += len(chunk)
        self.state.body_bytes += len(chunk)

    async def get(self) -> None:
        await self._serve()

    async def head(self) -> None:
        await self._serve()

    async def post(self) -> None:
        await self._serve()

    async def put(self) -> None:
        await self._serve()

    def on_connection_close(self) -> None:
        self.state.cancelled += 1
        self.disconnected.set()
        self._end_in_flight()

    def on_finish(self) -> None:
        self._end_in_flight()

    def _end_in_flight(self) -> None:
        if self.counted:
            self.counted = False
            self.state.in_flight -= 1

    async def _serve(self) -> None:
        behaviour = self.state.behaviour
        headers = self.request.headers
        if behaviour.shed:
            self.set_status(503)
            self.set_header('Not-Run', 'true')
            self.set_header('Retry-After', '1')
            return
        key = headers.get('Idempotency-Key')
        if key:
            self.state.runs[key] += 1
        self.state.deadlines.append(headers.get('Deadline-Ms', ''))
        if behaviour.stall:
            await self.disconnected.wait()
            return
        if behaviour.seconds:
            await asyncio.sleep(behaviour.seconds)
        if behaviour.reset_before:
            self._close_connection()
            return
        await self._answer(headers.get('Request-Id', ''))

    async def _answer(self, request_id: str) -> None:
        behaviour = self.state.behaviour
        answer_id = 'another-request' if behaviour.foreign else request_id
        self.set_header('Request-Id', answer_id)
        if behaviour.leaving:
            self.set_header('Draining', 'true')
        if behaviour.reset_after:
            self.set_header('Content-Length', '1000')
            self.write(b'x' * 100)
            await self.flush()
            self._close_connection()
            return
        if behaviour.answer_bytes:
            await self._stream(behaviour.answer_bytes)
            return
        self.write(
            {
                'upstream': self.state.name,
                'target': self.request.uri,
                'body_bytes': self.received_bytes,
                'request': request_id,
            }
        )

    async def _stream(self, size: int) -> None:
        self.set_header('Content-Length', str(size))
        block = b'm' * 65536
        while size:
            chunk = block[:size]
            self.write(chunk)
            try:
                await self.flush()
            except StreamClosedError:
                return
            size -= len(chunk)

    def _close_connection(self) -> None:
        stream = self.request.connection.stream  # type: ignore[union-attr]
        stream.close()


class _HealthHandler(RequestHandler):
    def initialize(self, state: UpstreamState) -> None:
        self.state = state

    def get(self) -> None:
        state = self.state
        actual_load = state.in_flight / state.slots
        load = state.behaviour.load
        self.finish(
            json.dumps(
                {
                    'load': actual_load if load is None else load,
                    'leaving': state.behaviour.leaving,
                }
            ),
        )


class UpstreamStandin(StandinServer):
    """Serves an upstream on the loopback interface."""

    def __init__(self, name: str, slots: int) -> None:
        """Prepare the stand-in.

        Args:
            name: Name of the upstream.
            slots: Requests it can serve at once. The stand-in counts requests
                but enforces no limit, so that a test sees an excess.
        """
        self.state = UpstreamState(name, slots)
        arguments = {'state': self.state}
        super().__init__(
            Application(
                [
                    ('/health', _HealthHandler, arguments),
                    ('.*', _ServeHandler, arguments),
                ],
                log_function=log_nothing,
            ),
        )
