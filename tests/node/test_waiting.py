"""Links to entry hosts that wait for a leader."""

from __future__ import annotations

from dragonflyrock.node.waiting import WaitingHosts


# A new leader's first rows were lost, since no link to a restarted host was open.
def test_links_are_open_before_a_leader_is_elected() -> None:
    links: set[str] = set()
    waiting = WaitingHosts(links.add, links.discard)
    waiting.hear("host-1", leader="")
    waiting.hear("host-2", leader="")
    waiting.tick(leader="", me="me")
    assert links == {"host-1", "host-2"}
    waiting.tick(leader="me", me="me")
    assert links == {"host-1", "host-2"}


# Links that only the leader needs would cost each follower a probe a second.
def test_followers_close_their_links_and_open_none_beside_a_leader() -> None:
    links: set[str] = set()
    waiting = WaitingHosts(links.add, links.discard)
    waiting.hear("host-1", leader="")
    waiting.tick(leader="other", me="me")
    assert not links
    waiting.hear("host-1", leader="other")
    assert not links
