"""Cuts a zone of a fleet in the test process off from the other zones.

No datagram, state fetch or forwarded request passes between the zone's hosts
and others. Callers reach all hosts.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial

from tornado.httpclient import HTTPRequest, HTTPResponse

from lib.cut_fleet import Cut, CutFleet
from lib.fleet import ZONES
from lib.upstream_standin import UpstreamStandin
from wardstair.connection.pool import Dial
from wardstair.connection.upstream import UpstreamConnection
from wardstair.gateway.host import GatewayHost

SendBytes = Callable[[str, bytes], None]
Ask = Callable[[HTTPRequest], Awaitable[HTTPResponse]]


@dataclass
class ZoneCut:
    """The network between the hosts of a fleet.

    Attributes:
        fleet: The fleet.
        zone: The zone that can be cut off.
        is_cut: Whether it is cut off.
    """

    fleet: CutFleet
    zone: str
    is_cut: bool = False
    _sides: dict[str, bool] = field(default_factory=dict)

    @property
    def inside(self) -> list[GatewayHost]:
        """Hosts of the zone."""
        return self.fleet.hosts_of(self.zone)

    @property
    def outside(self) -> list[GatewayHost]:
        """Hosts of the other zones."""
        return [one for one in self.fleet.hosts if one not in self.inside]

    def attach(self) -> None:
        """Have all traffic between hosts pass through this object."""
        for host in self.fleet.hosts:
            self._sides[host.settings.address] = host in self.inside
        for host in self.fleet.hosts:
            own = host.settings.address
            for endpoint in (host.heartbeat_endpoint, host.demand_endpoint):
                sends = partial(self._send, own, endpoint._send_bytes)
                setattr(endpoint, '_send_bytes', sends)  # noqa: B010
            host.exchange.ask = partial(self._ask, own, host.exchange.ask)
            pool = host.peer_forwarder.pool
            pool.dial = partial(self._dial, own, pool.dial)

    def begin(self, *, with_upstreams: bool) -> None:
        """Cut the zone off.

        Args:
            with_upstreams: Whether hosts reach upstreams of their side only.
        """
        self.is_cut = True
        for host in self.fleet.hosts:
            host.peer_forwarder.close()
        if not with_upstreams:
            return
        own, others = self._upstreams(), self._upstreams(is_own=False)
        self.fleet.cut(self.inside, Cut.hang, others)
        self.fleet.cut(self.outside, Cut.hang, own)

    def end(self) -> None:
        """Connect the zone again."""
        self.is_cut = False
        self.fleet.mend()

    def _upstreams(self, *, is_own: bool = True) -> list[UpstreamStandin]:
        return [
            upstream
            for number, upstream in enumerate(self.fleet.upstreams)
            if (ZONES[number % len(ZONES)] == self.zone) is is_own
        ]

    def _crosses(self, own: str, address: str) -> bool:
        sides = self._sides
        return self.is_cut and sides[own] is not sides.get(address, sides[own])

    def _send(
        self, own: str, send: SendBytes, address: str, datagram: bytes
    ) -> None:
        if not self._crosses(own, address):
            send(address, datagram)

    async def _ask(
        self, own: str, ask: Ask, request: HTTPRequest
    ) -> HTTPResponse:
        address = request.url.split('/')[2].partition(':')[0]
        if self._crosses(own, address):
            await asyncio.sleep(request.request_timeout or 0)
            raise OSError('the zone is cut off')
        return await ask(request)

    async def _dial(
        self,
        own: str,
        dial: Dial,
        on_closed: Callable[[UpstreamConnection], None],
        host: str,
        port: int,
    ) -> UpstreamConnection:
        if self._crosses(own, host):
            await asyncio.Event().wait()
        return await dial(on_closed, host, port)
