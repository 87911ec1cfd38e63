"""Plain numbers as the text that Prometheus reads."""

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

from .metrics import BUCKET_SECONDS, Count, Family, Spread

__all__ = ["write_counts", "write_spreads"]


class _Snapshot(Collector):
    """Metrics that were read just now."""

    def __init__(self, metrics: list[Metric]) -> None:
        """Hold the metrics."""
        self._metrics = metrics

    def collect(self) -> Iterator[Metric]:
        """Return the metrics."""
        return iter(self._metrics)


def write_counts(families: Iterable[Family[Count]]) -> bytes:
    """Return counters and gauges as text."""
    return _write([_read_counts(family) for family in families])


def write_spreads(families: Iterable[Family[Spread]]) -> bytes:
    """Return histograms as text."""
    return _write([_read_spreads(family) for family in families])


def _write(metrics: list[Metric]) -> bytes:
    """Return metrics as text."""
    registry = CollectorRegistry()
    registry.register(_Snapshot(metrics))
    return generate_latest(registry)


def _read_counts(family: Family[Count]) -> Metric:
    """Return the cells of a family of counts."""
    metric: CounterMetricFamily | GaugeMetricFamily
    if family.grows:
        metric = CounterMetricFamily(
            family.name, family.told, labels=family.label_names
        )
    else:
        metric = GaugeMetricFamily(family.name, family.told, labels=family.label_names)
    for values, cell in list(family.cells.items()):
        metric.add_metric(values, cell.value)
    return metric


def _read_spreads(family: Family[Spread]) -> Metric:
    """Return the cells of a family of spreads."""
    metric = HistogramMetricFamily(family.name, family.told, labels=family.label_names)
    for values, cell in list(family.cells.items()):
        buckets: list[tuple[str, float]] = []
        below = 0
        for bound, count in zip(BUCKET_SECONDS, cell.counts, strict=False):
            below += count
            buckets.append((str(bound), below))
        buckets.append(("+Inf", below + cell.counts[-1]))
        metric.add_metric(values, buckets, cell.total)
    return metric
