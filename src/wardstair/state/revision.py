"""The order of what the platform's store says."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True, order=True)
class Revision:
    """A revision of the store, with the era of the store that issued it.

    Attributes:
        era: Rises each time that the store is restored from a copy; 0 if the
            store does not tell.
        number: The store's revision within that era.
    """

    era: int = field(default=0, compare=False)
    number: int = 0

    def __str__(self) -> str:
        """Return it as log lines tell it: `era.number`."""
        return f'{self.era}.{self.number}'


# Before anything was read.
NO_REVISION = Revision()
