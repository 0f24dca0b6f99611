"""Serves requests that other entry hosts forward to this one."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from tornado.web import RequestHandler

from wardstair.fleet.peer_requests import (
    PeerAnswer,
    PeerRequest,
    decode_request,
    encode_answer,
)
from wardstair.gateway import refusals
from wardstair.gateway.bodies import AnswerLease, BodyCapacity
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
        size = len(relayed.body)
        if self.is_stopping or not self._bodies.reserve(size):
            return peer_refusal(refusals.NO_MEMORY, relayed)
        self.taken += 1
        self._open += 1
        self._is_idle.clear()
        try:
            return await self._serve(relayed)
        finally:
            self._bodies.release(size)
            self._open -= 1
            if not self._open:
                self._is_idle.set()

    def hold(self, amount: int) -> AnswerLease:
        """Return a lease for an answer that is passed on to a peer.

        Args:
            amount: Number of bytes.
        """
        lease = AnswerLease(self._bodies)
        # It is in memory already, and was counted until now.
        lease.take(amount)
        return lease

    async def wait_idle(self, seconds: float) -> None:
        """Wait until no request is open, at most for a given time.

        Args:
            seconds: Longest time to wait.
        """
        # `host-stopped cut_forwarded=` logs how many were still open then.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(seconds, 0)):
                await self._is_idle.wait()


class PeerRequestHandler(RequestHandler):
    """Handles one request of a peer."""

    def initialize(self, server: PeerRequestServer) -> None:
        """Store the server that all requests share.

        Args:
            server: Serves the requests.
        """
        self._server = server
        self._serving: asyncio.Task[PeerAnswer] | None = None

    async def post(self) -> None:
        """Serve the request and send its answer."""
        relayed = decode_request(self.request.body)
        if relayed is None:
            self.set_status(400)
            self.finish('send a relayed request of this version of the program')
            return
        self._serving = asyncio.ensure_future(self._server.serve(relayed))
        await asyncio.wait((self._serving,))
        if self._serving.cancelled():
            return
        self.set_header('Content-Type', 'application/cbor')
        answer = encode_answer(self._serving.result())
        lease = self._server.hold(len(answer))
        written = self.finish(answer)
        written.add_done_callback(lambda _written: lease.release())

    def on_connection_close(self) -> None:
        """Stop serving the request of a peer that has given up."""
        if self._serving is not None:
            self._serving.cancel()
