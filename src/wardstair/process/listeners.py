"""The HTTP listeners of an entry host, with TLS if configured."""

import ssl
from dataclasses import dataclass
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from wardstair.process.settings import (
    LimitSettings,
    ListenSettings,
    TlsSettings,
)

# Practically unlimited: bodies are streamed, and the routes limit the bytes
# that are buffered.
MAX_BODY_BYTES = 1 << 50
CHUNK_BYTES = 65536


@dataclass(frozen=True)
class HostPorts:
    """Ports on which the listeners of a host accept connections."""

    callers: int
    peers: int
    forward: int
    operators: int


class Listeners:
    """The listeners of one host, opened individually."""

    def __init__(self, limits: LimitSettings) -> None:
        """Start without listeners.

        Args:
            limits: Limits of the size and the duration of requests.
        """
        self._limits = limits
        self._servers: list[HTTPServer] = []

    def open(self, app: Any, listen: ListenSettings) -> int:
        """Open a listener.

        Args:
            app: Handles the requests.
            listen: Address and TLS settings; with port 0 the system chooses
                the port.

        Returns:
            The port on which it listens.
        """
        server = HTTPServer(
            app,
            max_body_size=MAX_BODY_BYTES,
            max_header_size=self._limits.header_bytes,
            idle_connection_timeout=self._limits.header_seconds,
            ssl_options=_tls_context(listen.tls),
            chunk_size=CHUNK_BYTES,
        )
        address, _, port = listen.address.rpartition(':')
        sockets = bind_sockets(int(port), address)
        server.add_sockets(sockets)
        self._servers.append(server)
        return int(sockets[0].getsockname()[1])

    def refuse_new(self) -> None:
        """Stop accepting connections."""
        for server in self._servers:
            server.stop()

    async def close(self) -> None:
        """Close all connections."""
        for server in self._servers:
            await server.close_all_connections()


def _tls_context(tls: TlsSettings | None) -> ssl.SSLContext | None:
    if tls is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(tls.certificate, tls.key)
    if tls.authority is not None:
        context.load_verify_locations(tls.authority)
        context.verify_mode = ssl.CERT_REQUIRED
    return context
