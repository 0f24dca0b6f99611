"""Callers of a play; each keeps its connection until the gateway closes it."""

import asyncio
import contextlib
import time
from collections.abc import Callable
from itertools import count
from random import Random

from lib.rig import Caller

from soak.ledger import Kind, Ledger, Try
from soak.processes import GatewayProcess

TARGETS = {
    Kind.safe: '/read/x',
    Kind.once: '/order/x',
    Kind.divided: '/split/x',
}
# Number of distinct keys that requests carry.
KEYS = 24
# Timeout of a request.
REQUEST_TIMEOUT_SECONDS = 4.0
CONNECT_TIMEOUT_SECONDS = 1.0
PAUSE_SECONDS = 0.02
UPLOAD_BYTES = 40000


class CallerTask:
    """One caller, which sends requests sequentially."""

    def __init__(
        self,
        name: str,
        gateways: list[GatewayProcess],
        ledger: Ledger,
        random: Random,
    ) -> None:
        """Create a caller that is not connected yet."""
        self._name = name
        self._gateways = gateways
        self._ledger = ledger
        self._random = random
        self._numbers = count()
        self._caller: Caller | None = None
        self._gateway = gateways[0]
        self._gateway_name = ''
        self._is_over: Callable[[], bool] = lambda: False

    async def run(self, is_over: Callable[[], bool]) -> None:
        """Send requests until the play is over; the last one is completed."""
        self._is_over = is_over
        while not is_over():
            kind = self._random.choice((Kind.safe, Kind.divided, Kind.once))
            await self.ask(kind)
            await asyncio.sleep(self._random.random() * PAUSE_SECONDS)
        self._drop()

    async def ask(self, kind: Kind) -> Try | None:
        """Send one request; return None if no connection was established."""
        if self._caller is None and not await self._connect():
            await asyncio.sleep(PAUSE_SECONDS)
            return None
        caller = self._caller
        assert caller is not None
        name = f'{self._name}-{next(self._numbers)}'
        made = self._ledger.begin(name, kind, self._gateway_name)
        body = b'x' * self._random.choice((1, 200, UPLOAD_BYTES))
        key = str(self._random.randrange(KEYS))
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_SECONDS):
                await caller.send(TARGETS[kind], 'POST', body, name, key)
                answer = await caller.answer()
        except (TimeoutError, ConnectionError) as error:
            made.is_overdue = isinstance(error, TimeoutError)
            made.ended_at = time.monotonic()
            # The caller disconnects without an outcome for the request.
            self._drop()
            return made
        made.ended_at = time.monotonic()
        made.status = answer.status
        made.body = answer.body.decode()
        is_last = answer.headers.get('connection') == 'close'
        if is_last or not answer.status:
            self._drop()
        return made

    async def _connect(self) -> bool:
        self._gateway = self._random.choice(self._gateways)
        self._gateway_name = self._gateway.name
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                self._caller = await Caller.connect_to(self._gateway.callers)
        return self._caller is not None

    def _drop(self) -> None:
        if self._caller is not None:
            self._caller.close()
            self._caller = None
