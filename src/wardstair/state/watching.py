"""Follows one kind of objects of the store: a listing, then watches."""

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from result import Err, Result

from wardstair.decisions.state_age import Reading, complete_at
from wardstair.errors import PlatformError, WatchForgotten
from wardstair.platform.store import Store
from wardstair.platform.store_answers import Changes, Listing
from wardstair.process.log import log_event
from wardstair.state.contact import StoreContact
from wardstair.state.revision import NO_REVISION, Revision
from wardstair.state.roles import always

# A waiting watch is one call; the store allows 30 s.
WATCH_SECONDS = 25.0
# A watch that only asks whether the store is back.
ASKING_SECONDS = 0.02
# How often a host that need not follow a kind looks whether that has changed,
# where nothing asks for more.
UNWANTED_SECONDS = 0.25
# A watch younger than this is not dropped for being behind: what it should
# tell may be on its way.
MIN_WATCH_AGE_SECONDS = 0.3


class RenewalReason(StrEnum):
    """Why a waiting watch is given up and begun anew.

    Attributes:
        behind: Another answer of the store tells of a change that it missed.
        regained: The store answers again, or was restored.
        role: This host has begun to watch for others, at a pace of its own.
        late: No answer has come in time, on this or another watch.
    """

    behind = 'behind'
    late = 'late'
    regained = 'regained'
    role = 'role'


def look_seldom() -> float:
    """Return the pause between two looks at whether a kind is wanted."""
    return UNWANTED_SECONDS


def watch_long() -> float:
    """Return the longest wait of a watch, in seconds."""
    return WATCH_SECONDS


def never_late() -> float | None:
    """Return None: a watch is waited for until its own time is over."""
    return None


def _ignore_moment(_revision: Revision, _moment: float) -> None:
    """Do nothing; the default of the sink."""


def no_pause() -> float:
    """Return the pause of a kind that is watched without one, in seconds."""
    return 0.0


@dataclass(frozen=True, slots=True)
class WatchPlan:
    """What to follow and how.

    Attributes:
        kind: The kind of objects.
        pause: Seconds between a watch's answer and the next watch, so that
            changes close together cost one call.
        is_wanted: Whether this host itself should follow the kind now.
        wait: Longest wait of the next watch, in seconds.
        slack: Seconds beyond that after which an answer is late and contact is
            doubted; None if this watch is no measure of it.
        look: Seconds between two looks at whether it is wanted.
        resumes: Whether it goes on from a known revision when it is wanted
            again; otherwise it lists the kind anew.
    """

    kind: str
    pause: Callable[[], float] = no_pause
    is_wanted: Callable[[], bool] = always
    wait: Callable[[], float] = watch_long
    slack: Callable[[], float | None] = never_late
    look: Callable[[], float] = look_seldom
    resumes: bool = False


@dataclass(frozen=True, slots=True)
class WatchSinks:
    """Where what a follower learns goes.

    Attributes:
        on_listing: Takes in a whole listing.
        on_changes: Takes in changes.
        on_revision: Told the store's revision with each answer.
        on_complete: Told up to which revision all of the kind is known, and up
            to which monotonic time in seconds.
    """

    on_listing: Callable[[Listing], None]
    on_changes: Callable[[Changes], None]
    on_revision: Callable[[Revision], None]
    on_complete: Callable[[Revision, float], None] = _ignore_moment


class KindWatcher:
    """Keeps one kind up to date; a task of its own runs it.

    Attributes:
        revision: Revision up to which everything of the kind is known.
        renewals: Waiting watches that were given up, by reason.
    """

    def __init__(
        self,
        store: Store,
        contact: StoreContact,
        plan: WatchPlan,
        sinks: WatchSinks,
    ) -> None:
        """Prepare without a call.

        Args:
            store: The store.
            contact: Told of each success and failure.
            plan: What to follow.
            sinks: Where news goes.
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
        # A late listing would take the place of a newer one.
        self._listing = asyncio.Lock()
        self._drop_reason = RenewalReason.behind
        # When the last watch was asked, and how long it was to wait.
        self._asked_at = 0.0
        self._waits = 0.0

    @property
    def kind(self) -> str:
        """The kind of objects that it follows."""
        return self._plan.kind

    @property
    def has_listed(self) -> bool:
        """Whether it has read the whole kind and can go on from there.

        A watch across a restore of the store would be answered, as its number
        is issued again, and lack what was written below that number.
        """
        is_before_restore = self.revision.era < self._contact.era
        return not (self._needs_listing or is_before_restore)

    def skip_to(self, revision: Revision) -> None:
        """Go on from a revision up to which another host knows everything."""
        if revision > self.revision:
            self.revision = revision
            self._needs_listing = False

    def may_lack(self, revision: Revision) -> bool:
        """Return whether a change up to a revision may have been missed.

        Args:
            revision: The store's revision by another answer.
        """
        return self.revision < revision

    def drop_watch(self) -> None:
        """Renew a waiting watch, which has missed a change."""
        since = self._watching_since
        if since is None:
            return
        if asyncio.get_running_loop().time() - since >= MIN_WATCH_AGE_SECONDS:
            self._drop(RenewalReason.behind)

    def renew_watch(self) -> None:
        """Begin a waiting watch anew, by the plan as it is now."""
        if self._watching_since is not None:
            self._drop(RenewalReason.role)

    def _drop(self, reason: RenewalReason) -> None:
        self._drop_reason = reason
        self._dropped.set()

    async def check(self) -> None:
        """Ask whether anything has changed, beside a waiting watch.

        A watch that has gone silent looks like one with nothing to tell. The
        answer to this says up to which moment all of the kind is known.
        """
        if not self.has_listed:
            await self._list(is_apart=True)
            return
        asked_at = asyncio.get_running_loop().time()
        asked = await self._store.ask_changes(self._plan.kind, self.revision)
        if isinstance(asked, Err):
            self._fail(asked.err_value, asked_at)
            return
        self._contact.note_success()
        changes = asked.ok_value
        if changes.revision.era > self.revision.era:
            self._needs_listing = True
            return
        if changes.revision < self.revision:
            # Others have told of what came after it.
            return
        if changes.revision > self.revision:
            self.revision = changes.revision
            self._sinks.on_changes(changes)
            if changes.changes:
                self.drop_watch()
        self._sinks.on_complete(changes.revision, asked_at)

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            await self._contact.wait_turn()
            if self._plan.is_wanted():
                await self._look()
            else:
                self._contact.pass_turn()
                await self._rest()

    async def _look(self) -> None:
        if self.has_listed:
            await self._watch()
        else:
            await self._list()

    async def _rest(self) -> None:
        """Wait while others follow the kind for this host."""
        if not self._plan.resumes:
            self._needs_listing = True
        await asyncio.sleep(self._plan.look())

    async def _list(self, *, is_apart: bool = False) -> None:
        """List the kind, unless another task of this host has just done so.

        Args:
            is_apart: Whether to ask by a connection of its own.
        """
        async with self._listing:
            if self.has_listed:
                return
            asked_at = asyncio.get_running_loop().time()
            listed = await self._store.list_kind(
                self._plan.kind,
                is_apart=is_apart,
            )
            if isinstance(listed, Err):
                self._fail(listed.err_value, asked_at)
                return
            self._contact.note_success()
            self._needs_listing = False
            self.revision = listed.ok_value.revision
            self._sinks.on_listing(listed.ok_value)
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
            self._sinks.on_changes(changes)
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
            self._waits,
            asyncio.get_running_loop().time(),
            is_empty=not changes.changes,
        )
        if changes.revision >= self.revision:
            self._sinks.on_complete(changes.revision, complete_at(reading))
        self._sinks.on_revision(changes.revision)
        if changes.changes:
            await asyncio.sleep(self._plan.pause())

    async def _watch_once(self) -> Result[Changes, PlatformError] | None:
        """Watch once; None if the watch was dropped and is to be renewed."""
        slack = self._plan.slack()
        # While contact is lost the answer itself is what matters.
        is_asking = self._contact.is_lost or (
            self._contact.is_suspect and slack is not None
        )
        seconds = ASKING_SECONDS if is_asking else self._plan.wait()
        late_after = None
        if slack is not None and not is_asking:
            late_after = seconds + slack
        watching = asyncio.ensure_future(
            self._store.watch_kind(self._plan.kind, self.revision, seconds),
        )
        self._dropped.clear()
        dropped = asyncio.ensure_future(self._dropped.wait())
        began_at = asyncio.get_running_loop().time()
        self._watching_since = began_at
        self._asked_at = began_at
        self._waits = seconds
        try:
            ended, _ = await asyncio.wait(
                (watching, dropped, self._contact.next_regain()),
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
        """Take in a call that has failed.

        Args:
            error: How.
            asked_at: When it was made, in monotonic seconds; None for a watch,
                whose end tells of the present.
        """
        match error:
            case WatchForgotten():
                # The store answered, whatever it remembers.
                self._contact.note_success()
                self._needs_listing = True
                log_event(
                    'watch-forgotten',
                    kind=self._plan.kind,
                    revision=self.revision,
                )
            case _ if self._is_refuted(asked_at):
                log_event('store-answered-later', kind=self._plan.kind)
            case _:
                reason = getattr(error, 'message', type(error).__name__)
                self._contact.note_failure(f'{self._plan.kind}: {reason}')

    def _is_refuted(self, asked_at: float | None) -> bool:
        """Return whether the store has answered since a call that failed."""
        heard_at = self._contact.heard_at
        if asked_at is None or heard_at is None or self._contact.is_lost:
            return False
        return heard_at > asked_at
