"""Hosts that are cut off from all servers, while others still reach them."""

from __future__ import annotations

import pytest

from .cut_off_hosts import WAYS, Hosts, cut_off, run_hosts

# Of the first tries at the other hosts, all of which are served here.
MIN_SERVED_SHARE = 2 / 3


# Guards against callers that are refused by a host that has lost its links to all
# servers, while the other hosts reach them.
@pytest.mark.parametrize("owner", ["", "one"])
@pytest.mark.parametrize("way", WAYS)
def test_a_host_that_reaches_no_server_serves_its_callers(way: str, owner: str) -> None:
    async def scenario(hosts: Hosts) -> None:
        cut_off(hosts.cut, way)
        await hosts.wait_until_noticed()
        responses = await hosts.send_requests(30)
        served = sum(response.status == 200 for response in responses)
        assert served >= MIN_SERVED_SHARE * len(responses)

    run_hosts(scenario, owner)
