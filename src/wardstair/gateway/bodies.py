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
class BodyCapacity:
    """Room for bodies; one a process.

    Attributes:
        max_bytes: Bytes that may be held.
        held: Bytes that are held now.
    """

    max_bytes: int
    held: int = 0

    def take(self, amount: int) -> bool:
        """Take room; return False, and take none, if there is too little.

        Args:
            amount: Bytes.
        """
        if self.held + amount > self.max_bytes:
            return False
        self.held += amount
        return True

    def give_back(self, amount: int) -> None:
        """Give room back.

        Args:
            amount: Bytes.
        """
        self.held -= amount


def body_capacity(memory_bytes: int) -> BodyCapacity:
    """Return the room of a process.

    Args:
        memory_bytes: Memory that the process may use.
    """
    left = (memory_bytes - BASE_BYTES) // COPIES
    return BodyCapacity(max(LEAST_BYTES, left))
