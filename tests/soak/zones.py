"""A zone whose hosts reach no host of another zone; they reach all else.

The gateways read from a file which addresses are cut off, see `soak.bound`.
"""

import asyncio
import time
from pathlib import Path
from typing import TYPE_CHECKING

from tornado.httpclient import HTTPRequest, HTTPResponse

from soak.cuts import CHECKED_SECONDS, CONTACT_SECONDS, CutOff
from wardstair.fleet.datagrams import DatagramSocket
from wardstair.state.exchange import StateExchange

if TYPE_CHECKING:
    from soak.faults import Scene

FILE_NAME = 'cut-off'
# Between two cuts, so that hosts know each other again.
BETWEEN_SECONDS = 4.0


async def cut_zone(scene: 'Scene') -> None:
    """Cut the hosts of a zone off from all other hosts for a while."""
    async with scene.cutting:
        zone = scene.random.choice(scene.zones)
        inside = [one for one in scene.gateways if one.place.zone == zone]
        names = frozenset(one.place.name for one in inside)
        cut = CutOff(names, f'a cut of {zone}')
        scene.ledger.cuts.append(cut)
        path = scene.gateways[0].place.settings.parent / FILE_NAME
        addresses = '\n'.join(one.place.address for one in inside)
        path.write_text(addresses, encoding='ascii')
        await asyncio.sleep(CONTACT_SECONDS)
        scene.put_configuration()
        await asyncio.sleep(CHECKED_SECONDS)
        cut.end = time.monotonic()
        path.unlink()
        await asyncio.sleep(BETWEEN_SECONDS)


def obey_cuts(own: str, path: Path) -> None:
    """Drop what passes between the two sides of a cut.

    Args:
        own: IP address of this host.
        path: File that lists the addresses on one side while there is a cut.
    """
    send = DatagramSocket._send_bytes
    ask = StateExchange._ask

    def crosses(address: str) -> bool:
        try:
            inside = path.read_text(encoding='ascii').split()
        except OSError:
            return False
        return (own in inside) is not (address in inside)

    def send_bytes(self: DatagramSocket, address: str, datagram: bytes) -> None:
        if not crosses(address):
            send(self, address, datagram)

    async def ask_unless_cut(
        self: StateExchange, request: HTTPRequest
    ) -> HTTPResponse:
        if crosses(request.url.split('/')[2].partition(':')[0]):
            await asyncio.sleep(request.request_timeout or 0)
            raise OSError('the zone is cut off')
        return await ask(self, request)

    DatagramSocket._send_bytes = send_bytes  # type: ignore[method-assign]
    StateExchange._ask = ask_unless_cut  # type: ignore[method-assign]
