"""Tests of the decision which links are opened anew."""

from __future__ import annotations

from dragonflyrock.transport.link_states import (
    LinkChange,
    LinkState,
    review_links,
)


class Reviews:
    """Reviews of the links to two peers, of which one is always open."""

    def __init__(self) -> None:
        """Open both links at the time 100."""
        self.open_peers = {"a", "b"}
        self.links = dict.fromkeys(("a", "b"), LinkState(100.0, 100.0))
        self.reopened_at: list[float] = []
        self.changes: list[LinkChange] = []

    def run(self, begin: float, end: float) -> None:
        """Review the links each quarter of a second, up to but without ``end``."""
        for quarter in range(int(begin * 4), int(end * 4)):
            now = quarter / 4
            review = review_links(self.links, self.open_peers.__contains__, now)
            assert set(review.closed_peers) <= {"a"}
            self.reopened_at += [now] * len(review.closed_peers)
            self.changes += review.changes


# Guards against a link that is never opened anew, and against attempts that are cut
# short as the link is opened anew all the time.
def test_a_closed_link_is_opened_anew_at_intervals() -> None:
    reviews = Reviews()
    reviews.run(100, 110)
    assert reviews.reopened_at == []
    reviews.open_peers.remove("a")
    reviews.run(110, 120)
    assert reviews.reopened_at == [112.25, 114.75, 117.25, 119.75]
    assert reviews.changes == [LinkChange("link-lost", "a", 2.5, 1)]
    reviews.open_peers.add("a")
    reviews.run(120, 130)
    assert reviews.changes[1:] == [LinkChange("link-regained", "a", 10.25, 4)]
    assert len(reviews.reopened_at) == 4


# Guards against a connection that is replaced while it is being made: a reconnect takes
# less than the interval.
def test_a_link_that_is_closed_for_a_short_time_is_left_alone() -> None:
    reviews = Reviews()
    for begin in range(100, 130, 3):
        reviews.run(begin, begin + 1)
        reviews.open_peers.remove("a")
        reviews.run(begin + 1, begin + 3)
        reviews.open_peers.add("a")
    assert reviews.reopened_at == []
    assert reviews.changes == []
