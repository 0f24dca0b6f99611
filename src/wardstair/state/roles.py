"""What a host does for others, as the tasks that keep its state see it."""

from collections.abc import Callable
from dataclasses import dataclass

from wardstair.process.log import log_event


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
        is_first_sentinel: Whether it does so more closely than the other.
    """

    is_relay: Callable[[], bool] = always
    is_sentinel: Callable[[], bool] = always
    is_first_sentinel: Callable[[], bool] = always


@dataclass(slots=True)
class RoleLog:
    """Logs when the roles of this host change.

    Attributes:
        roles: The roles of this host.
    """

    roles: Roles
    _before: tuple[bool, bool] = (False, False)

    def refresh(self) -> None:
        """Log the roles if they have changed since the last call."""
        roles = (self.roles.is_relay(), self.roles.is_sentinel())
        if roles == self._before:
            return
        self._before = roles
        is_relay, is_sentinel = roles
        log_event('roles-changed', relay=is_relay, sentinel=is_sentinel)
