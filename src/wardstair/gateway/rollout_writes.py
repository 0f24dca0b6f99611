"""Writes the records of roll-outs beside the coordinator's other work."""

import asyncio
import time
from collections.abc import Awaitable, Callable

from wardstair.state.rollout_records import RecordOutcome, RecordWritten
from wardstair.state.rollouts import Rollout, RolloutRecord

# Interval between attempts to write after one has failed.
RETRY_SECONDS = 0.5


Writer = Callable[[Rollout, RolloutRecord], Awaitable[RecordOutcome]]
OnEnd = Callable[[RecordOutcome], None]


class RecordWrites:
    """Writes one record at a time for each service.

    Plans have to be sent meanwhile, as the store may take seconds to answer.
    """

    def __init__(self, write: Writer, on_any_end: Callable[[], None]) -> None:
        """Create it without writes in progress.

        Args:
            write: Writes a record to the store.
            on_any_end: Called after each attempt.
        """
        self._write = write
        self._on_any_end = on_any_end
        # Writes in progress, and when the next attempt may follow, by service.
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._next_at: dict[str, float] = {}

    def close(self) -> None:
        """Cancel the writes in progress."""
        for task in self._tasks.values():
            task.cancel()

    def delay(self, service: str) -> None:
        """Begin no further write for a service for a while.

        Args:
            service: The service.
        """
        self._next_at[service] = time.monotonic() + RETRY_SECONDS

    def begin(
        self, rollout: Rollout, record: RolloutRecord, on_end: OnEnd
    ) -> None:
        """Write a record unless a write for the service is in progress.

        Args:
            rollout: The roll-out as it is known now.
            record: The record.
            on_end: Called with the outcome.
        """
        service = rollout.order.service
        is_due = time.monotonic() >= self._next_at.get(service, 0.0)
        if is_due and service not in self._tasks:
            self._tasks[service] = asyncio.ensure_future(
                self._run(rollout, record, on_end)
            )

    async def _run(
        self, rollout: Rollout, record: RolloutRecord, on_end: OnEnd
    ) -> None:
        service = rollout.order.service
        try:
            outcome = await self._write(rollout, record)
        finally:
            self._tasks.pop(service, None)
        if not isinstance(outcome, RecordWritten):
            self.delay(service)
        on_end(outcome)
        self._on_any_end()
