"""`wardstairctl policy`: steering policies of workloads."""

from wardstair.cli.context import Context
from wardstair.cli.tables import print_rows


class PolicyCommands:
    """Steering policies: list, set."""

    def __init__(self, context: Context) -> None:
        """Create the commands.

        Args:
            context: Hosts, output format and operator to use.
        """
        self._context = context

    def list(self) -> None:
        """Print the policy of each workload."""
        configuration = self._context.first('/v1/config') or {}
        rows = configuration.get('policies', [])
        print_rows(rows, as_json=self._context.as_json)

    def set(
        self,
        workload: str,
        kind: str,
        spill_at: float = 0.8,
        key: str = '',
        dry_run: bool = False,
    ) -> None:
        """Set the policy of a workload.

        Example: wardstairctl policy set views nearest --spill_at 0.7

        Args:
            workload: Name of the workload.
            kind: nearest, least-in-flight, weighted or headroom-first.
            spill_at: Used share above which requests spill over, at most 1.
            key: Idempotency key; an order with the same key is applied once.
            dry_run: Check the order without applying it.
        """
        policy = {'workload': workload, 'kind': kind, 'spill_at': spill_at}
        self._context.order(
            {'verb': 'policy-set', 'policy': policy},
            key=key,
            dry_run=dry_run,
            force=False,
        )
