"""Random schedules of failures; ``Cluster`` checks its invariants at each step."""

from __future__ import annotations

from typing import Final

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from .common import Cluster

NAMES: Final = "abc"

_NAME = st.sampled_from(NAMES)
_ACTION = st.one_of(
    st.tuples(st.just("propose"), _NAME),
    st.tuples(st.just("cut"), _NAME),
    st.tuples(st.just("one-way"), _NAME),
    st.tuples(st.just("heal"), _NAME),
    st.tuples(st.just("crash"), _NAME),
    st.tuples(st.just("down"), _NAME),
    st.tuples(st.just("up"), _NAME),
    st.tuples(st.just("freeze"), _NAME),
    st.tuples(st.just("compact"), _NAME),
    st.tuples(st.just("lose"), _NAME),
)
_STEP = st.tuples(_ACTION, st.floats(0.02, 1.2))


# Guards against any order of failures that loses a committed entry or makes members
# disagree.
@seed(20261203)
@settings(max_examples=120, deadline=None, database=None)
@given(number=st.integers(0, 2**16), steps=st.lists(_STEP, min_size=4, max_size=25))
def test_committed_entries_are_kept_and_equal_on_all_members(
    number: int, steps: list[tuple[tuple[str, str], float]]
) -> None:
    cluster = Cluster(NAMES, seed=number, delay=0.05)
    cluster.wait_for_leader()
    for count, ((action, name), pause) in enumerate(steps):
        _act(cluster, action, name, b"%d" % count)
        cluster.run(pause)
    acknowledged = {index: payload for index, (_, payload) in cluster.committed.items()}
    _heal(cluster)
    cluster.wait_for_leader(20.0)
    cluster.run(2.0)
    for name in NAMES:
        log = cluster.replicas[name].log
        assert cluster.replicas[name].commit_index >= max(acknowledged, default=0)
        for entry in log.entries_from(log.snapshot.log_index + 1, 10_000):
            if entry.log_index in acknowledged:
                assert entry.payload == acknowledged[entry.log_index]
    assert cluster.commands("a") == cluster.commands("b") == cluster.commands("c")


def _act(cluster: Cluster, action: str, name: str, payload: bytes) -> None:
    """Run one step of a schedule."""
    up = name in cluster.replicas
    match action:
        case "propose" if up:
            cluster.propose(payload, name)
        case "cut":
            cluster.isolate(name)
        case "one-way":
            cluster.cut_links |= {(name, other) for other in NAMES if other != name}
        case "heal":
            _heal(cluster)
        case "crash" if up:
            cluster.start(name)
        case "down":
            cluster.stop(name)
        case "up" if not up:
            cluster.start(name)
        case "freeze":
            cluster.frozen ^= {name}
        case "compact" if up and cluster.replicas[name].commit_index > 0:
            cluster.compact(name)
        case "lose":
            cluster.loss_rate = 0.3


def _heal(cluster: Cluster) -> None:
    """End all failures and start all stopped members."""
    cluster.cut_links.clear()
    cluster.frozen.clear()
    cluster.loss_rate = 0.0
    for name in NAMES:
        if name not in cluster.replicas:
            cluster.start(name)
