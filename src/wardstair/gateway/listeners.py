"""The TCP listeners of a gateway."""

import math
import resource
import time
from functools import partial

from tornado.httpserver import HTTPServer
from tornado.web import Application

from wardstair.gateway.caller_limits import ConnectionLimits
from wardstair.gateway.callers import CallerListener
from wardstair.gateway.ports import (
    LOG_SECONDS,
    CountFailure,
    ListeningSocket,
    NamedPort,
    PortBinder,
    TcpPort,
    error_name,
)
from wardstair.gateway.settings import Listener
from wardstair.process.log import log_warning
from wardstair.version.steering import CallerLimits

# Margin so that callers may leave a connection idle for the configured time.
IDLE_FACTOR = 1.3
# Fractions of the descriptors that connections of callers, and those of each
# other listener, may take. The rest is for upstreams, the store and files.
CALLER_FRACTION = 0.625
OTHER_FRACTION = 0.25
LIMIT_REACHED = 'limit-reached'


class Listeners:
    """The listener for callers and those for all other requests.

    Attributes:
        binder: Binds their ports.
    """

    def __init__(
        self,
        callers: CallerListener,
        count_failure: CountFailure,
        descriptors: int,
    ) -> None:
        """Create listeners without sockets.

        Args:
            callers: Handles the requests of callers.
            count_failure: Called for each failed attempt to open one, and
                for each connection that is not accepted or not kept.
            descriptors: Number of sockets and files that the host may open.
        """
        self._callers = callers
        self._count_failure = count_failure
        self._descriptors = usable_descriptors(descriptors)
        self._logged_at: dict[str, float] = {}
        self.binder = PortBinder(count_failure)
        self._others: list[HTTPServer] = []
        self._ports: dict[str, TcpPort] = {}

    async def bind(
        self, listeners: dict[str, Listener], others: tuple[NamedPort, ...] = ()
    ) -> None:
        """Bind the ports of some listeners, and wait for those in use.

        Args:
            listeners: Addresses by name.
            others: Ports of other protocols that are bound with them.
        """
        ports = list(others)
        for name, listener in listeners.items():
            port = TcpPort(listener)
            self._ports[name] = port
            ports.append(NamedPort(name, listener, 'tcp', port))
        await self.binder.bind(ports)

    def open_callers(self, name: str) -> None:
        """Serve callers on a port that is bound.

        Args:
            name: Name of the listener.
        """
        self._callers.add_sockets([self._take(name, CALLER_FRACTION)])

    def open(self, application: Application, name: str) -> None:
        """Serve an application on a port that is bound.

        Args:
            application: The application.
            name: Name of the listener.
        """
        server = HTTPServer(application)
        self._others.append(server)
        server.add_sockets([self._take(name, OTHER_FRACTION)])

    def limit_callers(self, limits: CallerLimits) -> None:
        """Set the limits for all connections of callers.

        Args:
            limits: Limits on sizes and times of requests.
        """
        self._callers.limit(
            ConnectionLimits(
                limits.header_bytes,
                limits.body_bytes,
                limits.idle_seconds * IDLE_FACTOR,
            )
        )

    def stop_callers(self) -> int:
        """Stop accepting callers; open connections stay.

        Returns:
            The number of connections that waited and were accepted.
        """
        return self._callers.stop_accepting()

    async def close(self) -> None:
        """Close all listeners and their connections."""
        for port in self._ports.values():
            port.close()
        self._callers.stop()
        await self._callers.close_connections()
        for server in self._others:
            server.stop()
            await server.close_all_connections()

    def _take(self, name: str, fraction: float) -> ListeningSocket:
        opened = self._ports[name].take()
        opened.max_connections = max(1, int(self._descriptors * fraction))
        opened.on_failure = partial(self._note_failure, name)
        opened.on_refused = partial(self._note_refused, name, opened)
        return opened

    def _note_refused(self, name: str, opened: ListeningSocket) -> None:
        self._count_failure(name, LIMIT_REACHED)
        if self._may_log(name):
            log_warning(
                'connections-refused',
                listener=name,
                allowed=opened.max_connections,
            )

    def _note_failure(self, name: str, error: OSError) -> None:
        self._count_failure(name, error_name(error))
        if self._may_log(name):
            log_warning('accept-failed', listener=name, error=error_name(error))

    def _may_log(self, subject: str) -> bool:
        now = time.monotonic()
        is_due = now - self._logged_at.get(subject, -math.inf) >= LOG_SECONDS
        if is_due:
            self._logged_at[subject] = now
        return is_due


def usable_descriptors(descriptors: int) -> int:
    """Return how many descriptors the process may use.

    Args:
        descriptors: Limit in the settings; that of the system may be lower.
    """
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if allowed == resource.RLIM_INFINITY:
        return descriptors
    return min(descriptors, allowed)
