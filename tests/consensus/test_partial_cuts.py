"""Tests of groups in which single links are cut, with a manual clock."""

from __future__ import annotations

import pytest

from .common import Cluster


# Guards against CONFIG: no leader for as long as a link is cut, since a member that
# cannot be elected has a lower name than the only one that can, and refuses it.
@pytest.mark.parametrize("cut", [("a", "b"), ("a", "c"), ("b", "c")])
@pytest.mark.parametrize("seed", range(4))
def test_the_only_member_that_reaches_a_majority_is_elected(
    seed: int, cut: tuple[str, str]
) -> None:
    cluster = Cluster("abcde", seed)
    cluster.wait_for_leader()
    cluster.run(1.0)
    for name in "abcde":
        cluster.stop(name)
    for name in "abc":
        cluster.start(name)
    first, second = cut
    cluster.cut_links |= {(first, second), (second, first)}
    cluster.run(8.0)
    assert cluster.leader() is not None, "no leader was elected"
