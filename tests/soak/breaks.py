"""Deliberate defects of a gateway that a play has to detect."""

import asyncio
import time
from collections.abc import Callable, Mapping
from dataclasses import replace

from tornado.httpclient import HTTPResponse

from wardstair.cli import gateway
from wardstair.connection import pipeline, pool
from wardstair.connection import upstream as upstream_connections
from wardstair.connection.upstream import UpstreamConnection
from wardstair.decisions.cold_upstreams import HostView
from wardstair.decisions.pipelining import PipelineState
from wardstair.decisions.suspicion import Evidence
from wardstair.gateway import (
    caller_connections,
    fleet_views,
    forwarding,
    peer_forwarding,
    refusals,
    splitting,
)
from wardstair.platform import headers, store
from wardstair.platform.objects import StoredObject
from wardstair.state import (
    age,
    catalog,
    contact,
    limits,
    local_state,
    notices,
    reachability,
    removals,
    suspects,
    sync,
    watching,
)
from wardstair.state.upstream import Upstream
from wardstair.version import organisations
from wardstair.version.steering import SteeredRoute

# How late hosts are that do something late.
LATE_SECONDS = 4.0


def misreport_as_not_run() -> None:
    """Report to callers that a request has not run although it may have."""
    status = refusals.OVERLOADED.status
    misreport = replace(
        refusals.OUTCOME_UNKNOWN, status=status, retry_after=0.1
    )
    refusals.OUTCOME_UNKNOWN = misreport
    refusals.DEADLINE_PASSED = misreport


def revert_versions() -> None:
    """Apply every configuration version that is read, even an older one."""
    adopt = local_state.LocalState.offer_configuration
    kept: list[StoredObject] = []

    def offer(
        self: local_state.LocalState,
        stored: StoredObject,
        source: str,
    ) -> bool:
        kept.append(stored)
        adopted = adopt(self, stored, source)
        if len(kept) % 2 == 0 and self.steering is not None:
            # Reverts to the first version, as if no later one had been read.
            self.steering = replace(self.steering, version=-1)
            adopt(self, kept[0], source)
        return adopted

    local_state.LocalState.offer_configuration = offer  # type: ignore[method-assign]


def ignore_other_hosts() -> None:
    """Make each host treat itself as the only one in the fleet."""

    def view(self: fleet_views.FleetViews) -> HostView:
        host = self._members.own
        own = (host.name,)
        return HostView(
            host.name,
            host.zone,
            own,
            own,
            1,
            is_settled=True,
            knows_zones=True,
        )

    fleet_views.FleetViews._view = view  # type: ignore[method-assign]


def keep_old_counts() -> None:
    """Keep the request counts of old weights when weights change."""
    begin = splitting.TrafficSplitter._begin

    def go_on(
        self: splitting.TrafficSplitter,
        route: SteeredRoute,
        before: splitting.RouteSplit,
    ) -> splitting.RouteSplit:
        split = begin(self, route, before)
        split.tally = before.tally
        return split

    splitting.TrafficSplitter._begin = go_on  # type: ignore[method-assign]


def discard_exit_evidence() -> None:
    """Discard evidence that a request terminated upstreams."""

    def take_in(
        self: suspects.SuspectTable,
        added: Mapping[str, Evidence],
    ) -> bool:
        return False

    suspects.SuspectTable.add_evidence = take_in  # type: ignore[method-assign]


def ignore_limits() -> None:
    """Ignore the rate limits that upstreams announce."""

    def rate_of(
        self: limits.LimitTable,
        upstream: Upstream,
    ) -> float | None:
        return None

    limits.LimitTable.rate_of = rate_of  # type: ignore[method-assign]


def ignore_leaving() -> None:
    """Ignore announcements by upstreams that they are leaving."""

    def note_leaving(self: notices.NoticeTable, upstream: Upstream) -> None:
        """Discard it."""

    notices.NoticeTable.note_leaving = note_leaving  # type: ignore[method-assign]


def keep_removed_upstreams() -> None:
    """Keep upstreams whose entries have been removed."""

    def remove(self: catalog.Catalog, removal: removals.Removal) -> None:
        """Discard it."""

    catalog.Catalog._remove = remove  # type: ignore[method-assign]


def ignore_pauses() -> None:
    """Ignore requests by upstreams for a pause."""

    def note_pause(
        self: notices.NoticeTable,
        upstream: Upstream,
        seconds: float,
    ) -> None:
        """Discard it."""

    notices.NoticeTable.note_pause = note_pause  # type: ignore[method-assign]


def ignore_eras() -> None:
    """Treat revisions of a restored store as those from before the restore."""

    def note_era(self: store.Store, response: HTTPResponse) -> int:
        return 0

    store.Store._note_era = note_era  # type: ignore[method-assign]


def trust_silent_watches() -> None:
    """Make hosts wait for watches that are never answered.

    The age of the state would make hosts poll the store, so it is reported as
    zero.
    """

    def seconds(self: age.StateAge) -> float:
        return 0.0

    def wait(self: sync.StoreSync) -> float:
        return watching.WATCH_SECONDS

    def slack(self: sync.StoreSync) -> float | None:
        return None

    def note_failure(self: contact.StoreContact, reason: str) -> None:
        self.pass_turn()

    contact.StoreContact.note_failure = note_failure  # type: ignore[method-assign]
    sync.StoreSync._evacuation_wait = wait  # type: ignore[method-assign]
    sync.StoreSync._evacuation_tolerance = slack  # type: ignore[method-assign]
    age.StateAge.seconds = property(seconds)  # type: ignore[assignment]


def forward_api_keys() -> None:
    """Forward API keys to upstreams."""
    api_key = headers.API_KEY.lower()
    headers._REPLACED = headers._REPLACED - {api_key}


def accept_removed_api_keys() -> None:
    """Accept API keys that a later configuration version has removed."""
    held: dict[bytes, organisations.Organisation] = {}

    def owner_of(
        self: organisations.OrganisationTable,
        api_key: str,
    ) -> organisations.Organisation | None:
        held.update(self.by_digest)
        return held.get(organisations.digest_of(api_key))

    table = organisations.OrganisationTable
    table.owner_of = owner_of  # type: ignore[method-assign]


def close_before_started() -> None:
    """Start requests that run once beside others, and close at any answer."""

    def may_start(state: PipelineState, *, is_repeatable: bool) -> bool:
        return True

    def closes(state: PipelineState, *, is_final: bool) -> bool:
        return is_final or state.is_stopping

    setattr(caller_connections, 'may_start', may_start)  # noqa: B010
    setattr(caller_connections, 'closes', closes)  # noqa: B010


def answer_in_any_order() -> None:
    """Send answers as soon as they are known."""
    finish = pipeline.Pipeline.finish

    def swap(
        self: pipeline.Pipeline[object],
        turn: pipeline.Turn[object],
        answer: object,
    ) -> None:
        if self._sending is None:
            self._turns.remove(turn)
            self._turns.insert(0, turn)
        finish(self, turn, answer)

    pipeline.Pipeline.finish = swap  # type: ignore[method-assign, assignment]


def ignore_deadlines() -> None:
    """Answer callers some seconds after the deadlines of their requests."""
    forwarding.REPLY_MARGIN_SECONDS = -LATE_SECONDS


def keep_answers() -> None:
    """Keep all bytes of the bodies of answers."""
    on_body = upstream_connections._Reading.on_body
    kept: list[bytes] = []

    def keep(self: upstream_connections._Reading, body: bytes) -> None:
        kept.append(body)
        on_body(self, body)

    upstream_connections._Reading.on_body = keep  # type: ignore[method-assign]


def adopt_seldom() -> None:
    """Ignore configurations for some seconds after each one."""
    adopt = local_state.LocalState.offer_configuration
    adopted_at = [0.0]

    def offer(
        self: local_state.LocalState,
        stored: StoredObject,
        source: str,
    ) -> bool:
        if time.monotonic() < adopted_at[0] + LATE_SECONDS:
            return False
        adopted = adopt(self, stored, source)
        if adopted:
            adopted_at[0] = time.monotonic()
        return adopted

    local_state.LocalState.offer_configuration = offer  # type: ignore[method-assign]


def bind_address(address: str) -> None:
    """Open connections to upstreams from a given source address.

    Args:
        address: IP address of this host.
    """

    async def dial(
        on_closed: Callable[[UpstreamConnection], None],
        host: str,
        port: int,
    ) -> UpstreamConnection:
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            lambda: UpstreamConnection(on_closed),
            host,
            port,
            local_addr=(address, 0),
        )
        return connection

    pool.dial_tcp = dial


def disable_peer_forwarding() -> None:
    """Forward nothing to peers and report no unreachable upstream."""
    setattr(peer_forwarding.PeerForwarder, 'find', _find_nobody)  # noqa: B010
    reachability.ReachabilityTable.is_cut_off = property(  # type: ignore[assignment]
        lambda _table: False,
    )


def _find_nobody(*_args: object) -> None:
    return None


def run(kind: str) -> None:
    """Install a defect and run the gateway.

    Args:
        kind: Name of the defect; any other text installs none.
    """
    match kind:
        case 'trapped':
            disable_peer_forwarding()
        case 'lie':
            misreport_as_not_run()
        case 'revert':
            revert_versions()
        case 'alone':
            ignore_other_hosts()
        case 'tally':
            keep_old_counts()
        case 'harm':
            discard_exit_evidence()
        case 'limits':
            ignore_limits()
        case 'leaving':
            ignore_leaving()
        case 'removals':
            keep_removed_upstreams()
        case 'pauses':
            ignore_pauses()
        case 'eras':
            ignore_eras()
        case 'silence':
            trust_silent_watches()
        case 'keys':
            forward_api_keys()
        case 'dropped':
            accept_removed_api_keys()
        case 'overdue':
            ignore_deadlines()
        case 'memory':
            keep_answers()
        case 'seldom':
            adopt_seldom()
        case 'closing':
            close_before_started()
        case 'order':
            answer_in_any_order()
    gateway.main()
