"""Keeps the tasks of a process running, and tells of each failure."""

import asyncio
import traceback
from collections.abc import Awaitable, Callable

from wardstair.process.log import log_warning

RESTART_SECONDS = 1.0


class Supervisor:
    """Starts tasks and starts each again after an unexpected failure."""

    def __init__(self, count_failure: Callable[[str], None]) -> None:
        """Start without tasks.

        Args:
            count_failure: Told the name of a task that failed.
        """
        self._count_failure = count_failure
        self._tasks: list[asyncio.Task[None]] = []

    def spawn(self, name: str, work: Callable[[], Awaitable[None]]) -> None:
        """Run a task until the supervisor stops.

        Args:
            name: Name for logs and metrics.
            work: Makes the work; called again after a failure.
        """
        self._tasks.append(asyncio.ensure_future(self._keep(name, work)))

    async def stop(self) -> None:
        """Cancel all tasks and wait for their end."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()

    async def _keep(
        self,
        name: str,
        work: Callable[[], Awaitable[None]],
    ) -> None:
        while True:
            try:
                await work()
            except Exception as error:  # noqa: BLE001
                # A fault in one task must not end the host: its requests go
                # on, and the task begins again from the state it left.
                self._count_failure(name)
                where = traceback.extract_tb(error.__traceback__)[-1]
                log_warning(
                    'task-failed',
                    task=name,
                    error=repr(error),
                    file=where.filename.rsplit('/', 1)[-1],
                    line=where.lineno,
                )
            await asyncio.sleep(RESTART_SECONDS)
