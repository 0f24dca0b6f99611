"""HTTP listener for operators: status, orders, explanations, metrics."""

import hmac
import json
from hashlib import sha256
from typing import Any, Protocol

from result import Err, Ok, Result
from tornado.web import Application, RequestHandler

from wardstair.errors import Fault, Refusal
from wardstair.process.journal import JournalEntry
from wardstair.process.orders import Order, OrderAnswer
from wardstair.request.problem import (
    PROBLEM_TYPE,
    not_authorised,
    problem_body,
)

METRICS_TYPE = 'text/plain; version=0.0.4'
_BEARER = 'Bearer '


class OperatorService(Protocol):
    """Interface of the entry host that the listener uses."""

    def status(self) -> dict[str, Any]:
        """Return the status of this host, as JSON values."""

    def upstreams(self) -> list[dict[str, Any]]:
        """Return the upstreams of this host's zone, as JSON values."""

    def fleet_hosts(self) -> list[dict[str, Any]]:
        """Return the known entry hosts, as JSON values."""

    def config_status(self) -> dict[str, Any]:
        """Return the configuration versions in force, as JSON values."""

    def config_document(self) -> dict[str, Any] | None:
        """Return the configuration in force, as JSON values."""

    def explain(self, subject: str) -> JournalEntry | None:
        """Return the journal entry of a subject, or None."""

    def render_metrics(self) -> bytes:
        """Return all metrics in the Prometheus text format."""

    async def give_order(
        self,
        order: Order,
    ) -> Result[OrderAnswer, list[Fault]]:
        """Apply an order."""


class _OperatorHandler(RequestHandler):
    def initialize(
        self,
        service: OperatorService,
        hashes: tuple[str, ...],
    ) -> None:
        self.service = service
        self.hashes = hashes

    def prepare(self) -> None:
        if self.hashes and not self._is_authorised():
            self._refuse(not_authorised())

    def reply(self, content: object) -> None:
        self.set_header('Content-Type', 'application/json')
        self.finish(json.dumps(content))

    def _is_authorised(self) -> bool:
        header = self.request.headers.get('Authorization', '')
        token = header.removeprefix(_BEARER)
        digest = sha256(token.encode()).hexdigest()
        # All hashes are compared so that the duration does not reveal which
        # one matched.
        matches = [hmac.compare_digest(digest, one) for one in self.hashes]
        return any(matches)

    def _refuse(self, refusal: Refusal) -> None:
        self.set_status(refusal.status)
        self.set_header('Content-Type', PROBLEM_TYPE)
        self.finish(problem_body(refusal, ''))


class _StatusHandler(_OperatorHandler):
    def get(self, topic: str) -> None:
        match topic:
            case 'status':
                self.reply(self.service.status())
            case 'upstreams':
                self.reply(self.service.upstreams())
            case 'hosts':
                self.reply(self.service.fleet_hosts())
            case 'config-status':
                self.reply(self.service.config_status())
            case 'config':
                self.reply(self.service.config_document())
            case _:
                self.set_status(404)
                self.finish()


class _ExplainHandler(_OperatorHandler):
    def get(self, subject: str) -> None:
        entry = self.service.explain(subject)
        if entry is None:
            self.set_status(404)
            self.finish()
            return
        self.reply(
            {
                'subject': entry.subject,
                'at': entry.at,
                'version': entry.version,
                'facts': entry.facts,
                'steps': entry.steps,
            }
        )


class _MetricsHandler(_OperatorHandler):
    def get(self) -> None:
        self.set_header('Content-Type', METRICS_TYPE)
        self.finish(self.service.render_metrics())


class _OrderHandler(_OperatorHandler):
    async def post(self) -> None:
        try:
            order = Order.model_validate_json(self.request.body)
        except ValueError as error:
            self.set_status(400)
            self.reply({'faults': [str(error)]})
            return
        match await self.service.give_order(order):
            case Ok(answer):
                self.reply(answer.as_json())
            case Err(faults):
                self.set_status(409)
                self.reply({'faults': [str(fault) for fault in faults]})


def _skip_access_log(_handler: RequestHandler) -> None:
    """Suppress the access log of tornado, which has another format."""


def operator_application(
    service: OperatorService,
    token_hashes: tuple[str, ...],
) -> Application:
    """Create the web application of the operators' listener.

    Args:
        service: The entry host.
        token_hashes: SHA-256 digests of the accepted bearer tokens, in hex;
            if empty, requests need no token.
    """
    arguments = {'service': service, 'hashes': token_hashes}
    return Application(
        [
            ('/v1/order', _OrderHandler, arguments),
            ('/v1/explain/(.+)', _ExplainHandler, arguments),
            ('/v1/([a-z-]+)', _StatusHandler, arguments),
            ('/metrics', _MetricsHandler, arguments),
        ],
        log_function=_skip_access_log,
    )
