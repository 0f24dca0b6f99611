"""Links to other entry hosts: websockets that carry CBOR messages.

In a zone, each pair of hosts keeps one link open, which the host with the
lower name dials. Links to other zones are opened when a report is due.
The socket of a link is used only by the tasks of that link: outgoing messages
pass through a queue for each link, received ones through a shared inbox.
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

MAX_QUEUED_MESSAGES = 256
DIAL_SECONDS = 2.0
HELLO_SECONDS = 5.0
IDLE_LINK_SECONDS = 30.0
PING_SECONDS = 10.0


@dataclass(frozen=True)
class Received:
    """A received message with its sender."""

    sender: Identity
    message: PeerMessage


@dataclass(frozen=True)
class PeerAddress:
    """Name of an entry host and the address of its peer listener."""

    name: str
    address: str


@dataclass
class _Link:
    peer: Identity
    connection: Connection
    outgoing: asyncio.Queue[bytes]


class PeerLinks:
    """The links of this host to other entry hosts."""

    def __init__(
        self,
        hello: Hello,
        inbox: asyncio.Queue[Received],
        random: Random,
    ) -> None:
        """Create the object without opening sockets.

        Args:
            hello: First message that this host sends on each link.
            inbox: Queue for received messages.
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
        self._blocked: set[str] = set()
        self._server: Server | None = None

    @property
    def linked(self) -> frozenset[str]:
        """Names of the hosts to which a link is open."""
        return frozenset(self._links)

    async def start(self, address: str, port: int) -> None:
        """Listen for other hosts; port 0 lets the system select a port."""
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
        """Set the deployment that is sent in hello messages."""
        self._hello = replace(self._hello, deployment=deployment)

    def keep_linked(self, peers: list[PeerAddress]) -> None:
        """Keep links to these hosts open and redial broken ones.

        Replaces the previous list. Hosts with lower names dial this host.
        """
        self._wanted = {
            peer.name: peer.address
            for peer in peers
            if self._hello.identity.name < peer.name
        }
        for name in self._wanted:
            if name not in self._dialling:
                self._dial_in_background(name, self._keep_dialling(name))

    def open_link(self, peer: PeerAddress) -> None:
        """Open a link to a host in the background if none is open."""
        if peer.name in self._links or peer.name in self._dialling:
            return
        self._dial_in_background(peer.name, self._dial_once(peer.address))

    def block(self, name: str) -> None:
        """Abort the link to a host and accept no new one; used by tests."""
        self._blocked.add(name)
        link = self._links.pop(name, None)
        if link is not None:
            link.connection.transport.abort()

    def send(self, name: str, message: PeerMessage) -> bool:
        """Queue a message for a host.

        Returns:
            False if there is no link to the host or its queue is full.
        """
        if name not in self._links:
            return False
        return self._queue(name, message.kind, encode(message))

    def broadcast(self, names: Iterable[str], message: PeerMessage) -> None:
        """Encode a message once and queue it for the hosts that have a link."""
        raw = encode(message)
        for name in names:
            if name in self._links:
                self._queue(name, message.kind, raw)

    def _queue(self, name: str, kind: str, raw: bytes) -> bool:
        try:
            self._links[name].outgoing.put_nowait(raw)
        except asyncio.QueueFull:
            # The peer reads too slowly. The message can be dropped, since all
            # messages are repeated or their loss is covered by a timeout.
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
            return await self._run_link(connection)

    async def _accept(self, connection: ServerConnection) -> None:
        await self._run_link(connection)

    async def _run_link(self, connection: Connection) -> bool:
        peer = await self._exchange_hello(connection)
        if peer is None or peer.name in self._blocked:
            return False
        link = _Link(peer, connection, asyncio.Queue(MAX_QUEUED_MESSAGES))
        self._links[peer.name] = link
        writer = asyncio.ensure_future(_write_messages(link))
        self.on_link(peer.name)
        try:
            await self._read_messages(link)
        finally:
            writer.cancel()
            if self._links.get(peer.name) is link:
                self._links.pop(peer.name)
        return True

    async def _exchange_hello(self, connection: Connection) -> Identity | None:
        try:
            await connection.send(encode(self._hello))
            async with asyncio.timeout(HELLO_SECONDS):
                raw = await connection.recv()
        except (ConnectionClosed, TimeoutError):
            return None
        match decode(raw if isinstance(raw, bytes) else raw.encode()):
            case Ok(Hello() as hello) if (
                _may_be_same(hello.deployment, self._hello.deployment)
                and hello.identity != self._hello.identity
            ):
                return hello.identity
            case _:
                log_warning(
                    'peer-refused',
                    reason='hello is invalid or from another deployment',
                )
                await connection.close()
                return None

    async def _read_messages(self, link: _Link) -> None:
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


def _may_be_same(theirs: str, ours: str) -> bool:
    # The deployment is empty until a host has a configuration.
    return not theirs or not ours or theirs == ours


async def _write_messages(link: _Link) -> None:
    with contextlib.suppress(ConnectionClosed):
        while True:
            await link.connection.send(await link.outgoing.get())
