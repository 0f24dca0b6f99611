"""The TCP listeners of a gateway."""

from tornado.http1connection import HTTP1ConnectionParameters
from tornado.httpserver import HTTPServer
from tornado.web import Application

from wardstair.gateway.callers import CallerListener
from wardstair.gateway.settings import Listener
from wardstair.version.steering import CallerLimits

# A caller may rest on a connection for up to the configured time.
IDLE_FACTOR = 1.3
# Connections that wait to be accepted; the kernel drops those beyond.
BACKLOG = 512


class Listeners:
    """The listener for callers, and those for everything else."""

    def __init__(self, callers: CallerListener) -> None:
        """Prepare without a socket.

        Args:
            callers: Takes the requests of callers.
        """
        self._callers = HTTPServer(callers)
        self._others: list[HTTPServer] = []

    def open_callers(self, listener: Listener) -> None:
        """Listen for callers.

        Args:
            listener: Where.
        """
        self._callers.listen(listener.port, listener.host, backlog=BACKLOG)

    def open(self, application: Application, listener: Listener) -> None:
        """Serve an application.

        Args:
            application: The application.
            listener: Where.
        """
        server = HTTPServer(application)
        self._others.append(server)
        server.listen(listener.port, listener.host, backlog=BACKLOG)

    def limit_callers(self, limits: CallerLimits) -> None:
        """Bound connections of callers that are accepted from now on.

        Args:
            limits: What a caller may send, and how long it may take.
        """
        self._callers.conn_params = HTTP1ConnectionParameters(
            header_timeout=limits.idle_seconds * IDLE_FACTOR,
            max_header_size=limits.header_bytes,
            max_body_size=limits.body_bytes,
        )

    def stop_callers(self) -> None:
        """Accept no more callers; their open connections stay."""
        self._callers.stop()

    async def close(self) -> None:
        """Close all listeners and their connections."""
        for server in (self._callers, *self._others):
            server.stop()
            await server.close_all_connections()
