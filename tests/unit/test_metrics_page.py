"""Order of the metrics page; some collectors keep only its beginning."""

from wardstair.process.metrics import Metrics


def test_refusals_precede_gauges() -> None:
    metrics = Metrics()
    metrics.add_gauge('wardstair_belief', 'A belief', lambda: [(1.0, {})])
    metrics.render()
    metrics.refusals.add('no-upstream', 'r1')
    page = metrics.render().decode()
    refused = 'wardstair_refusals_total{kind="no-upstream",workload="r1"} 1.0'
    assert page.index(refused) < page.index('wardstair_belief 1.0')
    metrics.close()
