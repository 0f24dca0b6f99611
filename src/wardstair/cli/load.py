"""`wardstair-load`: open-loop load on one URL, with an HDR histogram.

Requests start at their scheduled times, whether or not earlier ones have
ended. Latency is measured from the scheduled time, so that a stall counts for
every request that it delays (no coordinated omission).
"""

import asyncio
import time
from collections import Counter
from dataclasses import dataclass, field

import fire
from hdrh.histogram import HdrHistogram
from tornado.httpclient import HTTPClientError, HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

MAX_LATENCY_MICROSECONDS = 60_000_000
SIGNIFICANT_DIGITS = 3
MAX_CONCURRENT_REQUESTS = 1000
REQUEST_TIMEOUT_SECONDS = 30.0
QUANTILES = (50.0, 90.0, 99.0, 99.9)
_MICROSECONDS = 1_000_000
_MILLISECONDS = 1000


@dataclass
class LoadResult:
    """The results of a run.

    Attributes:
        statuses: Number of responses by HTTP status; 0 for failed requests.
        histogram: Latencies in microseconds.
    """

    statuses: Counter[int] = field(default_factory=Counter)
    histogram: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(
            1, MAX_LATENCY_MICROSECONDS, SIGNIFICANT_DIGITS
        ),
    )


def load(url: str, rate: float = 100, seconds: float = 10) -> None:
    """Send GET requests at a constant rate; print statuses and latencies.

    Args:
        url: Absolute URL on loopback or of a deployment of your own.
        rate: Requests per second.
        seconds: Duration of the run.
    """
    load_result = asyncio.run(_run(url, rate, seconds))
    for status, count in sorted(load_result.statuses.items()):
        print(f'status {status}: {count}')
    for quantile in QUANTILES:
        microseconds = load_result.histogram.get_value_at_percentile(quantile)
        print(f'p{quantile:g}: {microseconds / _MILLISECONDS:.2f} ms')


async def _run(url: str, rate: float, seconds: float) -> LoadResult:
    client = SimpleAsyncHTTPClient(
        force_instance=True, max_clients=MAX_CONCURRENT_REQUESTS
    )
    load_result = LoadResult()
    started = time.monotonic()
    async with asyncio.TaskGroup() as requests:
        for number in range(int(rate * seconds)):
            due = started + number / rate
            await asyncio.sleep(max(due - time.monotonic(), 0))
            requests.create_task(_send(client, url, due, load_result))
    client.close()
    return load_result


async def _send(
    client: SimpleAsyncHTTPClient,
    url: str,
    due: float,
    load_result: LoadResult,
) -> None:
    request = HTTPRequest(url, request_timeout=REQUEST_TIMEOUT_SECONDS)
    try:
        response = await client.fetch(request, raise_error=False)
    except (OSError, HTTPClientError):
        load_result.statuses[0] += 1
        return
    load_result.statuses[response.code] += 1
    microseconds = int((time.monotonic() - due) * _MICROSECONDS)
    load_result.histogram.record_value(max(microseconds, 1))


def main() -> None:
    """Run the command line."""
    fire.Fire(load, name='wardstair-load')
