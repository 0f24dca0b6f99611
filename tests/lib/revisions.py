"""Shorthand for revisions of the store."""

from wardstair.state.revision import Revision


def at(number: int, era: int = 1) -> Revision:
    """Return a revision with a number in an era."""
    return Revision(era, number)
