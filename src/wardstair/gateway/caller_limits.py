"""Limits of the configuration that the connections of callers keep."""

from dataclasses import dataclass

# Limits before a configuration is known.
DEFAULT_HEADER_BYTES = 65536
DEFAULT_BODY_BYTES = 104857600
DEFAULT_IDLE_SECONDS = 3600.0


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits of a caller's connection.

    Attributes:
        header_bytes: Maximum size of a request head.
        body_bytes: Maximum size of a request body.
        idle_seconds: Longest time from an answer to the end of the next request
            head.
    """

    header_bytes: int = DEFAULT_HEADER_BYTES
    body_bytes: int = DEFAULT_BODY_BYTES
    idle_seconds: float = DEFAULT_IDLE_SECONDS
