"""Rows of roll-outs in messages between entry hosts."""

from typing import Any

from wardstair.decisions.rollouts import RolloutStage, RolloutState
from wardstair.fleet.fields import as_name, as_number, as_text, as_whole
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
    record, era, revision = rest
    return Rollout(
        RolloutOrder(as_name(service), as_name(version), as_number(seconds)),
        record and _record(record),
        _revision(era, revision),
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
    field, expected, service, version = map(as_text, texts)
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
        as_name(version),
        RolloutState(state),
        RolloutStage(as_whole(stage)),
        as_whole(reserved),
        as_whole(requests),
        as_number(began_at),
        as_text(coordinator),
        as_text(reason),
    )


def _known_record(
    service: str, record: list[Any], era: int, number: int
) -> KnownRecord:
    return KnownRecord(
        as_name(service), _record(record), _revision(era, number)
    )


def _version(service: str, version: str) -> ServiceVersion:
    return ServiceVersion(as_name(service), as_name(version))


def _revision_row(revision: Revision) -> list[int]:
    return [revision.era, revision.number]


def _revision(era: int, revision: int) -> Revision:
    return Revision(as_whole(era), as_whole(revision))
