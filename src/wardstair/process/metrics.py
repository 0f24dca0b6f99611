"""Metrics of one process, by OpenTelemetry, for a Prometheus scrape.

Labels hold only names from the configuration and closed sets of kinds; a
caller's input never becomes a label.
"""

from collections import Counter
from collections.abc import Callable, Iterable

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import CollectorRegistry, Histogram, generate_latest
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import Collector

# Seconds; from an answer of a warm upstream nearby to the longest deadline.
LATENCY_BUCKETS = (0.1, 0.2, 0.3, 0.4, 0.5, 0.75, 1.0, 1.5, 2.0, 4.0, 8.0)
Rows = Callable[[], Iterable[tuple[float, dict[str, str]]]]


# How requests end and what is done about it comes first on a page: collectors
# that keep only the first kilobytes of it keep that.
_FIRST_FAMILIES = ('wardstair_refusals', 'wardstair_retries')


class _Page(Collector):
    """The metrics of a registry in the order of the page."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self._registry = registry

    def collect(self) -> Iterable[Metric]:
        return sorted(
            self._registry.collect(),
            key=lambda family: not family.name.startswith(_FIRST_FAMILIES),
        )


class Tally:
    """Counts by label values, cheap enough for every request.

    A counter of the library takes some 50 us an addition, a tenth of what
    forwarding a request may cost; it reads these instead when scraped.
    """

    def __init__(self, labels: tuple[str, ...]) -> None:
        """Start at nothing.

        Args:
            labels: Names of the labels, in the order of their values.
        """
        self._labels = labels
        self._counts: Counter[tuple[str, ...]] = Counter()

    def add(self, *values: str) -> None:
        """Count one more."""
        self._counts[values] += 1

    def count(self, *values: str) -> int:
        """Return the count so far."""
        return self._counts[values]

    def rows(self) -> list[tuple[float, dict[str, str]]]:
        """Return the counts with their labels."""
        return [
            (float(count), dict(zip(self._labels, values, strict=True)))
            for values, count in self._counts.items()
        ]


class Metrics:
    """The instruments of one process."""

    def __init__(self) -> None:
        """Make the instruments on a registry of their own."""
        self._registry = CollectorRegistry()
        self._reader = PrometheusMetricReader(
            registry=self._registry,
            disable_target_info=True,
            scope_info_enabled=False,
        )
        self._provider = MeterProvider(metric_readers=[self._reader])
        meter = self._provider.get_meter('wardstair')
        self._meter = meter
        self.lookups = self._tally(
            'lookups',
            'Look-ups answered',
            'workload',
        )
        self.requests = self._tally(
            'requests',
            'Requests answered by an upstream',
            'workload',
        )
        self.split_requests = self._tally(
            'split_requests',
            'Requests of split routes by the service they were given',
            'workload',
            'service',
        )
        self.refusals = self._tally(
            'refusals',
            'Requests refused',
            'kind',
            'workload',
        )
        self.quota_refusals = self._tally(
            'quota_refusals',
            'Requests refused since a quota was used up',
            'organisation',
        )
        self.key_faults = self._tally(
            'key_faults',
            'Requests whose API key was not accepted',
            'fault',
        )
        self.retries = self._tally(
            'retries',
            'Further attempts',
            'reason',
            'workload',
        )
        self.retries_withheld = self._tally(
            'retries_withheld',
            'Further attempts that were not made',
            'verdict',
            'workload',
        )
        self.sends_after_notice = self._tally(
            'sends_after_notice',
            'Requests sent to upstreams that leave or have asked for a pause',
            'notice',
            'way',
        )
        self.handed_on = self._tally(
            'requests_handed_on',
            'Requests handed on to another entry host, by how that ended',
            'outcome',
            'workload',
        )
        self.platform_calls = self._tally(
            'platform_calls',
            'Calls on the platform',
            'outcome',
        )
        self.task_failures = self._tally(
            'task_failures',
            'Tasks of this host that failed and began again',
            'task',
        )
        self.lines_thinned = self._tally(
            'log_lines_thinned',
            'Log lines of requests that were left out',
            'event',
        )
        # These two are of the Prometheus client itself: a histogram of
        # OpenTelemetry takes some 40 us a value, this one 2.
        self._request_seconds = Histogram(
            'wardstair_gateway_request_seconds',
            'Seconds from the head of a request to its answer',
            ['route'],
            buckets=LATENCY_BUCKETS,
            registry=self._registry,
        )
        self._upstream_seconds = Histogram(
            'wardstair_gateway_upstream_seconds',
            'Seconds from sending a request to the whole answer',
            ['service'],
            buckets=LATENCY_BUCKETS,
            registry=self._registry,
        )
        self.latency = meter.create_histogram(
            'wardstair_request_seconds',
            unit='s',
            description='Seconds from request to whole answer, by workload',
        )

    def observe_request(self, route: str, seconds: float) -> None:
        """Note how long a request took from its head to its answer.

        Args:
            route: Its route.
            seconds: The time.
        """
        self._request_seconds.labels(route).observe(seconds)

    def observe_upstream(self, service: str, seconds: float) -> None:
        """Note how long an upstream took from the send to its answer.

        Args:
            service: The upstream's service.
            seconds: The time.
        """
        self._upstream_seconds.labels(service).observe(seconds)

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

    def _tally(self, name: str, description: str, *labels: str) -> Tally:
        tally = Tally(labels)
        self.add_count(f'wardstair_{name}', description, tally.rows)
        return tally

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(_Page(self._registry))

    def close(self) -> None:
        """Release the instruments."""
        self._provider.shutdown()


def _observer(rows: Rows) -> Callable[[CallbackOptions], list[Observation]]:
    def observe(_options: CallbackOptions) -> list[Observation]:
        return [Observation(value, labels) for value, labels in rows()]

    return observe
