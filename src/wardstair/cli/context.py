"""Hosts, output format and exit codes shared by `wardstairctl` commands."""

import json
import os
import sys
from typing import Any
from uuid import uuid4

from wardstair.cli.operator import HostAnswer, OperatorClient
from wardstair.cli.tables import print_missing

EXIT_REFUSED = 1
EXIT_UNREACHABLE = 2
EXIT_PARTIAL = 3
HOSTS_VARIABLE = 'WARDSTAIR_HOSTS'
TOKEN_VARIABLE = 'WARDSTAIR_TOKEN'  # noqa: S105


class Context:
    """The hosts, output format and operator that all commands share."""

    def __init__(self, hosts: str, *, as_json: bool) -> None:
        """Read the addresses and the token.

        Args:
            hosts: Comma-separated addresses; if empty, those of the
                environment variable WARDSTAIR_HOSTS.
            as_json: Print JSON instead of tables.
        """
        addresses = hosts or os.environ.get(HOSTS_VARIABLE, '')
        self.as_json = as_json
        self.operator = os.environ.get('USER', 'operator')
        hosts_given = [host for host in addresses.split(',') if host]
        self.client = OperatorClient(
            hosts_given, os.environ.get(TOKEN_VARIABLE, '')
        )
        # The fleet ports of gateways ask for no token, so they get none.
        self.fleet_client = OperatorClient(hosts_given, '')

    def rows_of_all(self, path: str) -> list[HostAnswer]:
        """Query all hosts and return the successful answers.

        Prints the hosts that did not answer; exits if none did.

        Args:
            path: Path of the query.
        """
        answers = self.client.ask_all(path)
        print_missing([answer.host for answer in answers if not answer.is_good])
        good = [answer for answer in answers if answer.is_good]
        if not good:
            raise SystemExit(EXIT_UNREACHABLE)
        return good

    def first(self, path: str) -> Any:
        """Return the content of the first answer; exit if the query fails.

        Args:
            path: Path of the query.
        """
        answer = self.client.ask_first(path)
        if answer.status == 404:
            print('not found on this host', file=sys.stderr)
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
        """Send an order and print its result; exit if it is refused.

        Args:
            action: The verb of the order and its parameters.
            key: Idempotency key; empty to generate one.
            dry_run: Only forecast the effect.
            force: Apply the order in spite of a bad forecast.
            expected: Refuse the order unless this is the newest version.
        """
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
        verb = 'is unchanged by a dry run of' if dry_run else 'was created by'
        note = ' (already applied before)' if content['repeated'] else ''
        print(f'version {content["version"]} {verb} the order{note}')
