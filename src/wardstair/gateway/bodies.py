"""How many bytes of request bodies a gateway holds.

A body is held whole until its request has ended, so that a request which an
upstream turns away can be sent to the next. On a small host some hundred slow
uploads would otherwise take the memory of the process, which is killed then.
"""

from dataclasses import dataclass

# What a process needs beside bodies: 40 MB were measured
# with 48 upstreams, 50 MB with 184.
BASE_BYTES = 83886080
# A body lies in the chunks that came, in one piece, and in the bytes on their
# way to an upstream.
COPIES = 3
# Held at least, however small the host is.
LEAST_BYTES = 4194304


@dataclass(slots=True)
class BodyRoom:
    """Room for bodies; one a process.

    Attributes:
        most: Bytes that may be held.
        held: Bytes that are held now.
    """

    most: int
    held: int = 0

    def take(self, amount: int) -> bool:
        """Take room; return False, and take none, if there is too little.

        Args:
            amount: Bytes.
        """
        if self.held + amount > self.most:
            return False
        self.held += amount
        return True

    def give_back(self, amount: int) -> None:
        """Give room back.

        Args:
            amount: Bytes.
        """
        self.held -= amount


def body_room(memory_bytes: int) -> BodyRoom:
    """Return the room of a process.

    Args:
        memory_bytes: Memory that the process may use.
    """
    left = (memory_bytes - BASE_BYTES) // COPIES
    return BodyRoom(max(LEAST_BYTES, left))
