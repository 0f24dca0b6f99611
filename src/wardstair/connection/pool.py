"""Pool of connections to upstreams, limited in number and idle time."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from wardstair.connection.upstream import UpstreamConnection

# A connection opens in a few milliseconds within a zone and in some hundred
# milliseconds between regions. After this time the upstream is silent or its
# backlog is full.
CONNECT_SECONDS = 0.5
# Reason of a failure because the upstream has its maximum of connections.
CONNECTION_LIMIT = 'limit'
# Maximum idle time of a connection that is reused, unless the upstream states a
# shorter one. Some upstreams close idle connections after 10 s.
MAX_IDLE_SECONDS = 6.0
# Fraction of the keep-alive time stated by an upstream that is used.
KEEP_ALIVE_FRACTION = 0.6
# Maximum idle time of a connection for a request that may run only once: if the
# upstream closes the connection at that moment, the outcome is unknown.
MAX_ONCE_IDLE_SECONDS = 3.0
# Upstreams may drop idle connections without closing them. The next request is
# reset, and one that may run only once is then lost. If this many upstreams did
# so within the window below, such requests use only connections that were idle
# for less than the fraction below of the shortest idle time affected.
MIN_DROPPING_UPSTREAMS = 2
IDLE_DROP_WINDOW_SECONDS = 10.0
DROPPED_IDLE_FRACTION = 0.5
# If a connection breaks after a shorter idle time, the upstream has exited
# rather than dropped it, so reuse within this time goes on.
MIN_DROPPED_IDLE_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class ConnectFailed:
    """No connection was opened; nothing was sent.

    Attributes:
        reason: Name of the error, or `CONNECTION_LIMIT`.
        is_dead: Whether the connection was refused while no other one is open:
            an upstream that is merely full keeps its open connections.
    """

    reason: str
    is_dead: bool = False


@dataclass(slots=True)
class IdleDrops:
    """Records upstreams that drop idle connections without closing them."""

    _seen: dict[str, tuple[float, float]] = field(default_factory=dict)

    def note(self, name: str, idle: float, now: float) -> None:
        """Record that a connection broke when it was reused.

        Args:
            name: Name of the upstream's incarnation.
            idle: Seconds for which it was idle.
            now: Monotonic time in seconds.
        """
        self._seen[name] = (now, idle)

    def limit(self, now: float) -> float:
        """Return the maximum idle time for requests that may run only once."""
        self._seen = {
            name: (at, idle)
            for name, (at, idle) in self._seen.items()
            if now - at < IDLE_DROP_WINDOW_SECONDS
        }
        if len(self._seen) < MIN_DROPPING_UPSTREAMS:
            return MAX_ONCE_IDLE_SECONDS
        shortest = min(idle for _, idle in self._seen.values())
        return shortest * DROPPED_IDLE_FRACTION


@dataclass(slots=True)
class _Connections:
    idle: list[UpstreamConnection] = field(default_factory=list)
    open_count: int = 0


class Dial(Protocol):
    """Opens a connection."""

    async def __call__(
        self,
        on_closed: Callable[[UpstreamConnection], None],
        host: str,
        port: int,
    ) -> UpstreamConnection:
        """Open a connection.

        Args:
            on_closed: Called once when it is closed.
            host: IP address.
            port: Port.

        Raises:
            OSError: The connection could not be opened.
        """


async def dial_tcp(
    on_closed: Callable[[UpstreamConnection], None],
    host: str,
    port: int,
) -> UpstreamConnection:
    """Open a connection over TCP."""
    _, connection = await asyncio.get_running_loop().create_connection(
        lambda: UpstreamConnection(on_closed),
        host,
        port,
    )
    return connection


class UpstreamPool:
    """The connections of one process, by name of the upstream's incarnation.

    Attributes:
        dial: Opens connections.
    """

    def __init__(self, max_open: Callable[[str], int]) -> None:
        """Create an empty pool.

        Args:
            max_open: Returns the maximum of open connections to an upstream.
        """
        self.opened = 0
        self.dial: Dial = dial_tcp
        self.idle_drops = IdleDrops()
        self._max_open = max_open
        self._by_upstream: dict[str, _Connections] = {}

    def borrow(self, name: str, *, is_once: bool) -> UpstreamConnection | None:
        """Return an idle connection that may be used, or None.

        Args:
            name: Name of the upstream's incarnation.
            is_once: Whether the request may run only once.
        """
        held = self._by_upstream.get(name)
        if held is None:
            return None
        now = time.monotonic()
        limit = self._idle_limit(now, is_once=is_once)
        sending = []
        found = None
        while held.idle and found is None:
            connection = held.idle.pop()
            if connection.is_sending:
                sending.append(connection)
            elif _is_usable(connection, now, limit):
                found = connection
            else:
                connection.close()
        held.idle.extend(sending)
        return found

    def has_idle(self, name: str, *, is_once: bool) -> bool:
        """Return whether a connection could be borrowed.

        Args:
            name: Name of the upstream's incarnation.
            is_once: Whether the request may run only once.
        """
        held = self._by_upstream.get(name)
        if held is None:
            return False
        now = time.monotonic()
        limit = self._idle_limit(now, is_once=is_once)
        return any(
            _is_usable(one, now, limit) and not one.is_sending
            for one in held.idle
        )

    async def connect(
        self,
        name: str,
        host: str,
        port: int,
    ) -> UpstreamConnection | ConnectFailed:
        """Open a connection.

        Args:
            name: Name of the upstream's incarnation.
            host: Its IP address.
            port: Its port.
        """
        held = self._by_upstream.setdefault(name, _Connections())
        if held.open_count >= self._max_open(name):
            return ConnectFailed(CONNECTION_LIMIT)
        held.open_count += 1
        self.opened += 1

        def on_closed(connection: UpstreamConnection) -> None:
            self._drop(name, connection)

        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                connection = await self.dial(on_closed, host, port)
        except (OSError, TimeoutError) as error:
            held.open_count -= 1
            is_refused = isinstance(error, ConnectionRefusedError)
            return ConnectFailed(
                type(error).__name__,
                is_refused and not self.is_connected(name),
            )
        except asyncio.CancelledError:
            held.open_count -= 1
            raise
        return connection

    def is_connected(self, name: str) -> bool:
        """Return whether an upstream has an open or opening connection."""
        held = self._by_upstream.get(name)
        return held is not None and held.open_count > 0

    def give_back(self, name: str, connection: UpstreamConnection) -> None:
        """Keep a connection for reuse if it is reusable; otherwise close it."""
        if not (connection.is_reusable and connection.is_open):
            connection.close()
            return
        self._by_upstream.setdefault(name, _Connections()).idle.append(
            connection
        )

    def sweep(self, is_wanted: Callable[[str], bool]) -> None:
        """Close idle connections that are too old or no longer wanted."""
        now = time.monotonic()
        for name, held in self._by_upstream.items():
            wanted = is_wanted(name)
            kept = []
            for connection in held.idle:
                if wanted and _is_usable(connection, now, MAX_IDLE_SECONDS):
                    kept.append(connection)
                else:
                    connection.close()
            held.idle = kept
        self._by_upstream = {
            name: held
            for name, held in self._by_upstream.items()
            if held.open_count or is_wanted(name)
        }

    def drop(self, name: str) -> None:
        """Close the idle connections to an upstream's earlier incarnation."""
        self.sweep(lambda other: other != name)

    def close(self) -> None:
        """Close all idle connections."""
        self.sweep(lambda name: False)

    def _idle_limit(self, now: float, *, is_once: bool) -> float:
        return self.idle_drops.limit(now) if is_once else MAX_IDLE_SECONDS

    def _drop(self, name: str, connection: UpstreamConnection) -> None:
        held = self._by_upstream.get(name)
        if held is None:
            return
        held.open_count -= 1
        if connection in held.idle:
            held.idle.remove(connection)


def _is_usable(
    connection: UpstreamConnection,
    now: float,
    max_idle: float,
) -> bool:
    """Return whether an idle connection may be reused.

    Args:
        connection: The connection.
        now: Monotonic time in seconds.
        max_idle: Maximum idle time in seconds; the upstream may state a shorter
            one.
    """
    if not (connection.is_open and connection.is_reusable):
        return False
    limit = max_idle
    if connection.keep_alive_seconds is not None:
        limit = min(limit, connection.keep_alive_seconds * KEEP_ALIVE_FRACTION)
    return now - connection.idle_since < limit
