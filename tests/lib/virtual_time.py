"""An event loop whose clock jumps to the next timer instead of waiting."""

import asyncio
import selectors
import time
from collections import deque
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from typing import TypeVar

Played = TypeVar('Played')
# Not zero: code that takes 0.0 for "never" must not look right by chance.
FIRST_SECOND = 1000.0
# The played process that a callback or a task belongs to.
PROCESS: ContextVar[str] = ContextVar('played process', default='')


class _JumpSelector(selectors.DefaultSelector):
    """Moves the clock on by the time that it would have waited."""

    def __init__(self) -> None:
        super().__init__()
        self.now = FIRST_SECOND

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(0)
        if timeout is None and not ready:
            raise RuntimeError('all tasks wait, and no timer is set')
        if timeout and timeout > 0 and not ready:
            self.now += timeout
        return ready


class _Ready(deque[asyncio.Handle]):
    """What is to be run; that of processes that stand still waits."""

    def __init__(self, skipped: asyncio.Handle) -> None:
        super().__init__()
        self.held: dict[str, list[asyncio.Handle]] = {}
        self._skipped = skipped

    def popleft(self) -> asyncio.Handle:
        handle = super().popleft()
        if not self.held:
            return handle
        process = handle._context.get(PROCESS)  # type: ignore[attr-defined]
        if process not in self.held:
            return handle
        self.held[process].append(handle)
        return self._skipped


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop without waiting; nothing outside the process can take part."""

    def __init__(self) -> None:
        """Begin at `FIRST_SECOND`."""
        self._jumping = _JumpSelector()
        super().__init__(self._jumping)
        skipped = asyncio.Handle(_do_nothing, (), self)
        skipped.cancel()
        self._ready = _Ready(skipped)

    def freeze(self, process: str) -> None:
        """Have all that a process does wait, its timers included."""
        self._ready.held.setdefault(process, [])

    def thaw(self, process: str) -> None:
        """Have a process go on with what has waited."""
        self._ready.extend(self._ready.held.pop(process, []))

    def time(self) -> float:
        """Return the loop's own time, in seconds."""
        return self._jumping.now


def _do_nothing() -> None:
    """Stand for what is not run."""


@contextmanager
def _clock_of(loop: VirtualLoop) -> Iterator[None]:
    """Have code that asks for monotonic time get the loop's."""
    real = time.monotonic
    time.monotonic = loop.time
    try:
        yield
    finally:
        time.monotonic = real


def run_virtual(main: Callable[[], Awaitable[Played]]) -> Played:
    """Run a coroutine to its end without waiting for its timers."""
    loop = VirtualLoop()
    try:
        with _clock_of(loop):
            return loop.run_until_complete(_awaited(main))
    finally:
        loop.close()


async def _awaited(main: Callable[[], Awaitable[Played]]) -> Played:
    return await main()
