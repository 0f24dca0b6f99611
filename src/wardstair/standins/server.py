"""HTTP server on the loopback interface, the base of all stand-ins."""

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

LOOPBACK = '127.0.0.1'


class StandinServer:
    """Serves a tornado application until it is stopped."""

    def __init__(self, application: Application) -> None:
        """Prepare the server without opening a port."""
        self.port = 0
        self._server = HTTPServer(application)

    @property
    def address(self) -> str:
        """Address and port, as `address:port`."""
        return f'{LOOPBACK}:{self.port}'

    def start(self, port: int = 0) -> None:
        """Listen on a loopback port; 0 lets the operating system choose."""
        sockets = bind_sockets(port, LOOPBACK)
        self.port = sockets[0].getsockname()[1]
        self._server.add_sockets(sockets)

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        self._server.stop()
        await self._server.close_all_connections()


def log_nothing(_handler: RequestHandler) -> None:
    """Log function that turns off tornado's access log."""
