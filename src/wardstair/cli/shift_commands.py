"""`wardstairctl shift`: capped moves of traffic between regions."""

from wardstair.cli.context import Context
from wardstair.cli.operator import HostAnswer
from wardstair.cli.tables import print_rows


class ShiftCommands:
    """Capped moves of traffic: start, status, stop."""

    def __init__(self, context: Context) -> None:
        """Create the commands.

        Args:
            context: Hosts, output format and operator to use.
        """
        self._context = context

    def start(
        self,
        name: str,
        workload: str,
        source: str,
        target: str,
        cap: int,
        key: str = '',
        dry_run: bool = False,
        force: bool = False,
    ) -> None:
        """Start a shift, or change the cap of an existing one.

        Example: wardstairctl shift start choir --workload views
        --source palermo --target catania --cap 20 --dry_run

        Args:
            name: Name of the shift.
            workload: Workload whose traffic moves.
            source: Region that the traffic comes from.
            target: Region that the traffic goes to.
            cap: Maximum number of moved requests in flight in the target.
            key: Idempotency key; an order with the same key is applied once.
            dry_run: Only forecast the effect.
            force: Start in spite of a bad forecast.
        """
        shift = {
            'name': name,
            'workload': workload,
            'source': source,
            'target': target,
            'cap': cap,
        }
        self._context.order(
            {'verb': 'shift-start', 'shift': shift},
            key=key,
            dry_run=dry_run,
            force=force,
        )

    def stop(self, name: str, key: str = '') -> None:
        """End a shift; requests that it has already moved are completed.

        Args:
            name: Name of the shift.
            key: Idempotency key; an order with the same key is applied once.
        """
        self._context.order(
            {'verb': 'shift-stop', 'name': name},
            key=key,
            dry_run=False,
            force=False,
        )

    def status(self) -> None:
        """Print the active shifts with their caps and requests in flight."""
        shifts = (self._context.first('/v1/config') or {}).get('shifts', [])
        answers = self._context.rows_of_all('/v1/status')
        rows = [
            {**shift, 'in_flight': _in_use(answers, shift['name'])}
            for shift in shifts
        ]
        print_rows(rows, as_json=self._context.as_json)


def _in_use(answers: list[HostAnswer], shift: str) -> int:
    name = f'shift/{shift}'
    ledgers = [answer.content['ledgers'].get(name) for answer in answers]
    return sum(ledger['in_use'] for ledger in ledgers if ledger)
