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
from wardstair.state.rollouts import Rollout, RolloutRecord, RolloutTable


@dataclass(frozen=True, slots=True)
class RolloutRow:
    """One roll-out.

    Attributes:
        service: The service.
        version: The target version.
        state: The recorded state.
        stage: The stage.
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
    """

    service: str
    version: str
    state: str
    stage: str
    share: float | None
    seconds_left: float | None
    reserved: int
    sent: int | None
    bound: int | None
    answers: int | None
    bad: int | None
    reason: str
    coordinator: str


class RolloutListing:
    """Lists roll-outs; one per process."""

    def __init__(
        self,
        table: RolloutTable,
        gate: RolloutGate,
        coordinator: RolloutCoordinator,
        bounds: RolloutBounds,
    ) -> None:
        """Create a listing.

        Args:
            table: The roll-outs known to this host.
            gate: What this host follows.
            coordinator: The reports of all hosts, on sentinels.
            bounds: The limits of the exposure.
        """
        self._table = table
        self._gate = gate
        self._coordinator = coordinator
        self._bounds = bounds

    def rows(self, services: Iterable[str]) -> list[RolloutRow]:
        """Return the roll-outs of services.

        Args:
            services: Names of the services.
        """
        return list(self._rows(services))

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
