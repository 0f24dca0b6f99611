"""Prints rows as a text table or as JSON."""

import json
import sys
from collections.abc import Sequence
from typing import Any


def print_rows(rows: Sequence[dict[str, Any]], *, as_json: bool) -> None:
    """Print rows as a table with the keys of the first row as columns.

    Args:
        rows: Rows with equal keys.
        as_json: Print JSON instead of a table.
    """
    if as_json:
        print(json.dumps(list(rows)))
        return
    if not rows:
        print('nothing to show')
        return
    columns = list(rows[0])
    lines = [columns, *([str(row[name]) for name in columns] for row in rows)]
    widths = [
        max(len(line[column]) for line in lines)
        for column, _ in enumerate(columns)
    ]
    for line in lines:
        padded = [
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ]
        print('  '.join(padded).rstrip())


def print_missing(hosts: Sequence[str]) -> None:
    """Print to standard error the hosts that did not answer."""
    for host in hosts:
        print(f'no answer from {host}', file=sys.stderr)


def keep_matching(
    rows: Sequence[dict[str, Any]],
    filters: dict[str, str | None],
) -> list[dict[str, Any]]:
    """Return the rows that match all filters.

    Args:
        rows: Rows to filter.
        filters: Wanted value by key; empty values do not filter.
    """
    wanted = {name: text for name, text in filters.items() if text}
    return [
        row
        for row in rows
        if all(str(row.get(name)) == text for name, text in wanted.items())
    ]
