"""`wardstairctl config`: the steering configuration."""

import difflib
import json
import sys
from pathlib import Path

from result import Err, Ok

from wardstair.cli.context import EXIT_PARTIAL, EXIT_REFUSED, Context
from wardstair.cli.tables import print_rows
from wardstair.version.document import SteeringDocument, read_document


class ConfigCommands:
    """The steering configuration: show, diff, apply, status."""

    def __init__(self, context: Context) -> None:
        """Share the context."""
        self._context = context

    def show(self) -> None:
        """Print the configuration in force on one host, as JSON."""
        print(json.dumps(self._context.first('/v1/config'), indent=2))

    def diff(self, file: str) -> None:
        """Print what applying a file would change.

        Example: wardstairctl config diff examples/palermo.toml
        """
        document = _read(file)
        ours = self._context.first('/v1/config') or {}
        theirs = document.model_dump(mode='json', exclude={'blocks'})
        ours.pop('blocks', None)
        lines = difflib.unified_diff(
            json.dumps(ours, indent=1, sort_keys=True).splitlines(),
            json.dumps(theirs, indent=1, sort_keys=True).splitlines(),
            'in force',
            file,
            lineterm='',
        )
        print('\n'.join(lines))

    def apply(
        self,
        file: str,
        key: str = '',
        expected: int | None = None,
        dry_run: bool = False,
    ) -> None:
        """Check a file and make it the next version.

        Example: wardstairctl config apply palermo.toml --expected 7

        Args:
            file: Path of the TOML file.
            key: Makes the order idempotent.
            expected: Refuse unless this is the newest version.
            dry_run: Only check.
        """
        content = _read(file).model_dump(mode='json')
        self._context.order(
            {'verb': 'apply', 'document': content},
            key=key,
            dry_run=dry_run,
            force=False,
            expected=expected,
        )

    def status(self) -> None:
        """Print the lowest version in force by zone, and who lags."""
        found = self._context.first('/v1/config-status')
        newest = found['version']
        rows = [
            {
                'zone': zone,
                'lowest': one['lowest'],
                'age': one['age'],
                'state': 'in force' if one['lowest'] >= newest else 'LAGS',
            }
            for zone, one in found['zones'].items()
        ]
        print_rows(rows, as_json=self._context.as_json)
        if any(row['state'] == 'LAGS' for row in rows):
            raise SystemExit(EXIT_PARTIAL)


def _read(file: str) -> SteeringDocument:
    match read_document(Path(file)):
        case Ok(document):
            return document
        case Err(faults):
            for fault in faults:
                print(fault, file=sys.stderr)
            raise SystemExit(EXIT_REFUSED)
