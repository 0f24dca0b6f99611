"""Follows one kind of objects of the store: a listing, then watches."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Result

from wardstair.errors import PlatformError, WatchForgotten
from wardstair.platform.store import Changes, Listing, Store
from wardstair.process.log import log_event
from wardstair.state.contact import StoreContact

# A waiting watch is one call; the store allows 30 s.
WATCH_SECONDS = 25.0
# A watch that only asks whether the store is back.
ASKING_SECONDS = 0.02


@dataclass(frozen=True, slots=True)
class FollowPlan:
    """What to follow and how.

    Attributes:
        kind: The kind of objects.
        pause: Seconds between a watch's answer and the next watch, so that
            changes close together cost one call.
    """

    kind: str
    pause: float = 0.0


class Follower:
    """Keeps one kind up to date; a task of its own runs it."""

    def __init__(
        self,
        store: Store,
        contact: StoreContact,
        plan: FollowPlan,
        on_listing: Callable[[Listing], None],
        on_changes: Callable[[Changes], None],
    ) -> None:
        """Prepare without a call.

        Args:
            store: The store.
            contact: Told of each success and failure.
            plan: What to follow.
            on_listing: Takes in a whole listing.
            on_changes: Takes in changes.
        """
        self.revision = 0
        self._store = store
        self._contact = contact
        self._plan = plan
        self._on_listing = on_listing
        self._on_changes = on_changes
        self._needs_listing = True

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            await self._contact.wait_turn()
            if self._needs_listing:
                await self._list()
            else:
                await self._watch()

    async def _list(self) -> None:
        listed = await self._store.list_kind(self._plan.kind)
        if isinstance(listed, Err):
            self._fail(listed.err_value)
            return
        self._contact.note_success()
        self._needs_listing = False
        self.revision = listed.ok_value.revision
        self._on_listing(listed.ok_value)

    async def _watch(self) -> None:
        watched = await self._watch_once()
        if watched is None:
            return
        if isinstance(watched, Err):
            self._fail(watched.err_value)
            return
        self._contact.note_success()
        changes = watched.ok_value
        if changes.revision > self.revision:
            self.revision = changes.revision
            self._on_changes(changes)
        if changes.changes and self._plan.pause:
            await asyncio.sleep(self._plan.pause)

    async def _watch_once(self) -> Result[Changes, PlatformError] | None:
        """Watch once; None if the watch was dropped and is to be renewed."""
        # While contact is lost the answer itself is what matters.
        seconds = ASKING_SECONDS if self._contact.is_lost else WATCH_SECONDS
        watching = asyncio.ensure_future(
            self._store.watch_kind(self._plan.kind, self.revision, seconds),
        )
        regained = self._contact.next_regain()
        try:
            await asyncio.wait(
                (watching, regained),
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            if not watching.done():
                watching.cancel()
        return watching.result() if watching.done() else None

    def _fail(self, error: PlatformError) -> None:
        match error:
            case WatchForgotten():
                self._needs_listing = True
                log_event(
                    'watch-forgotten',
                    kind=self._plan.kind,
                    revision=self.revision,
                )
            case _:
                reason = getattr(error, 'message', type(error).__name__)
                self._contact.note_failure(f'{self._plan.kind}: {reason}')
