"""`wardstairctl`: asks what is happening and orders what happens next."""

import difflib
import json
import os
import sys
import time
from pathlib import Path
from typing import Any
from uuid import uuid4

import fire
from result import Err, Ok

from wardstair.cli.operator import HostAnswer, OperatorClient
from wardstair.cli.tables import keep_matching, print_missing, print_rows
from wardstair.version.document import SteeringDocument, read_document

EXIT_REFUSED = 1
EXIT_UNREACHABLE = 2
EXIT_PARTIAL = 3
HOSTS_VARIABLE = 'WARDSTAIR_HOSTS'
TOKEN_VARIABLE = 'WARDSTAIR_TOKEN'  # noqa: S105


class Context:
    """What all commands share: hosts, output form and the operator."""

    def __init__(self, hosts: str, *, as_json: bool) -> None:
        """Read the addresses and the token.

        Args:
            hosts: Addresses with commas between, or empty for those of the
                environment variable WARDSTAIR_HOSTS.
            as_json: Print JSON.
        """
        named = hosts or os.environ.get(HOSTS_VARIABLE, '')
        self.as_json = as_json
        self.operator = os.environ.get('USER', 'operator')
        self.client = OperatorClient(
            [host for host in named.split(',') if host],
            os.environ.get(TOKEN_VARIABLE, ''),
        )

    def rows_of_all(self, path: str) -> list[HostAnswer]:
        """Ask all hosts; tell which did not answer; fail if none did."""
        answers = self.client.ask_all(path)
        print_missing([one.host for one in answers if not one.is_good])
        good = [one for one in answers if one.is_good]
        if not good:
            raise SystemExit(EXIT_UNREACHABLE)
        return good

    def first(self, path: str) -> Any:
        """Ask one host; fail if none answers."""
        answer = self.client.ask_first(path)
        if answer.status == 404:
            print('not known to this host', file=sys.stderr)
            raise SystemExit(EXIT_REFUSED)
        if not answer.is_good:
            print_missing([f'{answer.host}: {answer.content}'])
            raise SystemExit(EXIT_UNREACHABLE)
        return answer.content

    def order(
        self,
        action: dict[str, Any],
        *,
        key: str,
        dry_run: bool,
        force: bool,
        expected: int | None = None,
    ) -> None:
        """Give an order and print what came of it."""
        answer = self.client.order(
            {
                'key': key or f'ctl-{uuid4().hex}',
                'operator': self.operator,
                'expected': expected,
                'dry_run': dry_run,
                'force': force,
                'action': action,
            }
        )
        if answer.status == 599:
            print_missing([f'{answer.host}: {answer.content}'])
            raise SystemExit(EXIT_UNREACHABLE)
        if not answer.is_good:
            for fault in answer.content.get('faults', [answer.content]):
                print(fault, file=sys.stderr)
            raise SystemExit(EXIT_REFUSED)
        self._print_order(answer.content, dry_run=dry_run)

    def _print_order(self, content: dict[str, Any], *, dry_run: bool) -> None:
        if self.as_json:
            print(json.dumps(content))
            return
        for line in content['forecast']:
            print(line)
        word = 'would follow' if dry_run else 'is'
        again = ' (given before)' if content['repeated'] else ''
        print(f'version {content["version"]} {word} the order{again}')


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


class ShiftCommands:
    """Capped moves of traffic: start, status, stop."""

    def __init__(self, context: Context) -> None:
        """Share the context."""
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
        """Start a shift, or change the cap of one.

        Example: wardstairctl shift start choir --workload views
        --source palermo --target catania --cap 20 --dry_run

        Args:
            name: Name of the shift.
            workload: Workload to move.
            source: Region it moves from.
            target: Region it moves to.
            cap: Most requests in flight in the target.
            key: Makes the order idempotent.
            dry_run: Only forecast.
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
        """End a shift; what it brought finishes in peace."""
        self._context.order(
            {'verb': 'shift-stop', 'name': name},
            key=key,
            dry_run=False,
            force=False,
        )

    def status(self) -> None:
        """Print the shifts in force with their use of the cap."""
        shifts = (self._context.first('/v1/config') or {}).get('shifts', [])
        answers = self._context.rows_of_all('/v1/status')
        rows = [
            {**shift, 'in_flight': _in_use(answers, shift['name'])}
            for shift in shifts
        ]
        print_rows(rows, as_json=self._context.as_json)


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


def _read(file: str) -> SteeringDocument:
    match read_document(Path(file)):
        case Ok(document):
            return document
        case Err(faults):
            for fault in faults:
                print(fault, file=sys.stderr)
            raise SystemExit(EXIT_REFUSED)


def _in_use(answers: list[HostAnswer], shift: str) -> int:
    name = f'shift/{shift}'
    ledgers = [one.content['ledgers'].get(name) for one in answers]
    return sum(ledger['in_use'] for ledger in ledgers if ledger)


def main() -> None:
    """Run the command line."""
    fire.Fire(Ctl, name='wardstairctl')
