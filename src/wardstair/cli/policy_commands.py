"""`wardstairctl policy`: steering policies of workloads."""

from wardstair.cli.context import Context
from wardstair.cli.tables import print_rows


class PolicyCommands:
    """Steering policies: list, set."""

    def __init__(self, context: Context) -> None:
        """Share the context."""
        self._context = context

    def list(self) -> None:
        """Print the policy of each workload."""
        found = self._context.first('/v1/config') or {}
        rows = found.get('policies', [])
        print_rows(rows, as_json=self._context.as_json)

    def set(
        self,
        workload: str,
        kind: str,
        spill_at: float = 0.8,
        key: str = '',
        dry_run: bool = False,
    ) -> None:
        """Give a workload a policy.

        Example: wardstairctl policy set views nearest --spill_at 0.7
        """
        policy = {'workload': workload, 'kind': kind, 'spill_at': spill_at}
        self._context.order(
            {'verb': 'policy-set', 'policy': policy},
            key=key,
            dry_run=dry_run,
            force=False,
        )
