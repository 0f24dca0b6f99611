"""Callers that send several requests before the first is answered."""

import asyncio
import time
from dataclasses import dataclass

from lib.rig import Caller

from soak.callers import KEYS, REQUEST_TIMEOUT_SECONDS, TARGETS, CallerTask
from soak.ledger import Kind, Try

# Requests that are sent at once.
BATCHES = (2, 8)
# Probability that a request may run only once, and that a request which may
# run more often asks for the connection to be closed.
ONCE_SHARE = 0.25
CLOSE_SHARE = 0.03
SMALL_BODY = b'x'


@dataclass(frozen=True)
class _Sent:
    """A request, and the key with which it is sent again."""

    made: Try
    key: str


class PipeliningCaller(CallerTask):
    """A caller that keeps a connection until an answer closes it.

    Requests behind an answer that closes the connection have not run, so they
    are sent again with the same ids. The ledger counts their runs.
    """

    async def ask(self, kind: Kind) -> Try | None:
        """Send a batch; return its first request, or None if not connected."""
        amount = self._random.randint(*BATCHES)
        kinds = [kind, *(self._draw_kind() for _ in range(1, amount))]
        rest: list[_Sent] = []
        first: Try | None = None
        while kinds or rest:
            if self._caller is None and not await self._connect():
                await asyncio.sleep(1 / amount)
                if self._is_over():
                    return first
                continue
            rest = rest or [self._begin(one) for one in kinds]
            kinds = []
            first = first or rest[0].made
            rest = await self._send_all(rest)
        return first

    def _draw_kind(self) -> Kind:
        if self._random.random() < ONCE_SHARE:
            return Kind.once
        return self._random.choice((Kind.safe, Kind.divided))

    def _begin(self, kind: Kind) -> _Sent:
        name = f'{self._name}-{next(self._numbers)}'
        made = self._ledger.begin(name, kind, self._gateway_name)
        return _Sent(made, str(self._random.randrange(KEYS)))

    async def _send_all(self, batch: list[_Sent]) -> list[_Sent]:
        """Send a batch; return the requests behind an answer that closes."""
        caller = self._caller
        assert caller is not None
        for one in batch:
            one.made.gateway = self._gateway_name
        sending = asyncio.ensure_future(self._write(caller, batch))
        try:
            for number, one in enumerate(batch, 1):
                async with asyncio.timeout(REQUEST_TIMEOUT_SECONDS):
                    answer = await caller.answer()
                one.made.ended_at = time.monotonic()
                one.made.status = answer.status
                one.made.body = answer.body.decode()
                if not answer.status:
                    self._drop()
                    return []
                if answer.headers.get('connection') == 'close':
                    self._drop()
                    return batch[number:]
        except (TimeoutError, ConnectionError):
            self._drop()
        finally:
            sending.cancel()
        return []

    async def _write(self, caller: Caller, batch: list[_Sent]) -> None:
        for one in batch:
            kind = one.made.kind
            closes = self._random.random() < CLOSE_SHARE
            fields = {'Connection': 'close'} if closes else {}
            try:
                await caller.send(
                    TARGETS[kind],
                    'POST',
                    SMALL_BODY,
                    one.made.request_id,
                    one.key,
                    **fields,
                )
            except ConnectionError:
                # The connection has closed; the answers show what has run.
                return
