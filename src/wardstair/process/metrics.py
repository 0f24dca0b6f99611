"""Metrics of the process, by OpenTelemetry, in the Prometheus format.

Label values are names from the configuration or members of fixed sets, never
input of a caller, which bounds the number of time series.
"""

from collections import Counter
from collections.abc import Callable, Iterable

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import CollectorRegistry, Histogram, generate_latest
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import Collector

# In seconds, from the response of a warm upstream nearby to the longest
# deadline.
LATENCY_BUCKETS = (0.1, 0.2, 0.3, 0.4, 0.5, 0.75, 1.0, 1.5, 2.0, 4.0, 8.0)
Rows = Callable[[], Iterable[tuple[float, dict[str, str]]]]


# Families at the start of the page: refusals and retries matter most, and some
# collectors keep only the first kilobytes of a page.
_FIRST_FAMILIES = ('wardstair_refusals', 'wardstair_retries')


class _Page(Collector):
    """Collects the metrics of a registry in the order of the page."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self._registry = registry

    def collect(self) -> Iterable[Metric]:
        return sorted(
            self._registry.collect(),
            key=lambda family: not family.name.startswith(_FIRST_FAMILIES),
        )


class LabelledCounter:
    """Counts by label values, cheap enough to update on every request.

    An addition to an OpenTelemetry counter takes about 50 us, a tenth of the
    time allowed for forwarding a request. Observable counters read these
    counts at each scrape instead.
    """

    def __init__(self, labels: tuple[str, ...]) -> None:
        """Create a counter without counts.

        Args:
            labels: Label names, in the order in which values are given.
        """
        self._labels = labels
        self._counts: Counter[tuple[str, ...]] = Counter()

    def add(self, *values: str) -> None:
        """Increment the count of these label values."""
        self._counts[values] += 1

    def count(self, *values: str) -> int:
        """Return the count of these label values."""
        return self._counts[values]

    def rows(self) -> list[tuple[float, dict[str, str]]]:
        """Return the counts with their labels."""
        return [
            (float(count), dict(zip(self._labels, values, strict=True)))
            for values, count in self._counts.items()
        ]


class Metrics:
    """The instruments of the process."""

    def __init__(self) -> None:
        """Create the instruments in a separate registry."""
        self._registry = CollectorRegistry()
        self._reader = PrometheusMetricReader(
            registry=self._registry,
            disable_target_info=True,
            scope_info_enabled=False,
        )
        self._provider = MeterProvider(metric_readers=[self._reader])
        meter = self._provider.get_meter('wardstair')
        self._meter = meter
        self.lookups = self._add_counter(
            'lookups',
            'Look-ups answered',
            'workload',
        )
        self.requests = self._add_counter(
            'requests',
            'Requests answered by an upstream',
            'workload',
        )
        self.split_requests = self._add_counter(
            'split_requests',
            'Requests of split routes by the service they were given',
            'workload',
            'service',
        )
        self.refusals = self._add_counter(
            'refusals',
            'Requests refused',
            'kind',
            'workload',
        )
        self.quota_refusals = self._add_counter(
            'quota_refusals',
            'Requests refused since a quota was used up',
            'organisation',
        )
        self.quota_cautious_refusals = self._add_counter(
            'quota_cautious_refusals',
            'Requests refused since the host does not know what it admitted '
            'before its start',
            'organisation',
        )
        self.key_faults = self._add_counter(
            'key_faults',
            'Requests whose API key was not accepted',
            'fault',
        )
        self.retries = self._add_counter(
            'retries',
            'Further attempts',
            'reason',
            'workload',
        )
        self.retries_withheld = self._add_counter(
            'retries_withheld',
            'Further attempts that were not made',
            'verdict',
            'workload',
        )
        self.sends_after_notice = self._add_counter(
            'sends_after_notice',
            'Requests sent to upstreams that leave or have asked for a pause',
            'notice',
            'way',
        )
        self.handed_on = self._add_counter(
            'requests_handed_on',
            'Requests handed on to another entry host, by how that ended',
            'outcome',
            'workload',
        )
        self.platform_calls = self._add_counter(
            'platform_calls',
            'Calls on the platform',
            'outcome',
        )
        self.task_failures = self._add_counter(
            'task_failures',
            'Tasks of this host that failed and began again',
            'task',
        )
        self.listener_failures = self._add_counter(
            'listener_failures',
            'Attempts to open a listener that failed, by its name and error',
            'listener',
            'error',
        )
        self.settings_rejected = self._add_counter(
            'settings_rejected',
            'Times that the settings file was read again and was not usable',
        )
        self.internal_errors = self._add_counter(
            'internal_errors',
            'Errors that nothing handled, by the part that reported them',
            'origin',
        )
        self.lines_thinned = self._add_counter(
            'log_lines_thinned',
            'Log lines of requests that were left out',
            'event',
        )
        # These two use the Prometheus client directly: recording a value takes
        # about 2 us, with a histogram of OpenTelemetry about 40 us.
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
        """Record the time from the head of a request to its response.

        Args:
            route: Route of the request.
            seconds: Duration in seconds.
        """
        self._request_seconds.labels(route).observe(seconds)

    def observe_upstream(self, service: str, seconds: float) -> None:
        """Record the time from sending a request to the whole response.

        Args:
            service: Service of the upstream.
            seconds: Duration in seconds.
        """
        self._upstream_seconds.labels(service).observe(seconds)

    def add_gauge(self, name: str, description: str, rows: Rows) -> None:
        """Add a gauge whose values are read at each scrape.

        Args:
            name: Name of the metric.
            description: Help text, with the unit.
            rows: Called at each scrape; returns values and their labels.
        """
        self._meter.create_observable_gauge(
            name,
            callbacks=[_observer(rows)],
            description=description,
        )

    def add_count(self, name: str, description: str, rows: Rows) -> None:
        """Add a counter whose totals are kept by the caller.

        Args:
            name: Name of the metric.
            description: Help text, with the unit.
            rows: Called at each scrape; returns totals and their labels.
        """
        self._meter.create_observable_counter(
            name,
            callbacks=[_observer(rows)],
            description=description,
        )

    def _add_counter(
        self, name: str, description: str, *labels: str
    ) -> LabelledCounter:
        counts = LabelledCounter(labels)
        self.add_count(f'wardstair_{name}', description, counts.rows)
        return counts

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(_Page(self._registry))

    def close(self) -> None:
        """Shut down the meter provider."""
        self._provider.shutdown()


def _observer(rows: Rows) -> Callable[[CallbackOptions], list[Observation]]:
    def observe(_options: CallbackOptions) -> list[Observation]:
        return [Observation(value, labels) for value, labels in rows()]

    return observe
