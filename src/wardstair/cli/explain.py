"""`wardstair-explain`: why a request ended as it did, from a log."""

import sys

import fire

from wardstair.process.story import Cause, tell_story


def explain(request_id: str) -> None:
    """Read a log on standard input and tell the story of one request.

    Args:
        request_id: The caller's name of its try.
    """
    story = tell_story(sys.stdin, str(request_id))
    print(f'request {request_id}: {story.cause}')
    for line in story.lines:
        print(f'  {line.text()}')
    if story.context:
        print('upstreams it was sent to, before and meanwhile:')
    for line in story.context:
        print(f'  {line.text()}')
    if story.cause is Cause.untold:
        sys.exit(1)


def main() -> None:
    """Run the command."""
    fire.Fire(explain)
