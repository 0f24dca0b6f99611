"""Revisions of the platform's store and their order."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class Revision:
    """A revision of the store within an era.

    Eras compare first: a restored store issues lower numbers again, but its
    objects are newer than all objects of the previous era.

    Attributes:
        era: Rises each time that the store is restored from a backup; 0 if the
            store does not report it.
        number: The store's revision within that era.
    """

    era: int = 0
    number: int = 0

    def __str__(self) -> str:
        """Return the revision in the format of log lines: `era.number`."""
        return f'{self.era}.{self.number}'


# The revision before the first read.
NO_REVISION = Revision()
