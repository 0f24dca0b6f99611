"""`wardstairctl drain`: drains upstreams, hosts, zones and regions."""

from wardstair.cli.context import Context
from wardstair.cli.tables import print_rows


class DrainCommands:
    """Drains of upstreams, hosts, zones and regions: start, status, stop."""

    def __init__(self, context: Context) -> None:
        """Create the commands.

        Args:
            context: Hosts, output format and operator to use.
        """
        self._context = context

    def start(
        self,
        kind: str,
        name: str,
        key: str = '',
        dry_run: bool = False,
        force: bool = False,
    ) -> None:
        """Start a drain; refused if the remaining capacity would not suffice.

        Example: wardstairctl drain start zone palermo-a --dry_run

        Args:
            kind: upstream, host, zone or region.
            name: Name of what to drain.
            key: Idempotency key; an order with the same key is applied once.
            dry_run: Only forecast the effect.
            force: Drain in spite of a bad forecast.
        """
        self._context.order(
            {'verb': 'drain-start', 'drain': {'kind': kind, 'name': name}},
            key=key,
            dry_run=dry_run,
            force=force,
        )

    def stop(self, kind: str, name: str, key: str = '') -> None:
        """End a drain.

        Args:
            kind: upstream, host, zone or region.
            name: Name of what is drained.
            key: Idempotency key; an order with the same key is applied once.
        """
        self._context.order(
            {'verb': 'drain-stop', 'drain': {'kind': kind, 'name': name}},
            key=key,
            dry_run=False,
            force=False,
        )

    def status(self) -> None:
        """Print the active drains with their requests still in flight."""
        drains = (self._context.first('/v1/config') or {}).get('drains', [])
        answers = self._context.rows_of_all('/v1/upstreams')
        upstreams = [row for answer in answers for row in answer.content]
        rows = [
            {
                **drain,
                'in_flight': sum(
                    row['in_use']
                    for row in upstreams
                    if drain['name'] in {row['upstream'], row['zone']}
                    or row['zone'].startswith(f'{drain["name"]}-')
                ),
            }
            for drain in drains
        ]
        print_rows(rows, as_json=self._context.as_json)
