"""A loopback proxy that delays, resets, silences or cuts connections."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

from lib.specs import ADDRESS

# Bytes per read, small enough for faults to occur in the middle of a body.
CHUNK = 4096


class Mode(StrEnum):
    """How bytes are handled."""

    carry = 'carry'
    delay = 'delay'
    # Open and new connections are reset.
    reset = 'reset'
    # Bytes are discarded while connections stay open.
    silence = 'silence'
    # Requests pass, answers are discarded.
    cut_answers = 'cut-answers'


@dataclass(frozen=True)
class _Connection:
    number: int
    peer: str


class CutWay(StrEnum):
    """How the connections from one address are cut."""

    # New and open connections carry no data.
    hang = 'hang'
    # New and open connections are reset.
    reset = 'reset'
    # New connections are reset, open ones keep working.
    reset_new = 'reset-new'


class Proxy:
    """Forwards connections to one port."""

    def __init__(self, target: int) -> None:
        """Create a proxy for a target port on loopback."""
        self.mode = Mode.carry
        self.delay = 0.0
        self.port = 0
        self._target = target
        self._server: asyncio.Server | None = None
        # Connections accepted so far, and how many of them carry no data.
        self._accepted = 0
        self._silenced = 0
        self._cuts: dict[str, CutWay] = {}
        self._writers_by_peer: dict[str, set[asyncio.StreamWriter]] = {}
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a port chosen by the system."""
        self._server = await asyncio.start_server(self._accept, ADDRESS, 0)
        self.port = int(self._server.sockets[0].getsockname()[1])

    async def refuse(self, seconds: float) -> None:
        """Stop listening for a while, as after the exit of a process."""
        if self._server is None or not self._server.is_serving():
            return
        self._server.close()
        self.reset_all()
        await asyncio.sleep(seconds)
        self._server = await asyncio.start_server(
            self._accept,
            ADDRESS,
            self.port,
        )

    def set_mode(self, mode: Mode, delay: float = 0.0) -> None:
        """Change how bytes are handled from now on."""
        self.mode = mode
        self.delay = delay
        if mode is Mode.reset:
            self.reset_all()

    def silence_open(self) -> None:
        """Stop carrying data on open connections; new ones work."""
        self._silenced = self._accepted

    def reset_all(self) -> None:
        """Reset all connections."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    def cut(self, addresses: Iterable[str], way: CutWay) -> None:
        """Cut the connections from some addresses."""
        for address in addresses:
            self._cuts[address] = way
            if way is CutWay.reset:
                self._reset_of(address)

    def mend(self, addresses: Iterable[str]) -> None:
        """End cuts; connections that may have lost bytes are reset."""
        for address in addresses:
            if self._cuts.pop(address, None) is CutWay.hang:
                self._reset_of(address)

    def _reset_of(self, address: str) -> None:
        for writer in tuple(self._writers_by_peer.get(address, ())):
            writer.transport.abort()

    async def stop(self) -> None:
        """Close everything."""
        if self._server is not None:
            self._server.close()
        self.reset_all()
        for task in tuple(self._tasks):
            task.cancel()

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._accepted += 1
        number = self._accepted
        self._writers.add(writer)
        peer = str(writer.get_extra_info('peername')[0])
        self._writers_by_peer.setdefault(peer, set()).add(writer)
        is_cut = self._cuts.get(peer) in {CutWay.reset, CutWay.reset_new}
        if self.mode is Mode.reset or is_cut:
            writer.transport.abort()
            return
        try:
            far = await asyncio.open_connection(ADDRESS, self._target)
        except OSError:
            writer.transport.abort()
            return
        far_reader, far_writer = far
        self._writers.add(far_writer)
        connection = _Connection(number, peer)
        self._spawn(
            self._carry(reader, far_writer, connection, is_answer=False)
        )
        self._spawn(self._carry(far_reader, writer, connection, is_answer=True))

    def _spawn(self, carrying: 'asyncio.Future[None] | object') -> None:
        task: asyncio.Task[None] = asyncio.ensure_future(
            carrying,  # type: ignore[arg-type]
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _carry(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        connection: '_Connection',
        *,
        is_answer: bool,
    ) -> None:
        try:
            while chunk := await reader.read(CHUNK):
                if self.mode is Mode.delay:
                    await asyncio.sleep(self.delay)
                if self._discards(connection, is_answer=is_answer):
                    continue
                writer.write(chunk)
                await writer.drain()
        except ConnectionError:
            writer.transport.abort()
        finally:
            self._writers.discard(writer)
            self._writers_by_peer[connection.peer].discard(writer)
            if not self._discards(connection, is_answer=is_answer):
                writer.close()

    def _discards(self, connection: '_Connection', *, is_answer: bool) -> bool:
        if self.mode is Mode.silence or connection.number <= self._silenced:
            return True
        if self._cuts.get(connection.peer) is CutWay.hang:
            return True
        return self.mode is Mode.cut_answers and is_answer
