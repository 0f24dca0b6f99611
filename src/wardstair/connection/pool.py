"""Connections to upstreams, kept for reuse within bounds."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from wardstair.connection.upstream import UpstreamConnection

# A connection within a zone opens in a few milliseconds, between regions in
# some hundred; an upstream that takes longer is silent or its queue is full.
CONNECT_SECONDS = 0.5
# Why no connection is opened to an upstream that has its share of them.
CONNECTION_LIMIT = 'limit'
# Rest after which a connection is not used again, when the upstream names no
# time. Upstreams were seen to close theirs after 10 s.
REST_SECONDS = 6.0
# Part of the time that an upstream names.
REST_SHARE = 0.6
# A request that may run only once goes only on a connection that rested less
# than this: if the upstream closes it just then, nobody knows what ran.
ONCE_REST_SECONDS = 3.0
# Upstreams may forget resting connections without a word; the next request on
# one is reset, and what may run only once is lost then. When this many of them
# did so within the time below, such requests use only connections that rested
# for less than half as long as those.
FORGETFUL_UPSTREAMS = 2
FORGETFUL_SECONDS = 10.0
FORGOTTEN_SHARE = 0.5
# A connection that breaks after a shorter rest was not forgotten: its upstream
# has ended. Reuse within this time goes on.
MIN_DROPPED_IDLE_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class ConnectFailed:
    """No connection came up; nothing was sent.

    Attributes:
        reason: What happened.
        is_dead: Whether it was refused, and no other connection is open: an
            upstream that is only full keeps those it has.
    """

    reason: str
    is_dead: bool = False


@dataclass(slots=True)
class IdleDrops:
    """What is known of upstreams that forget resting connections."""

    _seen: dict[str, tuple[float, float]] = field(default_factory=dict)

    def note(self, name: str, rested: float, now: float) -> None:
        """Note that a connection broke when it was used again.

        Args:
            name: Name of the upstream's run.
            rested: Seconds for which it had rested.
            now: Monotonic time in seconds.
        """
        self._seen[name] = (now, rested)

    def limit(self, now: float) -> float:
        """Return how long a connection may have rested to be used again."""
        self._seen = {
            name: (at, rested)
            for name, (at, rested) in self._seen.items()
            if now - at < FORGETFUL_SECONDS
        }
        if len(self._seen) < FORGETFUL_UPSTREAMS:
            return ONCE_REST_SECONDS
        shortest = min(rested for _, rested in self._seen.values())
        return shortest * FORGOTTEN_SHARE


@dataclass(slots=True)
class _Line:
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
            OSError: It could not be opened.
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
    """The connections of one process, by name of the upstream's run.

    Attributes:
        dial: Opens connections.
    """

    def __init__(self, most: Callable[[str], int]) -> None:
        """Start without connections.

        Args:
            most: Connections that this host may have to an upstream.
        """
        self.opened = 0
        self.dial: Dial = dial_tcp
        self.idle_drops = IdleDrops()
        self._most = most
        self._lines: dict[str, _Line] = {}

    def borrow(self, name: str, *, is_once: bool) -> UpstreamConnection | None:
        """Return a resting connection that may be used, or None.

        Args:
            name: Name of the upstream's run.
            is_once: Whether the request may run only once.
        """
        line = self._lines.get(name)
        if line is None:
            return None
        now = time.monotonic()
        limit = self._rest_limit(now, is_once=is_once)
        while line.idle:
            connection = line.idle.pop()
            if _is_usable(connection, now, limit):
                return connection
            connection.close()
        return None

    def has_resting(self, name: str, *, is_once: bool) -> bool:
        """Return whether a connection could be borrowed.

        Args:
            name: Name of the upstream's run.
            is_once: Whether the request may run only once.
        """
        line = self._lines.get(name)
        if line is None:
            return False
        now = time.monotonic()
        limit = self._rest_limit(now, is_once=is_once)
        return any(_is_usable(one, now, limit) for one in line.idle)

    async def connect(
        self,
        name: str,
        host: str,
        port: int,
    ) -> UpstreamConnection | ConnectFailed:
        """Open a connection.

        Args:
            name: Name of the upstream's run.
            host: Its IP address.
            port: Its port.
        """
        line = self._lines.setdefault(name, _Line())
        if line.open_count >= self._most(name):
            return ConnectFailed(CONNECTION_LIMIT)
        line.open_count += 1
        self.opened += 1

        def on_closed(connection: UpstreamConnection) -> None:
            self._drop(name, connection)

        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                connection = await self.dial(on_closed, host, port)
        except (OSError, TimeoutError) as error:
            line.open_count -= 1
            is_refused = isinstance(error, ConnectionRefusedError)
            return ConnectFailed(
                type(error).__name__,
                is_refused and not self.is_connected(name),
            )
        except asyncio.CancelledError:
            line.open_count -= 1
            raise
        return connection

    def is_connected(self, name: str) -> bool:
        """Return whether a connection to an upstream is open, or opening."""
        line = self._lines.get(name)
        return line is not None and line.open_count > 0

    def give_back(self, name: str, connection: UpstreamConnection) -> None:
        """Keep a connection for the next request if it is clean."""
        if not (connection.is_reusable and connection.is_open):
            connection.close()
            return
        self._lines.setdefault(name, _Line()).idle.append(connection)

    def sweep(self, is_wanted: Callable[[str], bool]) -> None:
        """Close connections that rested too long or lead to nobody wanted."""
        now = time.monotonic()
        for name, line in self._lines.items():
            wanted = is_wanted(name)
            kept = []
            for connection in line.idle:
                if wanted and _is_usable(connection, now, REST_SECONDS):
                    kept.append(connection)
                else:
                    connection.close()
            line.idle = kept
        self._lines = {
            name: line
            for name, line in self._lines.items()
            if line.open_count or is_wanted(name)
        }

    def drop(self, name: str) -> None:
        """Close the resting connections to an upstream's earlier life."""
        self.sweep(lambda other: other != name)

    def close(self) -> None:
        """Close all resting connections."""
        self.sweep(lambda name: False)

    def _rest_limit(self, now: float, *, is_once: bool) -> float:
        return self.idle_drops.limit(now) if is_once else REST_SECONDS

    def _drop(self, name: str, connection: UpstreamConnection) -> None:
        line = self._lines.get(name)
        if line is None:
            return
        line.open_count -= 1
        if connection in line.idle:
            line.idle.remove(connection)


def _is_usable(
    connection: UpstreamConnection,
    now: float,
    most: float,
) -> bool:
    """Return whether a connection may be used after its rest.

    Args:
        connection: The connection.
        now: Monotonic time in seconds.
        most: Longest rest in seconds, if the upstream names no shorter one.
    """
    if not (connection.is_open and connection.is_reusable):
        return False
    limit = most
    if connection.keep_alive_seconds is not None:
        limit = min(limit, connection.keep_alive_seconds * REST_SHARE)
    return now - connection.idle_since < limit
