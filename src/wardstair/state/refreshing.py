"""Asks the store when nothing else has told for too long that all is known."""

import asyncio
from collections.abc import Callable

from wardstair.decisions.state_age import RefreshTimes, may_query, query_age
from wardstair.decisions.timing import SETTLE_SECONDS
from wardstair.process.log import log_event
from wardstair.state.belief import Belief
from wardstair.state.contact import StoreContact
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
        belief: Belief,
        contact: StoreContact,
        roles: Roles,
        times: Callable[[], RefreshTimes],
    ) -> None:
        """Prepare without a call.

        Args:
            sync: Asks the store.
            belief: The state.
            contact: Contact with the store.
            roles: What this host does for others.
            times: When the state is too old, by the bounds in force.
        """
        self.asked = 0
        self._sync = sync
        self._belief = belief
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
            await asyncio.sleep(times.poll_interval)
            self._belief.age.look(times.poll_interval)
            is_new_sentinel = self._sync.follow_role()
            # While a fleet starts, each host is a sentinel for a moment.
            if self._has_begun() and (is_new_sentinel or self._is_old(times)):
                self._ask()

    def _is_old(self, times: RefreshTimes) -> bool:
        age = self._belief.age.seconds
        if age < times.reporter_query_age:
            return False
        since = asyncio.get_running_loop().time() - self._asked_at
        ask = query_age(times, is_reporter=self._roles.is_relay())
        return age >= ask and may_query(
            len(self._asking), since, times.retry_seconds
        )

    def _has_begun(self) -> bool:
        if self._belief.steering is None:
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
            log_event('state-old', age=round(self._belief.age.seconds, 3))
        self._asked_at = asyncio.get_running_loop().time()
        self.asked += 1
        task = asyncio.ensure_future(self._sync.check())
        self._asking.add(task)
        task.add_done_callback(self._asking.discard)
