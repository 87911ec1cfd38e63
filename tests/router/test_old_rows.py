"""Tests of answers by rows that no control node has confirmed for a while."""

from __future__ import annotations

from .harness import RouterHarness, run_scenario

UNKNOWN_PATH = b"/unknown/x"


# Guards against a line that does not tell how old the rows are by which a request was
# judged (CONFIG, issue 42).
def test_lines_of_requests_name_the_age_of_the_rows() -> None:
    async def scenario(harness: RouterHarness) -> None:
        await harness.add_server("s1")
        began = harness.frozen_at = harness.clock()
        harness.apply_update()
        await harness.send_request()
        harness.frozen_at = began + 3.0
        await harness.send_request(UNKNOWN_PATH)
        ages = [line["rows_age"] for line in harness.read_lines("request")]
        assert ages == [0.0, 3.0]

    run_scenario(scenario)
