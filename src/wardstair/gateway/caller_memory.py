"""Accounts for the memory that one connection of a caller holds."""

from wardstair.decisions.pipelining import MAX_HELD_BYTES
from wardstair.gateway.bodies import BodyCapacity, memory_of
from wardstair.gateway.caller_requests import CallerRequest, CallerTurn
from wardstair.gateway.messages import Reply


class CallerMemory:
    """Bytes held for a connection: bodies, and answers waiting for their turn.

    Attributes:
        held_bytes: Their number.
    """

    __slots__ = ('_bodies', 'held_bytes')

    def __init__(self, bodies: BodyCapacity) -> None:
        """Create an account without any bytes.

        Args:
            bodies: Capacity of the host.
        """
        self.held_bytes = 0
        self._bodies = bodies

    def reserve(
        self, request: CallerRequest, amount: int, *, is_first: bool
    ) -> bool:
        """Reserve memory for body bytes; return False and reserve none if it
        is too little.

        Args:
            request: The request that is being received.
            amount: Number of bytes received.
            is_first: Whether no request before it is open. Then only the host's
                capacity limits it, as nothing else of the connection is held,
                and all of a body whose length is known is reserved at once: it
                is refused before it is received, or not at all.
        """
        received = request.received_bytes + amount
        needed = max(received, request.declared_bytes) if is_first else received
        lacking = max(0, needed - request.held_bytes)
        has_room = self.held_bytes + lacking <= MAX_HELD_BYTES
        if not (is_first or has_room) or not self._bodies.grow_body(
            request.held_bytes, request.held_bytes + lacking
        ):
            return False
        self.held_bytes += lacking
        request.held_bytes += lacking
        request.received_bytes = received
        return True

    def is_beyond(self, request: CallerRequest, amount: int) -> bool:
        """Return whether a body is longer than the host can ever hold.

        Args:
            request: The request that is being received.
            amount: Number of bytes received.
        """
        known = max(request.received_bytes + amount, request.declared_bytes)
        return memory_of(known) > self._bodies.max_body_bytes

    def release(self, request: CallerRequest) -> None:
        """Release the memory of a request's body."""
        self._bodies.release(memory_of(request.held_bytes))
        self.held_bytes -= request.held_bytes
        request.held_bytes = 0
        request.received_bytes = 0
        request.drop_body()

    def hold_answer(self, turn: CallerTurn, reply: Reply) -> None:
        """Count an answer that waits for its turn.

        It is held even beyond the capacity; reading pauses then. The host's
        capacity already counts an answer with a lease.

        Args:
            turn: Turn of the request.
            reply: The answer.
        """
        amount = len(reply.body)
        self.held_bytes += amount
        turn.waiting_bytes = amount
        if reply.lease is None:
            self._bodies.hold(amount)
            turn.counted_bytes = amount

    def release_answer(self, turn: CallerTurn) -> None:
        """Release the memory of an answer that is sent or dropped."""
        self._bodies.release(turn.counted_bytes)
        self.held_bytes -= turn.waiting_bytes
        turn.waiting_bytes = 0
        turn.counted_bytes = 0
