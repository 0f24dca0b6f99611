"""One connection of a caller: reads its requests ahead of their answers.

Requests are parsed one after the other. Each starts as soon as it may run
beside those before it; the answers are sent in the order of the requests.
"""

import asyncio
import socket
import time
from collections.abc import Awaitable, Callable
from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING, cast

from tornado.http1connection import HTTP1Connection
from tornado.iostream import IOStream, StreamClosedError

from wardstair.connection.pipeline import Pipeline, Turn
from wardstair.decisions.pipelining import (
    Pause,
    PipelineState,
    closes,
    may_start,
    reading_pause,
)
from wardstair.decisions.stopping import StopTimes, request_seconds
from wardstair.gateway import refusals
from wardstair.gateway.caller_memory import CallerMemory
from wardstair.gateway.caller_requests import (
    BodyRefused,
    CallerRequest,
    CallerTurn,
)
from wardstair.gateway.caller_stream import CallerStream
from wardstair.gateway.expiry_timer import ExpiryTimer
from wardstair.gateway.idle_timer import IdleTimer
from wardstair.gateway.messages import Inbound, Reply
from wardstair.process.log import log_warning

if TYPE_CHECKING:
    from wardstair.gateway.callers import CallerListener

# Time for which a caller's further bytes are read after the last answer: they
# would make the system of a closed socket destroy the answer on its way. At a
# stop it starts again while the caller's system has not received the answer.
LINGER_SECONDS = 1.0


class CallerConnection:
    """A connection of a caller, from its acceptance to its close."""

    # A host may have thousands of idle connections.
    __slots__ = (
        '__weakref__',
        '_changed',
        '_expiry',
        '_has_answered',
        '_idle_timer',
        '_input',
        '_interim',
        '_is_ending',
        '_listener',
        '_memory',
        '_pipeline',
        '_reading',
        '_serving',
        '_stream',
    )

    def __init__(
        self,
        listener: 'CallerListener',
        stream: IOStream,
    ) -> None:
        """Create a connection that reads nothing yet.

        Args:
            listener: The listener that accepted it.
            stream: Its stream.
        """
        self._listener = listener
        self._stream = stream
        self._input = CallerStream(
            stream, self._send_interim, lambda: listener.limits.header_bytes
        )
        self._pipeline: Pipeline[Reply] = Pipeline(self._send)
        self._reading: CallerRequest | None = None
        self._memory = CallerMemory(listener.bodies)
        self._interim = b''
        # Nothing more is read or started: the last answer is being sent, or the
        # connection has closed.
        self._is_ending = False
        self._has_answered = False
        self._changed: asyncio.Future[None] | None = None
        self._idle_timer = IdleTimer(
            listener.limits.idle_seconds, lambda: self.is_idle, stream.close
        )
        self._expiry = ExpiryTimer(self._expire)
        self._serving: asyncio.Task[None] | None = None

    @property
    def is_idle(self) -> bool:
        """Whether no request is open, received or being received."""
        return self._is_resting and not self._input.has_unsearched

    @property
    def has_unread(self) -> bool:
        """Whether bytes have come that may be a request, and none is open."""
        return self._is_resting and self._input.has_unsearched

    @property
    def expects_request(self) -> bool:
        """Whether a caller that behaves has a request on its way.

        It has sent a part of one, or nothing yet on a new connection.
        """
        return not self._has_answered or self._input.has_part

    @property
    def _is_resting(self) -> bool:
        if self._is_ending or self._pipeline.open_count:
            return False
        reading = self._reading
        return reading is None or not reading.has_head

    def start(self) -> None:
        """Start reading requests."""
        self._stream.set_nodelay(True)
        self._stream.set_close_callback(self._on_close)
        self._idle_timer.start()
        self._serving = asyncio.ensure_future(self._serve())

    def apply_limits(self) -> None:
        """Apply the limits of the listener, which have changed."""
        limits = self._listener.limits
        self._idle_timer.set_limit(limits.idle_seconds)
        if self._reading is not None:
            self._reading.allow_body(limits.body_bytes)

    def close(self) -> None:
        """Close the connection at once; open requests are cancelled."""
        self._stream.close()

    def expire_requests(self) -> None:
        """Answer all open requests now, since the process is about to exit."""
        for turn in self._pipeline.open_turns:
            assert isinstance(turn, CallerTurn)
            if turn.task is not None and not turn.is_expired:
                turn.is_expired = True
                turn.task.cancel()
        request = self._reading
        if request is not None and request.has_head and not self._is_ending:
            request.refusal = refusals.STOPPING
            self._refuse(request)

    async def wait_closed(self) -> None:
        """Wait until the connection has closed."""
        if self._serving is not None:
            await asyncio.wait((self._serving,))

    async def _serve(self) -> None:
        try:
            await self._read_requests()
            # Notices a caller that leaves before the last answer.
            await self._until(lambda: False)
        except OSError:
            # The caller closed the connection, or its network failed.
            self._stream.close()
        except Exception as error:
            self._fail(error)

    async def _read_requests(self) -> None:
        while await self._until_readable():
            request = CallerRequest(self._on_head, self._take_body)
            self._reading = request
            await self._parse(request)
            if self._is_ending or request is not self._reading:
                return
            if not request.is_complete:
                self._refuse(request)
                return
            may_begin = partial(self._may_begin, request)
            if not await self._until(may_begin):
                return
            if self._stream.closed():
                # The caller cannot get the reply and may send the request
                # again, so it must not run.
                return
            self._begin(request)
            if not request.is_persistent:
                return

    def _fail(self, error: BaseException | None) -> None:
        """Close the connection after an internal error."""
        log_warning('caller-connection-failed', error=repr(error))
        self._stream.close()

    async def _parse(self, request: CallerRequest) -> None:
        parser = HTTP1Connection(cast(IOStream, self._input), is_client=False)
        request.parser = parser
        await parser.read_response(request)
        self._interim = b''

    async def _until_readable(self) -> bool:
        """Wait until a further request may be read; False if none may."""
        pause = reading_pause(self._state())
        if pause is None or self._is_ending:
            return not self._is_ending
        self._listener.note_pause(pause)
        return await self._until(lambda: reading_pause(self._state()) is None)

    async def _until(self, is_allowed: Callable[[], bool]) -> bool:
        """Wait for a condition of this connection; False if it ends before."""
        if not self._is_ending and is_allowed():
            return True
        self._input.watch()
        while not self._is_ending and not is_allowed():
            self._changed = asyncio.get_running_loop().create_future()
            await self._changed
        if self._is_ending:
            return False
        self._input.unwatch()
        return True

    def _wake(self) -> None:
        if self._changed is not None and not self._changed.done():
            self._changed.set_result(None)

    def _state(self) -> PipelineState:
        return PipelineState(
            self._pipeline.open_count,
            self._pipeline.runs_alone,
            self._memory.held_bytes,
            self._listener.bodies.is_short,
            self._listener.is_stopping,
        )

    def _has_more(self) -> bool:
        """Return whether bytes have come behind the requests started."""
        reading = self._reading
        is_receiving = reading is not None and reading.has_head
        return is_receiving or self._input.has_unread

    def _is_repeatable(self, request: CallerRequest) -> bool:
        return self._listener.is_repeatable(request.host, request.path)

    def _may_begin(self, request: CallerRequest) -> bool:
        if not self._pipeline.open_count:
            return True
        is_repeatable = self._is_repeatable(request)
        return may_start(self._state(), is_repeatable=is_repeatable)

    def _begin(self, request: CallerRequest) -> None:
        """Serve a complete request."""
        self._reading = None
        if self._pipeline.open_count:
            self._listener.pipelined += 1
        turn = CallerTurn(
            request,
            runs_alone=not self._is_repeatable(request),
            is_final=not request.is_persistent,
        )
        self._pipeline.begin(turn)
        turn.task = asyncio.ensure_future(self._run(turn))
        turn.task.add_done_callback(partial(self._on_served, turn))

    async def _run(self, turn: CallerTurn) -> None:
        reply = await self._reply_to(turn.request)
        self._memory.release(turn.request)
        self._finish(turn, reply)

    async def _reply_to(self, request: CallerRequest) -> Reply:
        inbound = request.inbound()
        if inbound is None:
            return refusals.NO_REQUEST_ID.reply('')
        inbound.on_dropped = partial(self._memory.release, request)
        stop = self._listener.stop_times
        if stop is not None and not self._fit_into_stop(inbound, stop):
            return refusals.STOPPING.reply(inbound.request_id)
        try:
            return await self._listener.serve(inbound)
        except Exception as error:
            # An internal error. The request may have run, so the reply must not
            # deny it.
            log_warning(
                'request-failed',
                request=inbound.request_id,
                error=repr(error),
            )
            return refusals.INTERNAL_FAULT.reply(inbound.request_id)

    def _fit_into_stop(self, inbound: Inbound, stop: StopTimes) -> bool:
        """Make a request end before the exit; False if it must not begin."""
        now = time.monotonic()
        waited = now - inbound.received_at
        seconds = request_seconds(stop, now, inbound.seconds - waited)
        if seconds is None:
            self._listener.on_refused(
                inbound.request_id,
                inbound.body_length,
                refusals.STOPPING.kind,
            )
            return False
        inbound.seconds = waited + seconds
        return True

    def _on_served(self, turn: CallerTurn, task: 'asyncio.Task[None]') -> None:
        self._memory.release(turn.request)
        if self._stream.closed():
            self._listener.note_ended(turn.request)
        elif task.cancelled():
            self._finish(turn, self._cancelled_reply(turn))
        elif task.exception() is not None:
            self._fail(task.exception())

    def _cancelled_reply(self, turn: CallerTurn) -> Reply:
        request_id = turn.request.request_id
        if not turn.is_expired:
            return refusals.INTERNAL_FAULT.reply(request_id)
        refusal = refusals.DEADLINE_PASSED
        self._listener.on_refused(
            request_id, turn.request.received_bytes, refusal.kind
        )
        return refusal.reply(request_id)

    def _expire(self) -> None:
        """Refuse a request that is not complete when its time is over."""
        request = self._reading
        if request is None or not request.has_head:
            return
        end = request.received_at + request.seconds
        if time.monotonic() < end:
            # An earlier request of the connection has set the timer.
            self._expiry.limit(end)
            return
        request.refusal = refusals.INCOMPLETE
        self._refuse(request)

    def _refuse(self, request: CallerRequest) -> None:
        """Refuse a request that is not read to its end, and all behind it."""
        self._reading = None
        refusal = request.refusal or refusals.MALFORMED
        request_id = request.request_id
        if request.refusal is not None:
            self._listener.on_refused(
                request_id, request.received_bytes, refusal.kind
            )
        self._memory.release(request)
        self._listener.note_open(request)
        turn = CallerTurn(request, runs_alone=True, is_final=True)
        self._pipeline.begin(turn)
        self._finish(turn, refusal.reply(request_id))

    def _finish(self, turn: CallerTurn, reply: Reply) -> None:
        if self._stream.closed():
            reply.release()
            return
        turn.reply = reply
        self._pipeline.finish(turn, reply)
        if turn.answer is not None:
            self._memory.hold_answer(turn, reply)

    def _send(self, turn: Turn[Reply], reply: Reply) -> None:
        """Send the answer whose turn it is."""
        assert isinstance(turn, CallerTurn)
        self._memory.release_answer(turn)
        state = self._state()
        if state.is_stopping:
            state = replace(state, has_more=self._has_more())
        is_last = closes(state, is_final=turn.is_final)
        pieces = turn.request.encode(reply, is_last=is_last)
        if is_last:
            self._is_ending = True
        try:
            for piece in pieces:
                written = self._stream.write(piece)
        except StreamClosedError:
            # The caller disconnected before the reply was written; the close
            # callback frees what is held.
            return
        on_written = partial(self._on_written, turn)
        if written.done():
            on_written(written)
        else:
            written.add_done_callback(on_written)

    def _on_written(
        self, turn: CallerTurn, _written: 'asyncio.Future[None]'
    ) -> None:
        turn.release_reply()
        if self._stream.closed():
            return
        self._has_answered = True
        self._listener.note_ended(turn.request)
        self._idle_timer.note_activity()
        self._pipeline.sent()
        if self._is_ending and not self._pipeline.open_count:
            self._end(turn)
        elif self._interim and not self._pipeline.open_count:
            self._send_interim(self._interim)
        self._wake()

    def _send_interim(self, data: bytes) -> None:
        """Send an interim response once the answers before it are sent."""
        if self._pipeline.open_count:
            self._interim = data
        elif not self._is_ending:
            self._interim = b''
            self._stream.write(data)

    def _end(self, turn: CallerTurn) -> None:
        """Close the connection, whose last answer is sent.

        While the caller may still send, its bytes are read and dropped: those
        that reach a closed socket may destroy the answer on its way. It does
        not expect the close that a stop or a refusal causes.
        """
        self._drop_unstarted()
        may_send = turn.task is None or self._listener.is_stopping
        if not may_send and not self._input.has_unread:
            self._stream.close()
            return
        try:
            self._stream.socket.shutdown(socket.SHUT_WR)
        except OSError:
            self._stream.close()
            return
        self._input.discard()
        self._linger()

    def _linger(self) -> None:
        asyncio.get_running_loop().call_later(
            LINGER_SECONDS, self._end_lingering
        )

    def _end_lingering(self) -> None:
        # The end of the grace period bounds it, as the process exits then.
        if self._listener.is_stopping and self._input.has_unacknowledged:
            self._linger()
            return
        self._stream.close()

    def _on_head(self, request: CallerRequest) -> None:
        request.allow_body(self._listener.limits.body_bytes)
        if request.has_body:
            self._expiry.limit(request.received_at + request.seconds)
        if not self._is_ending:
            self._listener.note_open(request)

    def _take_body(
        self, request: CallerRequest, amount: int
    ) -> Awaitable[None] | None:
        if self._takes(request, amount):
            return None
        return self._take_later(request, amount)

    async def _take_later(self, request: CallerRequest, amount: int) -> None:
        """Wait until body bytes may be held."""
        self._listener.note_pause(Pause.held_bytes)
        if not await self._until(partial(self._takes, request, amount)):
            raise BodyRefused('the connection ends')

    def _takes(self, request: CallerRequest, amount: int) -> bool:
        """Reserve memory for body bytes; False if they have to wait.

        Raises:
            BodyRefused: No answer of this connection will free any.
        """
        if self._is_ending or request is not self._reading:
            raise BodyRefused('the connection ends')
        is_first = not self._pipeline.open_count
        if self._memory.reserve(request, amount, is_first=is_first):
            return True
        if is_first:
            is_beyond = self._memory.is_beyond(request, amount)
            request.refusal = (
                refusals.BODY_BEYOND_MEMORY if is_beyond else refusals.NO_MEMORY
            )
            raise BodyRefused('the host holds as many bodies as it can')
        return False

    def _on_close(self) -> None:
        """Cancel and drop all requests of a connection that has closed."""
        self._is_ending = True
        self._input.unwatch()
        self._idle_timer.cancel()
        self._expiry.cancel()
        for turn in self._pipeline.clear():
            assert isinstance(turn, CallerTurn)
            self._memory.release_answer(turn)
            turn.release_reply()
            if turn.task is None or turn.task.done():
                self._listener.note_ended(turn.request)
            else:
                turn.task.cancel()
        self._drop_unstarted()
        self._listener.on_closed(self)
        self._wake()

    def _drop_unstarted(self) -> None:
        """Drop the request that is being received or waits for its start."""
        if self._reading is not None:
            self._memory.release(self._reading)
            self._listener.note_ended(self._reading)
            self._reading = None
