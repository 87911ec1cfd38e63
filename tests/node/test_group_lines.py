"""Tests of the lines about the group of control nodes."""

from __future__ import annotations

from random import Random

import pytest

from dragonflyrock.consensus import (
    HardState,
    Log,
    Member,
    Replica,
    Timing,
    make_replica,
)
from dragonflyrock.consensus.contacts import record_contact
from dragonflyrock.consensus.log import encode_configuration
from dragonflyrock.consensus.models import (
    Configuration,
    Entry,
    EntryKind,
    JoinRequest,
    SnapshotImage,
    VoteAnswer,
    VoteRequest,
)
from dragonflyrock.consensus.replica import WaitingMember
from dragonflyrock.consensus.step import receive
from dragonflyrock.node.group_lines import GroupLines
from dragonflyrock.observe.metrics import Metrics

from .test_control_disk import LineRecorder

VOTERS = (Member("a", "1"), Member("b", "2"), Member("c", "3"))


@pytest.fixture
def replica() -> Replica:
    """Return a follower "a" of the voters "a", "b" and "c"."""
    log = Log(SnapshotImage())
    payload = encode_configuration(Configuration(VOTERS))
    log.append([Entry(1, 1, EntryKind.CONFIGURATION, payload)])
    timing = Timing()
    return make_replica(
        VOTERS[0], (), timing, Random(1), log, HardState(1, "b", "b"), 0.0
    )


@pytest.fixture
def recorder() -> LineRecorder:
    """Return a log that records its lines."""
    return LineRecorder()


@pytest.fixture
def metrics() -> Metrics:
    """Return metrics without values."""
    return Metrics()


@pytest.fixture
def group_lines(
    replica: Replica, recorder: LineRecorder, metrics: Metrics
) -> GroupLines:
    """Return the lines of the replica, after the first tick."""
    lines = GroupLines(
        "control",
        replica,
        recorder,  # type: ignore[arg-type]
        metrics,
        lambda peer: peer == "b",
    )
    lines.tick(0.0)
    return lines


# Guards against a group that lost its quorum while no line says who its members are.
def test_a_change_of_the_members_is_logged_when_appended_and_committed(
    group_lines: GroupLines,
    replica: Replica,
    recorder: LineRecorder,
    metrics: Metrics,
) -> None:
    payload = encode_configuration(Configuration(VOTERS[:2], (Member("d", "4"),)))
    replica.log.append([Entry(2, 1, EntryKind.CONFIGURATION, payload)])
    replica.commit_index = 1
    group_lines.tick(0.1)
    replica.commit_index = 2
    for now in (0.2, 0.3):
        group_lines.tick(now)
    lines = [line for line in recorder.lines if line["event"] == "members"]
    assert [(line["log_index"], line["committed"]) for line in lines] == [
        (1, False),
        (2, False),
        (2, True),
    ]
    assert (lines[2]["voters"], lines[2]["learners"]) == (["a", "b"], ["d"])
    assert metrics.voters.labels("control").value == 2
    assert metrics.learners.labels("control").value == 1


# Guards against an election that fails again and again for a reason that is not logged,
# and against a line for each of its requests.
def test_the_reason_of_a_refused_vote_is_logged_once(
    group_lines: GroupLines, replica: Replica, recorder: LineRecorder
) -> None:
    request = VoteRequest(2, 0, 0, pre_vote=True, forming=False)
    for number in range(20):
        now = 1.0 + number / 10
        receive(replica, VOTERS[2], request, now)
        group_lines.tick(now)
    receive(replica, Member("c", "9"), request, 5.0)
    group_lines.tick(5.0)
    lines = [line for line in recorder.lines if line["event"] == "vote-refused"]
    assert [(line["candidate"], line["detail"]) for line in lines] == [
        ("c", "the candidate's log is older"),
        ("c", "the member of this name has another identity"),
    ]


# Guards against a member that is admitted or removed because of a request that no line
# shows.
def test_a_request_to_join_is_logged_once_and_when_it_ends(
    group_lines: GroupLines, replica: Replica, recorder: LineRecorder
) -> None:
    replica.waiting_members["d"] = WaitingMember(Member("d", "4"), 0.1)
    group_lines.tick(0.1)
    group_lines.tick(0.2)
    replica.waiting_members.clear()
    group_lines.tick(0.3)
    lines = [line for line in recorder.lines if "join" in str(line["event"])]
    assert lines == [
        {"event": "join-asked", "member": "d", "identity": "4"},
        {"event": "join-ended", "member": "d"},
    ]


# Guards against a group without a leader that logs nothing, or a line each tick.
def test_a_missing_leader_is_logged_at_intervals(
    group_lines: GroupLines, recorder: LineRecorder
) -> None:
    for number in range(101):
        group_lines.tick(number / 10)
    lines = [line for line in recorder.lines if line["event"] == "no-leader"]
    assert [line["seconds"] for line in lines] == [2.0, 4.0, 6.0, 8.0, 10.0]


# Guards against two candidates without a leader of which no line says who each takes
# for a voter, whether the other is heard, and what it answers.
def test_a_missing_leader_is_logged_with_what_each_voter_answers(
    group_lines: GroupLines, replica: Replica, recorder: LineRecorder
) -> None:
    refusal = VoteAnswer(1, False, True, False, "the candidate is not a member")
    record_contact(replica, VOTERS[1], "1", refusal, 1.5)
    record_contact(replica, Member("c", "9"), "", JoinRequest("9"), 1.75)
    record_contact(replica, Member("stranger", "5"), "", JoinRequest("5"), 1.8)
    group_lines.tick(2.0)
    (missing,) = [line for line in recorder.lines if line["event"] == "no-leader"]
    assert (missing["identity"], missing["members_index"]) == ("1", 1)
    voters = [line for line in recorder.lines if line["event"] == "voter"]
    assert voters == [
        {
            "event": "voter",
            "voter": "b",
            "voter_identity": "2",
            "link": "open",
            "heard": 0.5,
            "heard_identity": "2",
            "vote": "the candidate is not a member",
        },
        {
            "event": "voter",
            "voter": "c",
            "voter_identity": "3",
            "link": "closed",
            "heard": 0.25,
            "heard_identity": "9",
            "vote": "",
        },
    ]


# Guards against messages that are dropped, as they are meant for another identity of
# this member, without a line that shows it.
def test_messages_for_another_identity_are_logged_once(
    group_lines: GroupLines, replica: Replica, recorder: LineRecorder
) -> None:
    for number, wanted in enumerate(("0", "0", "1", "0")):
        record_contact(replica, VOTERS[1], wanted, JoinRequest("2"), float(number))
        group_lines.tick(float(number))
    lines = [line for line in recorder.lines if line["event"] == "identity-unknown"]
    assert [(line["member"], line["wanted"], line["identity"]) for line in lines] == [
        ("b", "0", "1"),
        ("b", "0", "1"),
    ]


# Guards against a log that grows in memory without a line that shows its bytes.
def test_a_snapshot_is_logged_with_its_bytes_and_those_left_in_the_log(
    group_lines: GroupLines, replica: Replica, recorder: LineRecorder
) -> None:
    replica.log.append([Entry(2, 1, EntryKind.COMMAND, b"12345")])
    replica.log.append([Entry(3, 1, EntryKind.COMMAND, b"123")])
    group_lines.tick(1.0)
    assert not [line for line in recorder.lines if line["event"] == "snapshot"]
    image = SnapshotImage(2, 1, Configuration(VOTERS), b"1234567")
    replica.log.compact(image)
    group_lines.tick(1.1)
    group_lines.tick(1.2)
    assert [line for line in recorder.lines if line["event"] == "snapshot"] == [
        {
            "event": "snapshot",
            "log_index": 2,
            "entries": 2,
            "bytes": 7,
            "later_entries": 1,
            "later_bytes": 3,
        }
    ]
