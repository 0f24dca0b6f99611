"""Tracks this host's contact with the platform's store.

There is one object per process. While the store does not answer, one task
retries with increasing pauses and the others wait for its success, because
every call is charged, including refused ones.
"""

import asyncio
from collections.abc import Callable, Iterable
from random import Random

from wardstair.decisions.entry_expiry import (
    ContactPeriod,
    ExpiryTimes,
    are_entries_restored,
)
from wardstair.process.log import log_event, log_warning
from wardstair.state.catalog import RETURN_SECONDS
from wardstair.state.roles import ignore

FIRST_PAUSE_SECONDS = 0.2
MAX_PAUSE_SECONDS = 1.0


class StoreContact:
    """Contact with the store, shared by all tasks that call it.

    Attributes:
        is_lost: Whether a call has failed since the last answer.
        is_suspect: Whether a watch is late and no call has ended since.
        on_suspect: Called when `is_suspect` changes.
        heard_at: Monotonic time in seconds of the last answer, or None.
        era: Era of the store in its answers; 0 before the first one.
        restores: Number of restores of the store that were noticed.
        others: Returns the contact periods that other hosts reported.
        tolerated_outage_seconds: Returns for how many seconds the store may be
            unreachable without any entry expiring.
    """

    def __init__(self, clock: Callable[[], float], random: Random) -> None:
        """Initialize without contact.

        Args:
            clock: Monotonic time in seconds.
            random: Source of jitter.
        """
        self.is_lost = False
        self.is_suspect = False
        self.on_suspect: Callable[[], None] = ignore
        self.heard_at: float | None = None
        self.era = 0
        self.restores = 0
        self.others: Callable[[], Iterable[ContactPeriod]] = tuple
        self.tolerated_outage_seconds: Callable[[], float] = lambda: 0.0
        self._clock = clock
        self._random = random
        self._lost_at = 0.0
        self._contact_since = 0.0
        self._regained_at: float | None = None
        self._failures = 0
        self._is_retrying = False
        self._changed = asyncio.Event()
        self._answered = asyncio.Event()
        self._renewal: asyncio.Future[None] | None = None

    @property
    def was_lost_recently(self) -> bool:
        """Whether entries of running upstreams may have expired."""
        if self.is_lost:
            return True
        now = self._clock()
        regained_at = self._regained_at
        if regained_at is None or now - regained_at >= RETURN_SECONDS:
            return False
        times = ExpiryTimes(self.tolerated_outage_seconds(), RETURN_SECONDS)
        return not are_entries_restored(self.others(), times, now)

    @property
    def contact_period(self) -> ContactPeriod | None:
        """Period of uninterrupted contact up to the last answer, or None.

        Answers that are too far apart interrupt it, because the store may have
        been unreachable in between.
        """
        heard_at = self.heard_at
        if heard_at is None or self.is_lost:
            return None
        return ContactPeriod(self._contact_since, heard_at)

    @property
    def is_held(self) -> bool:
        """Whether the store has answered and no call has failed since."""
        return self.heard_at is not None and not self.is_lost

    async def wait_first_answer(self) -> None:
        """Wait for the first answer, which also shows the era if any."""
        await self._answered.wait()

    def next_renewal(self) -> 'asyncio.Future[None]':
        """Return a future that is done when watches are to be renewed.

        That is when contact is regained or becomes suspect, or when the store
        was restored. A watch that is waiting at that time may never be
        answered, so its caller waits for this future as well.
        """
        if self._renewal is None:
            self._renewal = asyncio.get_running_loop().create_future()
        return self._renewal

    def note_success(self) -> None:
        """Record an answer of the store."""
        now = self._clock()
        before = self.heard_at
        is_gap = (
            before is None or now - before > self.tolerated_outage_seconds()
        )
        if is_gap or self.is_lost:
            self._contact_since = now
        self.heard_at = now
        self._answered.set()
        self._clear_suspect()
        self._failures = 0
        self.pass_turn()
        if self.is_lost:
            self.is_lost = False
            if is_gap:
                # After a shorter outage no entry can have expired.
                self._regained_at = now
            away = round(now - self._lost_at, 2)
            log_event('store-regained', away=away)
            self.renew_watches()

    def note_late_watch(self) -> None:
        """Record that a watch is late, so that its connection may be broken.

        All watches are renewed, because their connections may be broken by the
        same cause.
        """
        if self.is_suspect or self.is_lost:
            return
        self.is_suspect = True
        self.renew_watches()
        self.on_suspect()

    def renew_watches(self) -> None:
        """Restart all waiting watches on new connections."""
        renewal = self._renewal
        self._renewal = None
        if renewal is not None and not renewal.done():
            renewal.set_result(None)

    def note_era(self, era: int) -> None:
        """Record that the store answered in a later era than before."""
        if self.era:
            self.restores += 1
            log_warning('store-restored', era=era, before=self.era)
        self.era = era
        # Ends watches of the previous era, including those on connections that
        # broke silently.
        self.renew_watches()

    def note_failure(self, reason: str) -> None:
        """Record a failed call.

        Args:
            reason: The failure, for the log.
        """
        self._failures += 1
        self.pass_turn()
        if not self.is_lost:
            self.is_lost = True
            self._lost_at = self._clock()
            log_warning('store-lost', reason=reason)
        self._clear_suspect()

    async def wait_turn(self) -> None:
        """Wait until a call may be made: without delay while in contact."""
        while self.is_lost:
            if not self._is_retrying:
                self._is_retrying = True
                await asyncio.sleep(self._pause())
                return
            self._changed.clear()
            await self._changed.wait()

    def pass_turn(self) -> None:
        """Let another task retry, because the current one has ended."""
        self._is_retrying = False
        self._changed.set()

    def _clear_suspect(self) -> None:
        if self.is_suspect:
            self.is_suspect = False
            self.on_suspect()

    def _pause(self) -> float:
        backoff = FIRST_PAUSE_SECONDS * 2.0 ** max(0, self._failures - 1)
        jitter = self._random.uniform(0.8, 1.2)
        return min(backoff, MAX_PAUSE_SECONDS) * jitter
