"""Conversion of metrics to the text format of Prometheus."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from .metrics import BUCKET_SECONDS, Family, Histogram, Value

__all__ = ["render_histograms", "render_values"]


class _StaticCollector(Collector):
    """A collector that returns metrics read beforehand."""

    def __init__(self, metrics: list[Metric]) -> None:
        """Store the metrics to return."""
        self._metrics = metrics

    def collect(self) -> Iterator[Metric]:
        """Return the stored metrics."""
        return iter(self._metrics)


def render_values(families: Iterable[Family[Value]]) -> bytes:
    """Return counters and gauges in the text format."""
    return _render([_convert_values(family) for family in families])


def render_histograms(families: Iterable[Family[Histogram]]) -> bytes:
    """Return histograms in the text format."""
    return _render([_convert_histograms(family) for family in families])


def _render(metrics: list[Metric]) -> bytes:
    """Return metrics in the text format."""
    registry = CollectorRegistry()
    registry.register(_StaticCollector(metrics))
    return generate_latest(registry)


def _convert_values(family: Family[Value]) -> Metric:
    """Return a family of counters or gauges as a metric of the library."""
    metric: CounterMetricFamily | GaugeMetricFamily
    if family.is_counter:
        metric = CounterMetricFamily(
            family.name, family.documentation, labels=family.label_names
        )
    else:
        metric = GaugeMetricFamily(
            family.name, family.documentation, labels=family.label_names
        )
    for label_values, cell in list(family.cells.items()):
        metric.add_metric(label_values, cell.value)
    return metric


def _convert_histograms(family: Family[Histogram]) -> Metric:
    """Return a family of histograms as a metric of the library, buckets cumulated."""
    metric = HistogramMetricFamily(
        family.name, family.documentation, labels=family.label_names
    )
    for label_values, cell in list(family.cells.items()):
        buckets: list[tuple[str, float]] = []
        cumulative = 0
        for bound, count in zip(BUCKET_SECONDS, cell.counts, strict=False):
            cumulative += count
            buckets.append((str(bound), cumulative))
        buckets.append(("+Inf", cumulative + cell.counts[-1]))
        metric.add_metric(label_values, buckets, cell.total)
    return metric
