"""Checks whether anything listens at an address, without sending data."""

import asyncio
import socket
from enum import StrEnum

# Opening a connection between regions takes some hundred milliseconds.
PROBE_SECONDS = 0.5


class ProbeOutcome(StrEnum):
    """Result of an attempt to connect."""

    refused = 'refused'
    listening = 'listening'
    # No response: the network path may be down.
    unknown = 'unknown'


async def probe(host: str, port: int) -> ProbeOutcome:
    """Try to connect, and close the connection at once.

    Args:
        host: IP address.
        port: TCP port.
    """
    loop = asyncio.get_running_loop()
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as trial:
        trial.setblocking(False)
        try:
            async with asyncio.timeout(PROBE_SECONDS):
                await loop.sock_connect(trial, (host, port))
        except (ConnectionRefusedError, ConnectionResetError):
            return ProbeOutcome.refused
        except (OSError, TimeoutError):
            return ProbeOutcome.unknown
    return ProbeOutcome.listening
