"""`wardstairctl`: queries entry hosts and sends them orders."""

import json
import sys
import time

import fire

from wardstair.cli.config_commands import ConfigCommands
from wardstair.cli.context import EXIT_REFUSED, Context
from wardstair.cli.drain_commands import DrainCommands
from wardstair.cli.policy_commands import PolicyCommands
from wardstair.cli.rollout_commands import RolloutCommands
from wardstair.cli.shift_commands import ShiftCommands
from wardstair.cli.tables import keep_matching, print_rows


class Ctl:
    """Query and control the entry hosts of wardstair.

    Give the addresses of operators' listeners, separated by commas, with
    --hosts or in WARDSTAIR_HOSTS, and the token in WARDSTAIR_TOKEN. `rollouts`
    asks gateways instead: give the first fleet port of each. Exit codes:
    0 success, 1 refused, 2 no host answered, 3 partial success.
    """

    def __init__(self, hosts: str = '', json: bool = False) -> None:  # noqa: A002
        """Create the commands.

        Args:
            hosts: Addresses of operators' listeners, separated by commas.
            json: Print JSON instead of tables.
        """
        # fire parses a value with commas as a tuple.
        addresses = ','.join(hosts) if isinstance(hosts, tuple) else hosts
        self._context = Context(addresses, as_json=json)
        self.config = ConfigCommands(self._context)
        self.drain = DrainCommands(self._context)
        self.shift = ShiftCommands(self._context)
        self.policy = PolicyCommands(self._context)
        self.rollouts = RolloutCommands(self._context)

    def status(self) -> None:
        """Print the version and the open and waiting requests of each host."""
        answers = self._context.rows_of_all('/v1/status')
        names = ('host', 'zone', 'version', 'open_requests', 'waiting')
        rows = [
            {name: answer.content[name] for name in (*names, 'leaving')}
            for answer in answers
        ]
        print_rows(rows, as_json=self._context.as_json)

    def upstreams(
        self,
        zone: str = '',
        workload: str = '',
        state: str = '',
    ) -> None:
        """Print the upstreams as each queried host sees them.

        Args:
            zone: Only upstreams of this zone.
            workload: Only upstreams of this workload.
            state: Only upstreams in this state.
        """
        answers = self._context.rows_of_all('/v1/upstreams')
        rows = [
            {'seen_by': answer.host, **row}
            for answer in answers
            for row in answer.content
        ]
        filters: dict[str, str | None] = {
            'zone': zone,
            'workload': workload,
            'state': state,
        }
        kept = keep_matching(rows, filters)
        print_rows(kept, as_json=self._context.as_json)

    def hosts(self, zone: str = '', state: str = '') -> None:
        """Print the entry hosts as the first host that answers sees them.

        Args:
            zone: Only hosts of this zone.
            state: Only hosts in this state.
        """
        rows = self._context.first('/v1/hosts')
        kept = keep_matching(rows, {'zone': zone, 'state': state})
        print_rows(kept, as_json=self._context.as_json)

    def explain(self, subject: str) -> None:
        """Print the recorded decisions about a request.

        Args:
            subject: Id or idempotency key of the request.
        """
        records = [
            {'host': answer.host, **answer.content}
            for answer in self._context.client.ask_all(f'/v1/explain/{subject}')
            if answer.is_good
        ]
        if not records:
            print('no host has a record of this request', file=sys.stderr)
            raise SystemExit(EXIT_REFUSED)
        print(json.dumps(records, indent=2))

    def watch(self, turns: int = 0, seconds: float = 2.0) -> None:
        """Print the status repeatedly.

        Args:
            turns: Number of times; 0 for no limit.
            seconds: Pause between two prints, in seconds.
        """
        turn = 0
        while True:
            self.status()
            turn += 1
            if turn == turns:
                return
            time.sleep(seconds)


def main() -> None:
    """Run the command line."""
    fire.Fire(Ctl, name='wardstairctl')
