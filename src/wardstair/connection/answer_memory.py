"""Memory for the answer to one exchange, as its connection uses it."""

from collections.abc import Callable
from enum import StrEnum
from typing import Protocol


class Reservation(StrEnum):
    """Result of reserving memory for an answer."""

    made = 'made'
    # It is made once others have released theirs.
    waiting = 'waiting'
    # The answer is larger than all memory for bodies.
    refused = 'refused'


class AnswerMemory(Protocol):
    """Memory for one answer."""

    def take(self, amount: int) -> bool:
        """Take up memory for received bytes; return whether there is any left.

        Args:
            amount: Number of bytes.
        """

    def reserve(self, amount: int, on_made: Callable[[], None]) -> Reservation:
        """Reserve memory for bytes that are still to come.

        Args:
            amount: Their number.
            on_made: Called once it is reserved, if it has to wait.
        """
