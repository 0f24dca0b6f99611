"""Metrics of one process, by OpenTelemetry, for a Prometheus scrape.

Labels hold only names from the configuration and closed sets of kinds; a
caller's input never becomes a label.
"""

from collections.abc import Callable, Iterable

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import CollectorRegistry, generate_latest

Rows = Callable[[], Iterable[tuple[float, dict[str, str]]]]


class Metrics:
    """The instruments of one process."""

    def __init__(self) -> None:
        """Make the instruments on a registry of their own."""
        self._registry = CollectorRegistry()
        self._reader = PrometheusMetricReader(
            registry=self._registry,
            disable_target_info=True,
        )
        self._provider = MeterProvider(metric_readers=[self._reader])
        meter = self._provider.get_meter('wardstair')
        self._meter = meter
        self.lookups = meter.create_counter(
            'wardstair_lookups',
            description='Look-ups answered, by workload',
        )
        self.requests = meter.create_counter(
            'wardstair_requests',
            description='Requests answered by an upstream, by workload',
        )
        self.refusals = meter.create_counter(
            'wardstair_refusals',
            description='Requests refused, by kind and workload',
        )
        self.retries = meter.create_counter(
            'wardstair_retries',
            description='Further attempts, by reason and workload',
        )
        self.retries_withheld = meter.create_counter(
            'wardstair_retries_withheld',
            description='Further attempts not made, by verdict and workload',
        )
        self.platform_calls = meter.create_counter(
            'wardstair_platform_calls',
            description='Calls on the platform, by outcome',
        )
        self.task_failures = meter.create_counter(
            'wardstair_task_failures',
            description='Tasks of this host that failed and began again',
        )
        self.latency = meter.create_histogram(
            'wardstair_request_seconds',
            unit='s',
            description='Seconds from request to whole answer, by workload',
        )

    def add_gauge(self, name: str, description: str, rows: Rows) -> None:
        """Add a gauge that is read when it is scraped.

        Args:
            name: Name of the metric.
            description: What it counts, with its unit.
            rows: Called at each scrape; returns values with their labels.
        """
        self._meter.create_observable_gauge(
            name,
            callbacks=[_observer(rows)],
            description=description,
        )

    def add_count(self, name: str, description: str, rows: Rows) -> None:
        """Add a counter that is kept elsewhere and read when scraped.

        Args:
            name: Name of the metric.
            description: What it counts, with its unit.
            rows: Called at each scrape; returns totals with their labels.
        """
        self._meter.create_observable_counter(
            name,
            callbacks=[_observer(rows)],
            description=description,
        )

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def close(self) -> None:
        """Release the instruments."""
        self._provider.shutdown()


def _observer(rows: Rows) -> Callable[[CallbackOptions], list[Observation]]:
    def observe(_options: CallbackOptions) -> list[Observation]:
        return [Observation(value, labels) for value, labels in rows()]

    return observe
