"""The ports of a gateway: binds them before any of them is used.

A port that is bound but not in use refuses connections, so that callers, checks
of readiness and other hosts turn to another host.
"""

import asyncio
import errno
import math
import socket
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any, Protocol
from weakref import WeakSet

from tornado.ioloop import IOLoop

from wardstair.fleet.datagrams import DatagramSocket
from wardstair.gateway.settings import Listener
from wardstair.process.log import log_event, log_warning

# Connections that may wait to be accepted; the kernel drops further ones.
BACKLOG = 512
# Interval between attempts to bind a port that is in use, short against the
# seconds within which a host that starts again is expected back.
RETRY_SECONDS = 0.1
UNLIMITED = 1 << 30
# Errors that last until something is closed.
_EXHAUSTED = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
)
# Pause after a connection could not be accepted, for lack of descriptors or
# memory.
ACCEPT_PAUSE_SECONDS = 0.1
# Interval between log lines of a port that stays blocked.
LOG_SECONDS = 10.0

_REMEDIES = {
    errno.EADDRINUSE: (
        'end what uses the port, or reserve it: outgoing connections may take '
        'a port that lies in their range'
    ),
    errno.EADDRNOTAVAIL: 'give this machine the address, or correct it',
    errno.EACCES: 'choose a port that this process may open',
    errno.EMFILE: 'raise the limit of descriptors of this process',
    errno.ENFILE: 'raise the limit of descriptors of this machine',
}
_OTHER_REMEDY = 'compare the address in the settings file with this machine'

# Receives the name of a listener and that of an error.
CountFailure = Callable[[str, str], None]


class Port(Protocol):
    """A socket that is bound before it is used."""

    @property
    def is_bound(self) -> bool:
        """Whether the port is held."""

    def bind(self) -> None:
        """Take the port.

        Raises:
            OSError: The port cannot be taken.
        """

    def listen(self) -> None:
        """Accept what arrives at the port.

        Raises:
            OSError: Another process that had bound the port listens on it.
        """

    def close(self) -> None:
        """Give the port up."""


def _ignore() -> None:
    """Do nothing; the default callback."""


def _ignore_failure(_error: OSError) -> None:
    """Do nothing; the default callback."""


class ListeningSocket(socket.socket):
    """A socket that stops accepting for a moment when that is in vain.

    The event loop would otherwise try again at once, and without an end, while
    the process has no descriptor for the next connection.

    Attributes:
        max_connections: How many connections may be open; further ones are
            closed at once, so that their callers turn to another host.
        on_failure: Called with each error of accepting.
        on_refused: Called for each connection that is closed.
    """

    def __init__(self, family: int, kind: int) -> None:
        """Create a socket that keeps all connections.

        Args:
            family: Address family.
            kind: Type of the socket.
        """
        super().__init__(family, kind)
        self.max_connections = UNLIMITED
        self.on_failure: Callable[[OSError], None] = _ignore_failure
        self.on_refused: Callable[[], None] = _ignore
        # Those that are closed are soon no longer referenced.
        self._accepted: WeakSet[socket.socket] = WeakSet()

    @property
    def is_full(self) -> bool:
        """Whether as many connections are open as may be."""
        if len(self._accepted) < self.max_connections:
            return False
        open_count = sum(one.fileno() >= 0 for one in self._accepted)
        return open_count >= self.max_connections

    def accept(self) -> tuple[socket.socket, Any]:
        """Return a connection and its address.

        Raises:
            BlockingIOError: There is none, or none can be accepted now.
            ConnectionAbortedError: It has failed, or is one too many.
        """
        try:
            connection, address = super().accept()
        except (BlockingIOError, ConnectionAbortedError):
            raise
        except OSError as error:
            self.on_failure(error)
            if error.errno not in _EXHAUSTED:
                # The system passes on errors of the connection itself.
                raise ConnectionAbortedError from error
            self._pause()
            raise BlockingIOError from error
        if self.is_full:
            connection.close()
            self.on_refused()
            # Treated as one that its caller has closed.
            raise ConnectionAbortedError
        self._accepted.add(connection)
        return connection, address

    def _pause(self) -> None:
        loop = IOLoop.current()
        loop.update_handler(self, 0)
        loop.call_later(ACCEPT_PAUSE_SECONDS, self._resume)

    def _resume(self) -> None:
        is_closed = self.fileno() < 0
        if not is_closed:
            IOLoop.current().update_handler(self, IOLoop.READ)


class TcpPort:
    """A TCP port."""

    def __init__(self, listener: Listener) -> None:
        """Create a port that is not bound.

        Args:
            listener: Address of the port.
        """
        self._listener = listener
        self._socket: ListeningSocket | None = None

    @property
    def is_bound(self) -> bool:
        """Whether the port is held."""
        return self._socket is not None

    def bind(self) -> None:
        """Take the port."""
        found = socket.getaddrinfo(
            self._listener.host,
            self._listener.port,
            type=socket.SOCK_STREAM,
            flags=socket.AI_PASSIVE,
        )
        opened = ListeningSocket(found[0][0], socket.SOCK_STREAM)
        try:
            _bind_reusable(opened, found[0][-1])
        except OSError:
            opened.close()
            raise
        self._socket = opened

    def listen(self) -> None:
        """Accept connections."""
        if self._socket is not None:
            self._socket.listen(BACKLOG)

    def close(self) -> None:
        """Give the port up unless a server has taken it."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def take(self) -> ListeningSocket:
        """Return the socket, which is the receiver's to close."""
        taken = self._socket
        assert taken is not None, 'the port is not bound'
        self._socket = None
        return taken


class UdpPort:
    """The port of an endpoint for datagrams."""

    def __init__(self, endpoint: DatagramSocket, address: str) -> None:
        """Create a port that is not bound.

        Args:
            endpoint: Receives the datagrams once it is started.
            address: IP address of this host.
        """
        self._endpoint = endpoint
        self._address = address

    @property
    def is_bound(self) -> bool:
        """Whether the port is held."""
        return self._endpoint.is_bound

    def bind(self) -> None:
        """Take the port."""
        self._endpoint.bind(self._address)

    def listen(self) -> None:
        """Do nothing; the endpoint receives once it is started."""

    def close(self) -> None:
        """Give the port up."""
        self._endpoint.stop()


@dataclass(frozen=True, slots=True)
class NamedPort:
    """A port as log lines name it.

    Attributes:
        name: Name of the listener.
        address: Its address.
        protocol: `tcp` or `udp`.
        port: The port.
    """

    name: str
    address: Listener
    protocol: str
    port: Port


class PortBinder:
    """Binds ports, and waits for those that cannot be opened.

    A port may be in use for a moment: by an earlier process of this host, or as
    the near end of an outgoing connection of any other. A process that ended
    for that would only be started again.

    Attributes:
        blocked: When each port that is waited for was first found blocked, by
            name, as monotonic time in seconds.
    """

    def __init__(self, count_failure: CountFailure) -> None:
        """Create a binder.

        Args:
            count_failure: Called for each attempt that fails.
        """
        self.blocked: dict[str, float] = {}
        self._count_failure = count_failure
        self._logged_at: dict[str, float] = {}

    async def bind(self, ports: Sequence[NamedPort]) -> None:
        """Bind ports and listen on them once all are bound.

        Args:
            ports: The ports; none of them accepts anything before all do.
        """
        # Polls, since the system tells nobody that a port is free.
        while not self._try_all(ports):  # noqa: ASYNC110
            await asyncio.sleep(RETRY_SECONDS)
        for named in ports:
            self._note_opened(named)

    def _try_all(self, ports: Sequence[NamedPort]) -> bool:
        blocked = [
            one
            for one in ports
            if not (one.port.is_bound or self._try(one, one.port.bind))
        ]
        if blocked:
            return False
        if all(self._try(one, one.port.listen) for one in ports):
            return True
        for listening in ports:
            listening.port.close()
        return False

    def _try(self, named: NamedPort, step: Callable[[], None]) -> bool:
        try:
            step()
        except OSError as error:
            self._note_failure(named, error)
            return False
        return True

    def _note_failure(self, named: NamedPort, error: OSError) -> None:
        name = named.name
        now = time.monotonic()
        self._count_failure(name, error_name(error))
        since = self.blocked.setdefault(name, now)
        if now - self._logged_at.get(name, -math.inf) < LOG_SECONDS:
            return
        self._logged_at[name] = now
        log_warning(
            'listener-blocked',
            listener=name,
            address=named.address,
            protocol=named.protocol,
            error=error_name(error),
            waited=round(now - since, 1),
            remedy=_REMEDIES.get(error.errno or 0, _OTHER_REMEDY),
        )

    def _note_opened(self, named: NamedPort) -> None:
        since = self.blocked.pop(named.name, None)
        if since is not None:
            log_event(
                'listener-opened',
                listener=named.name,
                address=named.address,
                protocol=named.protocol,
                waited=round(time.monotonic() - since, 1),
            )


def error_name(error: OSError) -> str:
    """Return the symbolic name of an error, such as `EADDRINUSE`."""
    return errno.errorcode.get(error.errno or 0, type(error).__name__)


def _bind_reusable(opened: ListeningSocket, address: object) -> None:
    opened.setblocking(False)
    # Connections of an earlier process of this host may still be closing.
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    opened.bind(address)  # type: ignore[arg-type]
