"""Probes the load and readiness of upstreams.

What an upstream reports may be outdated or wrong. It can therefore only reduce
the traffic of an upstream, never raise its limit. Rendezvous hashing assigns
each upstream of a zone to one host, which probes it every two seconds; a host
also probes the upstreams that it has ejected itself.
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
    """Probes the upstreams that are assigned to this host."""

    def __init__(self, client: CurlAsyncHTTPClient, pool: SlotPool) -> None:
        """Create a prober.

        Args:
            client: HTTP client of the process.
            pool: Slot pool that receives the results.
        """
        self.select_assigned: Callable[[list[str]], list[str]] = list
        self.on_leaving_upstream: Callable[[], None] = lambda: None
        self._client = client
        self._pool = pool
        self._unsent: dict[str, UpstreamReport] = {}
        self._running: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            assigned = self.select_assigned(list(self._pool.views))
            names = [name for name in assigned if name in self._pool.views]
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
        """Cancel the probes that are in progress."""
        running = list(self._running)
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)

    async def probe(self, name: str) -> None:
        """Probe an upstream and record its report."""
        view = self._pool.views.get(name)
        if view is None:
            return
        report = await self._fetch_report(name, view.model.address)
        if report is None:
            return
        self._unsent[name] = report
        self.note(report)
        if report.is_leaving:
            # All hosts of the zone must stop sending to it within seconds.
            self.on_leaving_upstream()
        if not view.health.may_serve(time.monotonic()):
            self._pool.forget_failures(name)

    def note(self, report: UpstreamReport) -> None:
        """Record a report that this host or a peer of the zone received."""
        self._pool.note_report(report.upstream, report.load)
        if report.is_leaving:
            self._pool.note_leaving(report.upstream)

    def take_reports(self) -> tuple[UpstreamReport, ...]:
        """Return and clear the reports not yet sent to the zone's hosts."""
        unsent = tuple(self._unsent.values())
        self._unsent.clear()
        return unsent

    def _ejected(self, chosen: list[str]) -> list[str]:
        return [
            name
            for name, view in self._pool.views.items()
            if view.health.failures and name not in chosen
        ]

    async def _fetch_report(
        self, name: str, address: str
    ) -> UpstreamReport | None:
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
