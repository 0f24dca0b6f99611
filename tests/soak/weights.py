"""Checks that a split route follows its weights while no fault is active."""

import asyncio
import time
from collections import Counter
from collections.abc import Mapping

from soak.ledger import Kind, Ledger

# Minimum number of requests for a meaningful share.
MIN_REQUESTS = 240
# Largest difference between a share and its weight.
TOLERANCE = 0.2
POLL_SECONDS = 0.1


class Scale:
    """Measures how requests are split from now on, under one version."""

    def __init__(self, ledger: Ledger, weights: Mapping[str, float]) -> None:
        """Start counting.

        Args:
            ledger: What callers and upstreams observed.
            weights: The weights in force.
        """
        self._ledger = ledger
        self._weights = weights
        self._begun_at = time.monotonic()

    async def wait(self, seconds: float) -> None:
        """Wait until enough requests are counted, at most some seconds."""
        end = time.monotonic() + seconds
        while self._count().total() < MIN_REQUESTS:
            if time.monotonic() > end:
                return
            await asyncio.sleep(POLL_SECONDS)

    def check(self) -> list[str]:
        """Return a description of each share that differs from its weight."""
        count = self._count()
        total = count.total()
        if total < MIN_REQUESTS:
            return [f'only {total} requests of a split route were served']
        shares = {name: count[name] / total for name in self._weights}
        return [
            f'weights are not kept: {name} got {shares[name]:.2f} of {total} '
            f'requests, its weight says {wanted:.2f}'
            for name, wanted in self._wanted().items()
            if abs(shares[name] - wanted) > TOLERANCE
        ]

    def _wanted(self) -> dict[str, float]:
        whole = sum(self._weights.values())
        return {name: weight / whole for name, weight in self._weights.items()}

    def _count(self) -> Counter[str]:
        return Counter(
            one.runs[0].service
            for one in self._ledger.tries.values()
            if one.kind is Kind.divided
            and one.sent_at >= self._begun_at
            and one.runs
        )
