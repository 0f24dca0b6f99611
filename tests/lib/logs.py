"""Log lines of the code under test."""

from collections.abc import Iterator
from contextlib import contextmanager

from loguru import logger


@contextmanager
def logged() -> Iterator[list[str]]:
    """Collect the log lines that are written meanwhile."""
    written: list[str] = []
    sink = logger.add(written.append, format='{message}')
    try:
        yield written
    finally:
        logger.remove(sink)
