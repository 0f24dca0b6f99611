"""Messages between hosts during the roll-out of a version.

A host reports to the relays of its zone, which bundle these reports for the
sentinels. The coordinator sends each zone its plan. All counts are cumulative
for a run of a process, so a lost message is made up for by a later one.
"""

from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field, replace
from enum import IntEnum
from typing import Any
from zlib import crc32

import cbor2

from wardstair.decisions.rollout_verdict import AnswerTally, TallyKey
from wardstair.decisions.rollouts import RolloutStage
from wardstair.fleet.fields import (
    DECODE_ERRORS,
    as_name,
    as_number,
    as_text,
    as_whole,
)
from wardstair.state.revision import NO_REVISION, Revision

# Size in bytes up to which a datagram is not fragmented.
MAX_DATAGRAM_BYTES = 1200
# Tallies in a report, at up to 22 bytes each, and allowances in a plan, at up
# to 10 bytes each; both leave room for names.
MAX_TALLIES = 40
MAX_ALLOWANCES = 80
# Bytes that encoding a bundle adds to its reports, and to each of them.
_BUNDLE_HEAD_BYTES = 8
_BUNDLE_ITEM_BYTES = 3
_FORMAT = 1
_MAX_COUNT = 2**53


class _Kind(IntEnum):
    report = 1
    bundle = 2
    plan = 3


def number_of_host(name: str, run: int) -> int:
    """Return the number that identifies a run of a host's process in plans."""
    return crc32(f'{name} {run}'.encode())


def number_of_upstream(incarnation: str) -> int:
    """Return the number that identifies an incarnation of an upstream."""
    return crc32(incarnation.encode())


def number_of_route(name: str) -> int:
    """Return the number that identifies a route."""
    return crc32(name.encode())


Tallies = Mapping[TallyKey, AnswerTally]


@dataclass(frozen=True, slots=True)
class RolloutReport:
    """What a host reports of a roll-out.

    Attributes:
        sender: Name of the host.
        zone: Its availability zone.
        run: Identifies the run of its process.
        number: Sequence number of the report within the run.
        service: The service.
        version: The target version.
        requests: Requests of the service sent to upstreams since this process
            knew the order.
        sent: Requests among them that were sent to the new version.
        allowed: The allowance that the host knows.
        can_use_more: Whether it has an upstream of the new version to which it
            may send.
        term: Term of the plan that it follows.
        plan: Number of that plan.
        stage: The stage that it follows.
        waiting: Its requests under way at old upstreams.
        is_urgent: Whether it reports bad answers for the first time.
        new: Answers of the new version. A report holds only some of them:
            those that changed lately and others in turn.
        old: Answers of the old version, likewise.
    """

    sender: str
    zone: str
    run: int
    number: int
    service: str
    version: str
    requests: int
    sent: int
    allowed: int
    can_use_more: bool
    term: Revision = NO_REVISION
    plan: int = 0
    stage: RolloutStage = RolloutStage.testing
    waiting: int = 0
    is_urgent: bool = False
    new: Tallies = field(default_factory=dict)
    old: Tallies = field(default_factory=dict)

    def parts(self) -> Iterator['RolloutReport']:
        """Return reports of some answers each, which fit into a datagram."""
        rows = [(True, key, self.new[key]) for key in self.new]
        rows.extend((False, key, self.old[key]) for key in self.old)
        for start in range(0, max(1, len(rows)), MAX_TALLIES):
            part = rows[start : start + MAX_TALLIES]
            yield replace(
                self,
                new={key: tally for is_new, key, tally in part if is_new},
                old={key: tally for is_new, key, tally in part if not is_new},
            )


@dataclass(frozen=True, slots=True)
class ReportBundle:
    """Reports of a zone's hosts that a relay passes on.

    Attributes:
        reports: Encoded reports.
    """

    reports: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class RolloutPlan:
    """What the coordinator tells the hosts of a zone.

    Attributes:
        service: The service.
        version: The target version.
        term: Revision of the record by which the coordinator took over.
        number: Sequence number of the plan within the term.
        stage: The stage from now on.
        share: Share of the keys that goes to the new version.
        group: Numbers of the upstreams under test.
        allowances: Requests that each host of the zone may ever send to the new
            version, by number of the host.
        reason: Why the roll-out is at this stage.
        is_forwarded: Whether a relay has passed it on to its zone.
    """

    service: str
    version: str
    term: Revision
    number: int
    stage: RolloutStage
    share: float
    group: frozenset[int] = frozenset()
    allowances: Mapping[int, int] = field(default_factory=dict)
    reason: str = ''
    is_forwarded: bool = False

    def parts(self, *, is_forwarded: bool) -> Iterator['RolloutPlan']:
        """Return plans of some allowances each, which fit into a datagram.

        Args:
            is_forwarded: Whether they go to the hosts of the zone, not to a
                relay.
        """
        names = sorted(self.allowances)
        for start in range(0, max(1, len(names)), MAX_ALLOWANCES):
            part = names[start : start + MAX_ALLOWANCES]
            yield replace(
                self,
                allowances={name: self.allowances[name] for name in part},
                is_forwarded=is_forwarded,
            )


RolloutMessage = RolloutReport | ReportBundle | RolloutPlan


def encode_message(message: RolloutMessage) -> bytes:
    """Encode a message as one datagram."""
    match message:
        case RolloutReport():
            row = _report_row(message)
        case ReportBundle(reports=reports):
            row = [_Kind.bundle, list(reports)]
        case RolloutPlan():
            row = _plan_row(message)
    return cbor2.dumps([_FORMAT, *row])


def decode_message(datagram: bytes) -> RolloutMessage | None:
    """Decode a datagram; return None if it is not a valid message."""
    try:
        form, kind, *row = cbor2.loads(datagram)
        if form != _FORMAT:
            return None
        match kind:
            case _Kind.report:
                return RolloutReport(*_decoded(_REPORT_COLUMNS, row))
            case _Kind.bundle:
                return ReportBundle(tuple(map(_bytes, row[0])))
            case _Kind.plan:
                return RolloutPlan(*_decoded(_PLAN_COLUMNS, row))
    except DECODE_ERRORS:
        return None
    return None


def bundles(reports: Iterable[bytes]) -> Iterator[ReportBundle]:
    """Return bundles of encoded reports, which fit into a datagram each."""
    batch: list[bytes] = []
    size = _BUNDLE_HEAD_BYTES
    for report in reports:
        added = len(report) + _BUNDLE_ITEM_BYTES
        if batch and size + added > MAX_DATAGRAM_BYTES:
            yield ReportBundle(tuple(batch))
            batch = []
            size = _BUNDLE_HEAD_BYTES
        batch.append(report)
        size += added
    if batch:
        yield ReportBundle(tuple(batch))


def _report_row(report: RolloutReport) -> list[object]:
    return [
        _Kind.report,
        report.sender,
        report.zone,
        report.run,
        report.number,
        report.service,
        report.version,
        report.requests,
        report.sent,
        report.allowed,
        report.can_use_more,
        [report.term.era, report.term.number],
        report.plan,
        int(report.stage),
        report.waiting,
        report.is_urgent,
        _tally_rows(report.new),
        _tally_rows(report.old),
    ]


def _tally_rows(tallies: Tallies) -> list[list[int]]:
    return [
        [key.route, key.upstream, tally.answers, tally.failed, tally.slow]
        for key, tally in tallies.items()
    ]


def _plan_row(plan: RolloutPlan) -> list[object]:
    return [
        _Kind.plan,
        plan.service,
        plan.version,
        [plan.term.era, plan.term.number],
        plan.number,
        int(plan.stage),
        plan.share,
        sorted(plan.group),
        dict(plan.allowances),
        plan.reason,
        plan.is_forwarded,
    ]


def _tallies(rows: Iterable[Sequence[int]]) -> dict[TallyKey, AnswerTally]:
    return dict(map(_tally, rows))


def _tally(row: Sequence[int]) -> tuple[TallyKey, AnswerTally]:
    # Sentinels decode thousands of rows a second, so a row is checked as one.
    if min(row) < 0 or max(row) > _MAX_COUNT or not isinstance(sum(row), int):
        raise ValueError('a row consists of integers that are not negative')
    key = TallyKey(row[0], row[1])
    return key, AnswerTally(*row[2:])


def _revision(row: Sequence[int]) -> Revision:
    era, number = row
    return Revision(_count(era), _count(number))


def _count(field: object) -> int:
    return as_whole(field)


def _bytes(encoded: object) -> bytes:
    # Of a number, bytes() would return as many zeros.
    if not isinstance(encoded, bytes):
        raise TypeError('a bundled report consists of bytes')
    return encoded


def _stage(field: object) -> RolloutStage:
    return RolloutStage(as_whole(field))


def _share(share: float) -> float:
    return as_number(share, most=1)


def _numbers(row: Iterable[int]) -> frozenset[int]:
    return frozenset(map(_count, row))


def _allowances(row: Mapping[int, int]) -> dict[int, int]:
    return {_count(one): _count(row[one]) for one in row}


# How the columns of a message are decoded, in the order of its fields.
_REPORT_COLUMNS: tuple[Callable[[Any], Any], ...] = (
    as_name,
    as_name,
    _count,
    _count,
    as_name,
    as_name,
    _count,
    _count,
    _count,
    bool,
    _revision,
    _count,
    _stage,
    _count,
    bool,
    _tallies,
    _tallies,
)
_PLAN_COLUMNS: tuple[Callable[[Any], Any], ...] = (
    as_name,
    as_name,
    _revision,
    _count,
    _stage,
    _share,
    _numbers,
    _allowances,
    as_text,
    bool,
)


def _decoded(
    columns: Iterable[Callable[[Any], Any]], row: Iterable[Any]
) -> Iterator[Any]:
    for decode, column in zip(columns, row, strict=True):
        yield decode(column)
