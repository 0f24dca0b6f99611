"""Revisions of the store for tests."""

from wardstair.state.revision import Revision


def at(number: int, era: int = 1) -> Revision:
    """Return a revision of an era."""
    return Revision(era, number)
