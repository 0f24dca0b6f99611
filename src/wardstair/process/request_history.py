"""The story of one request, put together from the log of the entry hosts."""

import shlex
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum

# How long before a request's first line what happened to its upstreams and to
# the host still explains it, in lines of the same log.
CONTEXT_LINES = 4000
_CONTEXT = frozenset(
    (
        'upstream-changed',
        'upstream-missing',
        'upstream-gone',
        'upstream-avoided',
        'upstream-ejected',
    )
)


class Cause(StrEnum):
    """Why a request ended as it did, in a sentence."""

    good = 'it was answered in time'
    late_cold = (
        'it was late: the host had not seen the upstream answer its key '
        'lately, so the key was probably not warm there'
    )
    late_queue = (
        'it was late: the upstream had more requests than slots when it came'
    )
    late_slow = 'it was late: the upstream worked slower than was expected'
    late_again = 'it was late: a first send failed and a second one was made'
    refused_full = (
        'it has not run: no upstream of its service had room; the caller was '
        'told when to come back'
    )
    refused_shed = (
        'it has not run: the upstreams that it was sent to turned it away '
        'though they had room; the caller was told to come back at once'
    )
    refused_limits = (
        'it has not run: all upstreams of its service name a limit, and this '
        'host may send them no more for now; the caller was told when to come '
        'back'
    )
    refused_gone = (
        'it has not run: no connection to an upstream came up; the caller '
        'was told when to come back'
    )
    refused_memory = (
        'it has not run: the host held as many bodies as its memory allows; '
        'the caller was told when to come back'
    )
    refused_harmful = (
        'it has not run: upstreams ended under the same request before; '
        '`request-held` names them, `wardstair-suspects` lifts it'
    )
    refused_start = 'it has not run: the host knew no configuration yet'
    refused_key = (
        'it has not run: its API key is missing or not in force; '
        '`request-unauthorised` says which'
    )
    refused_quota = (
        'it has not run: the quota of its organisation is used up; the caller '
        'was told when to come back'
    )
    refused_unverified = (
        'it has not run: the host had no contact with the store and could not '
        'check its API key'
    )
    refused_no_region = (
        'it has not run: the route and the organisation allow no region in '
        'common'
    )
    no_route = 'it has not run: no route of the version in force covers it'
    unknown = (
        'it may have run: an upstream that it was sent to broke off, and it '
        'may not be sent twice'
    )
    timed_out = 'it may have run: its time was up while an upstream was at it'
    left = 'the caller left before the answer'
    fault = 'a fault of the entry host ended it; see its error'
    unlogged = 'the log does not tell its end; it may be thinned or not whole'


# By kind of the last line and its reason; no reason stands for all others.
_CAUSES = {
    ('request-refused', 'overloaded'): Cause.refused_full,
    ('request-refused', 'turned-away'): Cause.refused_shed,
    ('request-refused', 'limits-reached'): Cause.refused_limits,
    ('request-refused', 'no-upstream'): Cause.refused_gone,
    ('request-refused', 'ends-upstreams'): Cause.refused_harmful,
    ('request-refused', 'outcome-unknown'): Cause.unknown,
    ('request-refused', 'deadline-passed'): Cause.timed_out,
    ('request-refused', 'no-home'): Cause.refused_no_region,
    ('request-over-quota', ''): Cause.refused_quota,
    ('request-unauthorised', 'unverified'): Cause.refused_unverified,
    ('request-unauthorised', ''): Cause.refused_key,
    ('request-unrouted', 'starting'): Cause.refused_start,
    ('request-unrouted', ''): Cause.no_route,
    ('request-unheld', ''): Cause.refused_memory,
    ('caller-left', ''): Cause.left,
    ('request-failed', ''): Cause.fault,
}


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a log.

    Attributes:
        event: Its kind.
        fields: Its fields by name, `time` among them.
    """

    event: str
    fields: dict[str, str]

    def text(self) -> str:
        """Return the line for people."""
        rest = ' '.join(
            f'{name}={value}'
            for name, value in self.fields.items()
            if name not in {'event', 'level', 'time'}
        )
        return f'{self.fields.get("time", "")} {self.event} {rest}'


@dataclass(frozen=True, slots=True)
class RequestHistory:
    """What a log tells of a request.

    Attributes:
        cause: Why it ended as it did.
        lines: Its own lines, in order.
        context: Lines on the upstreams it was sent to, before and meanwhile.
    """

    cause: Cause
    lines: list[LogLine] = field(default_factory=list)
    context: list[LogLine] = field(default_factory=list)


def parse_line(raw: str) -> LogLine | None:
    """Parse a line; None if it is not one of ours."""
    if 'event=' not in raw:
        return None
    try:
        words = shlex.split(raw)
    except ValueError:
        # A line that was cut: quotes that do not close.
        return None
    fields = dict(word.split('=', 1) for word in words if '=' in word)
    event = fields.get('event')
    return None if event is None else LogLine(event, fields)


def collect_history(
    raw_lines: Iterable[str], request_id: str
) -> RequestHistory:
    """Return the story of a request.

    Args:
        raw_lines: The log, of one host or of several.
        request_id: The caller's name of its try.
    """
    parsed = [line for raw in raw_lines if (line := parse_line(raw))]
    positions = [
        position
        for position, line in enumerate(parsed)
        if line.fields.get('request') == request_id
    ]
    own = [parsed[position] for position in positions]
    if not own:
        return RequestHistory(Cause.unlogged)
    begin = max(0, positions[0] - CONTEXT_LINES)
    named = _upstreams(own)
    process = own[-1].fields.get('process')
    context = [
        line
        for line in parsed[begin : positions[-1] + 1]
        if line.event in _CONTEXT
        and line.fields.get('upstream') in named
        and line.fields.get('process') == process
    ]
    return RequestHistory(cause_of(own[-1]), own, context)


def cause_of(last: LogLine) -> Cause:
    """Return why a request ended as it did, from its last line."""
    if last.event == 'request-answered':
        return _answered_cause(last)
    known = _CAUSES.get((last.event, last.fields.get('reason', '')))
    return known or _CAUSES.get((last.event, ''), Cause.unlogged)


def _upstreams(lines: Sequence[LogLine]) -> set[str]:
    named: set[str] = set()
    for line in lines:
        for name in ('upstream', 'upstreams', 'before'):
            named.update(line.fields.get(name, '').split(','))
    return named - {''}


def _answered_cause(line: LogLine) -> Cause:
    fields = line.fields
    if fields.get('late') != 'True':
        return Cause.good
    if fields.get('sends') != '1':
        return Cause.late_again
    if fields.get('warm') != 'True':
        return Cause.late_cold
    if float(fields['load']) >= float(fields['slots']):
        return Cause.late_queue
    return Cause.late_slow
