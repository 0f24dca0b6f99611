"""Endpoints that one request ends, which comes again."""

import asyncio
import time

from endpoints import Endpoint

DEADLY = '/order/deadly'
BACK_SECONDS = 3.0


class Mortal(Endpoint):
    """An endpoint that ends some time after it has begun the deadly request."""

    deaths = []
    restarts = []
    delay = 0.0

    async def handle(self, head, body, reader, writer):
        if head[':target'] != DEADLY:
            await super().handle(head, body, reader, writer)
            return
        attempt = head['wardstair-attempt-id']
        self.note_run(attempt, head)
        self.restarts.append(asyncio.ensure_future(self.end(attempt)))
        # It works on; only its end ends the request.
        await asyncio.sleep(self.delay + 1)

    async def end(self, attempt):
        """End, and start again under the same id after a while."""
        await asyncio.sleep(self.delay)
        self.deaths.append((time.monotonic(), attempt, self.name))
        self._record.note('ended', endpoint=self.name, by=attempt)
        port = self.port
        self._beating.cancel()
        self._server.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.sleep(BACK_SECONDS)
        self._born = int(time.time() * 1000)
        self._sequence = 0
        await self.start(port)
        self._record.note('started-again', endpoint=self.name)
