"""The roll-outs as this host knows them, for operators."""

import time
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from wardstair.decisions.rollout_exposure import max_exposure
from wardstair.decisions.rollout_verdict import AnswerTally
from wardstair.decisions.rollouts import RolloutBounds, RolloutStage
from wardstair.gateway.host_rollout import HostRollout
from wardstair.gateway.rollout_coordinator import RolloutCoordinator
from wardstair.gateway.rollouts import RolloutGate
from wardstair.state.revision import NO_REVISION
from wardstair.state.rollouts import (
    Rollout,
    RolloutRecord,
    RolloutTable,
    UnusableRollout,
)

# The state of an order that cannot be carried out.
REFUSED = 'refused'


@dataclass(frozen=True, slots=True)
class RolloutRow:
    """One roll-out, or an order that is refused.

    Attributes:
        service: The service.
        version: The target version; empty if a refused order names none.
        state: The recorded state, or `refused`.
        stage: The stage; empty for a refused order.
        share: Share of the keys that goes to the new version.
        seconds_left: Time until the deadline; None after the end.
        reserved: The recorded sum of allowances.
        sent: Requests sent to the new version by all hosts, as far as known;
            None on hosts that get no reports.
        bound: Requests that the new version may have received by now; None
            likewise.
        answers: Answers of the new version; None likewise.
        bad: Bad answers among them; None likewise.
        reason: Why it is at this stage, or has ended.
        coordinator: Name of the host that coordinates it.
        host: Name of the host that lists it.
        term: Term of the last plan that this host has heard.
        revision: Revision of the order's object that this host knows.
        field: Dotted path of the field for which the order is refused.
        expected: Description of a valid value of that field.
    """

    service: str
    version: str
    state: str
    stage: str
    reason: str
    coordinator: str
    host: str
    term: str
    revision: str
    share: float | None = None
    seconds_left: float | None = None
    reserved: int = 0
    sent: int | None = None
    bound: int | None = None
    answers: int | None = None
    bad: int | None = None
    field: str = ''
    expected: str = ''


class RolloutListing:
    """Lists roll-outs; one per process."""

    def __init__(
        self,
        table: RolloutTable,
        gate: RolloutGate,
        coordinator: RolloutCoordinator,
        bounds: RolloutBounds,
        host: str,
    ) -> None:
        """Create a listing.

        Args:
            table: The roll-outs known to this host.
            gate: What this host follows.
            coordinator: The reports of all hosts, on sentinels.
            bounds: The limits of the exposure.
            host: Name of this host.
        """
        self._table = table
        self._gate = gate
        self._coordinator = coordinator
        self._bounds = bounds
        self._host = host

    def rows(self, services: Iterable[str]) -> list[RolloutRow]:
        """Return the roll-outs of services and all refused orders.

        Args:
            services: Names of the services.
        """
        refused = [self._refused_row(order) for order in self._table.refused]
        return [*self._rows(services), *refused]

    def _rows(self, services: Iterable[str]) -> Iterator[RolloutRow]:
        for service in sorted(services):
            rollout = self._table.of_service(service)
            if rollout is not None:
                yield self._row(rollout)

    def _row(self, rollout: Rollout) -> RolloutRow:
        record = rollout.own_record or RolloutRecord(
            rollout.order.version, rollout.state
        )
        own = self._gate.running.get(rollout.service)
        book = self._coordinator.books.get(rollout.order.target)
        has_reports = book is not None and bool(book.hosts)
        tally = AnswerTally()
        if book is not None:
            tally = sum(book.new.values(), tally)
        is_known = book is not None and has_reports
        return RolloutRow(
            service=rollout.service,
            version=rollout.order.version,
            state=str(rollout.state),
            stage=_stage(own, record).name,
            share=None if own is None else round(own.share, 3),
            seconds_left=_seconds_left(rollout, record),
            reserved=record.reserved,
            sent=book.sent if book is not None and is_known else None,
            bound=(
                max_exposure(self._bounds, book.requests)
                if book is not None and is_known
                else None
            ),
            answers=tally.answers if is_known else None,
            bad=tally.bad if is_known else None,
            reason=_reason(own, record),
            coordinator=record.coordinator,
            host=self._host,
            term=str(NO_REVISION if own is None else own.term),
            revision=str(rollout.revision),
        )

    def _refused_row(self, order: UnusableRollout) -> RolloutRow:
        return RolloutRow(
            service=order.service,
            version=order.version,
            state=REFUSED,
            stage='',
            reason=REFUSED,
            coordinator='',
            host=self._host,
            term=str(NO_REVISION),
            revision=str(order.revision),
            field=order.field,
            expected=order.expected,
        )


def _stage(own: HostRollout | None, record: RolloutRecord) -> RolloutStage:
    return record.stage if own is None else own.stage(time.monotonic())


def _seconds_left(rollout: Rollout, record: RolloutRecord) -> float | None:
    if rollout.state.is_final or not record.began_at:
        return None
    end = record.began_at + rollout.order.seconds
    return round(end - time.time(), 1)


def _reason(own: HostRollout | None, record: RolloutRecord) -> str:
    return record.reason if own is None else own.reason or record.reason
