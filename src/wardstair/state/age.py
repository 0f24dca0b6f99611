"""Tracks the age of this host's state relative to the platform's store."""

from collections.abc import Callable, Iterable

from wardstair.decisions.state_age import MAX_HOPS, ReportedAge
from wardstair.state.revision import NO_REVISION, Revision
from wardstair.state.roles import ignore

# Delay of the event loop from which received reports count as older, because
# they may have waited in a socket buffer.
LATE_SECONDS = 0.1
# Smaller gains are not announced: transit times differ by as much.
MIN_GAIN_SECONDS = 0.1
# Time after a stall of the event loop during which received reports may have
# waited in a socket buffer.
BACKLOG_SECONDS = 0.2


class StateAge:
    """The age of this host's state; one object per process.

    A state of age `a` contains all writes that the store had acknowledged `a`
    seconds ago.

    Attributes:
        on_fresh: Called when the state is known to be newer than before.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        kinds: Iterable[str],
    ) -> None:
        """Initialize with a state that is not known to be complete.

        Args:
            clock: Monotonic time in seconds.
            kinds: The kinds of objects that make up the state.
        """
        self.on_fresh: Callable[[], None] = ignore
        self._clock = clock
        now = clock()
        # Monotonic times up to which each kind is complete, by the maximum
        # number of hops from the store. Until a report arrives, the age counts
        # from the start of the process.
        self._complete_times = {
            kind: [now for _ in range(MAX_HOPS + 1)] for kind in kinds
        }
        self._known = set[str]()
        # Revision of the store up to which each kind is completely known.
        self._complete_to = dict.fromkeys(self._complete_times, NO_REVISION)
        self._ticked_at = now
        self._backlog_until = float('-inf')
        self._stall_seconds = 0.0

    @property
    def seconds(self) -> float:
        """Age of the state in seconds."""
        return self._clock() - self._complete_at(MAX_HOPS)

    @property
    def reportable(self) -> ReportedAge | None:
        """Age to report to other hosts; None while it is not known."""
        if len(self._known) < len(self._complete_times):
            return None
        moment, hops = max(
            (self._complete_at(hops), -hops) for hops in range(MAX_HOPS)
        )
        return ReportedAge(self._clock() - moment, -hops)

    def note_read(self, kind: str, revision: Revision, moment: float) -> None:
        """Record an answer of the store about one kind.

        Another kind that is completely known up to the same revision is
        complete at that time as well, because nothing has changed since.

        Args:
            kind: The kind.
            revision: The store's revision, up to which the answer is complete.
            moment: Monotonic time in seconds up to which it is complete.
        """
        self._complete_to[kind] = max(self._complete_to[kind], revision)
        before = self._complete_at(MAX_HOPS)
        for other, known in self._complete_to.items():
            if known >= revision:
                self._set(other, moment, 0)
        self._note_gain(before)

    def note_reported(
        self, reported: ReportedAge, asked_at: float | None = None
    ) -> None:
        """Record that this host has all the state of another host.

        Args:
            reported: Age of the other host's state, including the transit time
                if it arrived unrequested.
            asked_at: Monotonic time in seconds at which this host requested
                it; None if it arrived unrequested.
        """
        hops = reported.hops + 1
        if hops > MAX_HOPS:
            return
        before = self._complete_at(MAX_HOPS)
        moment = (
            self._clock() - self._max_wait() if asked_at is None else asked_at
        )
        for kind in self._complete_times:
            self._set(kind, moment - reported.seconds, hops)
        self._note_gain(before)

    def tick(self, period: float) -> None:
        """Detect stalls of the event loop; to be called periodically.

        A report that is read after a stall may have waited as long as the
        stall lasted.

        Args:
            period: Seconds between two calls.
        """
        now = self._clock()
        late = now - self._ticked_at - period
        if late > LATE_SECONDS:
            self._stall_seconds = late
            self._backlog_until = now + BACKLOG_SECONDS
        self._ticked_at = now

    def _max_wait(self) -> float:
        """Return how long a report read now may have waited, in seconds."""
        now = self._clock()
        since_tick = now - self._ticked_at
        stall = self._stall_seconds if now < self._backlog_until else 0.0
        return max(since_tick if since_tick > LATE_SECONDS else 0.0, stall)

    def _complete_at(self, hops: int) -> float:
        """Return the time up to which all kinds are complete.

        Args:
            hops: Maximum number of hops from the store.
        """
        return min(times[hops] for times in self._complete_times.values())

    def _set(self, kind: str, moment: float, hops: int) -> None:
        """Record that a kind is complete up to a time, after some hops."""
        self._known.add(kind)
        times = self._complete_times[kind]
        for max_hops in range(hops, MAX_HOPS + 1):
            times[max_hops] = max(times[max_hops], moment)

    def _note_gain(self, before: float) -> None:
        """Call `on_fresh` if the state is known to be newer than before."""
        if self._complete_at(MAX_HOPS) - before >= MIN_GAIN_SECONDS:
            self.on_fresh()
