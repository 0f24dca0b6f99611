"""`wardstair-load`: open-loop load on one URL, with an HDR histogram.

Requests start when they are due, whether or not earlier ones have ended, and
latency counts from when a request was due, so that a stall shows in full.
"""

import asyncio
import time
from collections import Counter
from dataclasses import dataclass, field

import fire
from hdrh.histogram import HdrHistogram
from tornado.httpclient import HTTPClientError, HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

MOST_MICROSECONDS = 60_000_000
DIGITS = 3
CLIENTS = 1000
TIMEOUT_SECONDS = 30.0
QUANTILES = (50.0, 90.0, 99.0, 99.9)
_MICROSECONDS = 1_000_000
_MILLISECONDS = 1000


@dataclass
class Found:
    """What the load found."""

    statuses: Counter[int] = field(default_factory=Counter)
    histogram: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, MOST_MICROSECONDS, DIGITS),
    )


def load(url: str, rate: float = 100, seconds: float = 10) -> None:
    """Send GET requests at a steady rate and print what came of them.

    Args:
        url: Absolute URL of loopback or of a deployment of your own.
        rate: Requests a second.
        seconds: How long.
    """
    found = asyncio.run(_run(url, rate, seconds))
    for status, count in sorted(found.statuses.items()):
        print(f'status {status}: {count}')
    for quantile in QUANTILES:
        micros = found.histogram.get_value_at_percentile(quantile)
        print(f'p{quantile:g}: {micros / _MILLISECONDS:.2f} ms')


async def _run(url: str, rate: float, seconds: float) -> Found:
    client = SimpleAsyncHTTPClient(force_instance=True, max_clients=CLIENTS)
    found = Found()
    started = time.monotonic()
    async with asyncio.TaskGroup() as requests:
        for number in range(int(rate * seconds)):
            due = started + number / rate
            await asyncio.sleep(max(due - time.monotonic(), 0))
            requests.create_task(_send(client, url, due, found))
    client.close()
    return found


async def _send(
    client: SimpleAsyncHTTPClient,
    url: str,
    due: float,
    found: Found,
) -> None:
    request = HTTPRequest(url, request_timeout=TIMEOUT_SECONDS)
    try:
        response = await client.fetch(request, raise_error=False)
    except (OSError, HTTPClientError):
        found.statuses[0] += 1
        return
    found.statuses[response.code] += 1
    micros = int((time.monotonic() - due) * _MICROSECONDS)
    found.histogram.record_value(max(micros, 1))


def main() -> None:
    """Run the command line."""
    fire.Fire(load, name='wardstair-load')
