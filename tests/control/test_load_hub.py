"""Tests of a control node that passes the backlogs of servers on among its hosts."""

from __future__ import annotations

import pytest

from dragonflyrock.control.load_hub import (
    DIGEST_INTERVAL_SECONDS,
    HOST_TIMEOUT_SECONDS,
    MAX_DIGEST_LOADS,
    LoadHub,
)
from dragonflyrock.transport.messages import ServerLoad, ServerLoads


@pytest.fixture
def hub() -> LoadHub:
    """Return a hub with two hosts."""
    hub = LoadHub()
    for name in ("one", "two"):
        assert hub.add_host(name, 10.0)
    return hub


# Guards against a host that is greeted once, over a link that is not open yet, and that
# never sends anything.
def test_a_host_is_greeted_until_it_has_sent_something(hub: LoadHub) -> None:
    assert hub.add_host("one", 10.1)
    hub.receive("one", (ServerLoad("s", 4, 0),), 10.2)
    assert not hub.add_host("one", 10.3)
    assert hub.add_host("two", 10.3)


# Guards against hosts that are told late, or of nothing new again and again.
def test_a_change_is_told_once_to_all_hosts(hub: LoadHub) -> None:
    hub.receive("one", (ServerLoad("s", 4, 20),), 10.1)
    assert hub.make_digest(10.15) == (
        ["one", "two"],
        ServerLoads((ServerLoad("s", 4, 70),)),
    )
    assert hub.make_digest(11.0) is None


# Guards against a message for each response of a server.
def test_changes_are_collected_for_an_interval(hub: LoadHub) -> None:
    hub.receive("one", (ServerLoad("s", 4, 0),), 10.1)
    assert hub.make_digest(10.1) is not None
    hub.receive("two", (ServerLoad("s", 5, 0),), 10.11)
    assert hub.make_digest(10.12) is None
    assert hub.make_digest(10.12 + DIGEST_INTERVAL_SECONDS) is not None


# Guards against an older word that arrives later and replaces a newer one.
def test_the_latest_word_counts(hub: LoadHub) -> None:
    hub.receive("one", (ServerLoad("s", 4, 0),), 10.1)
    hub.receive("two", (ServerLoad("s", 9, 50),), 10.12)
    digest = hub.make_digest(10.2)
    assert digest is not None
    assert digest[1].loads[0].backlog == 4


# Guards against words of a host that gets its rows elsewhere, and against digests for
# hosts that have gone.
def test_hosts_that_do_not_renew_here_are_left_out(hub: LoadHub) -> None:
    hub.receive("three", (ServerLoad("s", 4, 0),), 10.1)
    assert hub.make_digest(10.2) is None
    later = 10.0 + HOST_TIMEOUT_SECONDS + 0.1
    hub.add_host("two", later)
    hub.receive("two", (ServerLoad("s", 4, 0),), later)
    digest = hub.make_digest(later)
    assert digest is not None
    assert digest[0] == ["two"]


# Guards against a message or a table without bounds, and against times to come.
def test_a_huge_message_is_bounded(hub: LoadHub) -> None:
    names = [f"s{number}" for number in range(3 * MAX_DIGEST_LOADS)]
    hub.receive("one", tuple(ServerLoad(name, 1, -5_000) for name in names), 10.1)
    digest = hub.make_digest(10.1)
    assert digest is not None
    assert len(digest[1].loads) == MAX_DIGEST_LOADS
    assert all(load.age_ms == 0 for load in digest[1].loads)
