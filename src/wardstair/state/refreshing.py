"""Queries the store when this host's state has not been confirmed for long."""

import asyncio
from collections.abc import Callable

from wardstair.decisions.state_age import RefreshTimes, may_query, query_age
from wardstair.decisions.timing import SETTLE_SECONDS
from wardstair.process.log import log_event
from wardstair.state.contact import StoreContact
from wardstair.state.local_state import LocalState
from wardstair.state.roles import Roles
from wardstair.state.sync import StoreSync


class StateRefresher:
    """Monitors the age of this host's state; a task of its own runs it.

    Attributes:
        asked: Number of times that the store was queried.
    """

    def __init__(
        self,
        sync: StoreSync,
        local_state: LocalState,
        contact: StoreContact,
        roles: Roles,
        times: Callable[[], RefreshTimes],
    ) -> None:
        """Initialize without calling the store.

        Args:
            sync: Queries the store.
            local_state: The state of this host.
            contact: Contact with the store.
            roles: The roles of this host.
            times: Returns the ages from which the state is too old, for the
                bounds in force.
        """
        self.asked = 0
        self._sync = sync
        self._local_state = local_state
        self._contact = contact
        self._roles = roles
        self._times = times
        self._queries: set[asyncio.Task[None]] = set()
        self._asked_at = float('-inf')
        # Monotonic time in seconds at which the first configuration was known.
        # A starting host receives or reads the remaining state soon after.
        self._configured_at: float | None = None

    def close(self) -> None:
        """Cancel the queries in progress."""
        for task in self._queries:
            task.cancel()

    async def run(self) -> None:
        """Check the age until cancelled."""
        while True:
            times = self._times()
            await asyncio.sleep(times.poll_interval)
            self._local_state.age.tick(times.poll_interval)
            is_new_sentinel = self._sync.update_role()
            # While a fleet starts, each host is a sentinel for a short time.
            if self._has_started() and (is_new_sentinel or self._is_old(times)):
                self._query()

    def _is_old(self, times: RefreshTimes) -> bool:
        age = self._local_state.age.seconds
        if age < times.reporter_query_age:
            return False
        since = asyncio.get_running_loop().time() - self._asked_at
        limit = query_age(times, is_reporter=self._roles.is_relay())
        return age >= limit and may_query(
            len(self._queries), since, times.retry_seconds
        )

    def _has_started(self) -> bool:
        if self._local_state.steering is None:
            return False
        now = asyncio.get_running_loop().time()
        if self._configured_at is None:
            self._configured_at = now
        return now - self._configured_at >= SETTLE_SECONDS

    def _query(self) -> None:
        if self._contact.is_lost:
            # The task that retries the store reads the changes as well.
            return
        if not self._queries:
            log_event('state-old', age=round(self._local_state.age.seconds, 3))
        self._asked_at = asyncio.get_running_loop().time()
        self.asked += 1
        task = asyncio.ensure_future(self._sync.check())
        self._queries.add(task)
        task.add_done_callback(self._queries.discard)
