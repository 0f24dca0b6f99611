"""Registers the metrics of a gateway: state, age of the state and activity.

Values are computed only when metrics are scraped.
"""

import time
from collections import Counter
from typing import TYPE_CHECKING

from wardstair.decisions.notices import Availability
from wardstair.gateway.ports import PortBinder
from wardstair.process.metrics import Metrics
from wardstair.process.sink import LineSink
from wardstair.state.upstream import Upstream

if TYPE_CHECKING:
    from wardstair.gateway.host import GatewayHost

Row = tuple[float, dict[str, str]]


def add_line_counts(metrics: Metrics, sink: LineSink) -> None:
    """Add the counts of log lines that are dropped or waiting.

    Args:
        metrics: The metrics of the process.
        sink: The output for its log lines.
    """
    metrics.add_count(
        'wardstair_log_lines_dropped',
        'Log lines dropped since their reader was too slow',
        lambda: [(float(sink.dropped), {})],
    )
    metrics.add_gauge(
        'wardstair_log_lines_waiting',
        'Log lines that wait for their reader',
        lambda: [(float(sink.waiting), {})],
    )


def add_blocked_listeners(metrics: Metrics, binder: PortBinder) -> None:
    """Add the gauge of listeners that wait for their ports.

    Args:
        metrics: The metrics of the process.
        binder: Binds the ports.
    """
    metrics.add_gauge(
        'wardstair_listener_blocked_seconds',
        'Seconds for which a listener has been waiting for its port',
        lambda: [
            (time.monotonic() - since, {'listener': name})
            for name, since in binder.blocked.items()
        ],
    )


def add_gauges(host: 'GatewayHost') -> None:
    """Add the gauges and counters of a gateway to its metrics."""
    metrics = host.metrics
    local_state = host.local_state
    metrics.add_gauge(
        'wardstair_configuration_version',
        'Version of the configuration in force; -1 for none',
        lambda: [(float(local_state.versions.configuration), {})],
    )
    metrics.add_gauge(
        'wardstair_configuration_age_seconds',
        'Seconds since the version in force was adopted',
        lambda: [(time.monotonic() - local_state.adopted_at, {})],
    )
    metrics.add_gauge(
        'wardstair_store_age_seconds',
        'Seconds since the store last answered; -1 for never',
        lambda: [(_store_age(host), {})],
    )
    metrics.add_gauge(
        'wardstair_store_era',
        'Era of the store as its answers tell it; 0 for none',
        lambda: [(float(host.contact.era), {})],
    )
    metrics.add_count(
        'wardstair_store_restores',
        'Restores of the store from a copy that this host has noticed',
        lambda: [(float(host.contact.restores), {})],
    )
    metrics.add_gauge(
        'wardstair_hosts_live',
        'Entry hosts that this one hears, itself included',
        lambda: [(float(len(host.members.live()) + 1), {})],
    )
    metrics.add_gauge(
        'wardstair_settings_missing',
        'What stands in for a setting that the file does not give',
        lambda: _missing_settings(host),
    )
    metrics.add_gauge(
        'wardstair_sentinel',
        'Whether this host watches the store closely',
        lambda: [(float(host.is_sentinel), {})],
    )
    metrics.add_gauge(
        'wardstair_upstream_entries_unusable',
        'Entries of the store that name no upstream, as this host read them',
        lambda: [(float(len(host.sync.unusable)), {})],
    )
    metrics.add_count(
        'wardstair_datagrams_unreadable',
        'Datagrams of other hosts that could not be decoded, by their kind',
        lambda: [
            (float(host.heartbeat_endpoint.unreadable.count), {'kind': 'beat'}),
            (float(host.demand_endpoint.unreadable.count), {'kind': 'demand'}),
        ],
    )
    metrics.add_count(
        'wardstair_store_objects_unreadable',
        'Objects with odd metadata in the answers of the store',
        lambda: [(float(host.store.unreadable.count), {})],
    )
    metrics.add_count(
        'wardstair_configurations_rejected',
        'Times that a stored configuration was read and was not valid',
        lambda: [(float(host.local_state.rejected_configurations), {})],
    )
    metrics.add_gauge(
        'wardstair_requests_suspected',
        'Requests under which upstreams ended, by whether they are refused',
        lambda: _suspects(host),
    )
    metrics.add_gauge(
        'wardstair_requests_open',
        'Requests of callers that are not answered yet',
        lambda: [(float(host.callers.open_count), {})],
    )
    metrics.add_count(
        'wardstair_requests_pipelined',
        'Requests started beside an earlier one of their connection',
        lambda: [(float(host.callers.pipelined), {})],
    )
    metrics.add_count(
        'wardstair_connections_closed_unread',
        'Connections of callers closed with bytes that may hold a request',
        lambda: [(float(host.callers.closed_unread), {})],
    )
    metrics.add_count(
        'wardstair_caller_reading_pauses',
        'Pauses in reading connections of callers that sent more, by reason',
        lambda: [
            (float(count), {'reason': reason.value})
            for reason, count in host.callers.pauses.items()
        ],
    )
    metrics.add_gauge(
        'wardstair_upstreams',
        'Upstreams by service and state',
        lambda: _upstreams(host),
    )
    metrics.add_gauge(
        'wardstair_upstream_requests',
        'Requests of this host at upstreams, by service and state',
        lambda: _upstreams(host, counts_requests=True),
    )
    metrics.add_count(
        'wardstair_store_calls',
        'Calls on the store, by what they are for and kind of objects',
        lambda: _store_calls(host),
    )
    metrics.add_count(
        'wardstair_cold_sends',
        'Requests sent to upstreams that were cold, by service',
        lambda: _cold_sends(host),
    )
    metrics.add_count(
        'wardstair_upstreams_assumed_cold',
        'Upstreams taken for cold though their entries do not say so',
        lambda: [
            (float(count), {'reason': reason.value})
            for reason, count in host.chooser.assumed_cold.items()
        ],
    )
    metrics.add_count(
        'wardstair_limited_sends',
        'Requests sent to upstreams that name a limit, by service',
        lambda: _limited_sends(host),
    )
    metrics.add_gauge(
        'wardstair_resend_window',
        'Sends to a service in the window of the limit on resends, by kind',
        lambda: _resend_window(host),
    )
    metrics.add_gauge(
        'wardstair_upstream_limits',
        'Requests a second that upstreams take from all hosts, as they name it',
        lambda: _limits(host),
    )
    metrics.add_count(
        'wardstair_broken_exchanges',
        'Exchanges with upstreams that ended without an answer, by reason',
        lambda: _broken_exchanges(host),
    )
    metrics.add_count(
        'wardstair_upstream_notices',
        'Answers by which an upstream says that it leaves or asks for a pause',
        lambda: _notices(host),
    )
    metrics.add_count(
        'wardstair_upstream_connections_opened',
        'Connections opened to upstreams',
        lambda: [(float(host.pool.opened), {})],
    )
    metrics.add_gauge(
        'wardstair_state_age_seconds',
        'Time since the state of this host was known to be complete',
        lambda: [(local_state.age.seconds, {})],
    )
    metrics.add_count(
        'wardstair_state_refreshes',
        'Times that the store was asked as the state had grown old',
        lambda: [(float(host.refresher.asked), {})],
    )
    metrics.add_count(
        'wardstair_state_differences',
        'Listings of upstreams because another host reported different ones',
        lambda: [(float(host.agreement.differences), {})],
    )
    metrics.add_count(
        'wardstair_state_fetches',
        'Fetches of state from other entry hosts',
        lambda: [(float(host.exchange.fetches), {})],
    )
    metrics.add_count(
        'wardstair_state_fetch_failures',
        'Fetches of state from other entry hosts that failed, by reason',
        lambda: _fetch_failures(host),
    )
    metrics.add_count(
        'wardstair_watches_renewed',
        'Waiting watches of the store that were given up, by kind and reason',
        lambda: _watch_renewals(host),
    )
    metrics.add_gauge(
        'wardstair_upstream_groups_lost',
        'Groups of upstreams of which this host reaches none; `*`: all',
        lambda: [
            (1.0, {'group': group}) for group in local_state.reachability.lost
        ],
    )
    metrics.add_gauge(
        'wardstair_upstream_groups_closed',
        'Groups of upstreams to which new connections fail; `*`: all',
        lambda: [
            (1.0, {'group': group})
            for group in local_state.reachability.opening.closed
        ],
    )
    metrics.add_count(
        'wardstair_reach_doubts',
        'Times that no upstream might have been within reach',
        lambda: [(float(local_state.reachability.suspect_count), {})],
    )
    metrics.add_count(
        'wardstair_reach_probes',
        'Upstreams asked whether they are within reach',
        lambda: [(float(host.reachability_monitor.probes), {})],
    )
    metrics.add_count(
        'wardstair_relayed_requests',
        'Requests taken that another entry host has handed on',
        lambda: [(float(host.peer_request_server.taken), {})],
    )
    metrics.add_count(
        'wardstair_directory_answers',
        'Look-ups answered',
        lambda: [(float(host.directory.answered), {})],
    )


def _suspects(host: 'GatewayHost') -> list[Row]:
    suspects = host.local_state.suspects
    held = len(suspects.held)
    free = len(suspects.records) - held
    return [(float(held), {'held': 'yes'}), (float(free), {'held': 'no'})]


def _store_age(host: 'GatewayHost') -> float:
    heard_at = host.contact.heard_at
    return -1.0 if heard_at is None else time.monotonic() - heard_at


def _store_calls(host: 'GatewayHost') -> list[Row]:
    return [
        (float(count), {'call': case.call.value, 'kind': case.kind})
        for case, count in host.store.calls.items()
    ]


def _fetch_failures(host: 'GatewayHost') -> list[Row]:
    return [
        (float(count), {'reason': failure.value})
        for failure, count in host.exchange.failures.items()
    ]


def _watch_renewals(host: 'GatewayHost') -> list[Row]:
    return [
        (float(count), {'kind': watcher.kind, 'reason': reason.value})
        for watcher in host.sync.watchers
        for reason, count in watcher.renewals.items()
    ]


def _cold_sends(host: 'GatewayHost') -> list[Row]:
    return [
        (float(count), {'service': service})
        for service, count in host.chooser.cold_sends.sent.items()
    ]


def _resend_window(host: 'GatewayHost') -> list[Row]:
    rows: list[Row] = []
    for usage in host.resend_budgets.usages():
        kinds = {
            'first': float(usage.firsts),
            'resend': float(usage.resends),
            'allowed': usage.allowed,
        }
        rows.extend(
            (count, {'service': usage.service, 'kind': kind})
            for kind, count in kinds.items()
        )
    return rows


def _limited_sends(host: 'GatewayHost') -> list[Row]:
    return [
        (float(count), {'service': service})
        for service, count in host.chooser.limited_sends.sent.items()
    ]


def _limits(host: 'GatewayHost') -> list[Row]:
    return [
        (row.rate, {'upstream': name})
        for name, row in host.local_state.limits.rows.items()
        if row.rate is not None
    ]


def _broken_exchanges(host: 'GatewayHost') -> list[Row]:
    return [
        (float(count), {'reason': reason.value})
        for reason, count in host.sender.broken.items()
    ]


def _notices(host: 'GatewayHost') -> list[Row]:
    return [
        (float(count), {'notice': notice.value})
        for notice, count in host.local_state.notices.counts.items()
    ]


def _missing_settings(host: 'GatewayHost') -> list[Row]:
    gaps = host.live_settings.current.gaps
    return [(gap.used, {'setting': gap.name}) for gap in gaps]


def _state_of(host: 'GatewayHost', upstream: Upstream, now: float) -> str:
    if upstream.takes_work:
        availability = host.local_state.notices.availability(upstream)
        if availability is not Availability.open:
            return availability.value
    return upstream.state_now(now)


def _upstreams(
    host: 'GatewayHost',
    *,
    counts_requests: bool = False,
) -> list[Row]:
    now = time.monotonic()
    counts: Counter[tuple[str, str]] = Counter()
    for upstream in host.local_state.catalog.upstreams.values():
        state = _state_of(host, upstream, now)
        amount = upstream.in_flight if counts_requests else 1
        counts[upstream.entry.service, state] += amount
    return [
        (float(count), {'service': service, 'state': state})
        for (service, state), count in counts.items()
    ]
