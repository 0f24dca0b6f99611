"""The roles of a host that determine which state it reads from the store."""

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
    """The current roles of this host; each host determines its own.

    Attributes:
        is_relay: Returns whether it represents its zone to other zones and
            watches the store for it.
        is_sentinel: Returns whether it also watches the store with short waits
            for all zones.
        is_first_sentinel: Returns whether it uses the shortest waits of all
            sentinels.
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
