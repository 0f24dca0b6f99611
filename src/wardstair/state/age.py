"""Up to which moment this host knows all that the store had acknowledged."""

from collections.abc import Callable, Iterable

from wardstair.decisions.state_age import MOST_HOPS, ToldAge
from wardstair.state.revision import NO_REVISION, Revision
from wardstair.state.roles import ignore

# The loop looks at the time this much later than meant before what waited for
# it counts as older.
LATE_SECONDS = 0.1
# Less is no news: ways differ by as much.
LEAST_GAIN_SECONDS = 0.1
# For which time after it stood still a host takes in what waited meanwhile.
WAITED_SECONDS = 0.2


class StateAge:
    """The age of this host's state; one object a process.

    Attributes:
        on_fresh: Called when the state is known to be newer than before.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        kinds: Iterable[str],
    ) -> None:
        """Begin with a state that is not known to be complete at all.

        Args:
            clock: Monotonic time in seconds.
            kinds: The kinds of objects that make up the state.
        """
        self.on_fresh: Callable[[], None] = ignore
        self._clock = clock
        now = clock()
        # Moments up to which each kind is complete, by hops since the store was
        # read. Until something is known, the age counts from the start.
        self._moments = {
            kind: [now for _ in range(MOST_HOPS + 1)] for kind in kinds
        }
        self._known = set[str]()
        # Revision of the store up to which all of a kind is known.
        self._complete_to = dict.fromkeys(self._moments, NO_REVISION)
        self._looked_at = now
        self._stood_until = float('-inf')
        self._stood_seconds = 0.0

    @property
    def seconds(self) -> float:
        """Age of the state: nothing acknowledged before that is missing."""
        return self._clock() - self._complete_at(MOST_HOPS)

    @property
    def reportable(self) -> ToldAge | None:
        """Age to tell other hosts; None while it is not known."""
        if len(self._known) < len(self._moments):
            return None
        moment, hops = max(
            (self._complete_at(hops), -hops) for hops in range(MOST_HOPS)
        )
        return ToldAge(self._clock() - moment, -hops)

    def note_read(self, kind: str, revision: Revision, moment: float) -> None:
        """Note an answer of the store about one kind.

        Another kind of which all is known up to the same revision is complete
        as well: nothing has changed since.

        Args:
            kind: The kind.
            revision: The store's revision, up to which the answer is complete.
            moment: Monotonic time in seconds up to which it is complete.
        """
        self._complete_to[kind] = max(self._complete_to[kind], revision)
        before = self._complete_at(MOST_HOPS)
        for other, known in self._complete_to.items():
            if known >= revision:
                self._set(other, moment, 0)
        self._note_gain(before)

    def note_reported(
        self, told: ToldAge, asked_at: float | None = None
    ) -> None:
        """Note that this host knows all that another one does.

        Args:
            reportable: Age of the other host's state, with the way here.
            asked_at: When this host had asked for it; None if it came unasked.
        """
        hops = told.hops + 1
        if hops > MOST_HOPS:
            return
        before = self._complete_at(MOST_HOPS)
        moment = (
            self._clock() - self._waited() if asked_at is None else asked_at
        )
        for kind in self._moments:
            self._set(kind, moment - told.seconds, hops)
        self._note_gain(before)

    def tick(self, period: float) -> None:
        """Note that the process runs; to be called all the time.

        What comes in after it stood still may have waited as long.

        Args:
            period: Seconds between two calls.
        """
        now = self._clock()
        late = now - self._looked_at - period
        if late > LATE_SECONDS:
            self._stood_seconds = late
            self._stood_until = now + WAITED_SECONDS
        self._looked_at = now

    def _waited(self) -> float:
        """Return how long what comes in now may have waited, in seconds."""
        now = self._clock()
        unseen = now - self._looked_at
        stood = self._stood_seconds if now < self._stood_until else 0.0
        return max(unseen if unseen > LATE_SECONDS else 0.0, stood)

    def _complete_at(self, hops: int) -> float:
        """Return the moment up to which all is known, over so many hops."""
        return min(moments[hops] for moments in self._moments.values())

    def _set(self, kind: str, moment: float, hops: int) -> None:
        """Note that a kind is complete up to a moment, over so many hops."""
        self._known.add(kind)
        moments = self._moments[kind]
        for most in range(hops, MOST_HOPS + 1):
            moments[most] = max(moments[most], moment)

    def _note_gain(self, before: float) -> None:
        """Have others told if the state is known to be newer than before."""
        if self._complete_at(MOST_HOPS) - before >= LEAST_GAIN_SECONDS:
            self.on_fresh()
