"""What this host holds to be true: configuration, evacuations, upstreams.

One object a process; whoever learns something newer hands it in here, and
here alone is decided what is newer.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

from wardstair.errors import ConfigurationError
from wardstair.fleet.beats import Versions
from wardstair.platform.objects import (
    CONFIGURATION_NAME,
    EVACUATION_KIND,
    StoredObject,
    decode_configuration,
)
from wardstair.process.log import log_event, log_warning
from wardstair.state.catalog import Catalog, CatalogChanges
from wardstair.state.entries import UpstreamEntry
from wardstair.state.limits import LimitTable
from wardstair.state.revision import NO_REVISION, Revision
from wardstair.state.suspects import SuspectTable
from wardstair.version.steering import Steering

# Begin of the source of what another host has told.
OTHER_HOST = 'host:'


@dataclass(slots=True)
class Belief:
    """The state of one host.

    Attributes:
        clock: Monotonic time in seconds.
        catalog: The upstreams.
        steering: The configuration in force, or None.
        document: The stored object it was decoded from, for other hosts.
        adopted_at: When it was adopted.
        evacuated: Availability zones that get nothing.
        evacuations_revision: Store revision of that set.
        suspects: Requests that ended upstreams.
        limits: Limits that upstreams name.
        on_steering: Called when a version is adopted.
    """

    clock: Callable[[], float]
    catalog: Catalog
    steering: Steering | None = None
    document: StoredObject | None = None
    adopted_at: float = 0.0
    evacuated: frozenset[str] = frozenset()
    evacuations_revision: Revision = NO_REVISION
    suspects: SuspectTable = field(default_factory=SuspectTable)
    limits: LimitTable = field(default_factory=LimitTable)
    on_steering: Callable[[], None] = field(default=lambda: None)

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

    def set_evacuated(
        self,
        zones: Iterable[str],
        revision: Revision,
        source: str,
    ) -> bool:
        """Take in the zones that get nothing; return whether that is news.

        Args:
            zones: All of them.
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
        now_evacuated = frozenset(zones)
        ended = self.evacuated - now_evacuated
        is_known = self.evacuations_revision != NO_REVISION
        if is_known and now_evacuated == self.evacuated:
            # The revision of the change stays, so that each reading does not
            # make this host look ahead of the others. What another host tells
            # is taken over: hosts that listed at different times agree then.
            if source.startswith(OTHER_HOST):
                self.evacuations_revision = revision
            return False
        self.evacuations_revision = revision
        self.evacuated = now_evacuated
        self.catalog.generation += 1
        for zone in ended:
            # Its upstreams may have restarted meanwhile; their own word that
            # they are cold may come later than this.
            self.catalog.mark_cold(zone, self._cold_seconds)
        log_event(
            'evacuations-changed',
            zones=','.join(sorted(now_evacuated)),
            ended=','.join(sorted(ended)),
            revision=revision,
            source=source,
        )
        return True

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
