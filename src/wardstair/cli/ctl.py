"""`wardstairctl`: asks what is happening and orders what happens next."""

import json
import sys
import time

import fire

from wardstair.cli.config_commands import ConfigCommands
from wardstair.cli.context import EXIT_REFUSED, Context
from wardstair.cli.drain_commands import DrainCommands
from wardstair.cli.policy_commands import PolicyCommands
from wardstair.cli.shift_commands import ShiftCommands
from wardstair.cli.tables import keep_matching, print_rows


class Ctl:
    """Query and command language of wardstair.

    Give the operators' listeners by --hosts or WARDSTAIR_HOSTS, with commas
    between, and the token by WARDSTAIR_TOKEN. Exit codes: 0 done, 1 refused,
    2 no host answered, 3 done in part.
    """

    def __init__(self, hosts: str = '', json: bool = False) -> None:  # noqa: A002
        """Prepare the commands.

        Args:
            hosts: Addresses of operators' listeners.
            json: Print JSON for programs.
        """
        named = ','.join(hosts) if isinstance(hosts, tuple) else hosts
        self._context = Context(named, as_json=json)
        self.config = ConfigCommands(self._context)
        self.drain = DrainCommands(self._context)
        self.shift = ShiftCommands(self._context)
        self.policy = PolicyCommands(self._context)

    def status(self) -> None:
        """Print one row a host: version, open requests, what waits."""
        answers = self._context.rows_of_all('/v1/status')
        names = ('host', 'zone', 'version', 'open_requests', 'waiting')
        rows = [
            {name: one.content[name] for name in (*names, 'leaving')}
            for one in answers
        ]
        print_rows(rows, as_json=self._context.as_json)

    def upstreams(
        self,
        zone: str = '',
        workload: str = '',
        state: str = '',
    ) -> None:
        """Print the upstreams as the asked hosts see them."""
        answers = self._context.rows_of_all('/v1/upstreams')
        rows = [
            {'seen_by': one.host, **row}
            for one in answers
            for row in one.content
        ]
        filters: dict[str, str | None] = {
            'zone': zone,
            'workload': workload,
            'state': state,
        }
        kept = keep_matching(rows, filters)
        print_rows(kept, as_json=self._context.as_json)

    def hosts(self, zone: str = '', state: str = '') -> None:
        """Print the entry hosts as the first answering host knows them."""
        rows = self._context.first('/v1/hosts')
        kept = keep_matching(rows, {'zone': zone, 'state': state})
        print_rows(kept, as_json=self._context.as_json)

    def explain(self, subject: str) -> None:
        """Print what was decided about a request, by its id or key."""
        found = [
            {'host': one.host, **one.content}
            for one in self._context.client.ask_all(f'/v1/explain/{subject}')
            if one.is_good
        ]
        if not found:
            print('no asked host remembers it', file=sys.stderr)
            raise SystemExit(EXIT_REFUSED)
        print(json.dumps(found, indent=2))

    def watch(self, turns: int = 0, seconds: float = 2.0) -> None:
        """Print the status again and again.

        Args:
            turns: How often; 0 for ever.
            seconds: Pause between.
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
