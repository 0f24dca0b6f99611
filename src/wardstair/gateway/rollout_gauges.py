"""Metrics of roll-outs."""

import time

from wardstair.gateway.rollouts import RolloutGate
from wardstair.process.metrics import Metrics
from wardstair.state.rollouts import RolloutTable

Row = tuple[float, dict[str, str]]


def add_rollout_gauges(
    metrics: Metrics, gate: RolloutGate, table: RolloutTable
) -> None:
    """Add the gauges and counters of roll-outs to the metrics of a host.

    Args:
        metrics: The metrics of the process.
        gate: What this host follows and counts.
        table: The roll-outs known to this host.
    """
    metrics.add_count(
        'wardstair_rollout_requests',
        'Requests given to the new version while it was rolled out, also '
        'those that could not be sent',
        lambda: [
            (float(count), {'service': service})
            for service, count in gate.sent.items()
        ],
    )
    metrics.add_count(
        'wardstair_rollout_bad_answers',
        'Bad answers of the new version while it was rolled out',
        lambda: [
            (float(count), {'service': service, 'kind': kind})
            for (service, kind), count in gate.bad.items()
        ],
    )
    metrics.add_count(
        'wardstair_rollout_plans_lapsed',
        'Times that no plan for a roll-out arrived any more',
        lambda: [(float(gate.lapsed), {})],
    )
    metrics.add_gauge(
        'wardstair_rollout_stage',
        'Stage of a running roll-out: 0 testing, 1 moving, 2 switched, '
        '3 stopped',
        lambda: [
            (float(rollout.stage(time.monotonic())), {'service': service})
            for service, rollout in gate.running.items()
        ],
    )
    metrics.add_gauge(
        'wardstair_rollout_share',
        'Share of the keys that goes to the new version',
        lambda: [
            (rollout.share, {'service': service})
            for service, rollout in gate.running.items()
        ],
    )
    metrics.add_gauge(
        'wardstair_rollout_allowance_left',
        'Requests that this host may still send to the version under test',
        lambda: [
            (float(rollout.left), {'service': service})
            for service, rollout in gate.running.items()
        ],
    )
    metrics.add_gauge(
        'wardstair_rollout_reserved',
        'Requests to the new version that all hosts may have been allowed',
        lambda: _reserved(table),
    )


def _reserved(table: RolloutTable) -> list[Row]:
    return [
        (float(record.reserved), {'service': rollout.order.service})
        for rollout in table.running
        if (record := rollout.own_record) is not None
    ]
