"""Gives other entry hosts what they miss, and asks them for what is missed.

A host that cannot reach the store, or whose watch says nothing, learns from
the heartbeats that another is ahead, and fetches the parts it lacks.
"""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, replace
from enum import StrEnum

import pycurl
from result import Err, Ok, Result
from tornado.httpclient import (
    HTTPClientError,
    HTTPRequest,
    HTTPResponse,
)

from wardstair.connection.client import close_client, make_client
from wardstair.decisions.fetches import host_to_query, is_any_overdue
from wardstair.decisions.state_age import way_seconds
from wardstair.decisions.suspicion import Evidence
from wardstair.decisions.timing import Timing
from wardstair.fleet.heartbeats import HeartbeatDatagram, Versions
from wardstair.fleet.sharing import (
    SharedConfiguration,
    SharedEvacuations,
    SharedState,
    StateEncoder,
    decode_state,
    encode_versions,
)
from wardstair.platform.objects import (
    CONFIGURATION_NAME,
    UPSTREAM_KIND,
    Metadata,
    StoredObject,
)
from wardstair.process.log import log_event, log_warning
from wardstair.state.belief import OTHER_HOST, Belief
from wardstair.state.catalog import CatalogChanges
from wardstair.state.contact import StoreContact
from wardstair.state.limits import SharedLimit
from wardstair.state.roles import Roles, ignore

STATE_PATH = '/v1/state'
# Source of what came unasked, in the log.
DATAGRAM_SOURCE = 'datagram'
# How long this host's own watch may take to bring what another has already.
GRACE_SECONDS = 0.15
# Longest time of one fetch; others are asked meanwhile.
FETCH_SECONDS = 2.0
# Least time from one fetch of requests that end upstreams to the next: when
# many upstreams crash at once all hosts have something to tell.
COMPARE_SECONDS = 0.25
CONNECT_SECONDS = 1.0
# One that is not answered takes its place until its time is over.
_MANY_FETCHES = 8
# Requests that end upstreams and limits are asked for only below this, so that
# they never take the places of news.
_MANY_COMPARISONS = 2
# Larger news is fetched: a datagram that is cut up on its way is lost with any
# of its parts.
_DATAGRAM_BYTES = 1200
# A configuration is at most a megabyte, 1,000 upstreams are a tenth of one.
_STATE_BYTES = 4194304


class FetchFailure(StrEnum):
    """Why a fetch from another host brought nothing.

    Attributes:
        unanswered: No whole answer came in time, or the connection broke.
        rejected: The host answered with an error.
        unreadable: The answer is not of the format of this program.
    """

    unanswered = 'unanswered'
    rejected = 'rejected'
    unreadable = 'unreadable'


@dataclass(frozen=True, slots=True)
class _FailedFetch:
    """A fetch that brought nothing.

    Attributes:
        failure: Its class, for the counter.
        detail: What is known of it, for the log.
    """

    failure: FetchFailure
    detail: str


@dataclass(frozen=True, slots=True)
class News:
    """What has changed of what all hosts should know.

    Attributes:
        state: Encoded upstreams and evacuations; None if they are too large
            for a datagram, or have not changed.
    """

    state: bytes | None = None


@dataclass(frozen=True, slots=True)
class _Digests:
    """Digests of what hosts merge, which is not newer or older."""

    suspects: int
    limits: int
    kept: int


class StateExchange:
    """State between entry hosts; one a process.

    Attributes:
        fetches: Fetches begun.
        failures: Fetches that brought nothing, by reason.
        on_news: Called when a fetch has brought something.
    """

    def __init__(
        self,
        belief: Belief,
        contact: StoreContact,
        port: int,
        roles: Roles,
        zone: str,
        timing: Callable[[], Timing],
    ) -> None:
        """Prepare without a connection.

        Args:
            belief: What this host holds to be true.
            contact: Contact with the store.
            port: Port of all hosts for state.
            roles: What this host does for others.
            zone: Availability zone of this host.
            timing: How soon it asks another host, by the bounds in force.
        """
        self.fetches = 0
        self.failures = Counter[FetchFailure]()
        self.on_news: Callable[[], None] = ignore
        # Sends a request to another host.
        self.ask: Callable[[HTTPRequest], Awaitable[HTTPResponse]] = self._ask
        self._belief = belief
        self._contact = contact
        self._port = port
        self._roles = roles
        self._zone = zone
        self._timing = timing
        self._encoder = StateEncoder()
        # The last heartbeat of each host that is ahead, oldest first.
        self._ahead: dict[str, HeartbeatDatagram] = {}
        # The same of each host that is not, but tells of another digest.
        self._differing: dict[str, HeartbeatDatagram] = {}
        # Digests of another host and this one when they were last compared.
        self._compared: dict[str, tuple[_Digests, _Digests]] = {}
        self._compared_at = float('-inf')
        # Up to which news has been told.
        self._told = Versions()
        self._catching_up: asyncio.Task[None] | None = None
        self._comparing: asyncio.Task[None] | None = None
        # Fetches that have not ended, by host.
        self._fetches: dict[str, asyncio.Task[None]] = {}
        # When each of them is late; monotonic times in seconds.
        self._late_at: dict[str, float] = {}
        self._client = make_client(_MANY_FETCHES, _STATE_BYTES)

    def close(self) -> None:
        """End all fetches and drop connections."""
        # Nothing begins when a fetch ends.
        self._ahead.clear()
        self._differing.clear()
        for task in (self._catching_up, self._comparing):
            if task is not None:
                task.cancel()
        for fetch in self._fetches.values():
            fetch.cancel()
        close_client(self._client)

    def answer(self, theirs: Versions) -> bytes:
        """Return the parts in which this host is ahead of another.

        Args:
            theirs: How far the other is.
        """
        belief = self._belief
        own = belief.versions
        configuration = None
        if own.configuration > theirs.configuration:
            stored = belief.document
            assert stored is not None
            configuration = SharedConfiguration(
                stored.revision,
                stored.spec,
            )
        evacuations = None
        if own.evacuations > theirs.evacuations:
            evacuations = SharedEvacuations(
                own.evacuations,
                tuple(sorted(belief.listed_zones)),
            )
        upstreams = None
        if own.upstreams > theirs.upstreams:
            upstreams = belief.upstreams_since(theirs.upstreams)
        suspects: Mapping[str, Evidence] = {}
        if own.suspects != theirs.suspects:
            suspects = belief.suspects.records
        limits: Mapping[str, SharedLimit] = {}
        if own.limits != theirs.limits:
            limits = belief.limits.shared
        state = SharedState(
            configuration,
            evacuations,
            upstreams,
            suspects,
            limits,
            belief.shared_restore,
            self._belief.age.told,
        )
        return self._encoder.encode(state)

    def take_news(self) -> News | None:
        """Return what has changed since the last call; None for nothing.

        A configuration is always fetched.
        """
        belief = self._belief
        told = self._told
        own = belief.versions
        self._told = own
        evacuations = None
        if own.evacuations > told.evacuations:
            zones = tuple(sorted(belief.listed_zones))
            evacuations = SharedEvacuations(own.evacuations, zones)
        upstreams = None
        if own.upstreams > told.upstreams:
            upstreams = belief.upstreams_since(told.upstreams)
        if evacuations is None and upstreams is None:
            is_newer = own.configuration > told.configuration
            return News() if is_newer else None
        state = SharedState(
            evacuations=evacuations,
            upstreams=upstreams,
            restore=belief.shared_restore,
        )
        encoded = self._encoder.encode(state)
        return News(encoded if len(encoded) <= _DATAGRAM_BYTES else None)

    def take_datagram(self, datagram: bytes) -> bool:
        """Take in news that another host has sent.

        Returns:
            Whether it could be read.
        """
        state = decode_state(datagram)
        if state is None:
            return False
        if self._is_news(state):
            self._take_in(state, DATAGRAM_SOURCE)
        return True

    def _is_news(self, state: SharedState) -> bool:
        own = self._belief.versions
        evacuations = state.evacuations
        if evacuations is not None and evacuations.revision > own.evacuations:
            return True
        upstreams = state.upstreams
        if upstreams is None or upstreams.revision <= own.upstreams:
            return False
        # What begins later than what this host knows would leave a gap.
        return upstreams.since <= own.upstreams

    def on_beat(self, beat: HeartbeatDatagram) -> None:
        """Fetch from a host that is ahead or differs, if none is asked now."""
        if beat.state_age is not None and not self._is_behind(beat.versions):
            is_near = beat.sender.zone == self._zone
            way = way_seconds(is_near=is_near)
            told = replace(beat.state_age, seconds=beat.state_age.seconds + way)
            self._belief.age.note_told(told)
        self._classify(beat)
        self._start_asking()

    def _classify(self, beat: HeartbeatDatagram) -> None:
        """Keep a heartbeat as the last one heard, if its sender is wanted."""
        name = beat.sender.name
        self._ahead.pop(name, None)
        self._differing.pop(name, None)
        if self._is_behind(beat.versions):
            self._ahead[name] = beat
        elif self._differs(beat):
            self._differing[name] = beat

    def _start_asking(self) -> None:
        """Begin to ask hosts that are wanted, unless that is under way."""
        if self._ahead and _is_over(self._catching_up):
            self._catching_up = asyncio.ensure_future(self._catch_up())
        if self._differing and _is_over(self._comparing):
            self._comparing = asyncio.ensure_future(self._compare())

    def _differs(self, beat: HeartbeatDatagram) -> bool:
        """Return whether a host may know of what all should and this one lacks.

        Tables that are full or of another age differ for good; nobody is asked
        again for what brought nothing.
        """
        theirs = _digests_of(beat.versions)
        own = _digests_of(self._belief.versions)
        if self._compared.get(beat.sender.name) == (theirs, own):
            return False
        has_suspects = theirs.suspects not in {0, own.suspects}
        has_limits = theirs.limits not in {0, own.limits}
        has_kept = theirs.kept not in {0, own.kept}
        return has_suspects or has_limits or has_kept

    def _is_behind(self, theirs: Versions) -> bool:
        own = self._belief.versions
        if theirs.configuration > own.configuration:
            return True
        if theirs.evacuations > own.evacuations:
            return True
        return theirs.upstreams > own.upstreams

    async def _catch_up(self) -> None:
        """Ask hosts that are ahead, one more whenever none answers soon.

        When none is left that is not being asked, a heartbeat or the end of a
        fetch begins it anew.
        """
        while beat := self._next_of(self._ahead, _MANY_FETCHES):
            await asyncio.sleep(self._grace_seconds(beat))
            if self._is_behind(beat.versions):
                await self._ask_next(self._ahead, _MANY_FETCHES)

    async def _compare(self) -> None:
        """Ask hosts that differ, one more whenever none answers soon."""
        while self._next_of(self._differing, _MANY_COMPARISONS):
            await asyncio.sleep(self._pause_seconds())
            if await self._ask_next(self._differing, _MANY_COMPARISONS):
                self._keep_last_differing()

    def _next_of(
        self, heard: dict[str, HeartbeatDatagram], most: int
    ) -> HeartbeatDatagram | None:
        """Return the heartbeat of the host to ask now; None for nobody."""
        self._drop_outdated()
        name = host_to_query(heard, self._fetches, most)
        return None if name is None else heard[name]

    async def _ask_next(
        self, heard: dict[str, HeartbeatDatagram], most: int
    ) -> bool:
        """Ask one host; return whether that ended before it was late."""
        beat = self._next_of(heard, most)
        if beat is None:
            return False
        heard.pop(beat.sender.name)
        return await self._ask_for_a_while(beat)

    def _drop_outdated(self) -> None:
        """Drop what is known by now; a host may not be ahead but differ."""
        for beat in (*self._differing.values(), *self._ahead.values()):
            self._classify(beat)

    def _keep_last_differing(self) -> None:
        """Forget others: what one has told they may have learnt as well."""
        for name in tuple(self._differing)[:-1]:
            self._differing.pop(name)

    def _grace_seconds(self, beat: HeartbeatDatagram) -> float:
        """Return how long to leave news to the own watch, in seconds."""
        now = asyncio.get_running_loop().time()
        if is_any_overdue(self._late_at.values(), now):
            return 0.0
        return GRACE_SECONDS if self._has_watch_for(beat.versions) else 0.0

    def _pause_seconds(self) -> float:
        """Return how long to wait before digests are compared, in seconds."""
        now = asyncio.get_running_loop().time()
        return max(0.0, self._compared_at + COMPARE_SECONDS - now)

    def _has_watch_for(self, theirs: Versions) -> bool:
        """Return whether a watch of this host may bring what another has."""
        if not self._contact.is_held:
            return False
        own = self._belief.versions
        if theirs.configuration > own.configuration:
            return self._roles.is_relay()
        if theirs.evacuations > own.evacuations:
            return self._roles.is_relay()
        return self._roles.is_sentinel()

    async def _ask_for_a_while(self, beat: HeartbeatDatagram) -> bool:
        """Fetch from a host; return whether that ended before it was late.

        One that is late is not given up: its failure is counted.
        """
        hedge = self._hedge_seconds(beat)
        fetch = self._begin_fetch(beat, hedge)
        await asyncio.wait([fetch], timeout=hedge)
        if not fetch.done():
            return False
        fetch.result()
        return True

    def _begin_fetch(
        self, beat: HeartbeatDatagram, hedge: float
    ) -> asyncio.Task[None]:
        name = beat.sender.name
        now = asyncio.get_running_loop().time()
        fetch = asyncio.ensure_future(self._fetch_from(beat))
        self._fetches[name] = fetch
        self._late_at[name] = now + hedge
        fetch.add_done_callback(lambda _: self._end_fetch(name))
        return fetch

    def _end_fetch(self, name: str) -> None:
        self._fetches.pop(name)
        self._late_at.pop(name)
        self._start_asking()

    def _hedge_seconds(self, beat: HeartbeatDatagram) -> float:
        is_near = beat.sender.zone == self._zone
        timing = self._timing()
        return timing.near_hedge if is_near else timing.far_hedge

    async def _fetch_from(self, beat: HeartbeatDatagram) -> None:
        """Fetch from a host, and take in what it answers."""
        asked_at = asyncio.get_running_loop().time()
        fetched = await self._fetch(beat.sender.address)
        if isinstance(fetched, Err):
            failed = fetched.err_value
            self.failures[failed.failure] += 1
            log_warning(
                'state-not-fetched',
                host=beat.sender.name,
                reason=failed.failure.value,
                detail=failed.detail,
            )
            return
        age = fetched.ok_value.age
        if (
            self._take_in(fetched.ok_value, beat.sender.name)
            and age is not None
        ):
            self._belief.age.note_told(age, asked_at)
        if self._belief.suspects.take_in(fetched.ok_value.suspects):
            log_event(
                'suspects-adopted',
                count=len(fetched.ok_value.suspects),
                source=beat.sender.name,
            )
        self._belief.limits.take_in(
            fetched.ok_value.limits,
            beat.sender.name,
        )
        self._compared[beat.sender.name] = (
            _digests_of(beat.versions),
            _digests_of(self._belief.versions),
        )
        self._compared_at = asyncio.get_running_loop().time()

    def _ask(self, request: HTTPRequest) -> Awaitable[HTTPResponse]:
        return self._client.fetch(request, raise_error=False)

    async def _fetch(self, address: str) -> Result[SharedState, _FailedFetch]:
        self.fetches += 1
        own = encode_versions(self._belief.versions)
        request = HTTPRequest(
            f'http://{address}:{self._port}{STATE_PATH}?have={own}',
            connect_timeout=CONNECT_SECONDS,
            request_timeout=FETCH_SECONDS,
            follow_redirects=False,
        )
        try:
            response = await self.ask(request)
        except (HTTPClientError, OSError, pycurl.error) as error:
            return Err(_FailedFetch(FetchFailure.unanswered, str(error)))
        if response.code != 200:
            detail = str(response.error)
            return Err(_FailedFetch(FetchFailure.rejected, detail))
        state = decode_state(response.body)
        if state is None:
            size = len(response.body)
            return Err(_FailedFetch(FetchFailure.unreadable, f'{size} bytes'))
        return Ok(state)

    def _take_in(self, state: SharedState, host: str) -> bool:
        """Take in what another host told; return whether all of it fits."""
        source = f'{OTHER_HOST}{host}'
        belief = self._belief
        restore = state.restore
        if restore is not None:
            belief.restoration.take_over(restore.era, restore.age)
        if state.configuration is not None:
            stored = StoredObject(
                metadata=Metadata(
                    name=CONFIGURATION_NAME,
                    revision=state.configuration.revision.number,
                ),
                spec=state.configuration.document,
                era=state.configuration.revision.era,
            )
            belief.offer_configuration(stored, source)
        if state.evacuations is not None:
            belief.set_evacuated(
                state.evacuations.zones,
                state.evacuations.revision,
                source,
            )
        if restore is not None:
            belief.keep_evacuated(restore.zones, restore.era)
        is_whole = self._take_in_upstreams(state.upstreams, source)
        self.on_news()
        return is_whole

    def _take_in_upstreams(
        self,
        changes: CatalogChanges | None,
        source: str,
    ) -> bool:
        if changes is None:
            return True
        catalog = self._belief.catalog
        if changes.revision <= catalog.revision:
            log_event(
                'news-ignored',
                kind=UPSTREAM_KIND,
                revision=changes.revision,
                known=catalog.revision,
                source=source,
            )
            return True
        if not catalog.take_over(changes):
            return False
        log_event(
            'upstreams-adopted',
            since=changes.since,
            revision=changes.revision,
            count=len(changes.entries),
            removed=len(changes.removed),
            source=source,
            age=round(self._belief.age.seconds, 3),
        )
        return True


def _digests_of(versions: Versions) -> _Digests:
    return _Digests(versions.suspects, versions.limits, versions.kept)


def _is_over(task: asyncio.Task[None] | None) -> bool:
    return task is None or task.done()
