"""Takes requests that other entry hosts hand on to this one."""

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
from wardstair.gateway.bodies import BodyRoom
from wardstair.gateway.relayed import refusal_of

# Gets a request; returns its answer, and is cancelled if the host that handed
# it on gives up.
ServeRelayed = Callable[[PeerRequest], Awaitable[PeerAnswer]]


class RelayServer:
    """The requests that other hosts have handed on; one a process.

    Attributes:
        is_stopping: Whether this host is about to stop and takes no more.
        taken: Requests taken so far.
    """

    def __init__(self, serve: ServeRelayed, bodies: BodyRoom) -> None:
        """Prepare without requests.

        Args:
            serve: Serves a request.
            bodies: Room for bodies.
        """
        self.is_stopping = False
        self.taken = 0
        self._serve = serve
        self._bodies = bodies
        self._open = 0
        self._is_idle = asyncio.Event()
        self._is_idle.set()

    async def serve(self, relayed: PeerRequest) -> PeerAnswer:
        """Serve a request, or refuse it."""
        size = len(relayed.body)
        if self.is_stopping or not self._bodies.take(size):
            return refusal_of(refusals.NO_MEMORY, relayed)
        self.taken += 1
        self._open += 1
        self._is_idle.clear()
        try:
            return await self._serve(relayed)
        finally:
            self._bodies.give_back(size)
            self._open -= 1
            if not self._open:
                self._is_idle.set()

    async def wait_idle(self, seconds: float) -> None:
        """Wait until no request is open, or until time is up.

        Args:
            seconds: Longest time to wait.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(seconds, 0)):
                await self._is_idle.wait()


class RelayHandler(RequestHandler):
    """One request that another host hands on."""

    def initialize(self, server: RelayServer) -> None:
        """Take what is shared by all requests.

        Args:
            server: Serves them.
        """
        self._server = server
        self._serving: asyncio.Task[PeerAnswer] | None = None

    async def post(self) -> None:
        """Serve the request and answer with what became of it."""
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
        self.finish(encode_answer(self._serving.result()))

    def on_connection_close(self) -> None:
        """End the work for a host that has given up."""
        if self._serving is not None:
            self._serving.cancel()
