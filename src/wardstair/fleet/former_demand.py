"""What hosts admitted before they restarted, as others remember it.

A process that is killed forgets what it has admitted, but others have its last
report. They keep it for a window, pass it on to the hosts that hear them, and
so tell the new process as well.
"""

from collections import Counter
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from enum import IntEnum

# Time within which the relays of a zone that has restarted report for the first
# time. What is remembered twice in it is counted once.
SAME_RESTART_SECONDS = 1.5
# Time for which a part that others reserve for a silent host stays reserved.
RESERVED_SECONDS = 7200.0
_ZONE_PREFIX = '/'
Counts = Mapping[int, int]


def zone_key(zone: str) -> str:
    """Return the key of a zone, which no host has as its name."""
    return f'{_ZONE_PREFIX}{zone}'


class Memory(IntEnum):
    """What a host knows of the requests admitted in the window.

    Attributes:
        none: Only what it counted itself since its start.
        heard_of: The same, but another host knows more.
        whole: All that was admitted, including by its former process.
    """

    none = 0
    heard_of = 1
    whole = 2


@dataclass(frozen=True, slots=True)
class Former:
    """What a host or zone admitted before it restarted.

    Attributes:
        key: Name of the host, or key of the zone.
        run: Identifies the process that has started since.
        milliseconds: Time until these requests have left the window.
        counts: Requests admitted.
        reserved: Thousandths of each quota reserved for it, if it is silent.
    """

    key: str
    run: int
    milliseconds: int
    counts: Counts = field(default_factory=dict)
    reserved: Counts = field(default_factory=dict)

    @property
    def is_zone(self) -> bool:
        """Whether it is a zone."""
        return self.key.startswith(_ZONE_PREFIX)

    @property
    def size(self) -> int:
        """Number of counts that it holds."""
        return 1 + len(self.counts) + len(self.reserved)


@dataclass(slots=True)
class _Entry:
    """What is remembered of a host or zone.

    Attributes:
        run: Process that has started since.
        noted_at: When the entry was last added to.
        ends_at: When its requests have left the window.
        counts: Requests admitted.
    """

    run: int
    noted_at: float
    ends_at: float
    counts: Counts


@dataclass(slots=True)
class FormerDemand:
    """The former demand of hosts and zones that have restarted.

    Attributes:
        clock: Monotonic time in seconds.
        window: Returns the length of the window of quotas in seconds.
        reserved: Parts of quotas that other hosts reserve for silent hosts and
            zones, and when that was last heard.
    """

    clock: Callable[[], float]
    window: Callable[[], float]
    reserved: dict[str, tuple[float, Counts]] = field(default_factory=dict)
    _entries: dict[str, _Entry] = field(default_factory=dict)

    @property
    def is_news(self) -> bool:
        """Whether something was remembered lately."""
        since = self.clock() - SAME_RESTART_SECONDS
        return any(one.noted_at > since for one in self._entries.values())

    def note_host(
        self, name: str, run: int, counts: Counts, heard_at: float
    ) -> None:
        """Remember the last report of a process that another has replaced.

        Args:
            name: Name of the host.
            run: Identifies the new process.
            counts: Requests that the former process admitted.
            heard_at: When that was heard, in monotonic seconds.
        """
        known = self._entries.get(name)
        is_known = known is not None and known.run == run
        self._note(name, run, counts, heard_at, is_known=is_known)

    def note_zone(
        self, zone: str, run: int, counts: Counts, heard_at: float
    ) -> None:
        """Remember the last report of a zone whose hosts have all restarted.

        Args:
            zone: Name of the zone.
            run: Identifies the process that reports for it now.
            counts: Requests that its former processes admitted.
            heard_at: When that was heard, in monotonic seconds.
        """
        key = zone_key(zone)
        known = self._entries.get(key)
        is_known = (
            known is not None
            and self.clock() - known.noted_at < SAME_RESTART_SECONDS
        )
        self._note(key, run, counts, heard_at, is_known=is_known)

    def merge(self, former: Former) -> None:
        """Adopt what another host remembers."""
        now = self.clock()
        if former.reserved:
            self.reserved[former.key] = (now, former.reserved)
        ends_at = now + former.milliseconds / 1000
        if not former.counts or ends_at <= now:
            return
        known = self._entries.get(former.key)
        if known is None:
            self._entries[former.key] = _Entry(
                former.run, now, ends_at, former.counts
            )
            return
        counts = _largest(known.counts, former.counts)
        if counts != known.counts:
            # Otherwise hosts would prolong it by the time that reports take.
            known.run = former.run
            known.ends_at = max(known.ends_at, ends_at)
            known.counts = counts

    def of(self, key: str) -> Counts:
        """Return what a host or zone admitted before it restarted."""
        known = self._entries.get(key)
        if known is None or known.ends_at <= self.clock():
            return {}
        return known.counts

    def totals(self, apart_from: str) -> Counter[int]:
        """Return the sum of all hosts and zones but one.

        Args:
            apart_from: Name of the host that is left out.
        """
        self._expire()
        total = Counter[int]()
        for key, entry in self._entries.items():
            if key != apart_from:
                total.update(entry.counts)
        return total

    def of_hosts(self) -> Counter[int]:
        """Return the sum of the hosts of this zone, including this one."""
        self._expire()
        total = Counter[int]()
        for key, entry in self._entries.items():
            if not key.startswith(_ZONE_PREFIX):
                total.update(entry.counts)
        return total

    def entries(self) -> Iterator[Former]:
        """Return what is remembered, for other hosts."""
        self._expire()
        now = self.clock()
        for key, entry in self._entries.items():
            milliseconds = round((entry.ends_at - now) * 1000)
            yield Former(key, entry.run, milliseconds, entry.counts)

    def _note(
        self,
        key: str,
        run: int,
        counts: Counts,
        heard_at: float,
        *,
        is_known: bool,
    ) -> None:
        now = self.clock()
        ends_at = heard_at + self.window()
        if ends_at <= now:
            return
        known = self._entries.get(key)
        if known is not None and known.ends_at > now:
            ends_at = max(ends_at, known.ends_at)
            if is_known:
                counts = _largest(known.counts, counts)
            else:
                counts = Counter(known.counts) + Counter(counts)
        if counts:
            self._entries[key] = _Entry(run, now, ends_at, counts)

    def _expire(self) -> None:
        now = self.clock()
        ended = [
            key for key, entry in self._entries.items() if entry.ends_at <= now
        ]
        for key in ended:
            self._entries.pop(key)
        old = [
            key
            for key, (heard_at, _) in self.reserved.items()
            if now - heard_at > RESERVED_SECONDS
        ]
        for key in old:
            self.reserved.pop(key)


def _largest(first: Counts, second: Counts) -> Counts:
    return Counter(first) | Counter(second)
