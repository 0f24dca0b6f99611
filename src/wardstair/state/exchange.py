"""Exchanges state with other entry hosts.

A host that cannot reach the store, or whose watch broke silently, sees in the
heartbeats that a peer is ahead and fetches the parts it lacks.
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
from wardstair.decisions.state_age import transit_seconds
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
from wardstair.state.catalog import CatalogChanges
from wardstair.state.contact import StoreContact
from wardstair.state.limits import SharedLimit
from wardstair.state.local_state import PEER_SOURCE_PREFIX, LocalState
from wardstair.state.revision import Revision
from wardstair.state.roles import Roles, ignore
from wardstair.state.shared_rollouts import SharedRollouts

STATE_PATH = '/v1/state'
# Source in the log for state that arrived unrequested.
DATAGRAM_SOURCE = 'datagram'
# Time for this host's own watch to deliver a change that a peer already has.
GRACE_SECONDS = 0.15
# Timeout of one fetch; other hosts are queried meanwhile.
FETCH_SECONDS = 2.0
# Minimum interval between comparisons of merged tables: when many upstreams
# crash at once, the digests of all hosts change continually.
COMPARE_SECONDS = 0.25
CONNECT_SECONDS = 1.0
# Concurrent fetches. An unanswered one occupies a slot until its timeout.
_MAX_FETCHES = 8
# Suspect requests and limits are fetched only while fewer fetches than this are
# in progress, so that they never delay newer state.
_MAX_COMPARISONS = 2
# Larger updates are fetched: a fragmented datagram is lost with any of its
# fragments.
_MAX_DATAGRAM_BYTES = 1200
# A configuration has at most one megabyte, 1,000 upstreams a tenth of that.
_MAX_STATE_BYTES = 4194304


class FetchFailure(StrEnum):
    """Why a fetch from another host failed.

    Attributes:
        unanswered: No complete answer arrived in time, or the connection broke.
        rejected: The host answered with an error.
        unreadable: The answer could not be decoded.
    """

    unanswered = 'unanswered'
    rejected = 'rejected'
    unreadable = 'unreadable'


@dataclass(frozen=True, slots=True)
class _FailedFetch:
    """A failed fetch.

    Attributes:
        failure: Its class, for the counter.
        detail: Details for the log.
    """

    failure: FetchFailure
    detail: str


@dataclass(frozen=True, slots=True)
class StateUpdate:
    """A change of the state that all hosts share.

    Attributes:
        state: Encoded upstreams and evacuations; None if they are too large
            for a datagram or have not changed.
    """

    state: bytes | None = None


@dataclass(frozen=True, slots=True)
class _Digests:
    """Digests of merged tables, which have no order of versions."""

    suspects: int
    limits: int
    kept: int
    past_rollouts: int


class StateExchange:
    """Exchanges state between entry hosts; one per process.

    Attributes:
        fetches: Number of fetches started.
        failures: Number of failed fetches, by reason.
        on_update: Called after state from another host was merged.
    """

    def __init__(
        self,
        local_state: LocalState,
        contact: StoreContact,
        port: int,
        roles: Roles,
        zone: str,
        timing: Callable[[], Timing],
    ) -> None:
        """Initialize without connecting.

        Args:
            local_state: The state of this host.
            contact: Contact with the store.
            port: Port on which all hosts serve their state.
            roles: The roles of this host.
            zone: Availability zone of this host.
            timing: Returns the intervals for the bounds in force.
        """
        self.fetches = 0
        self.failures = Counter[FetchFailure]()
        self.on_update: Callable[[], None] = ignore
        # Sends a request to another host.
        self.ask: Callable[[HTTPRequest], Awaitable[HTTPResponse]] = self._ask
        self._local_state = local_state
        self._contact = contact
        self._port = port
        self._roles = roles
        self._zone = zone
        self._timing = timing
        self._encoder = StateEncoder()
        # The last heartbeat of each host that is ahead, oldest first.
        self._ahead: dict[str, HeartbeatDatagram] = {}
        # The same for hosts that are not ahead but report a different digest.
        self._differing: dict[str, HeartbeatDatagram] = {}
        # Digests of the peer and of this host at their last comparison.
        self._compared: dict[str, tuple[_Digests, _Digests]] = {}
        self._compared_at = float('-inf')
        # Versions covered by the last update for other hosts.
        self._announced = Versions()
        self._catch_up_task: asyncio.Task[None] | None = None
        self._compare_task: asyncio.Task[None] | None = None
        # Fetches in progress, by host.
        self._fetches: dict[str, asyncio.Task[None]] = {}
        # Monotonic time in seconds from which each of them is late.
        self._late_at: dict[str, float] = {}
        self._client = make_client(_MAX_FETCHES, _MAX_STATE_BYTES)

    def close(self) -> None:
        """Cancel all fetches and close connections."""
        # Prevents a new fetch from starting when a fetch ends.
        self._ahead.clear()
        self._differing.clear()
        for task in (self._catch_up_task, self._compare_task):
            if task is not None:
                task.cancel()
        for fetch in self._fetches.values():
            fetch.cancel()
        close_client(self._client)

    def answer(self, theirs: Versions) -> bytes:
        """Return the parts of the state in which this host is ahead.

        Args:
            theirs: Versions of the requesting host.

        Returns:
            The encoded state.
        """
        local_state = self._local_state
        own = local_state.versions
        configuration = None
        if own.configuration > theirs.configuration:
            stored = local_state.document
            assert stored is not None
            configuration = SharedConfiguration(
                stored.revision,
                stored.spec,
            )
        evacuations = None
        if own.evacuations > theirs.evacuations:
            evacuations = SharedEvacuations(
                own.evacuations,
                tuple(sorted(local_state.listed_zones)),
            )
        upstreams = None
        if own.upstreams > theirs.upstreams:
            upstreams = local_state.upstreams_since(theirs.upstreams)
        suspects: Mapping[str, Evidence] = {}
        if own.suspects != theirs.suspects:
            suspects = local_state.suspects.records
        limits: Mapping[str, SharedLimit] = {}
        if own.limits != theirs.limits:
            limits = local_state.limits.shared
        state = SharedState(
            configuration,
            evacuations,
            upstreams,
            suspects,
            limits,
            local_state.shared_restore,
            self._local_state.age.reportable,
            self._rollouts_for(theirs),
        )
        return self._encoder.encode(state)

    def _rollouts_for(self, theirs: Versions) -> SharedRollouts | None:
        """Return what this host knows of roll-outs if another may lack it."""
        own = self._local_state.versions
        is_newer = own.rollouts > theirs.rollouts
        differs = own.past_rollouts not in {0, theirs.past_rollouts}
        if not (is_newer or differs):
            return None
        return self._local_state.rollouts.shared

    def take_update(self) -> StateUpdate | None:
        """Return what has changed since the last call; None if nothing has.

        Configurations are never included: other hosts fetch them.
        """
        local_state = self._local_state
        announced = self._announced
        own = local_state.versions
        self._announced = own
        evacuations = None
        if own.evacuations > announced.evacuations:
            zones = tuple(sorted(local_state.listed_zones))
            evacuations = SharedEvacuations(own.evacuations, zones)
        upstreams = None
        if own.upstreams > announced.upstreams:
            upstreams = local_state.upstreams_since(announced.upstreams)
        rollouts = None
        if own.rollouts > announced.rollouts:
            rollouts = local_state.rollouts.shared
        if evacuations is None and upstreams is None and rollouts is None:
            is_newer = own.configuration > announced.configuration
            return StateUpdate() if is_newer else None
        state = SharedState(
            evacuations=evacuations,
            upstreams=upstreams,
            restore=local_state.shared_restore,
            rollouts=rollouts,
        )
        encoded = self._encoder.encode(state)
        return StateUpdate(
            encoded if len(encoded) <= _MAX_DATAGRAM_BYTES else None
        )

    def receive_datagram(self, datagram: bytes) -> bool:
        """Merge an update that another host has sent.

        Returns:
            Whether the datagram could be decoded.
        """
        state = decode_state(datagram)
        if state is None:
            return False
        if self._is_newer_state(state):
            self._merge(state, DATAGRAM_SOURCE)
        return True

    def _is_newer_state(self, state: SharedState) -> bool:
        own = self._local_state.versions
        evacuations = state.evacuations
        if evacuations is not None and evacuations.revision > own.evacuations:
            return True
        rollouts = state.rollouts
        if rollouts is not None and self._is_later(rollouts.revision):
            return True
        upstreams = state.upstreams
        if upstreams is None or upstreams.revision <= own.upstreams:
            return False
        # Changes that start after this host's revision would leave a gap.
        return upstreams.since <= own.upstreams

    def on_heartbeat(self, heartbeat: HeartbeatDatagram) -> None:
        """Record the age of a peer's state and fetch what this host lacks."""
        if heartbeat.state_age is not None and self._includes(
            heartbeat.versions
        ):
            is_near = heartbeat.sender.zone == self._zone
            transit = transit_seconds(is_near=is_near)
            reported = replace(
                heartbeat.state_age,
                seconds=heartbeat.state_age.seconds + transit,
            )
            self._local_state.age.note_reported(reported)
        self._classify(heartbeat)
        self._start_fetching()

    def _classify(self, heartbeat: HeartbeatDatagram) -> None:
        """Keep a heartbeat if its sender has state that this host lacks."""
        name = heartbeat.sender.name
        self._ahead.pop(name, None)
        self._differing.pop(name, None)
        if self._is_behind(heartbeat.versions):
            self._ahead[name] = heartbeat
        elif self._differs(heartbeat):
            self._differing[name] = heartbeat

    def _start_fetching(self) -> None:
        """Start fetching from hosts ahead or differing, unless in progress."""
        if self._ahead and _is_over(self._catch_up_task):
            self._catch_up_task = asyncio.ensure_future(self._catch_up())
        if self._differing and _is_over(self._compare_task):
            self._compare_task = asyncio.ensure_future(self._compare())

    def _differs(self, heartbeat: HeartbeatDatagram) -> bool:
        """Return whether a host may have table entries that this one lacks.

        Tables that are full or of different age may never become equal. A host
        is therefore not queried again while both digests are as they were
        after the last comparison.
        """
        theirs = _digests_of(heartbeat.versions)
        own = _digests_of(self._local_state.versions)
        if self._compared.get(heartbeat.sender.name) == (theirs, own):
            return False
        has_suspects = theirs.suspects not in {0, own.suspects}
        has_limits = theirs.limits not in {0, own.limits}
        has_kept = theirs.kept not in {0, own.kept}
        has_past = (
            self._local_state.rollouts.is_in_use
            and theirs.past_rollouts not in {0, own.past_rollouts}
        )
        return has_suspects or has_limits or has_kept or has_past

    def _includes(self, theirs: Versions) -> bool:
        """Return whether this host knows all that another one does."""
        own = self._local_state.versions.listed_state
        differs = own.contradicts(theirs.listed_state)
        return not (differs or self._is_behind(theirs))

    def _is_behind(self, theirs: Versions) -> bool:
        own = self._local_state.versions
        if theirs.configuration > own.configuration:
            return True
        if theirs.evacuations > own.evacuations:
            return True
        if self._is_later(theirs.rollouts):
            return True
        return theirs.upstreams > own.upstreams

    def _is_later(self, rollouts: Revision) -> bool:
        """Return whether a peer may know orders that this host lacks."""
        known = self._local_state.rollouts
        return known.is_in_use and rollouts > known.revision

    async def _catch_up(self) -> None:
        """Fetch from hosts that are ahead, hedging late fetches.

        The task ends when every such host is being queried. The next heartbeat
        or the end of a fetch starts it again.
        """
        while heartbeat := self._next_of(self._ahead, _MAX_FETCHES):
            await asyncio.sleep(self._grace_seconds(heartbeat))
            if self._is_behind(heartbeat.versions):
                await self._fetch_next(self._ahead, _MAX_FETCHES)

    async def _compare(self) -> None:
        """Fetch from hosts whose digests differ, hedging late fetches."""
        while self._next_of(self._differing, _MAX_COMPARISONS):
            await asyncio.sleep(self._pause_seconds())
            if await self._fetch_next(self._differing, _MAX_COMPARISONS):
                self._keep_last_differing()

    def _next_of(
        self, heard: dict[str, HeartbeatDatagram], limit: int
    ) -> HeartbeatDatagram | None:
        """Return the heartbeat of the next host to query; None if none is.

        Args:
            heard: Heartbeats of the candidates by name.
            limit: Maximum number of concurrent fetches.
        """
        self._reclassify()
        name = host_to_query(heard, self._fetches, limit)
        return None if name is None else heard[name]

    async def _fetch_next(
        self, heard: dict[str, HeartbeatDatagram], limit: int
    ) -> bool:
        """Fetch from one host; return whether that ended in time."""
        heartbeat = self._next_of(heard, limit)
        if heartbeat is None:
            return False
        heard.pop(heartbeat.sender.name)
        return await self._fetch_hedged(heartbeat)

    def _reclassify(self) -> None:
        """Compare the kept heartbeats with the state as it is by now."""
        for heartbeat in (*self._differing.values(), *self._ahead.values()):
            self._classify(heartbeat)

    def _keep_last_differing(self) -> None:
        """Drop all but the last differing host.

        The others may have received the same entries from the host that was
        just queried.
        """
        for name in tuple(self._differing)[:-1]:
            self._differing.pop(name)

    def _grace_seconds(self, heartbeat: HeartbeatDatagram) -> float:
        """Return how long to wait for this host's own watch, in seconds."""
        now = asyncio.get_running_loop().time()
        if is_any_overdue(self._late_at.values(), now):
            return 0.0
        return GRACE_SECONDS if self._has_watch_for(heartbeat.versions) else 0.0

    def _pause_seconds(self) -> float:
        """Return the wait until the next comparison, in seconds."""
        now = asyncio.get_running_loop().time()
        return max(0.0, self._compared_at + COMPARE_SECONDS - now)

    def _has_watch_for(self, theirs: Versions) -> bool:
        """Return whether a watch of this host may deliver the same change."""
        if not self._contact.is_held:
            return False
        own = self._local_state.versions
        if theirs.configuration > own.configuration:
            return self._roles.is_relay()
        if theirs.evacuations > own.evacuations:
            return self._roles.is_relay()
        return self._roles.is_sentinel()

    async def _fetch_hedged(self, heartbeat: HeartbeatDatagram) -> bool:
        """Fetch from a host; return whether that ended before it was late.

        A late fetch continues in the background, so that its result is used
        or its failure counted.
        """
        hedge = self._hedge_seconds(heartbeat)
        fetch = self._begin_fetch(heartbeat, hedge)
        await asyncio.wait([fetch], timeout=hedge)
        if not fetch.done():
            return False
        fetch.result()
        return True

    def _begin_fetch(
        self, heartbeat: HeartbeatDatagram, hedge: float
    ) -> asyncio.Task[None]:
        name = heartbeat.sender.name
        now = asyncio.get_running_loop().time()
        fetch = asyncio.ensure_future(self._fetch_from(heartbeat))
        self._fetches[name] = fetch
        self._late_at[name] = now + hedge
        fetch.add_done_callback(lambda _: self._end_fetch(name))
        return fetch

    def _end_fetch(self, name: str) -> None:
        self._fetches.pop(name)
        self._late_at.pop(name)
        self._start_fetching()

    def _hedge_seconds(self, heartbeat: HeartbeatDatagram) -> float:
        is_near = heartbeat.sender.zone == self._zone
        timing = self._timing()
        return timing.near_hedge if is_near else timing.far_hedge

    async def _fetch_from(self, heartbeat: HeartbeatDatagram) -> None:
        """Fetch from a host and merge its answer."""
        asked_at = asyncio.get_running_loop().time()
        fetched = await self._fetch(heartbeat.sender.address)
        if isinstance(fetched, Err):
            failed = fetched.err_value
            self.failures[failed.failure] += 1
            log_warning(
                'state-not-fetched',
                host=heartbeat.sender.name,
                reason=failed.failure.value,
                detail=failed.detail,
            )
            return
        age = fetched.ok_value.age
        if (
            self._merge(fetched.ok_value, heartbeat.sender.name)
            and age is not None
        ):
            self._local_state.age.note_reported(age, asked_at)
        if self._local_state.suspects.add_evidence(fetched.ok_value.suspects):
            log_event(
                'suspects-adopted',
                count=len(fetched.ok_value.suspects),
                source=heartbeat.sender.name,
            )
        self._local_state.limits.merge_peer_limits(
            fetched.ok_value.limits,
            heartbeat.sender.name,
        )
        self._compared[heartbeat.sender.name] = (
            _digests_of(heartbeat.versions),
            _digests_of(self._local_state.versions),
        )
        self._compared_at = asyncio.get_running_loop().time()

    def _ask(self, request: HTTPRequest) -> Awaitable[HTTPResponse]:
        return self._client.fetch(request, raise_error=False)

    async def _fetch(self, address: str) -> Result[SharedState, _FailedFetch]:
        self.fetches += 1
        own = encode_versions(self._local_state.versions)
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

    def _merge(self, state: SharedState, host: str) -> bool:
        """Merge state from another host.

        Returns:
            False if the upstreams could not be merged because of a gap.
        """
        source = f'{PEER_SOURCE_PREFIX}{host}'
        local_state = self._local_state
        restore = state.restore
        if restore is not None:
            local_state.restoration.merge_peer_report(restore.era, restore.age)
        if state.configuration is not None:
            stored = StoredObject(
                metadata=Metadata(
                    name=CONFIGURATION_NAME,
                    revision=state.configuration.revision.number,
                ),
                spec=state.configuration.document,
                era=state.configuration.revision.era,
            )
            local_state.offer_configuration(stored, source)
        if state.evacuations is not None:
            local_state.set_evacuated(
                state.evacuations.zones,
                state.evacuations.revision,
                source,
            )
        if restore is not None:
            local_state.keep_evacuated(restore.zones, restore.era)
        if state.rollouts is not None:
            # Before the upstreams, whose versions may concern an order.
            local_state.rollouts.merge_peer(state.rollouts, source)
        is_complete = self._merge_upstreams(state.upstreams, source)
        self.on_update()
        return is_complete

    def _merge_upstreams(
        self,
        changes: CatalogChanges | None,
        source: str,
    ) -> bool:
        if changes is None:
            return True
        catalog = self._local_state.catalog
        if changes.revision <= catalog.revision:
            log_event(
                'news-ignored',
                kind=UPSTREAM_KIND,
                revision=changes.revision,
                known=catalog.revision,
                source=source,
            )
            return True
        if not catalog.merge_peer_changes(changes):
            return False
        log_event(
            'upstreams-adopted',
            since=changes.since,
            revision=changes.revision,
            count=len(changes.entries),
            removed=len(changes.removed),
            used=len(catalog.in_service),
            source=source,
            age=round(self._local_state.age.seconds, 3),
        )
        return True


def _digests_of(versions: Versions) -> _Digests:
    return _Digests(
        versions.suspects,
        versions.limits,
        versions.kept,
        versions.past_rollouts,
    )


def _is_over(task: asyncio.Task[None] | None) -> bool:
    return task is None or task.done()
