"""Log lines: one line of key=value pairs for each event."""

import sys

from loguru import logger

from wardstair.process.sink import LineSink

_QUOTED = frozenset(' "=\n')


def configure_logging(level: str = 'INFO') -> None:
    """Send events to standard error, one line each."""
    logger.remove()
    logger.add(
        sys.stderr,
        level=level,
        format='time={time:YYYY-MM-DDTHH:mm:ss.SSSZZ} level={level} {message}',
    )


def log_to_stdout(process: str, level: str = 'INFO') -> LineSink:
    """Send events to standard output, one line each, without waiting for it.

    Args:
        process: Name that each line carries, since logs are put together.
        level: Least severity that is written.

    Returns:
        The sink, whose counts go into the metrics.
    """
    sink = LineSink(sys.stdout.fileno())
    head = 'time={time:YYYY-MM-DDTHH:mm:ss.SSSZZ} level={level} '
    logger.remove()
    logger.add(
        sink.write,
        level=level,
        format=f'{head}process={_quoted(process)} {{message}}',
        # Both would add cost to each line for traces that no line has.
        backtrace=False,
        catch=False,
    )
    return sink


def log_event(event: str, **fields: object) -> None:
    """Log one event.

    Args:
        event: Stable name of the event.
        fields: What is known of it, by name.
    """
    logger.info('{}', _line(event, fields))


def log_warning(event: str, **fields: object) -> None:
    """Log one event that an operator should look at."""
    logger.warning('{}', _line(event, fields))


def _line(event: str, fields: dict[str, object]) -> str:
    pairs = [f'event={event}']
    pairs.extend(f'{name}={_quoted(str(fields[name]))}' for name in fields)
    return ' '.join(pairs)


def _quoted(text: str) -> str:
    if text and not _QUOTED.intersection(text):
        return text
    escaped = text.replace('"', "'").replace('\n', ' ')
    return f'"{escaped}"'
