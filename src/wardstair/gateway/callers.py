"""The HTTP listener for callers: accepts connections and counts requests.

An upstream is chosen only once the whole body of a request is received. A
caller with a slow connection then occupies no slot while it sends, and a
request that one upstream rejects can be sent to the next.
"""

import asyncio
import contextlib
import socket
from collections import Counter
from collections.abc import Awaitable, Callable

from tornado.iostream import IOStream
from tornado.tcpserver import TCPServer

from wardstair.decisions.pipelining import BACK_PRESSURE, Pause
from wardstair.decisions.stopping import StopTimes
from wardstair.errors import RefusalKind
from wardstair.gateway.bodies import BodyCapacity
from wardstair.gateway.caller_connections import CallerConnection
from wardstair.gateway.caller_limits import ConnectionLimits
from wardstair.gateway.caller_requests import CallerRequest
from wardstair.gateway.messages import Inbound, Reply
from wardstair.gateway.ports import BACKLOG

Serve = Callable[[Inbound], Awaitable[Reply]]
# Receives the id of a request, the body bytes received and the reason.
OnRefused = Callable[[str, int, RefusalKind], None]
# Tells by host name and path whether a request may run more than once.
IsRepeatable = Callable[[str, str], bool]


# More connections than the queue of a listening socket holds.
_MAX_WAITING = 2 * BACKLOG


class CallerListener(TCPServer):
    """Accepts the connections of callers.

    Attributes:
        stop_times: Times of the stop of the host; None until it stops.
        limits: Limits of all connections, open ones as well.
        bodies: Capacity for request bodies.
        on_refused: Called for each request that is refused before its body is
            complete, or since the host is about to exit.
        is_repeatable: Tells whether a request may run beside others of its
            connection.
        serve: Returns the reply to a request; cancelled when the caller
            disconnects.
        pipelined: Number of requests that started beside another of their
            connection.
        closed_unread: Number of connections that were closed although bytes
            had come which may be a request.
        pauses: Number of times that a connection held as much as it may and
            was not read on, by reason.
    """

    def __init__(
        self,
        serve: Serve,
        bodies: BodyCapacity,
        on_refused: OnRefused,
        is_repeatable: IsRepeatable,
    ) -> None:
        """Create a listener.

        Args:
            serve: Returns the reply to a request; cancelled when the caller
                disconnects.
            bodies: Capacity for request bodies.
            on_refused: Called for each request that is refused before its body
                is complete, or since the host is about to exit.
            is_repeatable: Tells whether a request may run more than once.
        """
        super().__init__()
        self.stop_times: StopTimes | None = None
        self.limits = ConnectionLimits()
        self.serve = serve
        self.bodies = bodies
        self.on_refused = on_refused
        self.is_repeatable = is_repeatable
        self.pipelined = 0
        self.closed_unread = 0
        self.pauses: Counter[Pause] = Counter()
        self._open_requests: set[CallerRequest] = set()
        self._connections: set[CallerConnection] = set()
        self._is_quiet = asyncio.Event()
        self._is_quiet.set()

    @property
    def is_stopping(self) -> bool:
        """Whether the host is stopping.

        Each connection then closes after the answer to the last request that
        has come.
        """
        return self.stop_times is not None

    @property
    def open_count(self) -> int:
        """Number of requests that are not answered yet."""
        return len(self._open_requests)

    @property
    def is_quiet(self) -> bool:
        """Whether no request and no connection is open."""
        return self._is_quiet.is_set()

    @property
    def unread_count(self) -> int:
        """Number of connections with bytes that may be a request."""
        return sum(one.has_unread for one in self._connections)

    def limit(self, limits: ConnectionLimits) -> None:
        """Set the limits of all connections, open ones as well."""
        if limits == self.limits:
            return
        self.limits = limits
        for connection in tuple(self._connections):
            connection.apply_limits()

    def stop_accepting(self) -> int:
        """Accept all connections that wait for it, and stop listening.

        The system would reset those that wait as the socket closes.

        Returns:
            The number of connections that waited.
        """
        waiting = [
            accepted
            for listening in tuple(self._sockets.values())
            for accepted in _accept_waiting(listening)
        ]
        # Nothing else runs between the last accept and the close.
        self.stop()
        for connection, address in waiting:
            self._handle_connection(connection, address)
        return len(waiting)

    def handle_stream(self, stream: IOStream, address: object) -> None:
        """Serve a connection that was accepted."""
        connection = CallerConnection(self, stream)
        self._connections.add(connection)
        self._is_quiet.clear()
        connection.start()

    def on_closed(self, connection: CallerConnection) -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)
        self._note_quiet()

    def note_pause(self, pause: Pause) -> None:
        """Count a connection that holds as much as it may."""
        if pause in BACK_PRESSURE:
            self.pauses[pause] += 1

    def note_open(self, request: CallerRequest) -> None:
        """Record the start of a request."""
        self._open_requests.add(request)
        self._is_quiet.clear()

    def note_ended(self, request: CallerRequest) -> None:
        """Record that a request is answered or its caller disconnected."""
        self._open_requests.discard(request)
        self._note_quiet()

    async def wait_closed(self, seconds: float) -> None:
        """Wait until all connections have closed.

        At a stop each closes after its last answer.

        Args:
            seconds: Longest time to wait.
        """
        # `host-stopped cut=` logs how many were still open after a timeout.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(seconds, 0)):
                await self._is_quiet.wait()

    def close_idle(self, *, spares_expected: bool = False) -> int:
        """Close the connections from which no request has come.

        Args:
            spares_expected: Whether those stay open from which one is expected.

        Returns:
            The number of connections that are closed.
        """
        closed = 0
        # Each is closed right after the look at its socket.
        for connection in tuple(self._connections):
            if not connection.is_idle:
                continue
            if spares_expected and connection.expects_request:
                continue
            self._close(connection)
            closed += 1
        return closed

    def expire_requests(self) -> None:
        """Answer all open requests now, since the process is about to exit."""
        for connection in tuple(self._connections):
            connection.expire_requests()

    async def close_connections(self) -> None:
        """Close all connections at once and wait for their end."""
        connections = tuple(self._connections)
        for connection in connections:
            self._close(connection)
        for connection in connections:
            await connection.wait_closed()

    def _close(self, connection: CallerConnection) -> None:
        if connection.has_unread:
            self.closed_unread += 1
        connection.close()

    def _note_quiet(self) -> None:
        if not self._open_requests and not self._connections:
            self._is_quiet.set()


def _accept_waiting(
    listening: socket.socket,
) -> list[tuple[socket.socket, object]]:
    """Accept connections until none waits, or no descriptor is left."""
    waiting: list[tuple[socket.socket, object]] = []
    for _ in range(_MAX_WAITING):
        try:
            waiting.append(listening.accept())
        except ConnectionAbortedError:
            continue
        except OSError:
            break
    return waiting
