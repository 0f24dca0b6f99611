"""Asks upstreams for their load and readiness.

Reports may lag or mislead: they lower trust and never raise a limit. In a
zone, one host probes each upstream with every beat, chosen by rendezvous;
all hosts probe those that they have ejected.
"""

import asyncio
import json
import time
from collections.abc import Callable

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError, HTTPRequest

from wardstair.decisions.membership import UpstreamReport
from wardstair.process.slots import SlotPool

PROBE_SECONDS = 2.0
PROBE_TIMEOUT_SECONDS = 1.0


class Prober:
    """Probes the zone's upstreams that fall to this host."""

    def __init__(self, client: CurlAsyncHTTPClient, pool: SlotPool) -> None:
        """Prepare a prober.

        Args:
            client: The process's curl client.
            pool: Told what the probes find.
        """
        self.select_assigned: Callable[[list[str]], list[str]] = list
        self.on_leaving_upstream: Callable[[], None] = lambda: None
        self._client = client
        self._pool = pool
        self._untold: dict[str, UpstreamReport] = {}
        self._running: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            mine = self.select_assigned(list(self._pool.views))
            names = [name for name in mine if name in self._pool.views]
            names += self._ejected(names)
            pause = PROBE_SECONDS / max(len(names), 1)
            for name in names:
                task = asyncio.ensure_future(self.probe(name))
                self._running.add(task)
                task.add_done_callback(self._running.discard)
                await asyncio.sleep(pause)
            if not names:
                await asyncio.sleep(PROBE_SECONDS)

    async def stop(self) -> None:
        """End the probes that are under way."""
        running = list(self._running)
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)

    async def probe(self, name: str) -> None:
        """Probe one upstream and note what it says."""
        view = self._pool.views.get(name)
        if view is None:
            return
        report = await self._ask(name, view.model.address)
        if report is None:
            return
        self._untold[name] = report
        self.note(report)
        if report.is_leaving:
            # New work must stop within seconds on every host of the zone.
            self.on_leaving_upstream()
        if not view.health.may_serve(time.monotonic()):
            self._pool.forget_failures(name)

    def note(self, report: UpstreamReport) -> None:
        """Take in a report of this host or of another of the zone."""
        self._pool.note_report(report.upstream, report.load)
        if report.is_leaving:
            self._pool.note_leaving(report.upstream)

    def take_reports(self) -> tuple[UpstreamReport, ...]:
        """Return the reports that the zone has not been told yet."""
        untold = tuple(self._untold.values())
        self._untold.clear()
        return untold

    def _ejected(self, chosen: list[str]) -> list[str]:
        return [
            name
            for name, view in self._pool.views.items()
            if view.health.failures and name not in chosen
        ]

    async def _ask(self, name: str, address: str) -> UpstreamReport | None:
        request = HTTPRequest(
            f'http://{address}/health',
            connect_timeout=PROBE_TIMEOUT_SECONDS,
            request_timeout=PROBE_TIMEOUT_SECONDS,
            follow_redirects=False,
        )
        try:
            response = await self._client.fetch(request)
        except (OSError, HTTPClientError):
            return None
        return _parse(name, response.body)


def _parse(name: str, body: bytes) -> UpstreamReport | None:
    try:
        content = json.loads(body)
        load = float(content['load'])
        return UpstreamReport(name, load, content['leaving'] is True)
    except (ValueError, KeyError, TypeError):
        return None
