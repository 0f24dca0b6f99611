"""Notices about further requests in the answers of upstreams to this host.

A notice applies to this host alone and holds for one incarnation of the
upstream. Notices are kept apart from the catalog, because the entry of an
incarnation may disappear from it and return.

An upstream that restarts under its name answers before this host has read its
new entry. A notice in such an answer is recorded for the earlier incarnation,
and holds for the new one if that had started by then.
"""

import time
from collections import Counter
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from wardstair.decisions.notices import Availability, Notice, availability_of
from wardstair.process.log import log_event
from wardstair.state.incarnations import is_ahead
from wardstair.state.upstream import Upstream

# Limits a pause to one day, whatever the answer requests.
MAX_PAUSE_SECONDS = 86_400.0
# Retention of the notices of upstreams without an entry: a restored store may
# list such an upstream again.
REMEMBERED_SECONDS = 600.0
# Retention of a notice that an incarnation gave before its entry was read. The
# clock of its host may be wrong, and then the notice was its predecessor's.
MAX_CARRIED_SECONDS = 60.0
_MILLISECONDS = 1000


@dataclass(slots=True)
class _Row:
    """Notices of one incarnation.

    Attributes:
        born: The incarnation, as in its entry.
        notice: The notices in force.
        noted_at: Monotonic time in seconds of the last notice.
        leaving_on: Time of day of the last answer that announced that the
            upstream leaves, in Unix seconds; 0 without one.
        paused_on: The same for the last answer that asked for a pause.
    """

    born: int
    notice: Notice
    noted_at: float
    leaving_on: float = 0.0
    paused_on: float = 0.0


@dataclass(slots=True)
class NoticeTable:
    """Notices of the newest incarnation of each upstream that sent any.

    Attributes:
        clock: Monotonic time in seconds.
        drain_seconds: Returns the seconds after which a leaving upstream must
            not receive any more requests.
        time_of_day: Time of day in Unix seconds.
        counts: Number of answers with a notice, by its kind.
    """

    clock: Callable[[], float] = time.monotonic
    time_of_day: Callable[[], float] = time.time
    drain_seconds: Callable[[], float] = lambda: 0.0
    counts: Counter[Availability] = field(default_factory=Counter)
    _rows: dict[str, _Row] = field(default_factory=dict)

    @property
    def is_idle(self) -> bool:
        """Whether no notice is in force."""
        return not self._rows

    def notice_of(self, upstream: Upstream) -> Notice:
        """Return the notices of an upstream.

        Args:
            upstream: An incarnation of an upstream.
        """
        return self._known(upstream) or Notice()

    def availability(self, upstream: Upstream) -> Availability:
        """Return which requests an upstream accepts from this host now.

        Args:
            upstream: An incarnation of an upstream.
        """
        notice = self._known(upstream)
        if notice is None:
            return Availability.open
        return availability_of(notice, self.clock(), self.drain_seconds())

    def note_leaving(self, upstream: Upstream) -> None:
        """Record an answer that announces that the upstream will exit soon.

        Args:
            upstream: The incarnation that answered.
        """
        self.counts[Availability.leaving] += 1
        row = self._row_of(upstream)
        if row is None:
            return
        row.leaving_on = self.time_of_day()
        if row.notice.leaving_since is not None:
            return
        row.notice.leaving_since = row.noted_at
        log_event(
            'upstream-leaving',
            upstream=upstream.name,
            service=upstream.entry.service,
            in_flight=upstream.in_flight,
        )

    def note_pause(self, upstream: Upstream, seconds: float) -> None:
        """Record an answer that asks this host to pause its requests.

        A later answer may extend the pause but does not shorten it.

        Args:
            upstream: The incarnation that answered.
            seconds: Duration of the pause from now.
        """
        self.counts[Availability.paused] += 1
        row = self._row_of(upstream)
        if row is None or seconds <= 0:
            return
        row.paused_on = self.time_of_day()
        notice = row.notice
        if row.noted_at >= notice.paused_until:
            log_event(
                'upstream-paused',
                upstream=upstream.name,
                service=upstream.entry.service,
                seconds=seconds,
                in_flight=upstream.in_flight,
            )
        end = row.noted_at + min(seconds, MAX_PAUSE_SECONDS)
        notice.paused_until = max(notice.paused_until, end)

    def forget(self, names: Collection[str]) -> None:
        """Drop pauses that have ended and upstreams that left long ago.

        Args:
            names: Names of the present upstreams.
        """
        now = self.clock()
        self._rows = {
            name: row
            for name, row in self._rows.items()
            if _is_needed(row, now, is_listed=name in names)
        }

    def _known(self, upstream: Upstream) -> Notice | None:
        row = self._rows.get(upstream.name)
        if row is None or row.born > upstream.entry.born:
            return None
        if row.born == upstream.entry.born:
            return row.notice
        return _carried(row, upstream.entry.born, self.clock())

    def _row_of(self, upstream: Upstream) -> _Row | None:
        """Return the row of an incarnation; None if a later one has a row."""
        now = self.clock()
        born = upstream.entry.born
        row = self._rows.get(upstream.name)
        if row is None:
            row = _Row(born, Notice(), now)
        elif row.born < born:
            carried = _carried(row, born, now) or Notice()
            row = _Row(born, carried, now, row.leaving_on, row.paused_on)
        elif row.born > born and is_ahead(row.born, self.time_of_day()):
            row = _Row(born, Notice(), now)
        self._rows[upstream.name] = row
        if row.born > born:
            return None
        row.noted_at = now
        return row


def _carried(row: _Row, born: int, now: float) -> Notice | None:
    """Return the notices that a later incarnation gave before it was known.

    Args:
        row: Notices recorded for an earlier incarnation.
        born: Start time of the later one in Unix milliseconds.
        now: Monotonic time in seconds.
    """
    if now - row.noted_at > MAX_CARRIED_SECONDS:
        return None
    started = born / _MILLISECONDS
    is_leaving = _is_soon_after(started, row.leaving_on)
    is_paused = _is_soon_after(started, row.paused_on)
    if not (is_leaving or is_paused):
        return None
    return Notice(
        row.notice.leaving_since if is_leaving else None,
        row.notice.paused_until if is_paused else 0.0,
    )


def _is_soon_after(started: float, noted: float) -> bool:
    """Return whether a notice may be of a process that started by then."""
    return 0 <= noted - started <= REMEMBERED_SECONDS


def _is_needed(row: _Row, now: float, *, is_listed: bool) -> bool:
    if row.notice.leaving_since is None:
        return now < row.notice.paused_until
    return is_listed or now - row.noted_at <= REMEMBERED_SECONDS
