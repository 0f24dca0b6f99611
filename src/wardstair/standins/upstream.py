"""Stand-in of an upstream: serves, streams, sheds, stalls, dies and lies."""

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
    """How the stand-in serves for now.

    Attributes:
        seconds: Time that a request takes.
        shed: Refuse everything as not run.
        stall: Accept requests and never answer.
        reset_before: Run requests, then close without an answer.
        reset_after: Close in the middle of the answer.
        foreign: Answer with another request's id.
        leaving: Say in every answer that it is leaving.
        load: Load to report; None reports the truth.
        answer_bytes: Size of the answer's body; 0 for a short JSON one.
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
    """What the stand-in saw.

    Attributes:
        runs: How often each Idempotency-Key ran.
        received: Requests received.
        body_bytes: Bytes of all bodies.
        in_flight: Requests in flight now.
        peak: Most requests in flight at once.
        cancelled: Requests whose connection closed before their answer.
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
        self.length = 0
        self.counted = False
        self.gone = asyncio.Event()

    def prepare(self) -> None:
        state = self.state
        self.request.connection.set_max_body_size(BODY_LIMIT)  # type: ignore[union-attr]
        state.received += 1
        state.in_flight += 1
        state.peak = max(state.peak, state.in_flight)
        self.counted = True
        state.started.set()

    def data_received(self, chunk: bytes) -> None:
        self.length += len(chunk)
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
        self.gone.set()
        self._uncount()

    def on_finish(self) -> None:
        self._uncount()

    def _uncount(self) -> None:
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
            await self.gone.wait()
            return
        if behaviour.seconds:
            await asyncio.sleep(behaviour.seconds)
        if behaviour.reset_before:
            self._cut()
            return
        await self._answer(headers.get('Request-Id', ''))

    async def _answer(self, request_id: str) -> None:
        behaviour = self.state.behaviour
        own = 'another-request' if behaviour.foreign else request_id
        self.set_header('Request-Id', own)
        if behaviour.leaving:
            self.set_header('Draining', 'true')
        if behaviour.reset_after:
            self.set_header('Content-Length', '1000')
            self.write(b'x' * 100)
            await self.flush()
            self._cut()
            return
        if behaviour.answer_bytes:
            await self._stream(behaviour.answer_bytes)
            return
        self.write(
            {
                'upstream': self.state.name,
                'target': self.request.uri,
                'body_bytes': self.length,
                'request': request_id,
            }
        )

    async def _stream(self, size: int) -> None:
        self.set_header('Content-Length', str(size))
        piece = b'm' * 65536
        while size:
            part = piece[:size]
            self.write(part)
            try:
                await self.flush()
            except StreamClosedError:
                return
            size -= len(part)

    def _cut(self) -> None:
        stream = self.request.connection.stream  # type: ignore[union-attr]
        stream.close()


class _HealthHandler(RequestHandler):
    def initialize(self, state: UpstreamState) -> None:
        self.state = state

    def get(self) -> None:
        state = self.state
        truth = state.in_flight / state.slots
        load = state.behaviour.load
        self.finish(
            json.dumps(
                {
                    'load': truth if load is None else load,
                    'leaving': state.behaviour.leaving,
                }
            ),
        )


class UpstreamStandin(StandinServer):
    """An upstream on a socket of loopback."""

    def __init__(self, name: str, slots: int) -> None:
        """Prepare the stand-in.

        Args:
            name: Name of the upstream.
            slots: Requests it can serve at once; it counts, but enforces
                nothing, so that a test sees what it is sent.
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
