"""The history of one request, collected from the logs of entry hosts."""

import shlex
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum

# Lines before the first one of a request that are searched for events of its
# upstreams.
CONTEXT_LINES = 4000
_CONTEXT_EVENTS = frozenset(
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
        'it was late: all slots of the upstream were in use when it arrived'
    )
    late_slow = 'it was late: the upstream worked slower than was expected'
    late_again = 'it was late: the first attempt failed and it was sent again'
    refused_full = (
        'it has not run: no upstream of its service had room; the caller was '
        'told when to come back'
    )
    refused_shed = (
        'it has not run: the upstreams that it was sent to rejected it '
        'although they had capacity; the caller was told to come back at once'
    )
    refused_limits = (
        'it has not run: all upstreams of its service report a rate limit, and '
        'this host may not send them more for now; the caller was told when '
        'to come back'
    )
    refused_gone = (
        'it has not run: no connection to an upstream could be opened; the '
        'caller was told when to come back'
    )
    refused_memory = (
        'it has not run: the host held as many bodies as its memory allows; '
        'the caller was told when to come back'
    )
    refused_harmful = (
        'it has not run: upstreams ended under the same request before; '
        '`request-held` names them, `wardstair-suspects` removes the block'
    )
    refused_start = 'it has not run: the host had no configuration yet'
    refused_key = (
        'it has not run: its API key is missing or not in force; the reason is '
        'in `request-unauthorised`'
    )
    refused_quota = (
        'it has not run: the quota of its organisation is exhausted; the '
        'caller was told when to come back'
    )
    refused_unverified = (
        'it has not run: the host had no contact with the store and could not '
        'verify its API key'
    )
    refused_no_region = (
        'it has not run: the route and the organisation allow no region in '
        'common'
    )
    no_route = 'it has not run: no route of the version in force matches it'
    unknown = (
        'it may have run: an upstream that it was sent to broke off, and it '
        'may not be sent twice'
    )
    timed_out = (
        'it may have run: its deadline passed while an upstream processed it'
    )
    left = 'the caller closed its connection before the answer'
    fault = 'an internal error of the entry host ended it; see its error'
    unlogged = 'the log does not show its end; it may be thinned or incomplete'


# By event and reason of the last line; an empty reason matches all others.
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
        event: Name of its event.
        fields: Its fields by name, including `time`.
    """

    event: str
    fields: dict[str, str]

    def text(self) -> str:
        """Return the line in readable form."""
        rest = ' '.join(
            f'{name}={value}'
            for name, value in self.fields.items()
            if name not in {'event', 'level', 'time'}
        )
        return f'{self.fields.get("time", "")} {self.event} {rest}'


@dataclass(frozen=True, slots=True)
class RequestHistory:
    """The part of a log that concerns a request.

    Attributes:
        cause: Why it ended as it did.
        lines: Lines of the request, in order.
        context: Lines about its upstreams, from shortly before the request
            until its end.
    """

    cause: Cause
    lines: list[LogLine] = field(default_factory=list)
    context: list[LogLine] = field(default_factory=list)


def parse_line(raw: str) -> LogLine | None:
    """Parse a line; None if it is not an event of this program."""
    if 'event=' not in raw:
        return None
    try:
        words = shlex.split(raw)
    except ValueError:
        # The line is truncated inside a quoted value.
        return None
    fields = dict(word.split('=', 1) for word in words if '=' in word)
    event = fields.get('event')
    return None if event is None else LogLine(event, fields)


def collect_history(
    raw_lines: Iterable[str], request_id: str
) -> RequestHistory:
    """Collect the history of a request.

    Args:
        raw_lines: Log lines of one host or of several.
        request_id: Id that the caller gave this attempt.
    """
    parsed = [line for raw in raw_lines if (line := parse_line(raw))]
    positions = [
        position
        for position, line in enumerate(parsed)
        if line.fields.get('request') == request_id
    ]
    request_lines = [parsed[position] for position in positions]
    if not request_lines:
        return RequestHistory(Cause.unlogged)
    start = max(0, positions[0] - CONTEXT_LINES)
    named = _upstreams(request_lines)
    process = request_lines[-1].fields.get('process')
    context = [
        line
        for line in parsed[start : positions[-1] + 1]
        if line.event in _CONTEXT_EVENTS
        and line.fields.get('upstream') in named
        and line.fields.get('process') == process
    ]
    return RequestHistory(cause_of(request_lines[-1]), request_lines, context)


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
