"""Runs a small deployment inside a test."""

import asyncio
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

from tornado.httpclient import HTTPRequest, HTTPResponse
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from wardstair.process.host import EntryHost
from wardstair.standins.deployment import Deployment
from wardstair.version.document import SteeringDocument
from wardstair.version.topology import Topology

Test = Callable[['Trial'], Awaitable[None]]
CLIENT_SECONDS = 60.0
TRIAL_SECONDS = 50.0


class Trial:
    """A running deployment with a client."""

    def __init__(self, deployment: Deployment) -> None:
        """Create a client for a deployment."""
        self.deployment = deployment
        self.client = SimpleAsyncHTTPClient(
            force_instance=True,
            max_clients=100,
        )

    async def send(
        self,
        host: str,
        method: str,
        path: str,
        **options: Any,
    ) -> HTTPResponse:
        """Send a request to the listener of a host for callers."""
        return await self.client.fetch(
            HTTPRequest(
                self.deployment.url(host, path),
                method=method,
                request_timeout=CLIENT_SECONDS,
                **options,
            ),
            raise_error=False,
        )

    async def order(
        self,
        host: str,
        key: str,
        body: str = 'copies=1',
    ) -> HTTPResponse:
        """Send an order with an idempotency key."""
        headers = {'Idempotency-Key': key}
        return await self.send(
            host,
            'POST',
            '/orders',
            body=body,
            headers=headers,
        )

    async def new_key(self, host: str, workload: str = 'orders') -> str:
        """Return an idempotency key from a lookup."""
        answer = await self.lookup(host, workload)
        return str(answer['key'])

    async def lookup(self, host: str, workload: str) -> dict[str, Any]:
        """Return the answer to a lookup for a workload."""
        path = f'/v1/lookup?workload={workload}'
        response = await self.send(host, 'GET', path)
        assert response.code == 200, response.body
        found: dict[str, Any] = json.loads(response.body)
        return found


def kind_of(response: HTTPResponse) -> str:
    """Return the kind of a refusal from its problem document."""
    return str(json.loads(response.body)['type'].rsplit(':', 1)[-1])


def record_versions(host: EntryHost) -> list[int]:
    """Return a list that collects the versions a host adopts from now on."""
    adopted: list[int] = []
    original_on_adopt = host.configuration.on_adopt

    def adopt(topology: Topology) -> None:
        adopted.append(topology.version)
        original_on_adopt(topology)

    host.configuration.on_adopt = adopt
    return adopted


def run_trial(document: SteeringDocument, test: Test) -> None:
    """Start a deployment, run a test on it, and stop it."""
    asyncio.run(_run(document, test))


async def _run(document: SteeringDocument, test: Test) -> None:
    async with started(document) as trial, asyncio.timeout(TRIAL_SECONDS):
        await test(trial)


@asynccontextmanager
async def started(document: SteeringDocument) -> AsyncIterator[Trial]:
    """Run a deployment for the duration of the block."""
    deployment = Deployment(document)
    trial = Trial(deployment)
    try:
        await deployment.start()
        yield trial
    finally:
        trial.client.close()
        await deployment.stop()
