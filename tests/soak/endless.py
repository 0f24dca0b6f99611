"""Upstreams whose answers do not end, and what that may cost a gateway."""

import asyncio
import time
from collections.abc import Callable
from enum import StrEnum
from pathlib import Path
from typing import TYPE_CHECKING

from lib.upstream_standin import whole_answer

if TYPE_CHECKING:
    from soak.ledger import Ledger
    from soak.processes import GatewayProcess

# Time after which an upstream gives up an answer that nobody has cut off.
ENDLESS_SECONDS = 8.0
# Bytes of a chunk and of a header field, and the pause behind each.
CHUNK_BYTES = 524288
FIELD_BYTES = 65536
PAUSE_SECONDS = 0.01
DRIP_SECONDS = 0.02
# Most memory of a gateway process: the default limit of its settings.
MAX_RESIDENT_BYTES = 128 * 1024 * 1024
SAMPLE_SECONDS = 0.2
KILOBYTE = 1024


class EndlessWay(StrEnum):
    """What an upstream sends without an end."""

    head = 'head'
    body = 'body'
    # A body of one byte at a time.
    drip = 'drip'


async def answer_without_end(
    way: EndlessWay, request_id: str, writer: asyncio.StreamWriter
) -> None:
    """Send an answer until the gateway closes the connection.

    Args:
        way: What is sent.
        request_id: Id of the request that is answered.
        writer: The connection.
    """
    chunked = 'Wardstair-Server-Seal: s.1\r\nTransfer-Encoding: chunked\r\n'
    whole = whole_answer(request_id, b'', extra=chunked).decode()
    head = whole.replace('Content-Length: 0\r\n', '')
    match way:
        case EndlessWay.head:
            head = head.removesuffix('\r\n')
            more = b'X-More: ' + b'x' * FIELD_BYTES + b'\r\n'
        case EndlessWay.body:
            more = b'%x\r\n' % CHUNK_BYTES + b'x' * CHUNK_BYTES + b'\r\n'
        case EndlessWay.drip:
            more = b'1\r\nx\r\n'
    pause = DRIP_SECONDS if way is EndlessWay.drip else PAUSE_SECONDS
    writer.write(head.encode())
    end = time.monotonic() + ENDLESS_SECONDS
    while time.monotonic() < end and not writer.transport.is_closing():
        writer.write(more)
        await writer.drain()
        await asyncio.sleep(pause)
    writer.transport.abort()


async def watch_memory(
    gateways: list['GatewayProcess'],
    ledger: 'Ledger',
    is_over: Callable[[], bool],
) -> None:
    """Record the peak memory of the gateway processes.

    Args:
        gateways: The gateways.
        ledger: Where the peaks are recorded.
        is_over: Returns whether the play is over.
    """
    while not is_over():
        for gateway in gateways:
            name = gateway.name
            resident = _peak_bytes(gateway.process_id)
            known = ledger.resident.get(name, 0)
            ledger.resident[name] = max(known, resident)
        await asyncio.sleep(SAMPLE_SECONDS)


def _peak_bytes(process_id: int) -> int:
    """Return the peak resident memory of a process; 0 if it is gone."""
    try:
        status = Path(f'/proc/{process_id}/status').read_text(encoding='ascii')
    except OSError:
        return 0
    for line in status.splitlines():
        if line.startswith('VmHWM:'):
            return int(line.split()[1]) * KILOBYTE
    return 0


def check_memory(resident: dict[str, int]) -> list[str]:
    """Return a description of each process that took too much memory.

    Args:
        resident: Peak resident bytes by name of the process.
    """
    return [
        f'{name} took {peak // KILOBYTE} KB of memory'
        for name, peak in resident.items()
        if peak > MAX_RESIDENT_BYTES
    ]
