"""Links to other entry hosts: websockets with CBOR messages.

Inside a zone every pair of hosts keeps one link, dialled by the lower name.
Links to other zones are dialled when a report is due and closed when idle.
A link's task owns its socket; the rest of the process talks to it by its
queue and hears from it through one inbox.
"""

import asyncio
import contextlib
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from random import Random

from result import Err, Ok
from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import ConnectionClosed, WebSocketException

from wardstair.decisions.ledger import Identity
from wardstair.process.log import log_warning
from wardstair.process.messages import (
    MAX_MESSAGE_BYTES,
    Hello,
    PeerMessage,
    decode,
    encode,
)
from wardstair.process.platform import backoff_seconds

QUEUED_MESSAGES = 256
DIAL_SECONDS = 2.0
HELLO_SECONDS = 5.0
IDLE_LINK_SECONDS = 30.0
PING_SECONDS = 10.0


@dataclass(frozen=True)
class Received:
    """A message with its sender."""

    sender: Identity
    message: PeerMessage


@dataclass(frozen=True)
class PeerAddress:
    """Where another entry host listens for peers."""

    name: str
    address: str


@dataclass
class _Link:
    peer: Identity
    connection: Connection
    outgoing: asyncio.Queue[bytes]


class PeerLinks:
    """All links of one host."""

    def __init__(
        self,
        hello: Hello,
        inbox: asyncio.Queue[Received],
        random: Random,
    ) -> None:
        """Prepare without any socket.

        Args:
            hello: How this host introduces itself.
            inbox: Where received messages go.
            random: Source of jitter.
        """
        self.port = 0
        self.sent: Counter[str] = Counter()
        self.sent_bytes = 0
        self.received_bytes = 0
        self.on_link: Callable[[str], None] = lambda name: None
        self._hello = hello
        self._inbox = inbox
        self._random = random
        self._links: dict[str, _Link] = {}
        self._dialling: dict[str, asyncio.Task[None]] = {}
        self._wanted: dict[str, str] = {}
        self._refused: set[str] = set()
        self._server: Server | None = None

    @property
    def linked(self) -> frozenset[str]:
        """Names of the hosts that a link leads to now."""
        return frozenset(self._links)

    async def start(self, address: str, port: int) -> None:
        """Listen for other hosts; port 0 lets the system choose."""
        self._server = await serve(
            self._accept,
            address,
            port,
            compression=None,
            max_size=MAX_MESSAGE_BYTES,
            ping_interval=PING_SECONDS,
            ping_timeout=PING_SECONDS,
        )
        self.port = next(iter(self._server.sockets)).getsockname()[1]

    async def stop(self) -> None:
        """Close all links and stop listening."""
        self._wanted = {}
        dialling = list(self._dialling.values())
        for task in dialling:
            task.cancel()
        await asyncio.gather(*dialling, return_exceptions=True)
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    def set_deployment(self, deployment: str) -> None:
        """Introduce this host with the name of its deployment from now."""
        self._hello = replace(self._hello, deployment=deployment)

    def keep_linked(self, peers: list[PeerAddress]) -> None:
        """Keep links to these hosts and redial them when they break."""
        self._wanted = {
            peer.name: peer.address
            for peer in peers
            if self._hello.identity.name < peer.name
        }
        for name in self._wanted:
            if name not in self._dialling:
                self._dial_in_background(name, self._keep_dialling(name))

    def open_link(self, peer: PeerAddress) -> None:
        """Open a link to a host if there is none; it closes when idle."""
        if peer.name in self._links or peer.name in self._dialling:
            return
        self._dial_in_background(peer.name, self._dial_once(peer.address))

    def block(self, name: str) -> None:
        """Have no link to a host from now, as if it were cut; for trials."""
        self._refused.add(name)
        link = self._links.pop(name, None)
        if link is not None:
            link.connection.transport.abort()

    def send(self, name: str, message: PeerMessage) -> bool:
        """Queue a message; return False if no link leads to the host."""
        if name not in self._links:
            return False
        return self._queue(name, message.kind, encode(message))

    def broadcast(self, names: Iterable[str], message: PeerMessage) -> None:
        """Queue one message for several hosts, encoded once."""
        raw = encode(message)
        for name in names:
            if name in self._links:
                self._queue(name, message.kind, raw)

    def _queue(self, name: str, kind: str, raw: bytes) -> bool:
        try:
            self._links[name].outgoing.put_nowait(raw)
        except asyncio.QueueFull:
            # A host that reads too slowly misses messages; all of them are
            # repeated or time out, so none has to be kept.
            return False
        self.sent[kind] += 1
        self.sent_bytes += len(raw)
        return True

    def _dial_in_background(self, name: str, dial: object) -> None:
        task = asyncio.ensure_future(dial)  # type: ignore[call-overload]
        self._dialling[name] = task
        task.add_done_callback(lambda _task: self._dialling.pop(name, None))

    async def _keep_dialling(self, name: str) -> None:
        failures = 0
        while name in self._wanted:
            if name in self._links:
                await asyncio.sleep(1)
                continue
            was_linked = await self._dial(self._wanted[name])
            failures = 0 if was_linked else failures + 1
            await asyncio.sleep(backoff_seconds(failures, self._random) / 4)

    async def _dial_once(self, address: str) -> None:
        await self._dial(address)

    async def _dial(self, address: str) -> bool:
        try:
            connection = await connect(
                f'ws://{address}',
                compression=None,
                max_size=MAX_MESSAGE_BYTES,
                open_timeout=DIAL_SECONDS,
                ping_interval=PING_SECONDS,
                ping_timeout=PING_SECONDS,
                proxy=None,
            )
        except (OSError, WebSocketException, TimeoutError):
            return False
        async with connection:
            return await self._talk(connection)

    async def _accept(self, connection: ServerConnection) -> None:
        await self._talk(connection)

    async def _talk(self, connection: Connection) -> bool:
        peer = await self._introduce(connection)
        if peer is None or peer.name in self._refused:
            return False
        link = _Link(peer, connection, asyncio.Queue(QUEUED_MESSAGES))
        self._links[peer.name] = link
        writer = asyncio.ensure_future(_write(link))
        self.on_link(peer.name)
        try:
            await self._read(link)
        finally:
            writer.cancel()
            if self._links.get(peer.name) is link:
                self._links.pop(peer.name)
        return True

    async def _introduce(self, connection: Connection) -> Identity | None:
        try:
            await connection.send(encode(self._hello))
            async with asyncio.timeout(HELLO_SECONDS):
                raw = await connection.recv()
        except (ConnectionClosed, TimeoutError):
            return None
        match decode(raw if isinstance(raw, bytes) else raw.encode()):
            case Ok(Hello() as hello) if (
                _is_same(hello.deployment, self._hello.deployment)
                and hello.identity != self._hello.identity
            ):
                return hello.identity
            case _:
                log_warning('peer-refused', reason='wrong hello')
                await connection.close()
                return None

    async def _read(self, link: _Link) -> None:
        with contextlib.suppress(ConnectionClosed):
            async for raw in link.connection:
                content = raw if isinstance(raw, bytes) else raw.encode()
                self.received_bytes += len(content)
                match decode(content):
                    case Ok(message):
                        await self._inbox.put(Received(link.peer, message))
                    case Err(reason):
                        log_warning(
                            'peer-message-refused',
                            peer=link.peer.name,
                            reason=reason,
                        )


def _is_same(theirs: str, ours: str) -> bool:
    # A host without a configuration does not know its deployment yet.
    return not theirs or not ours or theirs == ours


async def _write(link: _Link) -> None:
    with contextlib.suppress(ConnectionClosed):
        while True:
            await link.connection.send(await link.outgoing.get())
