"""Keeps one kind of store objects up to date by a listing and watches."""

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import TypeVar

from result import Err, Result

from wardstair.decisions.state_age import Reading, complete_at
from wardstair.errors import PlatformError, WatchForgotten
from wardstair.platform.store import Store
from wardstair.platform.store_answers import Changes, Listing
from wardstair.process.log import log_event
from wardstair.state.contact import StoreContact
from wardstair.state.revision import NO_REVISION, Revision
from wardstair.state.roles import always

# A waiting watch counts as one call; the store allows 30 s.
WATCH_SECONDS = 25.0
# Duration of a watch that only checks whether the store answers again.
PROBE_WATCH_SECONDS = 0.02
# Default interval at which a host that does not watch a kind checks whether it
# has to.
POLL_SECONDS = 0.25
# A younger watch is not dropped for being behind: its answer may still be in
# transit.
MIN_WATCH_AGE_SECONDS = 0.3
_News = TypeVar('_News', Listing, Changes)


class RenewalReason(StrEnum):
    """Why a waiting watch is dropped and started again.

    Attributes:
        behind: Another answer of the store shows that it missed a change.
        regained: The store answers again, or was restored.
        role: This host has become a sentinel, whose watches are shorter.
        late: This watch or another one was not answered in time.
    """

    behind = 'behind'
    late = 'late'
    regained = 'regained'
    role = 'role'


def default_poll_interval() -> float:
    """Return the default interval between role checks, in seconds."""
    return POLL_SECONDS


def default_wait() -> float:
    """Return the default wait of a watch, in seconds."""
    return WATCH_SECONDS


def no_tolerance() -> float | None:
    """Return None: a watch is never considered late."""
    return None


def _ignore_completeness(_revision: Revision, _moment: float) -> None:
    """Do nothing; the default of `WatchSinks.on_complete`."""


def no_pause() -> float:
    """Return the default pause between watches, in seconds."""
    return 0.0


@dataclass(frozen=True, slots=True)
class WatchPlan:
    """What to watch and how.

    Attributes:
        kind: The kind of objects.
        pause: Returns the seconds between the answer of a watch and the next
            watch, so that changes in quick succession cost one call.
        is_wanted: Returns whether this host should watch the kind now.
        wait: Returns the maximum wait of the next watch, in seconds.
        tolerance: Returns the seconds beyond that wait after which an answer is
            late and contact is suspect; None if lateness is not checked.
        poll_interval: Returns the seconds between two checks of `is_wanted`.
        resumes: Whether watching continues from a known revision when it is
            wanted again; otherwise the kind is listed again.
    """

    kind: str
    pause: Callable[[], float] = no_pause
    is_wanted: Callable[[], bool] = always
    wait: Callable[[], float] = default_wait
    tolerance: Callable[[], float | None] = no_tolerance
    poll_interval: Callable[[], float] = default_poll_interval
    resumes: bool = False


@dataclass(frozen=True, slots=True)
class WatchSinks:
    """Callbacks that receive the results of a watcher.

    Attributes:
        on_listing: Receives a complete listing.
        on_changes: Receives changes.
        on_revision: Receives the store's revision of each answer to a watch.
        on_complete: Receives the revision up to which the kind is completely
            known, and the monotonic time in seconds for which this holds.
    """

    on_listing: Callable[[Listing], None]
    on_changes: Callable[[Changes], None]
    on_revision: Callable[[Revision], None]
    on_complete: Callable[[Revision, float], None] = _ignore_completeness


class KindWatcher:
    """Keeps one kind of objects up to date; a task of its own runs it.

    Attributes:
        revision: Revision up to which the kind is completely known.
        renewals: Number of waiting watches that were dropped, by reason.
    """

    def __init__(
        self,
        store: Store,
        contact: StoreContact,
        plan: WatchPlan,
        sinks: WatchSinks,
    ) -> None:
        """Initialize without calling the store.

        Args:
            store: The store.
            contact: Records each success and failure.
            plan: What to watch.
            sinks: Receive listings and changes.
        """
        self.revision = NO_REVISION
        self.renewals = Counter[RenewalReason]()
        self._store = store
        self._contact = contact
        self._plan = plan
        self._sinks = sinks
        self._needs_listing = True
        self._watching_since: float | None = None
        self._dropped = asyncio.Event()
        # Serializes listings, so that a late one cannot replace a newer one.
        self._listing = asyncio.Lock()
        self._drop_reason = RenewalReason.behind
        # Start of the last watch in monotonic seconds, and its maximum wait.
        self._asked_at = 0.0
        self._wait_seconds = 0.0

    @property
    def kind(self) -> str:
        """The kind of objects that it watches."""
        return self._plan.kind

    @property
    def has_listed(self) -> bool:
        """Whether the kind was listed and can be watched from there.

        After a restore the store issues the same revision numbers again. A
        watch from a revision before the restore would be answered, but would
        lack the objects that were written again with lower numbers.
        """
        is_before_restore = self.revision.era < self._contact.era
        return not (self._needs_listing or is_before_restore)

    def skip_to(self, revision: Revision) -> None:
        """Continue from a revision up to which a peer sent all changes."""
        if revision > self.revision:
            self.revision = revision
            self._needs_listing = False

    def may_lack(self, revision: Revision) -> bool:
        """Return whether changes up to a revision may be missing.

        Args:
            revision: The store's revision in another answer.
        """
        return self.revision < revision

    def drop_watch(self) -> None:
        """Renew a waiting watch that has missed a change."""
        since = self._watching_since
        if since is None:
            return
        if asyncio.get_running_loop().time() - since >= MIN_WATCH_AGE_SECONDS:
            self._drop(RenewalReason.behind)

    def renew_watch(self) -> None:
        """Restart a waiting watch with the current values of the plan."""
        if self._watching_since is not None:
            self._drop(RenewalReason.role)

    def _drop(self, reason: RenewalReason) -> None:
        self._drop_reason = reason
        self._dropped.set()

    async def check(self) -> None:
        """Query the store for changes while a watch is waiting.

        A watch on a broken connection looks like one without changes. The
        answer to this query shows up to which time the kind is completely
        known.
        """
        if not self.has_listed:
            await self._list(new_connection=True)
            return
        asked_at = asyncio.get_running_loop().time()
        asked = await self._store.poll_changes(self._plan.kind, self.revision)
        if isinstance(asked, Err):
            self._fail(asked.err_value, asked_at)
            return
        self._contact.note_success()
        changes = asked.ok_value
        if changes.revision.era > self.revision.era:
            self._needs_listing = True
            return
        if changes.revision < self.revision:
            # Peers have already sent later changes.
            return
        if changes.revision > self.revision:
            self.revision = changes.revision
            self._deliver(self._sinks.on_changes, changes)
            if changes.changes:
                self.drop_watch()
        self._sinks.on_complete(changes.revision, asked_at)

    async def list_again(self) -> bool:
        """List the kind anew; return whether the store has answered."""
        self._needs_listing = True
        await self._list(new_connection=True)
        return not self._needs_listing

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            await self._contact.wait_turn()
            if self._plan.is_wanted():
                await self._read()
            else:
                self._contact.pass_turn()
                await self._pause_until_poll()

    async def _read(self) -> None:
        if self.has_listed:
            await self._watch()
        else:
            await self._list()

    async def _pause_until_poll(self) -> None:
        """Wait until the next check whether this host should watch."""
        if not self._plan.resumes:
            self._needs_listing = True
        await asyncio.sleep(self._plan.poll_interval())

    async def _list(self, *, new_connection: bool = False) -> None:
        """List the kind unless another task of this host has just done so.

        Args:
            new_connection: Whether to use a separate connection.
        """
        async with self._listing:
            if self.has_listed:
                return
            asked_at = asyncio.get_running_loop().time()
            listed = await self._store.list_kind(
                self._plan.kind,
                new_connection=new_connection,
            )
            if isinstance(listed, Err):
                self._fail(listed.err_value, asked_at)
                return
            self._contact.note_success()
            self._needs_listing = False
            self.revision = listed.ok_value.revision
            self._deliver(self._sinks.on_listing, listed.ok_value)
            self._sinks.on_complete(self.revision, asked_at)

    async def _watch(self) -> None:
        watched = await self._watch_once()
        if watched is None:
            self._contact.pass_turn()
            return
        if isinstance(watched, Err):
            self._fail(watched.err_value)
            return
        self._contact.note_success()
        changes = watched.ok_value
        if changes.revision.era > self.revision.era:
            self._needs_listing = True
            return
        if changes.revision > self.revision:
            self.revision = changes.revision
            self._deliver(self._sinks.on_changes, changes)
        elif changes.changes:
            log_event(
                'news-ignored',
                kind=self._plan.kind,
                revision=changes.revision,
                known=self.revision,
                source='watch',
            )
        reading = Reading(
            self._asked_at,
            self._wait_seconds,
            asyncio.get_running_loop().time(),
            is_empty=not changes.changes,
        )
        if changes.revision >= self.revision:
            self._sinks.on_complete(changes.revision, complete_at(reading))
        self._sinks.on_revision(changes.revision)
        if changes.changes:
            await asyncio.sleep(self._plan.pause())

    async def _watch_once(self) -> Result[Changes, PlatformError] | None:
        """Run one watch; return None if it was dropped for renewal."""
        tolerance = self._plan.tolerance()
        # Without contact a short watch suffices: only its answer matters.
        is_probe = self._contact.is_lost or (
            self._contact.is_suspect and tolerance is not None
        )
        seconds = PROBE_WATCH_SECONDS if is_probe else self._plan.wait()
        late_after = None
        if tolerance is not None and not is_probe:
            late_after = seconds + tolerance
        watching = asyncio.ensure_future(
            self._store.watch_kind(self._plan.kind, self.revision, seconds),
        )
        self._dropped.clear()
        dropped = asyncio.ensure_future(self._dropped.wait())
        began_at = asyncio.get_running_loop().time()
        self._watching_since = began_at
        self._asked_at = began_at
        self._wait_seconds = seconds
        try:
            ended, _ = await asyncio.wait(
                (watching, dropped, self._contact.next_renewal()),
                timeout=late_after,
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            self._watching_since = None
            dropped.cancel()
            is_answered = watching.done()
            if not is_answered:
                watching.cancel()
                self._store.drop_watch(self._plan.kind)
        if is_answered:
            return watching.result()
        if not ended:
            self._contact.note_late_watch()
        self._note_renewal(began_at)
        return None

    def _deliver(self, sink: Callable[[_News], None], news: _News) -> None:
        """Pass news on; if that fails, the kind is listed again."""
        try:
            sink(news)
        except Exception:
            self._needs_listing = True
            raise

    def _note_renewal(self, began_at: float) -> None:
        reason = RenewalReason.regained
        if self._dropped.is_set():
            reason = self._drop_reason
        elif self._contact.is_suspect:
            reason = RenewalReason.late
        self.renewals[reason] += 1
        waited = asyncio.get_running_loop().time() - began_at
        log_event(
            'watch-renewed',
            kind=self._plan.kind,
            reason=reason.value,
            revision=self.revision,
            waited=round(waited, 3),
        )

    def _fail(
        self,
        error: PlatformError,
        asked_at: float | None = None,
    ) -> None:
        """Record a failed call.

        Args:
            error: The failure.
            asked_at: Start of the call in monotonic seconds; None for a watch,
                whose end shows the current state of the connection.
        """
        match error:
            case WatchForgotten():
                # The store answered, although it has dropped the history.
                self._contact.note_success()
                self._needs_listing = True
                log_event(
                    'watch-forgotten',
                    kind=self._plan.kind,
                    revision=self.revision,
                )
            case _ if self._answered_since(asked_at):
                log_event('store-answered-later', kind=self._plan.kind)
            case _:
                reason = getattr(error, 'message', type(error).__name__)
                self._contact.note_failure(f'{self._plan.kind}: {reason}')

    def _answered_since(self, asked_at: float | None) -> bool:
        """Return whether the store has answered since a failed call began."""
        heard_at = self._contact.heard_at
        if asked_at is None or heard_at is None or self._contact.is_lost:
            return False
        return heard_at > asked_at
