"""Asks upstreams for their load and readiness.

Reports may lag or mislead: they lower trust and never raise a limit. In a
zone, one host probes each upstream with every beat, chosen by rendezvous;
all hosts probe those that they have ejected.
"""

import asyncio
import json
import time
from dataclasses import dataclass

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest

from wardstair.process.slots import SlotPool

PROBE_SECONDS = 1.0
PROBE_TIMEOUT_SECONDS = 1.0


@dataclass(frozen=True)
class LoadReport:
    """What an upstream says of itself."""

    load: float
    is_leaving: bool


class Prober:
    """Probes the upstreams of the zone."""

    def __init__(self, client: CurlAsyncHTTPClient, pool: SlotPool) -> None:
        """Prepare a prober.

        Args:
            client: The process's curl client.
            pool: Told what the probes find.
        """
        self._client = client
        self._pool = pool

    async def run(self) -> None:
        """Probe all upstreams in turn until cancelled."""
        while True:
            names = list(self._pool.views)
            pause = PROBE_SECONDS / max(len(names), 1)
            for name in names:
                asyncio.ensure_future(self.probe(name))
                await asyncio.sleep(pause)
            if not names:
                await asyncio.sleep(PROBE_SECONDS)

    async def probe(self, name: str) -> None:
        """Probe one upstream and note what it says."""
        view = self._pool.views.get(name)
        if view is None:
            return
        report = await self._ask(view.model.address)
        if report is None:
            return
        self._pool.note_report(name, report.load)
        if report.is_leaving:
            self._pool.note_leaving(name)
        if not view.health.may_serve(time.monotonic()):
            self._pool.forget_failures(name)

    async def _ask(self, address: str) -> LoadReport | None:
        request = HTTPRequest(
            f'http://{address}/health',
            connect_timeout=PROBE_TIMEOUT_SECONDS,
            request_timeout=PROBE_TIMEOUT_SECONDS,
            follow_redirects=False,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except OSError:
            return None
        if response.code != 200:
            return None
        return _parse(response.body)


def _parse(body: bytes) -> LoadReport | None:
    try:
        content = json.loads(body)
        return LoadReport(float(content['load']), content['leaving'] is True)
    except (ValueError, KeyError, TypeError):
        return None
