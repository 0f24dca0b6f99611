"""Log lines for errors that nothing else handles.

Libraries write such errors to standard error, where a reader that is blocked
would block the process; here they become lines of the log.
"""

import asyncio
import logging
from collections.abc import Callable

from wardstair.process.log import error_place, log_warning

# Receives the part of the program that reported the error.
CountError = Callable[[str], None]


class InternalErrors:
    """Logs and counts errors of callbacks, tasks and libraries."""

    def __init__(self, count: CountError) -> None:
        """Create a reporter.

        Args:
            count: Called for each error with the part that reported it.
        """
        self._count = count

    def attach(self, loop: asyncio.AbstractEventLoop) -> None:
        """Take over the errors of an event loop and those of libraries.

        Args:
            loop: The event loop of the process.
        """
        loop.set_exception_handler(self._on_loop_error)
        handler = _LibraryHandler(self)
        handler.setLevel(logging.WARNING)
        logging.basicConfig(handlers=[handler], force=True)

    def report(self, origin: str, error: object) -> None:
        """Log and count an error.

        Args:
            origin: The part that reported it.
            error: The exception, or a text in place of it.
        """
        self._count(origin)
        place = error_place(error)
        log_warning(
            'internal-error',
            origin=origin,
            error=error if isinstance(error, str) else repr(error),
            file=place.file,
            line=place.line,
        )

    def _on_loop_error(
        self, _loop: asyncio.AbstractEventLoop, context: dict[str, object]
    ) -> None:
        found = context.get('exception')
        self.report('event-loop', found or str(context.get('message')))


class _LibraryHandler(logging.Handler):
    """Passes the records of libraries on to the log."""

    def __init__(self, errors: InternalErrors) -> None:
        super().__init__()
        self._errors = errors

    def emit(self, record: logging.LogRecord) -> None:
        """Log a record."""
        found = record.exc_info[1] if record.exc_info else None
        self._errors.report(record.name, found or record.getMessage())
