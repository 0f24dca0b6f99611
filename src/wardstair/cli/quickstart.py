"""`wardstair-quickstart`: runs a whole deployment in one process as a demo."""

import asyncio
import json
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import fire
from result import Err, Ok
from tornado.httpclient import HTTPRequest, HTTPResponse
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from wardstair.process.log import configure_logging
from wardstair.standins.deployment import Deployment
from wardstair.version.document import SteeringDocument, read_document

UPLOAD_CHUNKS = 40
CHUNK_BYTES = 65536
COLUMN_WIDTHS = (34, 8, 60)


@dataclass(frozen=True)
class Step:
    """A request or query of the demo, shown as a row of the final table.

    Attributes:
        what: Description of the request.
        status: HTTP status of the response.
        outcome: Summary of the response.
    """

    what: str
    status: int
    outcome: str


def quickstart(configuration: str, log_level: str = 'WARNING') -> None:
    """Run a deployment on loopback and send a few requests through it.

    Args:
        configuration: Path of a steering configuration file, such as
            examples/palermo.toml.
        log_level: Lowest level of events to log.
    """
    configure_logging(log_level)
    match read_document(Path(configuration)):
        case Ok(document):
            steps = asyncio.run(_run(document))
        case Err(faults):
            for fault in faults:
                print(fault)
            raise SystemExit(1)
    _print_table(steps)
    if any(step.status >= 400 for step in steps):
        raise SystemExit(1)


async def _run(document: SteeringDocument) -> list[Step]:
    deployment = Deployment(document)
    await deployment.start()
    client = SimpleAsyncHTTPClient(force_instance=True)
    try:
        return [step async for step in _send_requests(deployment, client)]
    finally:
        client.close()
        await deployment.stop()


async def _send_requests(
    deployment: Deployment,
    client: SimpleAsyncHTTPClient,
) -> AsyncIterator[Step]:
    first_host = deployment.document.hosts[0].name
    for workload in deployment.document.workloads:
        path = f'/v1/lookup?workload={workload.name}'
        lookup = await client.fetch(deployment.url(first_host, path))
        answer = json.loads(lookup.body)
        names = [host['name'] for host in answer['hosts'][:2]]
        yield Step(
            f'lookup of {workload.name}',
            lookup.code,
            f'version {answer["version"]}, use {", ".join(names)}',
        )
        for route in workload.routes:
            host = answer['hosts'][0]['address']
            request = HTTPRequest(
                f'http://{host}{route.prefix}1',
                method=route.methods[0],
                **_body(route.methods[0]),
            )
            if route.repeat == 'once':
                request.headers['Idempotency-Key'] = answer['key']
            response = await client.fetch(request, raise_error=False)
            yield _step(request, response)
            if route.repeat == 'once':
                repeated = await client.fetch(request, raise_error=False)
                yield _step(request, repeated, 'repeated: ')
    status = await client.fetch(
        deployment.operator_url(first_host, '/v1/config-status'),
    )
    zones = json.loads(status.body)['zones']
    lowest_version = min(zone['lowest'] for zone in zones.values())
    yield Step(
        'wardstairctl config status',
        status.code,
        f'lowest version {lowest_version} in {len(zones)} zones',
    )


def _body(method: str) -> dict[str, Any]:
    match method:
        case 'PUT':
            return {'body_producer': _produce_upload}
        case 'POST':
            return {'body': b'copies=12'}
        case _:
            return {}


async def _produce_upload(write: Any) -> None:
    for _ in range(UPLOAD_CHUNKS):
        await write(b's' * CHUNK_BYTES)


def _step(
    request: HTTPRequest,
    response: HTTPResponse,
    prefix: str = '',
) -> Step:
    path = '/' + request.url.split('/', 3)[3]
    content = json.loads(response.body)
    outcome = content.get('detail') or (
        f'{content["upstream"]} received {content["body_bytes"]} bytes'
    )
    return Step(f'{request.method} {path}', response.code, prefix + outcome)


def _print_table(steps: list[Step]) -> None:
    rows = [('what', 'status', 'outcome')]
    rows.extend((step.what, str(step.status), step.outcome) for step in steps)
    for row in rows:
        cells = [
            cell.ljust(width)
            for cell, width in zip(row, COLUMN_WIDTHS, strict=True)
        ]
        print(' '.join(cells).rstrip())


def main() -> None:
    """Run the command line."""
    fire.Fire(quickstart, name='wardstair-quickstart')
