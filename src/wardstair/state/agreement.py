"""Compares the listed upstreams with those of other hosts."""

import asyncio
from collections.abc import Callable

from wardstair.decisions.agreement import ListedState
from wardstair.fleet.heartbeats import HeartbeatDatagram
from wardstair.process.log import log_event
from wardstair.state.contact import StoreContact
from wardstair.state.local_state import LocalState
from wardstair.state.sync import StoreSync


class ListingAgreement:
    """Lists the upstreams again if a host of the same revision differs.

    Attributes:
        differences: Number of differences for which this host listed again.
    """

    def __init__(
        self,
        sync: StoreSync,
        local_state: LocalState,
        contact: StoreContact,
        delay: Callable[[], float],
    ) -> None:
        """Initialize without calling the store.

        Args:
            sync: Lists the upstreams.
            local_state: The state of this host.
            contact: Contact with the store.
            delay: Returns the seconds to wait before listing, for the bounds
                in force.
        """
        self.differences = 0
        self._sync = sync
        self._local_state = local_state
        self._contact = contact
        self._delay = delay
        # State of this host after its last listing.
        self._confirmed: ListedState | None = None
        self._listing: asyncio.Task[None] | None = None

    def close(self) -> None:
        """Cancel a listing that is due or in progress."""
        if self._listing is not None:
            self._listing.cancel()

    def on_heartbeat(self, heartbeat: HeartbeatDatagram) -> None:
        """Compare the listed upstreams with those of the sender."""
        own = self._local_state.versions.listed_state
        if not own.contradicts(heartbeat.versions.listed_state):
            return
        is_listing = self._listing is not None and not self._listing.done()
        if is_listing or own == self._confirmed:
            return
        self._listing = asyncio.ensure_future(
            self._list_again(own, heartbeat.sender.name)
        )

    async def _list_again(self, doubted: ListedState, host: str) -> None:
        await asyncio.sleep(self._delay())
        is_corrected = self._local_state.versions.listed_state != doubted
        if is_corrected or self._contact.is_lost:
            return
        self.differences += 1
        log_event('upstreams-differ', host=host, revision=doubted.revision)
        if await self._sync.list_upstreams():
            self._confirmed = self._local_state.versions.listed_state
