"""`wardstair-explain`: finds in a log why requests ended as they did."""

import sys

import fire

from wardstair.cli.tables import print_rows
from wardstair.process.request_history import Cause, collect_history
from wardstair.process.summary import CauseCount, summarize


def explain(request_id: str = '', *, summary: bool = False) -> None:
    """Read a log on standard input; explain one request or count causes.

    Args:
        request_id: Id that the caller gave to the request.
        summary: Instead of one request, count the causes of all requests that
            were not served in time.
    """
    if summary:
        _print_summary()
        return
    if not request_id:
        print('give the id of a request, or --summary', file=sys.stderr)
        sys.exit(2)
    _print_history(str(request_id))


def _print_summary() -> None:
    rows = [_row(count) for count in summarize(sys.stdin)]
    print_rows(rows, as_json=False)


def _row(count: CauseCount) -> dict[str, str]:
    return {
        'requests': str(count.requests),
        'share': f'{count.share:.1%}',
        'median_seconds': f'{count.seconds:.3f}',
        'route': count.route,
        'cause': count.cause,
    }


def _print_history(request_id: str) -> None:
    history = collect_history(sys.stdin, request_id)
    print(f'request {request_id}: {history.cause}')
    for line in history.lines:
        print(f'  {line.text()}')
    if history.context:
        print('upstreams it was sent to, before and meanwhile:')
    for line in history.context:
        print(f'  {line.text()}')
    if history.cause is Cause.unlogged:
        sys.exit(1)


def main() -> None:
    """Run the command."""
    fire.Fire(explain)
