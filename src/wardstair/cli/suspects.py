"""`wardstair-suspects`: the requests that ended upstreams, and lifting one."""

import json
import sys

import fire
from tornado.httpclient import HTTPClient, HTTPRequest

from wardstair.cli.tables import print_rows

# An entry host answers from memory.
ANSWER_SECONDS = 2.0


def suspects(host: str, lift: str = '', *, as_json: bool = False) -> None:
    """Show what entry hosts know of requests that ended upstreams.

    Args:
        host: `ip:port` of any entry host, the first of its fleet ports.
        lift: A request, as `content` names it, that is to be served again.
        as_json: Print JSON instead of a table.
    """
    path = f'/{lift}' if lift else ''
    request = HTTPRequest(
        f'http://{host}/v1/suspects{path}',
        method='DELETE' if lift else 'GET',
        request_timeout=ANSWER_SECONDS,
    )
    client = HTTPClient()
    try:
        response = client.fetch(request, raise_error=False)
    finally:
        client.close()
    if response.code != 200:
        reason = response.body.decode() or response.error
        print(f'{host}: {reason}', file=sys.stderr)
        sys.exit(1)
    if lift:
        print(f'{lift} is served again, within seconds on all hosts')
        return
    print_rows(json.loads(response.body), as_json=as_json)


def main() -> None:
    """Run the command."""
    fire.Fire(suspects)
