"""Structured logging: a line of key=value pairs for each event."""

import contextlib
import os
import sys
import traceback
from dataclasses import dataclass

from loguru import logger

from wardstair.process.sink import LineSink

_STDOUT = 1
_STDERR = 2
_QUOTED = frozenset(' "=\n')
# Other writers may have written a value, of any length.
MAX_VALUE_LENGTH = 1000


@dataclass(frozen=True, slots=True)
class ErrorPlace:
    """Where an exception was raised.

    Attributes:
        file: Name of the source file; empty if it was not raised.
        line: Number of the line.
    """

    file: str = ''
    line: int = 0


def configure_logging(level: str = 'INFO') -> None:
    """Log to standard error."""
    logger.remove()
    logger.add(
        sys.stderr,
        level=level,
        format='time={time:YYYY-MM-DDTHH:mm:ss.SSSZZ} level={level} {message}',
    )


def log_to_stdout(
    process: str, level: str = 'INFO', sink: LineSink | None = None
) -> LineSink:
    """Log to standard output without blocking on it.

    Args:
        process: Name of the process. Each line contains it, since the logs of
            several processes may be merged.
        level: Lowest severity that is logged.
        sink: The sink of an earlier call, to log to under another name.

    Returns:
        The sink, whose counts are exported as metrics.
    """
    if sink is None:
        sink = LineSink(_STDOUT if sys.stdout is None else sys.stdout.fileno())
    head = 'time={time:YYYY-MM-DDTHH:mm:ss.SSSZZ} level={level} '
    logger.remove()
    logger.add(
        sink.write,
        level=level,
        format=f'{head}process={_quoted(process)} {{message}}',
        # Both cost time on each line, and lines never contain tracebacks.
        backtrace=False,
        catch=False,
    )
    return sink


def fill_standard_streams() -> None:
    """Open those of the standard streams that are closed, on nothing.

    Otherwise a socket would get the number of one, and log lines be written to
    that socket.
    """
    descriptor = 0
    while descriptor <= _STDERR:
        descriptor = os.open(os.devnull, os.O_RDWR)
    os.close(descriptor)


def write_to_stderr(text: str) -> None:
    """Write a last message, unless the reader is blocked or gone."""
    with contextlib.suppress(OSError):
        os.set_blocking(_STDERR, False)
        os.write(_STDERR, text.encode(errors='backslashreplace'))


def log_event(event: str, **fields: object) -> None:
    """Log one event.

    Args:
        event: Stable name of the event.
        fields: Values by field name.
    """
    logger.info('{}', _line(event, fields))


def log_warning(event: str, **fields: object) -> None:
    """Log one event that an operator should examine."""
    logger.warning('{}', _line(event, fields))


def error_place(error: object) -> ErrorPlace:
    """Return where an error was raised."""
    if not isinstance(error, BaseException):
        return ErrorPlace()
    frames = traceback.extract_tb(error.__traceback__)
    if not frames:
        return ErrorPlace()
    return ErrorPlace(
        frames[-1].filename.rsplit('/', 1)[-1], frames[-1].lineno or 0
    )


def _line(event: str, fields: dict[str, object]) -> str:
    pairs = [f'event={event}']
    pairs.extend(f'{name}={_quoted(str(fields[name]))}' for name in fields)
    return ' '.join(pairs)


def _quoted(text: str) -> str:
    text = text[:MAX_VALUE_LENGTH]
    if text and text.isprintable() and not _QUOTED.intersection(text):
        return text
    escaped = text.replace('"', "'").replace('\n', ' ')
    if not escaped.isprintable():
        escaped = ''.join(one if one.isprintable() else '?' for one in escaped)
    return f'"{escaped}"'
