"""What all commands of `wardstairctl` share: hosts, output form, exit codes."""

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
