"""Which links to peers are closed for too long, and are to be opened anew."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, NamedTuple

__all__ = ["LinkChange", "LinkReview", "LinkState", "review_links"]

# Longer than one attempt to connect, with its pause and its handshake.
REOPEN_INTERVAL_SECONDS: Final = 2.5


class LinkState(NamedTuple):
    """When a link was last seen open and last opened anew, and how often since then."""

    open_at: float
    reopened_at: float
    reopenings: int = 0


class LinkChange(NamedTuple):
    """A link that is lost or regained.

    ``event`` is ``link-lost`` once it was opened anew, and ``link-regained`` when it is
    open after that. It had been closed for ``seconds``.
    """

    event: str
    peer: str
    seconds: float
    reopenings: int


class LinkReview(NamedTuple):
    """The peers whose links are to be opened anew, and what changed."""

    closed_peers: list[str]
    changes: list[LinkChange]


def review_links(
    links: dict[str, LinkState], is_open: Callable[[str], bool], now: float
) -> LinkReview:
    """Update the states of links by peer; ``now`` is in seconds."""
    review = LinkReview([], [])
    for peer, state in links.items():
        seconds, reopenings = now - state.open_at, state.reopenings
        if is_open(peer):
            if reopenings:
                change = LinkChange("link-regained", peer, seconds, reopenings)
                review.changes.append(change)
            links[peer] = LinkState(now, now)
        elif now - state.reopened_at >= REOPEN_INTERVAL_SECONDS:
            if not reopenings:
                review.changes.append(LinkChange("link-lost", peer, seconds, 1))
            links[peer] = LinkState(state.open_at, now, reopenings + 1)
            review.closed_peers.append(peer)
    return review
