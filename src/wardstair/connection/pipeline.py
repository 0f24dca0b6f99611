"""Keeps the answers of a connection in the order of its requests.

Requests of a connection may finish in any order. An answer is sent once all
before it have been sent completely. Sending is left to the owner.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

A = TypeVar('A')


@dataclass(slots=True, eq=False)
class Turn(Generic[A]):
    """The place of one answer among those of a connection.

    Attributes:
        runs_alone: Whether the request may run only once.
        is_final: Whether nothing is read behind the request.
        answer: The answer, once it is known; None again while it is sent.
    """

    runs_alone: bool = False
    is_final: bool = False
    answer: A | None = None


class Pipeline(Generic[A]):
    """The open requests of a connection, oldest first."""

    __slots__ = ('_is_advancing', '_send', '_sending', '_turns')

    def __init__(self, send: Callable[[Turn[A], A], None]) -> None:
        """Create an empty pipeline.

        Args:
            send: Sends the answer whose turn it is. Its owner calls `sent` once
                all bytes are sent, which may be at once.
        """
        self._send = send
        # A list, as an empty one takes less memory than a deque.
        self._turns: list[Turn[A]] = []
        self._sending: Turn[A] | None = None
        self._is_advancing = False

    @property
    def open_count(self) -> int:
        """Number of requests whose answers are not sent completely."""
        return len(self._turns)

    @property
    def open_turns(self) -> tuple[Turn[A], ...]:
        """The open requests, oldest first."""
        return tuple(self._turns)

    @property
    def runs_alone(self) -> bool:
        """Whether an open request may run only once."""
        return bool(self._turns) and self._turns[0].runs_alone

    def begin(self, turn: Turn[A]) -> None:
        """Add a request behind all others."""
        self._turns.append(turn)

    def finish(self, turn: Turn[A], answer: A) -> None:
        """Send an answer in its turn.

        Args:
            turn: Turn of the request.
            answer: Its answer.
        """
        turn.answer = answer
        self._advance()

    def sent(self) -> None:
        """Note that the answer being sent is sent completely."""
        assert self._sending is not None
        self._sending = None
        self._turns.pop(0)
        self._advance()

    def clear(self) -> list[Turn[A]]:
        """Drop all requests of a connection that has closed; return them."""
        dropped = list(self._turns)
        self._turns.clear()
        self._sending = None
        return dropped

    def _advance(self) -> None:
        if self._is_advancing:
            # `send` may call `sent` at once; the loop below goes on then.
            return
        self._is_advancing = True
        try:
            while self._turns and self._sending is None:
                turn = self._turns[0]
                answer = turn.answer
                if answer is None:
                    return
                turn.answer = None
                self._sending = turn
                self._send(turn, answer)
        finally:
            self._is_advancing = False
