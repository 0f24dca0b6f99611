"""Rows of roll-outs in messages between entry hosts."""

from typing import Any

from wardstair.decisions.rollouts import RolloutStage, RolloutState
from wardstair.state.past_rollouts import KnownRecord
from wardstair.state.revision import Revision
from wardstair.state.rollout_orders import (
    Rollout,
    RolloutOrder,
    RolloutRecord,
    ServiceVersion,
    UnusableRollout,
)
from wardstair.state.shared_rollouts import SharedRollouts


def rollouts_row(shared: SharedRollouts) -> list[object]:
    """Encode what a host knows of roll-outs; `rollouts_of` decodes it."""
    return [
        _revision_row(shared.revision),
        [_rollout_row(one) for one in shared.rollouts],
        [_refused_row(one) for one in shared.refused],
        [_rollout_row(one) for one in shared.kept],
        [
            [one.service, _record_row(one.record), *_revision_row(one.revision)]
            for one in shared.records
        ],
        [[one.service, one.version] for one in shared.withdrawn],
        [[one.service, one.version] for one in shared.in_order],
    ]


def rollouts_of(row: list[Any]) -> SharedRollouts:
    """Decode what another host knows of roll-outs.

    Raises:
        ValueError: The row was not encoded by `rollouts_row`.
        TypeError: Likewise.
        LookupError: Likewise.
    """
    revision, rollouts, refused, *rest = row
    kept, records, *rest = rest
    withdrawn, in_order = rest
    return SharedRollouts(
        _revision(*revision),
        tuple(_rollout(one) for one in rollouts),
        tuple(_refused(one) for one in refused),
        tuple(_rollout(one) for one in kept),
        tuple(_known_record(*one) for one in records),
        tuple(_version(*one) for one in withdrawn),
        tuple(_version(*one) for one in in_order),
    )


def _rollout_row(rollout: Rollout) -> list[object]:
    order = rollout.order
    return [
        order.service,
        order.version,
        order.seconds,
        rollout.record and _record_row(rollout.record),
        *_revision_row(rollout.revision),
    ]


def _rollout(row: list[Any]) -> Rollout:
    service, version, seconds, *rest = row
    record, era, number = rest
    return Rollout(
        RolloutOrder(str(service), str(version), float(seconds)),
        record and _record(record),
        _revision(era, number),
    )


def _refused_row(refused: UnusableRollout) -> list[object]:
    return [
        refused.field,
        refused.expected,
        refused.service,
        refused.version,
        refused.record and _record_row(refused.record),
        *_revision_row(refused.revision),
    ]


def _refused(row: list[Any]) -> UnusableRollout:
    *texts, record, era, number = row
    field, expected, service, version = map(str, texts)
    return UnusableRollout(
        field,
        expected,
        service,
        version,
        record and _record(record),
        _revision(era, number),
    )


def _record_row(record: RolloutRecord) -> list[object]:
    return [
        record.version,
        record.state.value,
        int(record.stage),
        record.reserved,
        record.requests,
        record.began_at,
        record.coordinator,
        record.reason,
    ]


def _record(row: list[Any]) -> RolloutRecord:
    version, state, stage, *rest = row
    reserved, requests, began_at, *rest = rest
    coordinator, reason = rest
    return RolloutRecord(
        str(version),
        RolloutState(state),
        RolloutStage(stage),
        int(reserved),
        int(requests),
        float(began_at),
        str(coordinator),
        str(reason),
    )


def _known_record(
    service: str, record: list[Any], era: int, number: int
) -> KnownRecord:
    return KnownRecord(str(service), _record(record), _revision(era, number))


def _version(service: str, version: str) -> ServiceVersion:
    return ServiceVersion(str(service), str(version))


def _revision_row(revision: Revision) -> list[int]:
    return [revision.era, revision.number]


def _revision(era: int, number: int) -> Revision:
    return Revision(int(era), int(number))
