"""Tests of links to entry hosts that renew while no leader is known."""

from __future__ import annotations

from dragonflyrock.node.waiting import WaitingHosts


# Guards against a new leader whose first rows to a restarted host were lost, because
# its link to that host was not open.
def test_links_are_open_before_a_leader_is_elected() -> None:
    links: set[str] = set()
    waiting = WaitingHosts(links.add, links.discard)
    waiting.receive_renewal("host-1", leader="")
    waiting.receive_renewal("host-2", leader="")
    waiting.tick(leader="", own_name="me")
    assert links == {"host-1", "host-2"}
    waiting.tick(leader="me", own_name="me")
    assert links == {"host-1", "host-2"}


# Guards against followers with links that only the leader needs: each of them costs a
# probe per second.
def test_followers_close_their_links_and_open_none_while_a_leader_is_known() -> None:
    links: set[str] = set()
    waiting = WaitingHosts(links.add, links.discard)
    waiting.receive_renewal("host-1", leader="")
    waiting.tick(leader="other", own_name="me")
    assert not links
    waiting.receive_renewal("host-1", leader="other")
    assert not links
