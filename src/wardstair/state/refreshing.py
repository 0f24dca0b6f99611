"""Asks the store when nothing else has told for too long that all is known."""

import asyncio
from collections.abc import Callable

from wardstair.decisions.state_age import RefreshTimes, ask_after, may_ask
from wardstair.decisions.timing import SETTLE_SECONDS
from wardstair.process.log import log_event
from wardstair.state.contact import StoreContact
from wardstair.state.local_state import LocalState
from wardstair.state.roles import Roles
from wardstair.state.sync import StoreSync


class StateRefresher:
    """Looks how old the state of this host is; a task of its own runs it.

    Attributes:
        asked: Times that the store was asked.
    """

    def __init__(
        self,
        sync: StoreSync,
        local_state: LocalState,
        contact: StoreContact,
        roles: Roles,
        times: Callable[[], RefreshTimes],
    ) -> None:
        """Prepare without a call.

        Args:
            sync: Asks the store.
            local_state: The state.
            contact: Contact with the store.
            roles: What this host does for others.
            times: When the state is too old, by the bounds in force.
        """
        self.asked = 0
        self._sync = sync
        self._local_state = local_state
        self._contact = contact
        self._roles = roles
        self._times = times
        self._asking: set[asyncio.Task[None]] = set()
        self._asked_at = float('-inf')
        # When the first configuration was known: a host that starts is told
        # the rest, or reads it, soon after.
        self._began_at: float | None = None

    def close(self) -> None:
        """End what is asked."""
        for task in self._asking:
            task.cancel()

    async def run(self) -> None:
        """Look until cancelled."""
        while True:
            times = self._times()
            await asyncio.sleep(times.look)
            self._local_state.age.tick(times.look)
            is_new_sentinel = self._sync.update_role()
            # While a fleet starts, each host is a sentinel for a moment.
            if self._has_begun() and (is_new_sentinel or self._is_old(times)):
                self._ask()

    def _is_old(self, times: RefreshTimes) -> bool:
        age = self._local_state.age.seconds
        if age < times.ask_telling:
            return False
        since = asyncio.get_running_loop().time() - self._asked_at
        ask = ask_after(times, tells_others=self._roles.is_relay())
        return age >= ask and may_ask(len(self._asking), since, times.again)

    def _has_begun(self) -> bool:
        if self._local_state.steering is None:
            return False
        now = asyncio.get_running_loop().time()
        if self._began_at is None:
            self._began_at = now
        return now - self._began_at >= SETTLE_SECONDS

    def _ask(self) -> None:
        if self._contact.is_lost:
            # Whoever asks whether the store is back reads what has changed.
            return
        if not self._asking:
            log_event('state-old', age=round(self._local_state.age.seconds, 3))
        self._asked_at = asyncio.get_running_loop().time()
        self.asked += 1
        task = asyncio.ensure_future(self._sync.check())
        self._asking.add(task)
        task.add_done_callback(self._asking.discard)
