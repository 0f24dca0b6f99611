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
        """Create the commands.

        Args:
            context: Hosts, output format and operator to use.
        """
        self._context = context

    def show(self) -> None:
        """Print the configuration in force on one host, as JSON."""
        print(json.dumps(self._context.first('/v1/config'), indent=2))

    def diff(self, file: str) -> None:
        """Print what applying a file would change, apart from its blocks.

        Example: wardstairctl config diff examples/palermo.toml

        Args:
            file: Path of the TOML file.
        """
        document = _read(file)
        current = self._context.first('/v1/config') or {}
        proposed = document.model_dump(mode='json', exclude={'blocks'})
        current.pop('blocks', None)
        lines = difflib.unified_diff(
            json.dumps(current, indent=1, sort_keys=True).splitlines(),
            json.dumps(proposed, indent=1, sort_keys=True).splitlines(),
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
        """Check a file and apply it as the next version.

        Example: wardstairctl config apply palermo.toml --expected 7

        Args:
            file: Path of the TOML file.
            key: Idempotency key; an order with the same key is applied once.
            expected: Refuse the order unless this is the newest version.
            dry_run: Check the order without applying it.
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
        """Print the lowest version in force by zone, and which zones lag.

        Exits with code 3 if a zone lags.
        """
        status = self._context.first('/v1/config-status')
        newest = status['version']
        rows = [
            {
                'zone': zone,
                'lowest': known['lowest'],
                'age': known['age'],
                'state': 'in force' if known['lowest'] >= newest else 'LAGS',
            }
            for zone, known in status['zones'].items()
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
