"""The clock by which tests measure bounds on a busy machine."""

import asyncio
import time

from lib.running_time import FIRST_SECOND, run_in_running_time

WAIT_SECONDS = 50.0
STALL_SECONDS = 0.5


def stall() -> None:
    """Keep the process from running, as on a busy machine."""
    time.sleep(STALL_SECONDS)


def test_the_clock_counts_waits_and_work_but_no_stalls() -> None:
    async def main() -> None:
        began = time.monotonic()
        assert began >= FIRST_SECOND
        await asyncio.sleep(WAIT_SECONDS)
        waited = time.monotonic()
        assert waited - began >= WAIT_SECONDS
        stall()
        stalled = time.monotonic()
        assert stalled - waited < STALL_SECONDS
        used = time.process_time()
        while time.process_time() - used < STALL_SECONDS:
            continue
        assert time.monotonic() - stalled >= STALL_SECONDS

    run_in_running_time(main)
