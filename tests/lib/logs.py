"""Capture of log lines."""

from collections.abc import Iterator
from contextlib import contextmanager

from loguru import logger


@contextmanager
def logged() -> Iterator[list[str]]:
    """Collect the messages that are logged inside the block."""
    written: list[str] = []
    sink = logger.add(written.append, format='{message}')
    try:
        yield written
    finally:
        logger.remove(sink)
