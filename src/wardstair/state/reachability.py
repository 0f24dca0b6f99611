"""Which upstreams this host can reach, according to its own requests.

A group of upstreams (all, those of a zone, those of a service) is unreachable
once several of its members have failed without an answer in between.
Reachability is suspect while answers have stopped arriving but the failures do
not yet prove a lost group.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from wardstair.decisions.reachability import (
    ALL,
    MIN_FAILURES,
    GroupReachability,
    NewConnectionReachability,
    ProbeTimes,
    SilenceDetector,
    lost_groups,
    outermost,
    probe_times,
    service_group,
    zone_group,
)
from wardstair.process.log import log_event, log_warning
from wardstair.state.catalog import Catalog
from wardstair.state.entries import UpstreamEntry
from wardstair.state.roles import ignore

# Contact period until the settings of the host are known.
DEFAULT_CONTACT_SECONDS = 2.0


@dataclass(slots=True)
class ReachabilityTable:
    """Reachability of upstreams from this host; one per process.

    Attributes:
        catalog: The upstreams.
        lost: Unreachable groups; only `ALL` if no upstream is reachable.
        is_suspect: Whether upstreams may have become unreachable just now.
        answers: Number of answers of upstreams so far.
        suspect_count: How often reachability has become suspect.
        opening: Results of new connections.
        times: Returns the times used for detection.
        on_suspect: Called when reachability becomes suspect.
        on_opening_suspect: Called when new connections become suspect.
        on_change: Called when `lost` has changed.
        on_regained: Called with the groups that are reachable again.
    """

    catalog: Catalog
    lost: frozenset[str] = frozenset()
    is_suspect: bool = False
    answers: int = 0
    suspect_count: int = 0
    opening: NewConnectionReachability = field(
        default_factory=NewConnectionReachability
    )
    times: Callable[[], ProbeTimes] = lambda: probe_times(
        DEFAULT_CONTACT_SECONDS
    )
    on_suspect: Callable[[], None] = ignore
    on_opening_suspect: Callable[[], None] = ignore
    on_change: Callable[[], None] = ignore
    on_regained: Callable[[frozenset[str]], None] = lambda _groups: None
    _watch: SilenceDetector = field(default_factory=SilenceDetector)
    _groups: dict[str, GroupReachability] = field(default_factory=dict)
    _groups_by_place: dict[tuple[str, str], tuple[GroupReachability, ...]] = (
        field(
            default_factory=dict,
        )
    )

    @property
    def is_sound(self) -> bool:
        """Whether all groups are reachable and none is suspect."""
        return not (self.lost or self.is_suspect)

    @property
    def is_cut_off(self) -> bool:
        """Whether no upstream at all is reachable."""
        return ALL in self.lost

    @property
    def reached_at(self) -> float:
        """Monotonic time of the last answer of any upstream."""
        return self._group(ALL).reached_at

    @property
    def silent_seconds(self) -> float:
        """Seconds since the last answer of any upstream."""
        return self.catalog.clock() - self.reached_at

    @property
    def has_failures(self) -> bool:
        """Whether several upstreams have failed without an answer between."""
        return len(self._group(ALL).failed) >= MIN_FAILURES

    @property
    def is_failing(self) -> bool:
        """Whether upstreams have failed for a while without any answer."""
        return self._group(ALL).is_suspected(self.catalog.clock())

    def looks_silent(self) -> bool:
        """Return whether answers seem to have stopped arriving."""
        self._watch.step(self.catalog.clock())
        if self.silent_seconds < self.times().silence:
            return False
        now = self.catalog.clock()
        waiting = [
            upstream
            for upstream in self.catalog.upstreams.values()
            if upstream.running
        ]
        if not waiting:
            return False
        overdue = sum(upstream.is_overdue(now) for upstream in waiting)
        return self._watch.is_unusual(self.silent_seconds, overdue)

    def may_reach(self, service: str) -> bool:
        """Return whether upstreams of a service may be reachable."""
        if self.is_sound:
            return True
        if self.is_suspect or ALL in self.lost:
            return False
        return service_group(service) not in self.lost

    def is_zone_lost(self, zone: str) -> bool:
        """Return whether no upstream of a zone is reachable."""
        return zone_group(zone) in self.lost

    def note_reached(self, entry: UpstreamEntry) -> None:
        """Record an answer of an upstream."""
        self.answers += 1
        self.is_suspect = False
        now = self.catalog.clock()
        self._watch.note_answer(now)
        for group in self._groups_of(entry):
            group.note_reached(now)
        if self.lost and not self.lost.isdisjoint(_names_of(entry)):
            self._update_lost()

    def note_failed(self, entry: UpstreamEntry) -> None:
        """Record a failed connection attempt or a broken exchange."""
        now = self.catalog.clock()
        may_be_lost = False
        for group in self._groups_of(entry):
            group.note_failed(entry.name, now)
            may_be_lost = may_be_lost or group.is_suspected(now)
        if not may_be_lost or self.is_cut_off:
            return
        if self._group(ALL).is_suspected(now):
            self.mark_suspect('failures')
        self._update_lost()

    def may_open(self, entry: UpstreamEntry) -> bool:
        """Return whether a request may use a new connection."""
        opening = self.opening
        return opening.is_sound or opening.may_open(_names_of(entry))

    def note_opened(self, entry: UpstreamEntry) -> None:
        """Record the first answer on a new connection."""
        was_sound = self.opening.is_sound
        self.opening.note_answered(_names_of(entry), self.catalog.clock())
        if not was_sound:
            self._update_opening()

    def note_unopened(self, entry: UpstreamEntry) -> None:
        """Record a connection that ended before its first answer."""
        now = self.catalog.clock()
        opening = self.opening
        if not opening.note_failed(entry.name, _names_of(entry), now):
            return
        self._update_opening()
        if opening.mark_suspect():
            log_event('opening-doubted', upstream=entry.name)
            self.on_opening_suspect()

    def clear_opening_suspect(self) -> None:
        """Record that upstreams were probed on new connections."""
        self.opening.is_suspect = False

    def mark_suspect(self, reason: str) -> None:
        """Record that possibly no upstream is reachable.

        Args:
            reason: The reason, for the log.
        """
        if self.is_suspect or self.is_cut_off:
            return
        self.is_suspect = True
        self.suspect_count += 1
        log_event(
            'reach-doubted',
            reason=reason,
            silent=round(self.silent_seconds, 3),
            failed=','.join(sorted(self._group(ALL).failed)),
        )
        self.on_suspect()

    def clear_suspect(self) -> None:
        """Record that no evidence confirmed the suspicion."""
        self.is_suspect = False

    def refresh(self) -> None:
        """Update the groups after upstreams have left the catalog."""
        self._update_lost()
        self._update_opening()

    def members_of(self, group: str) -> list[UpstreamEntry]:
        """Return the upstreams of a group that accept work."""
        return [
            entry
            for entry in self.catalog.in_service
            if group in _names_of(entry)
        ]

    def _group(self, name: str) -> GroupReachability:
        return self._groups.setdefault(name, GroupReachability())

    def _groups_of(self, entry: UpstreamEntry) -> tuple[GroupReachability, ...]:
        place = (entry.zone, entry.service)
        known = self._groups_by_place.get(place)
        if known is None:
            known = tuple(self._group(name) for name in _names_of(entry))
            self._groups_by_place[place] = known
        return known

    def _update_lost(self) -> None:
        """Determine which groups are lost and report changes."""
        before = self.lost
        self.lost = self._lost_now()
        if self.lost == before:
            return
        if self.is_cut_off:
            self.is_suspect = False
        log_warning(
            'reach-changed',
            lost=','.join(sorted(self.lost)),
            before=','.join(sorted(before)),
        )
        regained = before - self.lost
        if ALL in self.lost:
            regained = frozenset()
        if regained:
            self.on_regained(regained)
        self.on_change()

    def _update_opening(self) -> None:
        """Determine to which groups new connections fail."""
        before = self.opening.closed
        if self.opening.settle(self._members()):
            log_warning(
                'opening-changed',
                closed=','.join(sorted(self.opening.closed)),
                before=','.join(sorted(before)),
            )

    def _members(self) -> dict[str, tuple[str, ...]]:
        return {
            entry.name: _names_of(entry) for entry in self.catalog.in_service
        }

    def _lost_now(self) -> frozenset[str]:
        now = self.catalog.clock()
        members = self._members()
        lost = {
            name
            for name in lost_groups(self._groups, members)
            if self._groups[name].is_suspected(now)
        }
        # A single upstream cannot be compared with others, so its own failures
        # are enough.
        if len(members) == 1 and self._group(ALL).failed:
            lost.add(ALL)
        return outermost(lost)


def _names_of(entry: UpstreamEntry) -> tuple[str, ...]:
    return (ALL, zone_group(entry.zone), service_group(entry.service))
