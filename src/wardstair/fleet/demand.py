"""The demand of organisations on other hosts, as they report it.

Every host reports its demand to the hosts of its availability zone. Relays
also report the sum of their zone to the relays of other zones, and forward what
those relays report to the hosts of their own zone.
"""

import math
from collections import Counter
from collections.abc import Callable, Collection, Iterator, Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import Any
from zlib import crc32

import cbor2

from wardstair.fleet.fields import DECODE_ERRORS, as_name, as_whole
from wardstair.fleet.former_demand import (
    Former,
    FormerDemand,
    Memory,
    zone_key,
)

# Time without a report after which a host or zone counts as silent. It may
# still be serving behind a network partition.
SILENT_SECONDS = 1.5
# Interval between reports. A report is sent earlier if demand has changed by
# more than this fraction plus this number of requests since the last one, or
# has changed at all for an organisation whose quota is nearly used up.
REPORT_SECONDS = 0.5
CHANGED_FRACTION = 0.1
CHANGED_REQUESTS = 3
# Time for which the share of a silent host or zone stays reserved. Regions can
# be disconnected from each other for an hour.
GONE_SECONDS = 7200.0
# Time after its start in which a host that knows less than others does not
# report for its zone: the other hosts of the zone are about to tell it.
FAR_HOLD_SECONDS = 0.3
# Time after its start in which a host reports without delay, so that others
# notice its restart.
HASTY_SECONDS = 1.5
# Lower bound of the window where a part of it is computed.
MIN_WINDOW_SECONDS = 0.1
# Processes of a zone, in the order of their first report, that are remembered.
MAX_ZONE_RUNS = 16
# Maximum number of counts in one datagram, at 5 to 8 bytes each; a datagram of
# more than 64 KB cannot be sent.
MAX_COUNTS = 2000
# Fractions of a quota are encoded as integers, scaled by this factor.
_SCALE = 1000
_FORMAT = 1
_PERCENT = 100
# More requests than a window holds, and more than all of a quota.
_MAX_COUNT = 2**40
# Number of requests in the window by number of the organisation.
Counts = Mapping[int, int]


def number_of(organisation: str) -> int:
    """Return the number that identifies an organisation in reports."""
    return crc32(organisation.encode())


@dataclass(frozen=True, slots=True)
class ZoneDemand:
    """The demand on all hosts of an availability zone.

    Attributes:
        zone: The zone.
        counts: Requests in the window.
        refused: Number of these requests that were refused.
        reserved: Thousandths of each quota reserved for silent hosts of the
            zone.
        restarted: Process that reports this, if all hosts of the zone have
            forgotten what they admitted before a restart; 0 otherwise.
    """

    zone: str
    counts: Counts
    refused: Counts = field(default_factory=dict)
    reserved: Counts = field(default_factory=dict)
    restarted: int = 0

    @property
    def size(self) -> int:
        """Number of counts that it holds."""
        return len(self.counts) + len(self.refused) + len(self.reserved)


@dataclass(frozen=True, slots=True)
class DemandReport:
    """A host's report of demand.

    Attributes:
        sender: Name of the sending host.
        zone: Availability zone of the sender.
        counts: Requests of the sender's callers in the window; empty in reports
            to another zone.
        refused: Number of these requests that were refused.
        zones: Total demand of zones.
        run: Identifies the process of the sender; 0 if it is not known.
        memory: What the sender knows of the requests admitted in the window.
        counted: Percentage of the window in which the counts were counted;
            below 100 they are extrapolated.
        heard: Processes of hosts that have restarted and lack what this report
            tells, by the host's name.
        former: What hosts and zones admitted before they restarted.
    """

    sender: str
    zone: str
    counts: Counts
    refused: Counts = field(default_factory=dict)
    zones: tuple[ZoneDemand, ...] = ()
    run: int = 0
    memory: Memory = Memory.whole
    counted: int = _PERCENT
    heard: Mapping[str, int] = field(default_factory=dict)
    former: tuple[Former, ...] = ()

    def admitted(self) -> dict[int, int]:
        """Return the requests that the sender has admitted."""
        return {
            number: (count - self.refused.get(number, 0))
            * self.counted
            // _PERCENT
            for number, count in self.counts.items()
        }

    def parts(self) -> Iterator['DemandReport']:
        """Return reports that each fit into a datagram.

        A host that finds itself in `heard` has received all of the report, so
        only the last part has it.
        """
        own_size = len(self.counts) + len(self.refused)
        batch: list[Former | ZoneDemand] = []
        size = own_size
        rows: list[Former | ZoneDemand] = [*self.former, *self.zones]
        for row in rows:
            if batch and size + row.size > MAX_COUNTS:
                yield self._part(batch, {})
                batch = []
                size = own_size
            batch.append(row)
            size += row.size
        yield self._part(batch, self.heard)

    def _part(
        self, rows: Collection[Former | ZoneDemand], heard: Mapping[str, int]
    ) -> 'DemandReport':
        zones = tuple(row for row in rows if isinstance(row, ZoneDemand))
        former = tuple(row for row in rows if isinstance(row, Former))
        return replace(self, zones=zones, former=former, heard=heard)


def encode_report(report: DemandReport) -> bytes:
    """Encode a report as one datagram."""
    return cbor2.dumps(
        [
            _FORMAT,
            report.sender,
            report.zone,
            dict(report.counts),
            dict(report.refused),
            [_zone_row(demand) for demand in report.zones],
            report.run,
            report.memory,
            report.counted,
            dict(report.heard),
            [_former_row(former) for former in report.former],
        ]
    )


def _zone_row(demand: ZoneDemand) -> list[object]:
    return [
        demand.zone,
        dict(demand.counts),
        dict(demand.refused),
        dict(demand.reserved),
        demand.restarted,
    ]


def _former_row(former: Former) -> list[object]:
    return [
        former.key,
        former.run,
        former.milliseconds,
        dict(former.counts),
        dict(former.reserved),
    ]


def decode_report(datagram: bytes) -> DemandReport | None:
    """Decode a datagram; return None if it is not a valid report."""
    try:
        return _report(*_row_of(datagram))
    except DECODE_ERRORS:
        return None


def _report(
    sender: str,
    zone: str,
    counts: Counts,
    refused: Counts,
    zones: Collection[Sequence[Any]],
    *memory: Any,
) -> DemandReport:
    report = DemandReport(
        as_name(sender),
        as_name(zone),
        _counts(counts),
        _counts(refused),
        tuple(_zone_demand(*row) for row in zones),
    )
    return _with_memory(report, *memory) if memory else report


def _zone_demand(
    zone: str,
    counts: Counts,
    refused: Counts,
    reserved: Counts,
    restarted: int = 0,
) -> ZoneDemand:
    return ZoneDemand(
        as_name(zone),
        _counts(counts),
        _counts(refused),
        _counts(reserved),
        as_whole(restarted),
    )


def _with_memory(
    report: DemandReport,
    run: int,
    memory: int,
    counted: int,
    heard: Mapping[str, int],
    former: Collection[Sequence[Any]],
) -> DemandReport:
    return replace(
        report,
        run=as_whole(run),
        memory=Memory(as_whole(memory)),
        counted=as_whole(counted, most=_PERCENT),
        heard={as_name(name): as_whole(at) for name, at in heard.items()},
        former=tuple(
            Former(
                as_name(key),
                as_whole(begun),
                as_whole(left),
                _counts(counts),
                _counts(parts),
            )
            for key, begun, left, counts, parts in former
        ),
    )


def _row_of(datagram: bytes) -> list[Any]:
    version, *row = cbor2.loads(datagram)
    if version != _FORMAT:
        raise ValueError('unsupported report format')
    return list(row)


def _counts(row: Mapping[int, int]) -> dict[int, int]:
    return {
        as_whole(number): as_whole(count, most=_MAX_COUNT)
        for number, count in row.items()
    }


@dataclass(slots=True)
class ReportSchedule:
    """Decides when the next report is due.

    Attributes:
        counts: Counts in the last report.
        at: Time of the last report in monotonic seconds.
    """

    counts: Counts = field(default_factory=dict)
    at: float = float('-inf')

    def is_due(
        self,
        counts: Counts,
        now: float,
        urgent: Collection[int] = (),
        *,
        is_hasty: bool = False,
    ) -> bool:
        """Return whether a report is due, and record the counts if so.

        Args:
            counts: Requests in the window.
            now: Monotonic time in seconds.
            urgent: Organisations for which any change is reported at once.
            is_hasty: Whether a report is due in any case.
        """
        is_time = is_hasty or now - self.at >= REPORT_SECONDS
        if not is_time and not self._has_changed(counts, urgent):
            return False
        self.counts = counts
        self.at = now
        return True

    def _has_changed(self, counts: Counts, urgent: Collection[int]) -> bool:
        for number, count in counts.items():
            change = abs(count - self.counts.get(number, 0))
            if change > CHANGED_REQUESTS + count * CHANGED_FRACTION:
                return True
            if change and number in urgent:
                return True
        return False


@dataclass(slots=True)
class _Source:
    """The last report of a host of this zone, or of another zone.

    Attributes:
        counts: Requests in the window.
        refused: Number of these requests that were refused.
        heard_at: When the report was received.
        reserved: Thousandths of quotas reserved for silent hosts of the zone.
        parts: Fraction of each quota reserved for it since it became silent,
            by organisation; None while it reports.
        is_direct: Whether the report came from the host itself or a relay of
            the zone. Only direct reports are forwarded; otherwise relays of one
            zone would keep outdated reports alive by repeating them.
        run: Process that sent the report; 0 if it is not known.
        restarted: Process that sent the report of a zone that has forgotten
            what it admitted; 0 for others.
        admitted: Requests of a host that were admitted.
        memory: What the host knows of the window.
    """

    counts: Counts
    refused: Counts
    heard_at: float
    reserved: Counts = field(default_factory=dict)
    parts: Mapping[int, float] | None = None
    is_direct: bool = True
    run: int = 0
    restarted: int = 0
    admitted: Counts = field(default_factory=dict)
    memory: Memory = Memory.whole


_UNKNOWN = _Source({}, {}, float('-inf'))


@dataclass(slots=True)
class DemandTable:
    """The reports of other hosts and zones; one per process.

    Attributes:
        own: Name of this host.
        zone: Availability zone of this host.
        clock: Monotonic time in seconds.
        own_counts: Returns the demand on this host.
        own_refused: Returns the refused requests among that demand.
        urgent: Organisations whose quota is nearly used up.
        others: Demand on hosts and zones that report.
        refused: Refused requests among that demand.
        reserved: Fraction of each quota reserved for silent hosts and zones.
        run: Identifies this process.
        age: Returns the time in seconds since its start.
        window: Returns the length of the window in seconds.
        expected_zones: Returns the zones that have hosts. Until this process
            has been told what was admitted before its start, an equal part is
            reserved for each zone that it has not heard.
        is_alone: Returns whether there is no other host in this zone.
        is_hasty: Whether the next reports are due at once.
        is_told: Whether another host has told this process what was admitted
            before its start.
        heard_of: Whether another host knows that.
        former: What was admitted by processes that others have replaced.
    """

    own: str
    zone: str
    clock: Callable[[], float]
    own_counts: Callable[[], Counts]
    own_refused: Callable[[], Counts]
    urgent: Collection[int] = ()
    others: Mapping[int, int] = field(default_factory=dict)
    refused: Mapping[int, int] = field(default_factory=dict)
    reserved: Mapping[int, float] = field(default_factory=dict)
    run: int = 0
    age: Callable[[], float] = field(default=lambda: math.inf)
    window: Callable[[], float] = field(default=lambda: 0.0)
    expected_zones: Callable[[], Collection[str]] = field(default=tuple)
    is_alone: Callable[[], bool] = field(default=lambda: False)
    is_hasty: bool = False
    is_told: bool = False
    heard_of: bool = False
    former: FormerDemand = field(init=False)
    _zone_runs: dict[str, dict[int, None]] = field(default_factory=dict)
    _far_starts: dict[str, tuple[float, int]] = field(default_factory=dict)
    _hosts: dict[str, _Source] = field(default_factory=dict)
    _zones: dict[str, _Source] = field(default_factory=dict)
    _near_schedule: ReportSchedule = field(default_factory=ReportSchedule)
    _far_schedule: ReportSchedule = field(default_factory=ReportSchedule)

    def __post_init__(self) -> None:
        """Begin without any memory of former processes."""
        self.former = FormerDemand(self.clock, self.window)

    @property
    def memory(self) -> Memory:
        """What this process knows of the requests admitted in the window."""
        if self.is_told or self.age() >= self.window():
            return Memory.whole
        return Memory.heard_of if self.heard_of else Memory.none

    @property
    def unheard_part(self) -> float:
        """Part of each quota reserved for zones not heard since the start."""
        if self.is_told:
            return 0.0
        zones = {*self.expected_zones(), self.zone}
        unheard = zones - self._zones.keys() - {self.zone}
        return len(unheard) / len(zones)

    @property
    def is_empty(self) -> bool:
        """Whether no report is stored."""
        return not self._hosts and not self._zones

    def take_in(self, report: DemandReport) -> None:
        """Store a report of another host."""
        if report.sender == self.own:
            return
        for former in report.former:
            self.former.merge(former)
        if report.zone == self.zone:
            self._add_host(report)
        elif report.memory is not Memory.whole:
            self._note_far_start(report)
        for demand in report.zones:
            if demand.zone != self.zone:
                self._add_zone(demand, is_direct=demand.zone == report.zone)
        self._note_memory(report)

    def _note_memory(self, report: DemandReport) -> None:
        if report.memory is not Memory.none:
            self.heard_of = True
        if report.memory is not Memory.whole or self.is_told:
            return
        if self.run and report.heard.get(self.own) == self.run:
            self.is_told = True
            self.is_hasty = True

    def _add_host(self, report: DemandReport) -> None:
        known = self._hosts.get(report.sender)
        if known is not None and report.run != known.run:
            self.former.note_host(
                report.sender, report.run, known.admitted, known.heard_at
            )
        if report.memory is not Memory.whole and (
            known is None or report.run != known.run
        ):
            self.is_hasty = True
        self._hosts[report.sender] = _Source(
            report.counts,
            report.refused,
            self.clock(),
            run=report.run,
            admitted=report.admitted(),
            memory=report.memory,
        )

    def _note_far_start(self, report: DemandReport) -> None:
        known = self._far_starts.get(report.sender)
        if known is None or known[1] != report.run:
            self.is_hasty = True
        self._far_starts[report.sender] = (self.clock(), report.run)

    def _add_zone(self, demand: ZoneDemand, *, is_direct: bool) -> None:
        known = self._zones.get(demand.zone, _UNKNOWN)
        if known.is_direct and not is_direct and self._is_heard(known):
            return
        self._note_zone_restart(demand, known)
        self._zones[demand.zone] = _Source(
            demand.counts,
            demand.refused,
            self.clock(),
            demand.reserved,
            is_direct=is_direct,
            restarted=demand.restarted,
        )

    def _note_zone_restart(self, demand: ZoneDemand, known: _Source) -> None:
        """Remember what a zone admitted whose hosts have all restarted.

        Its relays report in turn, some of which may still lack what others
        were told: each process counts once.
        """
        if not demand.restarted:
            return
        runs = self._zone_runs.setdefault(demand.zone, {})
        if demand.restarted in runs:
            return
        runs[demand.restarted] = None
        if len(runs) > MAX_ZONE_RUNS:
            runs.pop(next(iter(runs)))
        if known.restarted or known is _UNKNOWN:
            return
        admitted = {
            number: count - known.refused.get(number, 0)
            for number, count in known.counts.items()
        }
        self.former.note_zone(
            demand.zone, demand.restarted, admitted, known.heard_at
        )
        self.is_hasty = True

    def near_report(self, *, is_relay: bool) -> DemandReport | None:
        """Return the report for hosts of this zone, or None if not due.

        Args:
            is_relay: Whether to include the demand of other zones.
        """
        own = dict(self.own_counts())
        zones = self._zone_demands() if is_relay else ()
        demand = Counter(own)
        for zone in zones:
            demand.update(zone.counts)
        if not self._near_schedule.is_due(
            demand, self.clock(), self.urgent, is_hasty=self._is_due_at_once
        ):
            return None
        return self._with_memory(
            DemandReport(
                self.own,
                self.zone,
                own,
                self.own_refused(),
                zones,
            )
        )

    @property
    def _is_due_at_once(self) -> bool:
        return self.is_hasty or (
            self.memory is not Memory.whole and self.age() < HASTY_SECONDS
        )

    def _with_memory(self, report: DemandReport) -> DemandReport:
        starting = self._starting()
        # A host that has not heard all zones cannot tell of them.
        heard = {} if self.unheard_part else starting
        counted = self.age() / max(self.window(), MIN_WINDOW_SECONDS)
        if self.memory is Memory.whole:
            counted = 1.0
        former: tuple[Former, ...] = ()
        if starting or self.former.is_news:
            former = (*self.former.entries(), *self._silent())
        return replace(
            report,
            run=self.run,
            memory=self.memory,
            counted=round(min(counted, 1.0) * _PERCENT),
            heard=heard,
            former=former,
        )

    def _starting(self) -> dict[str, int]:
        """Return the processes that lack what this host remembers."""
        starting = {
            name: source.run
            for name, source in self._hosts.items()
            if source.memory is not Memory.whole and self._is_heard(source)
        }
        end = self.clock() - SILENT_SECONDS
        far = {
            name: run
            for name, (heard_at, run) in self._far_starts.items()
            if heard_at > end
        }
        return starting | far

    def _silent(self) -> Iterator[Former]:
        """Return the parts reserved for silent hosts and zones."""
        for key, source in self._hosts.items():
            if source.parts is not None:
                yield Former(key, 0, 0, reserved=_thousandths(source.parts))
        for zone, source in self._zones.items():
            if source.parts is not None:
                parts = _thousandths(source.parts)
                yield Former(zone_key(zone), 0, 0, reserved=parts)

    def far_report(self) -> DemandReport | None:
        """Return the report for relays of other zones, or None if not due."""
        is_whole = self.memory is Memory.whole
        if not is_whole and not self._may_report_zone():
            return None
        counts = Counter(self.own_counts())
        counts.update(self.former.of_hosts())
        refused = Counter(self.own_refused())
        silent = Counter[int]()
        for source in self._hosts.values():
            if source.parts is None:
                counts.update(source.counts)
                refused.update(source.refused)
            else:
                silent.update(_thousandths(source.parts))
        if not self._far_schedule.is_due(
            counts, self.clock(), self.urgent, is_hasty=self._is_due_at_once
        ):
            return None
        restarted = 0 if is_whole else self.run
        demand = ZoneDemand(self.zone, counts, refused, silent, restarted)
        report = self._with_memory(
            DemandReport(self.own, self.zone, {}, zones=(demand,))
        )
        # Hosts are remembered by their own zone.
        former = tuple(one for one in report.former if one.is_zone)
        return replace(report, former=former)

    def _may_report_zone(self) -> bool:
        """Return whether a host with less than whole memory may report."""
        if self._hosts:
            return self.age() >= FAR_HOLD_SECONDS
        return self.is_alone()

    def _zone_demands(self) -> tuple[ZoneDemand, ...]:
        return tuple(
            ZoneDemand(
                zone,
                source.counts,
                source.refused,
                source.reserved,
                source.restarted,
            )
            for zone, source in self._zones.items()
            if source.is_direct and self._is_heard(source)
        )

    def refresh(self, leaving: Collection[str] = ()) -> None:
        """Recompute the sums; to be called before each report.

        Args:
            leaving: Hosts that have announced their shutdown. Nothing is
                reserved for them once they are silent.
        """
        self._drop(leaving)
        sources = (*self._hosts.values(), *self._zones.values())
        silent = [one for one in sources if not self._is_heard(one)]
        self._note_silent([one for one in silent if one.parts is None])
        others = Counter[int]()
        refused = Counter[int]()
        reserved = Counter[int]()
        for source in sources:
            if source.parts is None:
                others.update(source.counts)
                refused.update(source.refused)
            else:
                reserved.update(_thousandths(source.parts))
            reserved.update(source.reserved)
        others.update(self.former.totals(apart_from=self.own))
        for key, (_, parts) in self.former.reserved.items():
            if not self._knows(key):
                reserved.update(parts)
        self.others = others
        self.refused = refused
        self.reserved = {
            number: min(1.0, part / _SCALE) for number, part in reserved.items()
        }

    def _knows(self, key: str) -> bool:
        """Return whether a host or zone reports to this process."""
        if key in {self.own, zone_key(self.zone)} or key in self._hosts:
            return True
        return any(key == zone_key(zone) for zone in self._zones)

    def _note_silent(self, newly: Collection[_Source]) -> None:
        """Record the share of the demand of sources that became silent."""
        totals = Counter(self.own_counts())
        for source in (*self._hosts.values(), *self._zones.values()):
            if source.parts is None:
                totals.update(source.counts)
        for source in newly:
            source.parts = {
                number: self._unreserved(number) * count / totals[number]
                for number, count in source.counts.items()
                if count
            }

    def _unreserved(self, number: int) -> float:
        """Return the fraction of a quota that is not reserved."""
        return 1.0 - self.reserved.get(number, 0.0)

    def _drop(self, leaving: Collection[str]) -> None:
        for name in leaving:
            source = self._hosts.get(name)
            if source is not None and not self._is_heard(source):
                self._hosts.pop(name)
        end = self.clock() - GONE_SECONDS
        for table in (self._hosts, self._zones):
            gone = [name for name in table if table[name].heard_at < end]
            for name in gone:
                table.pop(name)

    def _is_heard(self, source: _Source) -> bool:
        return self.clock() - source.heard_at < SILENT_SECONDS


def _thousandths(parts: Mapping[int, float]) -> dict[int, int]:
    return {number: round(part * _SCALE) for number, part in parts.items()}
