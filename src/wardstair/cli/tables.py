"""Prints answers as tables for people or as JSON for programs."""

import json
import sys
from collections.abc import Sequence
from typing import Any


def print_rows(rows: Sequence[dict[str, Any]], *, as_json: bool) -> None:
    """Print rows with the columns of the first one.

    Args:
        rows: Rows of equal keys.
        as_json: Print JSON instead of a table.
    """
    if as_json:
        print(json.dumps(list(rows)))
        return
    if not rows:
        print('nothing to show')
        return
    head = list(rows[0])
    cells = [head, *([str(row[name]) for name in head] for row in rows)]
    widths = [
        max(len(row[column]) for row in cells) for column, _ in enumerate(head)
    ]
    for row in cells:
        padded = [
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ]
        print('  '.join(padded).rstrip())


def print_missing(hosts: Sequence[str]) -> None:
    """Tell on standard error which hosts did not answer."""
    for host in hosts:
        print(f'no answer from {host}', file=sys.stderr)


def keep_matching(
    rows: Sequence[dict[str, Any]],
    filters: dict[str, str | None],
) -> list[dict[str, Any]]:
    """Return the rows that match all filters that are set."""
    wanted = {name: text for name, text in filters.items() if text}
    return [
        row
        for row in rows
        if all(str(row.get(name)) == text for name, text in wanted.items())
    ]
