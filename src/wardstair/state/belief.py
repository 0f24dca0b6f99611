"""What this host holds to be true: configuration, evacuations, upstreams.

One object a process; whoever learns something newer hands it in here, and
here alone is decided what is newer.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from zlib import crc32

from wardstair.errors import ConfigurationError
from wardstair.fleet.heartbeats import Versions
from wardstair.fleet.sharing import SharedRestore
from wardstair.platform.objects import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    EVACUATION_KIND,
    UPSTREAM_KIND,
    StoredObject,
    decode_configuration,
)
from wardstair.process.log import log_event, log_warning
from wardstair.state.age import StateAge
from wardstair.state.catalog import Catalog, CatalogChanges
from wardstair.state.entries import UpstreamEntry
from wardstair.state.limits import LimitTable
from wardstair.state.notices import NoticeTable
from wardstair.state.reach import ReachTable
from wardstair.state.restoration import Restoration
from wardstair.state.revision import NO_REVISION, Revision
from wardstair.state.suspects import SuspectTable
from wardstair.version.steering import Steering

# Begin of the source of what another host has told.
OTHER_HOST = 'host:'
# What is followed for all hosts, and what the age of the state is of.
STEERING_KINDS = (CONFIGURATION_KIND, EVACUATION_KIND, UPSTREAM_KIND)


@dataclass(slots=True)
class Belief:
    """The state of one host.

    Attributes:
        clock: Monotonic time in seconds.
        catalog: The upstreams.
        steering: The configuration in force, or None.
        document: The stored object it was decoded from, for other hosts.
        adopted_at: When it was adopted.
        evacuated: Availability zones that get nothing, kept ones included.
        listed_zones: Those of them that the store lists.
        kept_zones: Those of them that a restored store lacks and the operator
            may write again.
        evacuations_revision: Revision of the set that the store lists.
        suspects: Requests that ended upstreams.
        limits: Limits that upstreams name.
        notices: What upstreams have said of further requests.
        on_steering: Called when a version is adopted.
        reach: Upstreams that this host reaches.
        age: Up to which moment all of this is known.
    """

    clock: Callable[[], float]
    catalog: Catalog
    steering: Steering | None = None
    document: StoredObject | None = None
    adopted_at: float = 0.0
    evacuated: frozenset[str] = frozenset()
    listed_zones: frozenset[str] = frozenset()
    kept_zones: frozenset[str] = frozenset()
    evacuations_revision: Revision = NO_REVISION
    suspects: SuspectTable = field(default_factory=SuspectTable)
    limits: LimitTable = field(default_factory=LimitTable)
    notices: NoticeTable = field(default_factory=NoticeTable)
    on_steering: Callable[[], None] = field(default=lambda: None)
    reach: ReachTable = field(init=False)
    age: StateAge = field(init=False)
    # Listed in this era and then not any more: ended, whoever keeps them.
    _ended_zones: frozenset[str] = frozenset()

    def __post_init__(self) -> None:
        """Begin with everything within reach."""
        self.reach = ReachTable(self.catalog)
        self.age = StateAge(self.clock, STEERING_KINDS)

    @property
    def has_quotas(self) -> bool:
        """Whether any organisation has a quota."""
        steering = self.steering
        return steering is not None and steering.organisations.has_quotas

    @property
    def restoration(self) -> Restoration:
        """The last restore of the store."""
        return self.catalog.restoration

    @property
    def versions(self) -> Versions:
        """How new the state is."""
        steering = self.steering
        return Versions(
            -1 if steering is None else steering.version,
            self.evacuations_revision,
            self.catalog.revision,
            self.suspects.digest,
            self.limits.digest,
            _digest_of(self.kept_zones),
        )

    def offer_configuration(self, stored: StoredObject, source: str) -> bool:
        """Adopt a stored configuration if it is newer and valid.

        Args:
            stored: The object.
            source: Where it came from, for the log.

        Returns:
            Whether it was adopted.
        """
        if stored.metadata.name != CONFIGURATION_NAME:
            return False
        try:
            steering = decode_configuration(stored)
        except ConfigurationError as error:
            log_warning(
                'configuration-rejected',
                source=source,
                revision=stored.revision,
                reason=error.message,
            )
            return False
        known = self.steering
        if known is not None and steering.version <= known.version:
            return False
        self.steering = steering
        self.document = stored
        self.adopted_at = self.clock()
        log_event(
            'configuration-adopted',
            version=steering.version,
            before=None if known is None else known.version,
            source=source,
            routes=len(steering.routes),
        )
        if steering.gaps:
            log_warning(
                'configuration-incomplete',
                version=steering.version,
                missing=','.join(steering.gaps),
            )
        self.on_steering()
        return True

    @property
    def shared_restore(self) -> SharedRestore | None:
        """What other hosts should know of a restore; None if there is none."""
        age = self.restoration.age
        if age is None or not self.restoration.is_recent:
            return None
        zones = tuple(sorted(self.kept_zones))
        return SharedRestore(self.restoration.era, age, zones)

    def set_evacuated(
        self,
        zones: Iterable[str],
        revision: Revision,
        source: str,
    ) -> bool:
        """Take in the zones that get nothing; return whether that is news.

        Args:
            zones: All that the store lists. After a restore those that it
                lacks are kept for a while.
            revision: Store revision of the set; older ones are ignored.
            source: Where it came from, for the log.
        """
        if revision < self.evacuations_revision:
            log_event(
                'news-ignored',
                kind=EVACUATION_KIND,
                revision=revision,
                known=self.evacuations_revision,
                source=source,
            )
            return False
        listed = frozenset(zones)
        known = self.evacuations_revision
        is_of_this_era = known != NO_REVISION and known.era == revision.era
        if is_of_this_era and listed == self.listed_zones:
            # The revision of the change stays, so that each reading does not
            # make this host look ahead of the others. What another host tells
            # is taken over: hosts that listed at different times agree then.
            if source.startswith(OTHER_HOST):
                self.evacuations_revision = revision
            return False
        self.evacuations_revision = revision
        self.restoration.enter(revision.era)
        if is_of_this_era:
            self._ended_zones |= self.listed_zones - listed
            kept = self.kept_zones - listed
        else:
            self._ended_zones = frozenset()
            kept = self.evacuated - listed
        self.listed_zones = listed
        if not self.restoration.is_recent:
            kept = frozenset()
        self._evacuate(kept, source)
        return True

    def keep_evacuated(self, zones: Iterable[str], era: int) -> None:
        """Keep zones that another host knew as evacuated before a restore.

        A host that starts after the restore reads the store without them.

        Args:
            zones: What the other host keeps.
            era: The era whose store lacks them.
        """
        is_of_this_era = era == self.evacuations_revision.era
        if not (is_of_this_era and self.restoration.is_recent):
            return
        settled = self.listed_zones | self._ended_zones
        kept = self.kept_zones | (frozenset(zones) - settled)
        if kept != self.kept_zones:
            self._evacuate(kept, OTHER_HOST)

    def end_restore(self) -> None:
        """Give up what a restored store lacks and nobody wrote again."""
        if self.kept_zones and not self.restoration.is_recent:
            self._evacuate(frozenset(), 'not-written-again')

    def _evacuate(self, kept: frozenset[str], source: str) -> None:
        before = self.evacuated
        self.kept_zones = kept
        self.evacuated = self.listed_zones | kept
        ended = before - self.evacuated
        self.catalog.generation += 1
        for zone in ended:
            # Its upstreams may have restarted meanwhile; their own word that
            # they are cold may come later than this.
            self.catalog.mark_cold(zone, self._cold_seconds)
        log_event(
            'evacuations-changed',
            zones=','.join(sorted(self.evacuated)),
            kept=','.join(sorted(kept)),
            ended=','.join(sorted(ended)),
            revision=self.evacuations_revision,
            source=source,
        )

    def upstreams_since(self, revision: Revision) -> CatalogChanges:
        """Return what another host lacks of the upstreams.

        Those of a zone that is being emptied are told as cold, as they are
        when that ends: the other host may learn of the end without ever having
        known of the evacuation, from a host that is further, and would send to
        them at full rate.

        Args:
            revision: Up to which the other host knows everything.
        """
        changes = self.catalog.changes_since(revision)
        if not self.evacuated:
            return changes
        entries = tuple(map(self._as_evacuated, changes.entries))
        return replace(changes, entries=entries)

    def _as_evacuated(self, entry: UpstreamEntry) -> UpstreamEntry:
        if entry.zone not in self.evacuated:
            return entry
        seconds = max(entry.cold_seconds, self._cold_seconds(entry.service))
        return replace(entry, cold_seconds=seconds)

    def _cold_seconds(self, service: str) -> float:
        if self.steering is None:
            return 0.0
        known = self.steering.services.get(service)
        return 0.0 if known is None else known.cold_seconds


def _digest_of(zones: frozenset[str]) -> int:
    """Return a number that tells sets of zones apart; 0 for none."""
    return crc32(','.join(sorted(zones)).encode()) if zones else 0
