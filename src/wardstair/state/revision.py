"""The order of what the platform's store says."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class Revision:
    """A revision of the store, with the era of the store that issued it.

    Eras compare first: a restored store issues lower numbers again, and what it
    says with them is newer than anything of the era before.

    Attributes:
        era: Rises each time that the store is restored from a copy; 0 if the
            store does not tell.
        number: The store's revision within that era.
    """

    era: int = 0
    number: int = 0

    def __str__(self) -> str:
        """Return it as log lines tell it: `era.number`."""
        return f'{self.era}.{self.number}'


# Before anything was read.
NO_REVISION = Revision()
