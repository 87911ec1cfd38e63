"""Metrics as the text that is scraped."""

from __future__ import annotations

from prometheus_client.parser import text_string_to_metric_families

from dragonflyrock.observe.metrics import Metrics


# The numbers are our own; what is scraped must be read as before.
def test_all_kinds_are_read_by_a_scraper() -> None:
    metrics = Metrics()
    metrics.retries.labels("a").inc()
    metrics.retries.labels("a").inc(2)
    metrics.leading.labels("control").set(1)
    metrics.revision.set(7)
    for seconds in (0.004, 0.005, 0.3, 99.0):
        metrics.request_seconds.labels("a").observe(seconds)
    text = metrics.render().decode()
    found = {
        (sample.name, *sorted(sample.labels.values())): sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    }
    assert found["dragonflyrock_retries_total", "a"] == 3
    assert found["dragonflyrock_leading", "control"] == 1
    assert found["dragonflyrock_revision",] == 7
    assert found["dragonflyrock_dropped_frames_total",] == 0
    buckets = "dragonflyrock_request_seconds_bucket"
    assert found[buckets, "0.005", "a"] == 2
    assert found[buckets, "0.5", "a"] == 3
    assert found[buckets, "+Inf", "a"] == 4
    assert found["dragonflyrock_request_seconds_count", "a"] == 4
    assert found["dragonflyrock_request_seconds_sum", "a"] == 99.309
