"""Gauges and counters of an entry host, computed when metrics are scraped."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wardstair.process.host import EntryHost


def add_entry_gauges(host: 'EntryHost') -> None:
    """Add the gauges and counters to the metrics of a host."""
    host.metrics.add_gauge(
        'wardstair_slots_in_use',
        'Slots in use by this host, by resource',
        lambda: [
            (float(ledger.in_use), {'resource': name})
            for name, ledger in host.capacity.ledgers.items()
        ],
    )
    host.metrics.add_count(
        'wardstair_control_messages',
        'Messages to other entry hosts, by kind',
        lambda: [
            (float(count), {'kind': kind})
            for kind, count in host.links.sent.items()
        ],
    )
    host.metrics.add_count(
        'wardstair_control_bytes',
        'Bytes of messages to other entry hosts',
        lambda: [(float(host.links.sent_bytes), {})],
    )
    host.metrics.add_gauge(
        'wardstair_waiting',
        'Requests that wait for a slot',
        lambda: [(float(host.pool.waiting), {})],
    )
    host.metrics.add_gauge(
        'wardstair_version',
        'Version of the configuration in force',
        lambda: [(float(host.configuration.version), {})],
    )
