"""Asks the store when nothing else has told for too long that all is known."""

import asyncio
from collections.abc import Callable

from wardstair.decisions.state_age import RefreshTimes, may_ask
from wardstair.process.log import log_event
from wardstair.state.belief import Belief
from wardstair.state.contact import StoreContact
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
        times: Callable[[], RefreshTimes],
    ) -> None:
        """Prepare without a call.

        Args:
            sync: Asks the store.
            belief: The state.
            contact: Contact with the store.
            times: When the state is too old, by the bounds in force.
        """
        self.asked = 0
        self._sync = sync
        self._belief = belief
        self._contact = contact
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
            self._belief.age.look(times.look)
            self._sync.follow_roles()
            self._look(times)

    def _look(self, times: RefreshTimes) -> None:
        if self._belief.steering is None:
            return
        now = asyncio.get_running_loop().time()
        if self._began_at is None:
            self._began_at = now
        if self._contact.is_lost or now - self._began_at < times.ask:
            # While contact is lost, whoever asks for the store to be back
            # reads what has changed.
            return
        age = self._belief.age.seconds
        since = now - self._asked_at
        if not may_ask(times, age, len(self._asking), since):
            return
        if not self._asking:
            log_event('state-old', age=round(age, 3))
        self._asked_at = now
        self.asked += 1
        task = asyncio.ensure_future(self._sync.check())
        self._asking.add(task)
        task.add_done_callback(self._asking.discard)
