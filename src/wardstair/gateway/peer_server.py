"""Serves requests that other entry hosts forward to this one."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from tornado.iostream import StreamClosedError
from tornado.web import RequestHandler, stream_request_body

from wardstair.connection.segments import BodyBuffer, split
from wardstair.fleet.peer_requests import (
    PeerAnswer,
    PeerRequest,
    decode_request,
    encode_answer,
    request_id_of,
)
from wardstair.gateway import refusals
from wardstair.gateway.bodies import BodyCapacity, MemoryLease
from wardstair.gateway.peer_messages import peer_refusal

# Returns the answer to a request; cancelled if the peer that forwarded it gives
# up.
ServePeerRequest = Callable[[PeerRequest], Awaitable[PeerAnswer]]


class PeerRequestServer:
    """Serves the requests of peers; one per process.

    Attributes:
        is_stopping: Whether this host is stopping and refuses requests.
        taken: Number of requests accepted so far.
    """

    def __init__(self, serve: ServePeerRequest, bodies: BodyCapacity) -> None:
        """Create a server.

        Args:
            serve: Returns the answer to a request.
            bodies: Capacity for request bodies.
        """
        self.is_stopping = False
        self.taken = 0
        self._serve = serve
        self._bodies = bodies
        self._open = 0
        self._is_idle = asyncio.Event()
        self._is_idle.set()

    @property
    def open_count(self) -> int:
        """Number of requests in progress."""
        return self._open

    async def serve(self, relayed: PeerRequest) -> PeerAnswer:
        """Serve a request, or refuse it."""
        if self.is_stopping:
            return peer_refusal(refusals.NO_MEMORY, relayed.request_id)
        self.taken += 1
        return await self._serve(relayed)

    def note_open(self) -> None:
        """Record the start of a request."""
        self._open += 1
        self._is_idle.clear()

    def note_ended(self) -> None:
        """Record that the answer of a request is sent or its peer has left."""
        self._open -= 1
        if not self._open:
            self._is_idle.set()

    def lease(self) -> MemoryLease:
        """Return a lease for a request or an answer, without any bytes."""
        return MemoryLease(self._bodies)

    async def wait_idle(self, seconds: float) -> None:
        """Wait until no request is open, at most for a given time.

        Args:
            seconds: Longest time to wait.
        """
        # `host-stopped cut_forwarded=` logs how many were still open then.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(seconds, 0)):
                await self._is_idle.wait()


@stream_request_body
class PeerRequestHandler(RequestHandler):
    """Handles one request of a peer."""

    def initialize(self, server: PeerRequestServer) -> None:
        """Store the server that all requests share.

        Args:
            server: Serves the requests.
        """
        self._server = server
        self._received = BodyBuffer()
        self._received_lease = server.lease()
        # Whether there is no memory for the request; only its beginning is kept
        # then, which holds its id.
        self._is_refused = False
        self._serving: asyncio.Task[PeerAnswer] | None = None
        self._is_open = False

    def prepare(self) -> None:
        """Reserve memory for the request, whose length is known."""
        self._is_open = True
        self._server.note_open()
        length = int(self.request.headers.get('Content-Length', 0))
        self._is_refused = not self._received_lease.take_body(length)

    def data_received(self, chunk: bytes) -> None:
        """Keep a piece of the request."""
        if self._is_refused and self._received:
            return
        self._received.append(chunk)

    async def post(self) -> None:
        """Serve the request and send its answer."""
        document = self._received.take()
        if self._is_refused:
            request_id = request_id_of(document)
            await self._send(peer_refusal(refusals.NO_MEMORY, request_id))
            return
        relayed = decode_request(document)
        if relayed is None:
            self.set_status(400)
            self.finish('send a relayed request of this version of the program')
            return
        self._serving = asyncio.ensure_future(self._server.serve(relayed))
        await asyncio.wait((self._serving,))
        if not self._serving.cancelled():
            await self._send(self._serving.result())

    async def _send(self, answer: PeerAnswer) -> None:
        pieces = encode_answer(answer)
        lease = self._server.lease()
        # It is in memory already, and was counted until now.
        lease.hold(len(pieces))
        self.set_header('Content-Type', 'application/cbor')
        self.set_header('Content-Length', str(len(pieces)))
        try:
            for piece in split(pieces):
                self.write(bytes(piece))
                await self.flush()
        except StreamClosedError:
            # The peer has given up.
            return
        finally:
            lease.release()

    def on_finish(self) -> None:
        """Release the memory of the request."""
        self._received_lease.release()
        self._end()

    def on_connection_close(self) -> None:
        """Stop serving the request of a peer that has given up."""
        super().on_connection_close()
        self._received.clear()
        self._received_lease.release()
        if self._serving is not None:
            self._serving.cancel()
        self._end()

    def _end(self) -> None:
        if self._is_open:
            self._is_open = False
            self._server.note_ended()
