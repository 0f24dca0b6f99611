"""The upstreams that this host knows, and what it has seen of each.

One table a process. Entries come from the platform's store or from other
entry hosts; load, latency and failures come from this host's own requests.
"""

import math
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace

from wardstair.decisions.warmth import WarmKeys
from wardstair.process.log import log_event
from wardstair.state.entries import UpstreamEntry, UpstreamPhase

# Entries that vanish while the store is away are back this long after its
# return if the upstream lives; the operators state about two seconds.
RETURN_SECONDS = 2.0
# A load report tells little about the present after this long.
REPORT_SECONDS = 1.5
LATENCY_SHARE = 0.15
# After this long without an answer, half of what made it look slow is gone.
SLOWNESS_HALF_SECONDS = 2.0
LEAST_SLOWNESS = 0.8
# Longest work is some three times the mean.
OVERDUE_RATIO = 3.0
# Averaged time beside the usual from which an upstream is left out.
EJECT_SLOWNESS = 2.5
EJECT_SECONDS = 2.0
MOST_EJECT_FACTOR = 4
# One that was not slow for this long starts anew.
FORGIVEN_SECONDS = 6.0
LEAST_EXPECTED_SECONDS = 0.05
_FIRST_DISTRUST_SECONDS = 0.5
_LONGEST_DISTRUST_SECONDS = 4.0
# Removed upstreams that are remembered for hosts that ask what has changed; one
# that asks from further back gets the whole list.
MOST_REMOVED = 512


@dataclass(slots=True)
class Upstream:
    """One run of an upstream as this host sees it.

    Attributes:
        entry: What it registered.
        cold_until: Monotonic time until which it is cold.
        gone_at: When its entry was deleted, or None.
        told: Load it told last: running and waiting.
        told_own: This host's requests at it when it told that.
        told_at: When it told that.
        slowness: Its time beside what was expected, averaged.
        distrusted_until: Monotonic time until which it is avoided.
        failures: Failures in a row.
        slowness_at: When that was last measured.
        ejected_until: Monotonic time until which it is left out as slow.
        ejections: How often that happened in a row.
        running: Start and expected seconds of this host's requests at it, in
            the order they were sent.
        warm: Keys that it has answered lately.
        has_ended: Whether another upstream answered at its address; its
            entry may stay for a while and does not bring it back.
    """

    entry: UpstreamEntry
    cold_until: float = 0.0
    gone_at: float | None = None
    told: int = 0
    told_own: int = 0
    told_at: float = float('-inf')
    slowness: float = 1.0
    distrusted_until: float = 0.0
    failures: int = 0
    slowness_at: float = 0.0
    ejected_until: float = 0.0
    ejections: int = 0
    running: dict[int, tuple[float, float]] = field(default_factory=dict)
    warm: WarmKeys = field(default_factory=WarmKeys)
    has_ended: bool = False

    @property
    def name(self) -> str:
        """Names this run of the upstream."""
        return self.entry.name

    @property
    def own(self) -> int:
        """Requests of this host at it now."""
        return len(self.running)

    @property
    def takes_work(self) -> bool:
        """Whether it is registered and not leaving."""
        is_ready = self.entry.phase is UpstreamPhase.ready
        return is_ready and self.gone_at is None

    def is_cold(self, now: float) -> bool:
        """Return whether it bears only a bounded rate now."""
        return now < self.cold_until

    def is_avoided(self, now: float) -> bool:
        """Return whether it failed lately or is far slower than others."""
        if now < self.distrusted_until or now < self.ejected_until:
            return True
        return self._waiting_ratio(now) > 0

    def state_now(self, now: float) -> str:
        """Return its state in one word, for people and metrics."""
        if self.gone_at is not None:
            return 'gone'
        if self.entry.phase is UpstreamPhase.draining:
            return 'draining'
        if self.is_cold(now):
            return 'cold'
        return 'avoided' if self.is_avoided(now) else 'ready'

    def load(self, now: float) -> float:
        """Return the requests that are probably at it now, of all hosts."""
        age = now - self.told_at
        if age >= REPORT_SECONDS:
            return float(self.own)
        freshness = 1 - age / REPORT_SECONDS
        others = max(0, self.told - self.told_own) * freshness
        return others + self.own

    def note_load(self, running_and_waiting: int, now: float) -> None:
        """Take in a load report; this host's answered request is over."""
        self.told = running_and_waiting
        self.told_own = self.own
        self.told_at = now

    def slowness_now(self, now: float) -> float:
        """Return its time beside the usual; old figures count for less.

        An upstream that looks slow gets little, so its figure would stay for
        good if it did not fade: after a while it is tried again.
        """
        age = max(0.0, now - self.slowness_at)
        kept = math.exp2(-age / SLOWNESS_HALF_SECONDS)
        faded = 1 + (self.slowness - 1) * kept
        waiting = self._waiting_ratio(now)
        return max(faded, waiting, LEAST_SLOWNESS)

    def note_answer(self) -> None:
        """Take in an answer whose time tells nothing."""
        self.failures = 0
        self.distrusted_until = 0.0

    def note_success(self, ratio: float, now: float) -> None:
        """Take in an answer.

        Args:
            ratio: Its time beside the time that was expected.
            now: Monotonic time in seconds.
        """
        self.note_answer()
        self.slowness += LATENCY_SHARE * (ratio - self.slowness)
        self.slowness_at = now
        if self.slowness >= EJECT_SLOWNESS and now >= self.ejected_until:
            self._eject(now)

    def _waiting_ratio(self, now: float) -> float:
        """Return how overdue its oldest request is, beside what is usual."""
        if not self.running:
            return 0.0
        started, expected = next(iter(self.running.values()))
        overdue = (now - started) / max(expected, LEAST_EXPECTED_SECONDS)
        # A single long request is nothing; work differs from one to another.
        return overdue if overdue > OVERDUE_RATIO else 0.0

    def _eject(self, now: float) -> None:
        """Leave it out for a while; longer each time it comes back slow."""
        if now - self.ejected_until > FORGIVEN_SECONDS:
            self.ejections = 0
        self.ejections += 1
        seconds = EJECT_SECONDS * min(self.ejections, MOST_EJECT_FACTOR)
        log_event(
            'upstream-ejected',
            upstream=self.name,
            service=self.entry.service,
            slowness=round(self.slowness, 2),
            seconds=seconds,
        )
        self.ejected_until = now + seconds
        # When it is back it is judged by what it does then.
        self.slowness = 1.0

    def note_failure(self, now: float) -> float:
        """Take in a failure; return for how long it is avoided, seconds."""
        self.failures += 1
        seconds = min(
            _FIRST_DISTRUST_SECONDS * 2.0 ** (self.failures - 1),
            _LONGEST_DISTRUST_SECONDS,
        )
        self.distrusted_until = now + seconds
        return seconds


@dataclass(frozen=True, slots=True)
class CatalogChanges:
    """What has changed since a revision, for a host that is behind.

    Attributes:
        since: Revision from which on it tells; 0 for the whole list.
        revision: Revision up to which it tells.
        entries: Entries that are new or have changed.
        removed: Names of those that are gone.
        missing: Seconds that are left for entries which vanished while the
            store was away to come back, by name.
    """

    since: int
    revision: int
    entries: tuple[UpstreamEntry, ...]
    removed: tuple[str, ...] = ()
    missing: Mapping[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class Catalog:
    """All upstreams by name, with the store's revision.

    Attributes:
        clock: Monotonic time in seconds.
        revision: Revision of the store up to which changes are in.
        upstreams: By name; those leaving stay until they are forgotten.
        generation: Grows when the upstreams that take work change.
    """

    clock: Callable[[], float]
    revision: int = 0
    upstreams: dict[str, Upstream] = field(default_factory=dict)
    generation: int = 0
    _missing: dict[str, float] = field(default_factory=dict)
    _by_service: dict[str, list[Upstream]] = field(default_factory=dict)
    # Names with the revision up to which they had been removed, oldest first,
    # and the revision from which on that is complete.
    _removed: deque[tuple[int, str]] = field(default_factory=deque)
    _removed_from: int = 0

    def of_service(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service that take work."""
        return self._by_service.get(service, [])

    def changes_since(self, revision: int) -> CatalogChanges:
        """Return what a host lacks that knows everything up to a revision."""
        now = self.clock()
        since = revision if revision >= self._removed_from else 0
        changed = [
            _with_cold(upstream.entry, max(0.0, upstream.cold_until - now))
            for upstream in self.upstreams.values()
            if upstream.gone_at is None and upstream.entry.revision >= since
        ]
        present = {entry.name for entry in changed}
        # One that has come back since is told by its entry.
        removed = {name for at, name in self._removed if at >= since} - present
        return CatalogChanges(
            since,
            self.revision,
            tuple(changed),
            tuple(sorted(removed)) if since else (),
            {name: end - now for name, end in self._missing.items()},
        )

    def take_over(self, changes: CatalogChanges) -> bool:
        """Take in what another host has told.

        Returns:
            Whether it fits: changes that begin after what this host knows
            would leave a gap.
        """
        if changes.since > self.revision:
            return False
        if changes.since:
            self.apply(
                changes.entries,
                changes.removed,
                changes.revision,
                store_was_away=False,
            )
        else:
            self.replace_all(
                changes.entries,
                changes.revision,
                store_was_away=False,
            )
        now = self.clock()
        for name, seconds in changes.missing.items():
            upstream = self.upstreams.get(name)
            if upstream is not None and upstream.gone_at is None:
                self._missing.setdefault(name, now + seconds)
        return True

    def replace_all(
        self,
        entries: Iterable[UpstreamEntry],
        revision: int,
        *,
        store_was_away: bool,
    ) -> None:
        """Take in a whole listing.

        Args:
            entries: All entries.
            revision: The store's revision of the listing.
            store_was_away: Whether entries may have lapsed meanwhile though
                their upstreams live.
        """
        listed = {entry.name: entry for entry in entries}
        for entry in listed.values():
            self._put(entry)
        if not self.revision:
            # What was removed before is not known.
            self._removed_from = revision
        self.revision = revision
        for name in self.upstreams.keys() - listed.keys():
            self.remove(name, store_was_away=store_was_away)
        self._index()

    def apply(
        self,
        changed: Iterable[UpstreamEntry],
        deleted: Iterable[str],
        revision: int,
        *,
        store_was_away: bool,
    ) -> None:
        """Take in changes since the last revision."""
        self.revision = revision
        for entry in changed:
            self._put(entry)
        for name in deleted:
            self.remove(name, store_was_away=store_was_away)
        self._index()

    def remove(self, name: str, *, store_was_away: bool) -> None:
        """Note that an entry is not there any more."""
        upstream = self.upstreams.get(name)
        if upstream is None or upstream.gone_at is not None:
            return
        now = self.clock()
        if store_was_away and name not in self._missing:
            self._missing[name] = now + RETURN_SECONDS
            log_event('upstream-missing', upstream=name, wait=RETURN_SECONDS)
            return
        if not store_was_away:
            self._forget(upstream, now)

    def expire_missing(self) -> None:
        """Take upstreams as gone that did not come back in time."""
        now = self.clock()
        late = [name for name, end in self._missing.items() if end <= now]
        for name in late:
            self._forget(self.upstreams[name], now)
        self.upstreams = {
            name: upstream
            for name, upstream in self.upstreams.items()
            if upstream.gone_at is None or upstream.own
        }
        if late:
            self._index()

    def mark_gone(self, name: str) -> None:
        """Note that another upstream has taken over an address."""
        upstream = self.upstreams.get(name)
        if upstream is None or upstream.has_ended:
            return
        upstream.has_ended = True
        self._forget(upstream, self.clock())
        self._index()

    def mark_cold(self, zone: str, seconds_of: Callable[[str], float]) -> None:
        """Treat a zone's upstreams as cold, after it was evacuated.

        Args:
            zone: The availability zone.
            seconds_of: Cold time of a service by its name, in seconds.
        """
        now = self.clock()
        for upstream in self.upstreams.values():
            if upstream.entry.zone == zone:
                end = now + seconds_of(upstream.entry.service)
                upstream.cold_until = max(upstream.cold_until, end)

    def _put(self, entry: UpstreamEntry) -> None:
        now = self.clock()
        self._missing.pop(entry.name, None)
        known = self.upstreams.get(entry.name)
        is_new = known is None
        if known is None:
            known = Upstream(entry)
            self.upstreams[entry.name] = known
        if not known.has_ended:
            known.gone_at = None
        if is_new or known.entry.phase is not entry.phase:
            log_event(
                'upstream-changed',
                upstream=entry.name,
                service=entry.service,
                zone=entry.zone,
                phase=entry.phase,
                cold=entry.cold_seconds,
            )
        known.entry = entry
        if entry.cold_seconds > 0:
            known.cold_until = max(known.cold_until, now + entry.cold_seconds)

    def _forget(self, upstream: Upstream, now: float) -> None:
        self._missing.pop(upstream.name, None)
        upstream.gone_at = now
        self._removed.append((self.revision, upstream.name))
        if len(self._removed) > MOST_REMOVED:
            at, _ = self._removed.popleft()
            self._removed_from = at + 1
        log_event(
            'upstream-gone',
            upstream=upstream.name,
            service=upstream.entry.service,
            in_flight=upstream.own,
        )

    def _index(self) -> None:
        self.generation += 1
        self._by_service = {}
        for upstream in self.upstreams.values():
            if upstream.takes_work:
                service = upstream.entry.service
                self._by_service.setdefault(service, []).append(upstream)


def _with_cold(entry: UpstreamEntry, seconds: float) -> UpstreamEntry:
    return replace(entry, cold_seconds=seconds)
