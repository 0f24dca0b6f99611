"""Runs the tasks of a process, and logs and restarts those that fail."""

import asyncio
from collections.abc import Awaitable, Callable

from wardstair.process.log import error_place, log_warning

RESTART_DELAY_SECONDS = 1.0


class Supervisor:
    """Starts tasks and restarts each one that fails or returns."""

    def __init__(self, count_failure: Callable[[str], None]) -> None:
        """Create a supervisor without tasks.

        Args:
            count_failure: Called with the name of each task that fails.
        """
        self._count_failure = count_failure
        self._tasks: list[asyncio.Task[None]] = []

    def spawn(self, name: str, work: Callable[[], Awaitable[None]]) -> None:
        """Run a task until the supervisor stops.

        Args:
            name: Name in logs and metrics.
            work: Creates the coroutine to run; called at each restart.
        """
        self._tasks.append(asyncio.ensure_future(self._run_forever(name, work)))

    async def stop(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()

    async def _run_forever(
        self,
        name: str,
        work: Callable[[], Awaitable[None]],
    ) -> None:
        while True:
            try:
                await work()
            except Exception as error:  # noqa: BLE001
                # A fault in one task must not stop the host: requests are
                # still served, and the task restarts with the state that
                # it left.
                self._count_failure(name)
                place = error_place(error)
                log_warning(
                    'task-failed',
                    task=name,
                    error=repr(error),
                    file=place.file,
                    line=place.line,
                )
            await asyncio.sleep(RESTART_DELAY_SECONDS)
