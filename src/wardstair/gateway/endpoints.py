"""HTTP endpoints for look-ups, readiness, metrics and other entry hosts."""

import json
from collections.abc import Callable
from dataclasses import asdict

from tornado.web import Application, RequestHandler

from wardstair.decisions.reachability import ALL
from wardstair.fleet.heartbeats import PeerName
from wardstair.fleet.members import Members
from wardstair.fleet.naming import NamedHost, name_hosts
from wardstair.fleet.sharing import decode_versions
from wardstair.gateway.peer_forwarding import PEER_REQUEST_PATH
from wardstair.gateway.peer_server import PeerRequestHandler, PeerRequestServer
from wardstair.gateway.rollout_listing import RolloutRow
from wardstair.gateway.settings import LiveSettings
from wardstair.platform.lookups import (
    LOOKUP_PATH,
    READY_PATH,
    decode_lookup,
    encode_addresses,
)
from wardstair.process.log import log_event
from wardstair.state.exchange import STATE_PATH, StateExchange
from wardstair.state.suspects import SuspectTable

# How long a caller may cache an answer. A shorter time costs more look-ups, a
# longer one leaves callers with addresses of hosts that have left. Some callers
# cache an answer three times as long.
LOOKUP_TTL_SECONDS = 2.0
METRICS_PATH = '/metrics'
ROLLOUTS_PATH = '/v1/rollouts'
# Answered, with status 404, where roll-outs are not in use.
NO_ROLLOUTS = 'the settings of this host call for no roll-outs'
SUSPECTS_PATH = '/v1/suspects/?([0-9a-f]*)'

RolloutLister = Callable[[], list[RolloutRow]]


class Directory:
    """Answers look-ups with the addresses of live hosts.

    Attributes:
        is_leaving: Whether this host is about to stop.
        answered: Number of look-ups answered.
    """

    def __init__(
        self,
        settings: LiveSettings,
        own: PeerName,
        members: Members,
    ) -> None:
        """Create a directory.

        Args:
            settings: Settings of this host.
            own: This host.
            members: The other hosts.
        """
        self.is_leaving = False
        self.answered = 0
        self._settings = settings
        self._own = own
        self._members = members

    def answer(self, query: str) -> bytes:
        """Return the encoded answer to a look-up.

        Args:
            query: The query string of the request.
        """
        self.answered += 1
        lookup = decode_lookup(query)
        named = name_hosts(
            self._hosts(),
            lookup.zone,
            lookup.region,
            self._settings.current.zones,
        )
        bounds = self._settings.current.bounds
        seconds = min(LOOKUP_TTL_SECONDS, bounds.lookup_seconds)
        return encode_addresses([host.front for host in named], seconds)

    def _hosts(self) -> list[NamedHost]:
        own = NamedHost(
            self._own.front,
            self._own.zone,
            self.is_leaving,
            self._own.size,
            self._members.is_busy,
            ALL in self._members.lost,
        )
        others = [
            NamedHost(
                one.peer.front,
                one.peer.zone,
                one.is_leaving,
                one.peer.size,
                one.is_busy,
                ALL in one.lost,
            )
            for one in self._members.live()
        ]
        return [own, *others]


class _LookupHandler(RequestHandler):
    def initialize(self, directory: Directory) -> None:
        self._directory = directory

    def get(self) -> None:
        self.set_header('Content-Type', 'application/json')
        self.finish(self._directory.answer(self.request.query))


class _ReadyHandler(RequestHandler):
    def initialize(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    def get(self) -> None:
        self.set_status(200 if self._is_ready() else 503)
        self.finish()


def lookup_application(directory: Directory) -> Application:
    """Return the endpoint for look-ups."""
    return Application(
        [(LOOKUP_PATH, _LookupHandler, {'directory': directory})],
        log_function=_no_log,
    )


def ready_application(is_ready: Callable[[], bool]) -> Application:
    """Return the endpoint for readiness checks.

    Args:
        is_ready: Returns whether callers should connect to this host.
    """
    return Application(
        [(READY_PATH, _ReadyHandler, {'is_ready': is_ready})],
        log_function=_no_log,
    )


class _StateHandler(RequestHandler):
    def initialize(self, exchange: StateExchange) -> None:
        self._exchange = exchange

    def get(self) -> None:
        theirs = decode_versions(self.get_argument('have', ''))
        if theirs is None:
            self.set_status(400)
            self.finish('name versions as have=N.N.N')
            return
        self.set_header('Content-Type', 'application/cbor')
        self.finish(self._exchange.answer(theirs))


class _SuspectsHandler(RequestHandler):
    def initialize(self, suspects: SuspectTable) -> None:
        self._suspects = suspects

    def get(self, _request: str) -> None:
        self.set_header('Content-Type', 'application/json')
        self.finish(
            json.dumps([asdict(row) for row in self._suspects.listing()])
        )

    def delete(self, request: str) -> None:
        if not self._suspects.lift(request):
            self.set_status(404)
            self.finish('nothing is known of it; name it as `content` does')
            return
        log_event('request-lifted', content=request, by=self.request.remote_ip)


class _RolloutsHandler(RequestHandler):
    def initialize(self, listing: RolloutLister | None) -> None:
        self._listing = listing

    def get(self) -> None:
        self.set_header('Content-Type', 'application/json')
        if self._listing is None:
            self.set_status(404)
            self.finish(json.dumps({'error': NO_ROLLOUTS}))
            return
        self.finish(json.dumps([asdict(row) for row in self._listing()]))


class _MetricsHandler(RequestHandler):
    def initialize(self, render: Callable[[], bytes]) -> None:
        self._render = render

    def get(self) -> None:
        self.set_header('Content-Type', 'text/plain; version=0.0.4')
        self.finish(self._render())


def metrics_application(render: Callable[[], bytes]) -> Application:
    """Return the endpoint for scrapes of metrics.

    Args:
        render: Returns all metrics as text.
    """
    return Application(
        [(METRICS_PATH, _MetricsHandler, {'render': render})],
        log_function=_no_log,
    )


def state_application(
    exchange: StateExchange,
    suspects: SuspectTable,
    peer_request_server: PeerRequestServer,
    rollouts: RolloutLister | None,
) -> Application:
    """Return the endpoints for other entry hosts and for operators.

    Args:
        exchange: Serves the state of this host.
        suspects: Requests during which upstreams exited. Operators can list
            and lift them.
        peer_request_server: Serves requests that other hosts forward.
        rollouts: Returns the roll-outs known to this host; None if its
            settings call for none.
    """
    return Application(
        [
            (STATE_PATH, _StateHandler, {'exchange': exchange}),
            (SUSPECTS_PATH, _SuspectsHandler, {'suspects': suspects}),
            (ROLLOUTS_PATH, _RolloutsHandler, {'listing': rollouts}),
            (
                PEER_REQUEST_PATH,
                PeerRequestHandler,
                {'server': peer_request_server},
            ),
        ],
        log_function=_no_log,
    )


def _no_log(_handler: RequestHandler) -> None:
    """Suppress Tornado's access log; the process logs its own events."""
