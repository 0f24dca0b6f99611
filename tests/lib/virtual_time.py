"""An event loop whose clock jumps to the next timer instead of waiting."""

import asyncio
import selectors
import time
from collections import deque
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from typing import TypeVar

Returned = TypeVar('Returned')
# Not zero, so that code that confuses 0.0 with "never" fails.
FIRST_SECOND = 1000.0
# The simulated process that a callback or a task belongs to.
PROCESS: ContextVar[str] = ContextVar('played process', default='')


class _JumpSelector(selectors.DefaultSelector):
    """Advances the clock by the timeout instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = FIRST_SECOND

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(0)
        if timeout is None and not ready:
            raise RuntimeError('deadlock: all tasks wait and no timer is set')
        if timeout and timeout > 0 and not ready:
            self.now += timeout
        return ready


class _ReadyQueue(deque[asyncio.Handle]):
    """Queue of handles to run; holds back those of frozen processes."""

    def __init__(self, no_op: asyncio.Handle) -> None:
        super().__init__()
        self.held: dict[str, list[asyncio.Handle]] = {}
        self._no_op = no_op

    def popleft(self) -> asyncio.Handle:
        handle = super().popleft()
        if not self.held:
            return handle
        process = handle._context.get(PROCESS)  # type: ignore[attr-defined]
        if process not in self.held:
            return handle
        self.held[process].append(handle)
        return self._no_op


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop in virtual time, without input from other processes."""

    def __init__(self) -> None:
        """Start the clock at `FIRST_SECOND`."""
        self._jump_selector = _JumpSelector()
        super().__init__(self._jump_selector)
        no_op = asyncio.Handle(_do_nothing, (), self)
        no_op.cancel()
        self._ready = _ReadyQueue(no_op)

    def freeze(self, process: str) -> None:
        """Hold back all callbacks of a simulated process, timers included."""
        self._ready.held.setdefault(process, [])

    def thaw(self, process: str) -> None:
        """Resume a frozen process and queue the callbacks held back."""
        self._ready.extend(self._ready.held.pop(process, []))

    def time(self) -> float:
        """Return the virtual time, in seconds."""
        return self._jump_selector.now


def _do_nothing() -> None:
    """Take the place of a callback that is held back."""


@contextmanager
def _monotonic_of(loop: VirtualLoop) -> Iterator[None]:
    """Replace `time.monotonic` by the time of a loop."""
    real = time.monotonic
    time.monotonic = loop.time
    try:
        yield
    finally:
        time.monotonic = real


def run_virtual(main: Callable[[], Awaitable[Returned]]) -> Returned:
    """Run a coroutine to its end in virtual time."""
    loop = VirtualLoop()
    try:
        with _monotonic_of(loop):
            return loop.run_until_complete(_awaited(main))
    finally:
        loop.close()


async def _awaited(main: Callable[[], Awaitable[Returned]]) -> Returned:
    return await main()
