"""Tests of answers by rows that no control node has confirmed for a while."""

from __future__ import annotations

from dragonflyrock.http import Request, find_header
from dragonflyrock.models import Delta
from dragonflyrock.router.exchange import MAX_ROWS_AGE_SECONDS
from dragonflyrock.router.relay import DOCUMENT_VERSION
from dragonflyrock.transport.messages import HostUpdate

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


# Guards against CONFIG (issue 42): a route that was added is refused with 404 by rows
# that no control node has confirmed for longer than a change may take to be in force.
def test_no_404_is_given_by_rows_that_nobody_has_confirmed_lately() -> None:
    async def scenario(harness: RouterHarness) -> None:
        await harness.add_server("s1")
        began = harness.frozen_at = harness.clock()
        harness.apply_update()
        harness.frozen_at = began + MAX_ROWS_AGE_SECONDS
        assert (await harness.send_request(UNKNOWN_PATH)).status == 404
        harness.frozen_at += 0.1
        response = await harness.send_request(UNKNOWN_PATH)
        assert response.status == 503
        assert find_header(response.headers, b"retry-after") is not None
        assert harness.received == []

    run_scenario(scenario)


# Guards against rows that count as confirmed since an unsolicited update has arrived:
# it may have waited on the way.
def test_only_the_answer_to_a_renewal_confirms_rows() -> None:
    async def scenario(harness: RouterHarness) -> None:
        began = harness.frozen_at = harness.clock()
        harness.apply_update()
        harness.frozen_at = began + 5.0
        no_rows = Delta(1, 1, full=False)
        harness.state.apply(HostUpdate(1, "leader", 0.0, 0, no_rows, 1, None))
        assert (await harness.send_request(UNKNOWN_PATH)).status == 503
        sent_at = harness.frozen_at
        harness.state.apply(HostUpdate(1, "leader", sent_at, 0, no_rows, 1, None))
        assert (await harness.send_request(UNKNOWN_PATH)).status == 404

    run_scenario(scenario)


# Guards against rows that count as confirmed by an update which this host cannot apply,
# as rows between are missing.
def test_an_update_after_a_gap_confirms_no_rows() -> None:
    async def scenario(harness: RouterHarness) -> None:
        began = harness.frozen_at = harness.clock()
        harness.apply_update()
        sent_at = harness.frozen_at = began + 5.0
        later_rows = Delta(7, 8, full=False)
        harness.state.apply(HostUpdate(1, "leader", sent_at, 0, later_rows, 1, None))
        assert (await harness.send_request(UNKNOWN_PATH)).status == 503

    run_scenario(scenario)


# Guards against a request that is refused as one host lost the control nodes, though
# another host has newer rows.
def test_a_relayed_request_goes_on_to_a_host_whose_rows_are_confirmed() -> None:
    async def scenario(harness: RouterHarness) -> None:
        began = harness.frozen_at = harness.clock()
        harness.apply_update()
        harness.frozen_at = began + 5.0
        headers = ((b"Host", b"h"), (DOCUMENT_VERSION, b"1"))
        request = Request(b"GET", UNKNOWN_PATH, headers, b"")
        response = await harness.router.handle_relayed(request)
        assert response.status == 503
        assert find_header(response.headers, b"relay-refused") is not None

    run_scenario(scenario)


# Guards against CONFIG while two builds run side by side: a host of a build that names
# no version relays a request, and passes on a 404 by a document older than its own.
def test_a_host_that_names_no_version_gets_no_404() -> None:
    async def scenario(harness: RouterHarness) -> None:
        harness.apply_update()
        request = Request(b"GET", UNKNOWN_PATH, ((b"Host", b"h"),), b"")
        response = await harness.router.handle_relayed(request)
        assert response.status == 503
        assert find_header(response.headers, b"relay-refused") is not None

    run_scenario(scenario)
