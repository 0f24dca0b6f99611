"""Records of roll-outs that stay known whatever the store lists later.

A restored store may list older records or none at all. An end that any host
knew is never taken back.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from wardstair.decisions.rollouts import RolloutState
from wardstair.state.revision import Revision
from wardstair.state.rollout_orders import RolloutRecord, ServiceVersion


@dataclass(frozen=True, slots=True)
class KnownRecord:
    """A record and when it was written.

    Attributes:
        service: The service.
        record: The record.
        revision: Revision of the object with which it was first known.
    """

    service: str
    record: RolloutRecord
    revision: Revision

    @property
    def target(self) -> ServiceVersion:
        """The service with the target version."""
        return ServiceVersion(self.service, self.record.version)


class PastRollouts:
    """Known records by target version, and targets that were withdrawn.

    Attributes:
        withdrawn: Targets whose order was removed or replaced before an end.
    """

    def __init__(self) -> None:
        """Create an empty table."""
        self.withdrawn: frozenset[ServiceVersion] = frozenset()
        self._records: dict[ServiceVersion, KnownRecord] = {}

    @property
    def records(self) -> tuple[KnownRecord, ...]:
        """All known records."""
        return tuple(self._records.values())

    @property
    def ends(self) -> tuple[KnownRecord, ...]:
        """The known records of roll-outs that have ended."""
        return tuple(one for one in self.records if one.record.state.is_final)

    def add(self, offered: KnownRecord) -> bool:
        """Add a record unless a prevailing one is known.

        Returns:
            Whether the record is new or prevails.
        """
        if offered.record.is_refusal:
            return False
        known = self._records.get(offered.target)
        if known is not None:
            is_same = offered.record == known.record
            is_earlier = offered.revision < known.revision
            prevails = is_earlier if is_same else self._prevails(offered, known)
            if not prevails:
                return False
        self._records[offered.target] = offered
        if offered.record.state.is_final and not self._is_superseded(offered):
            # The order was removed after the end, which was not known here.
            self.withdrawn -= {offered.target}
        return True

    def known(self, target: ServiceVersion) -> KnownRecord | None:
        """Return the record that holds for a target version.

        A completed roll-out no longer holds once a later one of the service to
        another version was completed.
        """
        known = self._records.get(target)
        return None if known is None or self._is_superseded(known) else known

    def withdraw(self, target: ServiceVersion) -> None:
        """Record that the order of a running roll-out no longer exists."""
        known = self.known(target)
        if known is not None and known.record.state.is_final:
            return
        if known is not None:
            self._records.pop(target)
        self.withdrawn |= {target}

    def order_again(self, targets: Iterable[ServiceVersion]) -> None:
        """Record that orders for these target versions exist."""
        self.withdrawn -= frozenset(targets)

    def is_past(self, target: ServiceVersion) -> bool:
        """Return whether a roll-out to a target has ended or was withdrawn."""
        known = self._records.get(target)
        has_ended = known is not None and known.record.state.is_final
        return has_ended or target in self.withdrawn

    def barred(self, service: str) -> frozenset[str]:
        """Return the versions of a service that were not accepted."""
        rolled_back = {
            one.record.version
            for one in self.ends
            if one.service == service
            and one.record.state is RolloutState.rolled_back
        }
        withdrawn = {
            one.version for one in self.withdrawn if one.service == service
        }
        return frozenset(rolled_back | withdrawn) - {self.completed(service)}

    def completed(self, service: str) -> str | None:
        """Return the version to which a service was last moved completely."""
        last = self._last_completed(service)
        return None if last is None else last.record.version

    def _last_completed(self, service: str) -> KnownRecord | None:
        completed = [
            one
            for one in self._records.values()
            if one.service == service
            and one.record.state is RolloutState.complete
        ]
        return max(completed, key=_revision_of, default=None)

    def _is_superseded(self, known: KnownRecord) -> bool:
        """Return whether another version was completed after a completion."""
        if known.record.state is not RolloutState.complete:
            return False
        last = self._last_completed(known.service)
        return last is not None and last.revision > known.revision

    def _prevails(self, offered: KnownRecord, known: KnownRecord) -> bool:
        """Return whether a record replaces the known one of its target.

        Hosts that hear the same records in any order come to the same one.
        """
        began_at = known.record.began_at
        is_known_over = self._is_superseded(known)
        if is_known_over != self._is_superseded(offered):
            # Either of two roll-outs to the target, or two states of one.
            if is_known_over:
                return offered.record.began_at > began_at
            return offered.record.began_at >= began_at
        has_ended = known.record.state.is_final
        if offered.record.state.is_final:
            # The first end holds.
            return not has_ended or offered.revision < known.revision
        return not has_ended and _has_advanced(offered, known)


def _has_advanced(offered: KnownRecord, known: KnownRecord) -> bool:
    """Return whether a record of a running roll-out replaces another one."""
    if offered.revision.era == known.revision.era:
        return offered.revision > known.revision
    return _progress(offered) > _progress(known)


def _revision_of(known: KnownRecord) -> Revision:
    return known.revision


def _progress(known: KnownRecord) -> tuple[int, int, Revision]:
    record = known.record
    return record.reserved, record.stage, known.revision
