"""Whether this host is in contact with the platform's store.

One object a process. While the store is away one task asks it again at a
growing pace, and the others wait for that task's success: each call is paid
for, refused ones included.
"""

import asyncio
from collections.abc import Callable, Iterable
from random import Random

from wardstair.decisions.lapses import ContactSpan, LapseTimes, are_entries_back
from wardstair.process.log import log_event, log_warning
from wardstair.state.catalog import RETURN_SECONDS
from wardstair.state.roles import ignore

FIRST_PAUSE_SECONDS = 0.2
LONGEST_PAUSE_SECONDS = 1.0


class StoreContact:
    """Contact with the store, shared by all tasks that call it.

    Attributes:
        is_lost: Whether the store has failed to answer since it last did.
        is_suspect: Whether a watch is late, and no answer has come since.
        on_suspect: Called when a doubt begins or ends.
    """

    def __init__(self, clock: Callable[[], float], random: Random) -> None:
        """Begin without contact.

        Args:
            clock: Monotonic time in seconds.
            random: Source of jitter.
        """
        self.is_lost = False
        self.is_suspect = False
        self.on_suspect: Callable[[], None] = ignore
        self.heard_at: float | None = None
        # Era of the store as its answers tell it; 0 before the first.
        self.era = 0
        self.restores = 0
        # Contact of other hosts, as they told it.
        self.others: Callable[[], Iterable[ContactSpan]] = tuple
        # Returns for how long the store may be away without an entry lapsing.
        self.tolerated_outage_seconds: Callable[[], float] = lambda: 0.0
        self._clock = clock
        self._random = random
        self._lost_at = 0.0
        self._held_since = 0.0
        self._back_at: float | None = None
        self._failures = 0
        self._is_asked = False
        self._changed = asyncio.Event()
        self._answered = asyncio.Event()
        self._regained: asyncio.Future[None] | None = None

    @property
    def was_lost_recently(self) -> bool:
        """Whether entries may have lapsed though their upstreams live."""
        if self.is_lost:
            return True
        now = self._clock()
        back_at = self._back_at
        if back_at is None or now - back_at >= RETURN_SECONDS:
            return False
        times = LapseTimes(self.tolerated_outage_seconds(), RETURN_SECONDS)
        return not are_entries_back(self.others(), times, now)

    @property
    def contact_period(self) -> ContactSpan | None:
        """Time of uninterrupted contact up to the last answer, if there is any.

        Answers too far apart interrupt it: nobody knows what was between.
        """
        heard_at = self.heard_at
        if heard_at is None or self.is_lost:
            return None
        return ContactSpan(self._held_since, heard_at)

    @property
    def is_held(self) -> bool:
        """Whether the store answered and has not failed since."""
        return self.heard_at is not None and not self.is_lost

    async def wait_first_answer(self) -> None:
        """Wait until the store has answered, and its era, if any, is known."""
        await self._answered.wait()

    def next_regain(self) -> 'asyncio.Future[None]':
        """Return a future that ends when watches are to be renewed.

        That is when contact is regained or doubted, or the store was restored.
        A watch that was waiting then may never be answered, so whoever waits
        for one waits for this as well.
        """
        if self._regained is None:
            self._regained = asyncio.get_running_loop().create_future()
        return self._regained

    def note_success(self) -> None:
        """Note that the store answered."""
        now = self._clock()
        before = self.heard_at
        is_gap = (
            before is None or now - before > self.tolerated_outage_seconds()
        )
        if is_gap or self.is_lost:
            self._held_since = now
        self.heard_at = now
        self._answered.set()
        self._end_doubt()
        self._failures = 0
        self.pass_turn()
        if self.is_lost:
            self.is_lost = False
            if is_gap:
                # Away for less, no entry can have lapsed.
                self._back_at = now
            away = round(now - self._lost_at, 2)
            log_event('store-regained', away=away)
            self.renew_watches()

    def note_late_watch(self) -> None:
        """Note that a watch is late: its connection may carry nothing more.

        All watches are renewed, as whatever ended one may have ended others.
        """
        if self.is_suspect or self.is_lost:
            return
        self.is_suspect = True
        self.renew_watches()
        self.on_suspect()

    def renew_watches(self) -> None:
        """Have all waiting watches begin anew on new connections."""
        regained = self._regained
        self._regained = None
        if regained is not None and not regained.done():
            regained.set_result(None)

    def note_era(self, era: int) -> None:
        """Note that the store answered in a later era than before."""
        if self.era:
            self.restores += 1
            log_warning('store-restored', era=era, before=self.era)
        self.era = era
        # Watches of the era before end, also those that were cut silently.
        self.renew_watches()

    def note_failure(self, reason: str) -> None:
        """Note that the store did not answer as it should."""
        self._failures += 1
        self.pass_turn()
        if not self.is_lost:
            self.is_lost = True
            self._lost_at = self._clock()
            log_warning('store-lost', reason=reason)
        self._end_doubt()

    async def wait_turn(self) -> None:
        """Wait until a call may be made: at once while there is contact."""
        while self.is_lost:
            if not self._is_asked:
                self._is_asked = True
                await asyncio.sleep(self._pause())
                return
            self._changed.clear()
            await self._changed.wait()

    def pass_turn(self) -> None:
        """Let another task ask, since this one has ended."""
        self._is_asked = False
        self._changed.set()

    def _end_doubt(self) -> None:
        if self.is_suspect:
            self.is_suspect = False
            self.on_suspect()

    def _pause(self) -> float:
        grown = FIRST_PAUSE_SECONDS * 2.0 ** max(0, self._failures - 1)
        spread = self._random.uniform(0.8, 1.2)
        return min(grown, LONGEST_PAUSE_SECONDS) * spread
