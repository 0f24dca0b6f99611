"""`wardstair-suspects`: lists suspect requests and lifts the hold on one.

A suspect is a request whose execution ended the process of an upstream.
"""

import json
import sys

import fire
from tornado.httpclient import HTTPClient, HTTPRequest

from wardstair.cli.tables import print_rows

# Short, since an entry host answers from memory.
REQUEST_TIMEOUT_SECONDS = 2.0


def suspects(host: str, lift: str = '', *, as_json: bool = False) -> None:
    """List the suspect requests that the entry hosts have recorded.

    Args:
        host: Address `ip:port` of any entry host, with the first of its fleet
            ports.
        lift: Value of `content` of a request to serve again.
        as_json: Print JSON instead of a table.
    """
    path = f'/{lift}' if lift else ''
    request = HTTPRequest(
        f'http://{host}/v1/suspects{path}',
        method='DELETE' if lift else 'GET',
        request_timeout=REQUEST_TIMEOUT_SECONDS,
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
        print(f'{lift} is lifted; all hosts serve it again within seconds')
        return
    print_rows(json.loads(response.body), as_json=as_json)


def main() -> None:
    """Run the command."""
    fire.Fire(suspects)
