"""The text that a Prometheus server scrapes."""

from __future__ import annotations

from prometheus_client.parser import text_string_to_metric_families

from dragonflyrock.observe.metrics import Metrics


# Guards against counters, gauges or histograms that the parser of the Prometheus
# library cannot read, as the values are held without the library's own metric classes.
def test_scraper_reads_every_kind_of_metric() -> None:
    metrics = Metrics()
    metrics.retries.labels("a").inc()
    metrics.retries.labels("a").inc(2)
    metrics.leading.labels("control").set(1)
    metrics.revision.set(7)
    for seconds in (0.004, 0.005, 0.3, 99.0):
        metrics.request_seconds.labels("a").observe(seconds)
    text = metrics.render().decode()
    samples = {
        (sample.name, *sorted(sample.labels.values())): sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    }
    assert samples["dragonflyrock_retries_total", "a"] == 3
    assert samples["dragonflyrock_leading", "control"] == 1
    assert samples["dragonflyrock_revision",] == 7
    assert samples["dragonflyrock_dropped_frames_total",] == 0
    buckets = "dragonflyrock_request_seconds_bucket"
    assert samples[buckets, "0.005", "a"] == 2
    assert samples[buckets, "0.5", "a"] == 3
    assert samples[buckets, "+Inf", "a"] == 4
    assert samples["dragonflyrock_request_seconds_count", "a"] == 4
    assert samples["dragonflyrock_request_seconds_sum", "a"] == 99.309
