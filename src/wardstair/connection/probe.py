"""Asks whether anything listens at an address, without sending a byte."""

import asyncio
import socket
from enum import StrEnum

# Between regions a connection opens in some hundred milliseconds.
PROBE_SECONDS = 0.5


class ProbeOutcome(StrEnum):
    """What an attempt to connect has shown."""

    refused = 'refused'
    listening = 'listening'
    # Nothing came back: the way may be cut.
    unknown = 'unknown'


async def probe(host: str, port: int) -> ProbeOutcome:
    """Try to connect and close at once.

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
