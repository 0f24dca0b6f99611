"""Local state of an entry host: configuration, evacuations, upstreams.

There is one object per process. Every source of state passes its data to it,
and only this module decides what is newer.
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
from wardstair.state.reachability import ReachabilityTable
from wardstair.state.restoration import Restoration
from wardstair.state.revision import NO_REVISION, Revision
from wardstair.state.rollouts import RolloutTable
from wardstair.state.suspects import SuspectTable
from wardstair.version.steering import Steering

# Prefix of the source in the log for state from another host.
PEER_SOURCE_PREFIX = 'host:'
# Kinds that every host needs; the age of the state covers all of them.
STEERING_KINDS = (CONFIGURATION_KIND, EVACUATION_KIND, UPSTREAM_KIND)


def _make_unused_table() -> RolloutTable:
    return RolloutTable(is_in_use=False)


@dataclass(slots=True)
class LocalState:
    """The state of one host.

    Attributes:
        clock: Monotonic time in seconds.
        catalog: The upstreams.
        steering: The configuration in force, or None.
        document: The stored object it was decoded from, for other hosts.
        adopted_at: Monotonic time in seconds at which it was adopted.
        evacuated: Availability zones that receive no requests, including the
            kept ones.
        listed_zones: Evacuated zones that the store lists.
        kept_zones: Evacuated zones that a restored store lacks and that the
            operator may still write again.
        evacuations_revision: Revision of the set that the store lists.
        suspects: Requests during which upstream processes exited.
        limits: Rate limits announced by upstreams.
        notices: Notices about further requests from upstreams.
        rollouts: Roll-outs of versions; not in use by default.
        on_steering: Called when a configuration version is adopted.
        reachability: Which upstreams this host can reach.
        age: Time up to which the state is known to be complete.
        rejected_configurations: Times that a stored configuration was read and
            was not valid.
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
    rollouts: RolloutTable = field(default_factory=_make_unused_table)
    on_steering: Callable[[], None] = field(default=lambda: None)
    reachability: ReachabilityTable = field(init=False)
    age: StateAge = field(init=False)
    rejected_configurations: int = 0
    # Listed and later dropped in this era. Their evacuation has ended, even if
    # other hosts still keep it.
    _ended_zones: frozenset[str] = frozenset()

    def __post_init__(self) -> None:
        """Create the tables that depend on other fields."""
        self.reachability = ReachabilityTable(self.catalog)
        self.age = StateAge(self.clock, STEERING_KINDS)
        self.rollouts.attach(
            self.restoration,
            self.catalog.versions_in_service,
            self._knows_service,
        )
        self.rollouts.on_roles = self.catalog.note_roles

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
        """Versions and digests that other hosts compare with their own."""
        steering = self.steering
        return Versions(
            -1 if steering is None else steering.version,
            self.evacuations_revision,
            self.catalog.revision,
            self.suspects.digest,
            self.limits.digest,
            _digest_of(self.kept_zones),
            self.catalog.listed.digest,
            self.rollouts.revision,
            self.rollouts.digest,
        )

    def offer_configuration(self, stored: StoredObject, source: str) -> bool:
        """Adopt a stored configuration if it is newer and valid.

        Args:
            stored: The object.
            source: Where it came from, for the log.

        Returns:
            Whether the configuration was adopted.
        """
        if stored.metadata.name != CONFIGURATION_NAME:
            return False
        try:
            steering = decode_configuration(stored)
        except ConfigurationError as error:
            self.rejected_configurations += 1
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
        if steering.defaulted_fields:
            log_warning(
                'configuration-incomplete',
                version=steering.version,
                missing=','.join(steering.defaulted_fields),
            )
        self.rollouts.note_configuration()
        self.on_steering()
        return True

    @property
    def shared_restore(self) -> SharedRestore | None:
        """Details of a recent restore for other hosts; None without one."""
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
        """Update the evacuated zones from a listing.

        After a restore, evacuated zones that the store lacks are kept until
        the restore is no longer recent.

        Args:
            zones: All zones that the store lists.
            revision: Store revision of the set; older ones are ignored.
            source: Where it came from, for the log.

        Returns:
            Whether the set of listed zones or the era has changed.
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
            # Keeps the revision of the last change: raising it on each read
            # would make this host appear ahead of its peers. A revision from a
            # peer is adopted, so that hosts that listed at different times
            # agree.
            if source.startswith(PEER_SOURCE_PREFIX):
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
        """Keep zones that a peer knew as evacuated before a restore.

        A host that starts after the restore does not find them in the store.

        Args:
            zones: Zones that the peer keeps.
            era: The era in which the store lacks them.
        """
        is_of_this_era = era == self.evacuations_revision.era
        if not (is_of_this_era and self.restoration.is_recent):
            return
        decided = self.listed_zones | self._ended_zones
        kept = self.kept_zones | (frozenset(zones) - decided)
        if kept != self.kept_zones:
            self._evacuate(kept, PEER_SOURCE_PREFIX)

    def expire_kept_zones(self) -> None:
        """Drop what was kept but not written again after a restore."""
        self.rollouts.expire_kept()
        if self.kept_zones and not self.restoration.is_recent:
            self._evacuate(frozenset(), 'not-written-again')

    def _evacuate(self, kept: frozenset[str], source: str) -> None:
        before = self.evacuated
        self.kept_zones = kept
        self.evacuated = self.listed_zones | kept
        ended = before - self.evacuated
        self.catalog.generation += 1
        for zone in ended:
            # Its upstreams may have restarted during the evacuation, and the
            # entries that mark them as cold may arrive later.
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
        """Return the changes of upstreams that another host lacks.

        Upstreams of an evacuated zone are reported as cold, because they are
        cold when the evacuation ends. The other host may receive the end of
        the evacuation from a more recent peer without having known of the
        evacuation. It would then send to them at full rate.

        Args:
            revision: Revision up to which the other host knows everything.
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

    def _knows_service(self, service: str) -> bool:
        """Return whether the configuration has a service, if one is known."""
        return self.steering is None or service in self.steering.services

    def _cold_seconds(self, service: str) -> float:
        if self.steering is None:
            return 0.0
        known = self.steering.services.get(service)
        return 0.0 if known is None else known.cold_seconds


def _digest_of(zones: frozenset[str]) -> int:
    """Return a checksum of a set of zones; 0 for the empty set."""
    return crc32(','.join(sorted(zones)).encode()) if zones else 0
