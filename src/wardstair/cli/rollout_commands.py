"""`wardstairctl rollouts`: the roll-outs of versions as gateways know them."""

import json
import sys
from collections.abc import Sequence
from typing import Any

from pydantic import ValidationError

from wardstair.cli.context import EXIT_REFUSED, EXIT_UNREACHABLE, Context
from wardstair.cli.operator import HostAnswer
from wardstair.cli.rollout_hints import hint_of
from wardstair.cli.rollout_rows import (
    RolloutRow,
    merge_listings,
    parse_listing,
)
from wardstair.cli.tables import print_missing, print_rows

_PATH = '/v1/rollouts'
_NO_LISTING = 'no list of roll-outs; is it the first fleet port?'
# The columns of the table and the fields that they show.
_COLUMNS = (
    ('service', 'service'),
    ('version', 'version'),
    ('state', 'state'),
    ('stage', 'stage'),
    ('share', 'share'),
    ('exposure', 'sent'),
    ('bound', 'bound'),
    ('answers', 'answers'),
    ('bad', 'bad'),
    ('seconds_left', 'seconds_left'),
    ('reason', 'reason'),
)


class RolloutCommands:
    """Roll-outs of versions: list, show.

    Asks gateways. Give in --hosts the address `ip:port` of each with the first
    of its fleet ports, the same as for wardstair-suspects; no token is needed.
    Of several hosts the one with the latest plan or record counts, then the
    coordinator, then the first that answers.
    """

    def __init__(self, context: Context) -> None:
        """Create the commands.

        Args:
            context: Hosts and output format to use.
        """
        self._context = context

    def list(self) -> None:
        """Print all roll-outs and refused orders.

        `exposure` is how many requests the new version got, `bound` how many it
        may have got by now; only sentinels know these and the answers. With
        --json, all fields are printed.

        Example: wardstairctl --hosts 10.0.0.1:9471,10.0.0.2:9471 rollouts list
        """
        rows = self._rows()
        if self._context.as_json:
            print_rows([_document(row) for row in rows], as_json=True)
            return
        print_rows([_table_row(row) for row in rows], as_json=False)

    def show(self, service: str) -> None:
        """Print all that is known of the roll-out of one service.

        A refused order is shown with the field that is not as expected.

        Example: wardstairctl --hosts 10.0.0.1:9471 rollouts show views

        Args:
            service: Name of the service.
        """
        # fire parses a name of digits as a number.
        rows = [row for row in self._rows() if row.service == str(service)]
        if not rows:
            print(f'no order of a roll-out of {service}', file=sys.stderr)
            raise SystemExit(EXIT_REFUSED)
        documents = [_document(row) for row in rows]
        if self._context.as_json:
            print(json.dumps(documents))
            return
        print('\n\n'.join(_lines(document) for document in documents))

    def _rows(self) -> Sequence[RolloutRow]:
        """Query all hosts; exit if none has a listing."""
        answers = self._context.fleet_client.ask_all(_PATH)
        if not answers:
            print('no address given; use --hosts', file=sys.stderr)
            raise SystemExit(EXIT_UNREACHABLE)
        listings = [_listing(answer) for answer in answers]
        known = [rows for rows in listings if rows is not None]
        if known:
            return merge_listings(known)
        is_refused = any(_refusal(answer) for answer in answers)
        raise SystemExit(EXIT_REFUSED if is_refused else EXIT_UNREACHABLE)


def _listing(answer: HostAnswer) -> Sequence[RolloutRow] | None:
    """Return the rows of an answer; print why if it has none."""
    refusal = _refusal(answer)
    if refusal:
        print(f'{answer.host}: {refusal}', file=sys.stderr)
        return None
    if not answer.is_good:
        reason = f'{answer.status} {answer.content}'
        print_missing([f'{answer.host}: {reason}'])
        return None
    try:
        return parse_listing(answer.content)
    except ValidationError:
        print_missing([f'{answer.host}: {_NO_LISTING}'])
        return None


def _refusal(answer: HostAnswer) -> str:
    """Return why a host lists no roll-outs; empty if it does not say."""
    match answer:
        case HostAnswer(status=404, content={'error': str(reason)}):
            return reason
        case _:
            return ''


def _document(row: RolloutRow) -> dict[str, Any]:
    return {**row.model_dump(), 'hint': hint_of(row)}


def _table_row(row: RolloutRow) -> dict[str, Any]:
    fields = row.model_dump()
    return {title: _cell(fields[name]) for title, name in _COLUMNS}


def _lines(document: dict[str, Any]) -> str:
    width = max(len(name) for name in document)
    return '\n'.join(
        f'{name.ljust(width)}  {_cell(value)}'
        for name, value in document.items()
    )


def _cell(value: object) -> str:
    return '-' if value is None or value == '' else str(value)
