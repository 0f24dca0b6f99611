"""What a host does for others, as the tasks that keep its state see it."""

from collections.abc import Callable
from dataclasses import dataclass


def always() -> bool:
    """Return True; the default of a condition."""
    return True


def ignore() -> None:
    """Do nothing; the default of a callback."""


@dataclass(frozen=True, slots=True)
class Roles:
    """The roles of this host now; each host decides its own.

    Attributes:
        is_relay: Whether it speaks for its zone and watches the store for it.
        is_sentinel: Whether it also watches the store closely for all zones.
    """

    is_relay: Callable[[], bool] = always
    is_sentinel: Callable[[], bool] = always
