"""`wardstairctl drain`: planned stops."""

from wardstair.cli.context import Context
from wardstair.cli.tables import print_rows


class DrainCommands:
    """Planned stops: start, status, stop."""

    def __init__(self, context: Context) -> None:
        """Share the context."""
        self._context = context

    def start(
        self,
        kind: str,
        name: str,
        key: str = '',
        dry_run: bool = False,
        force: bool = False,
    ) -> None:
        """Start a drain; it is refused if the rest would not carry it.

        Example: wardstairctl drain start zone palermo-a --dry_run

        Args:
            kind: upstream, host, zone or region.
            name: Its name.
            key: Makes the order idempotent.
            dry_run: Only forecast.
            force: Drain in spite of a bad forecast.
        """
        self._context.order(
            {'verb': 'drain-start', 'drain': {'kind': kind, 'name': name}},
            key=key,
            dry_run=dry_run,
            force=force,
        )

    def stop(self, kind: str, name: str, key: str = '') -> None:
        """End a drain."""
        self._context.order(
            {'verb': 'drain-stop', 'drain': {'kind': kind, 'name': name}},
            key=key,
            dry_run=False,
            force=False,
        )

    def status(self) -> None:
        """Print the drains in force and what is still in flight there."""
        drains = (self._context.first('/v1/config') or {}).get('drains', [])
        answers = self._context.rows_of_all('/v1/upstreams')
        upstreams = [row for one in answers for row in one.content]
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
