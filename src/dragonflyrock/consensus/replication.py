"""Log replication: append entries, the commit index, and catch-up by snapshot."""

from __future__ import annotations

from typing import Final

from ..const import NEVER
from .log import Log
from .models import (
    AppendAnswer,
    AppendRequest,
    EntryKind,
    Member,
    Message,
    Role,
    SnapshotRequest,
)
from .replica import (
    PeerProgress,
    Replica,
    append_as_leader,
    become_follower,
    queue_answer,
    queue_message,
    record_leader_commit_index,
    reset_election_timer,
    retain_durable_log,
    set_hard_state,
)

__all__ = [
    "on_append_answer",
    "on_append_request",
    "on_snapshot_request",
    "propose",
    "replicate",
    "tick_replication",
]

MAX_ENTRIES_PER_MESSAGE: Final = 512
# A message has no more bytes of payloads than this, but for a single entry.
MAX_BYTES_PER_MESSAGE: Final = 1024 * 1024
# Payloads that a peer was sent and has not acknowledged; it is sent no more of them.
MAX_UNACKNOWLEDGED_BYTES: Final = 4 * 1024 * 1024
# Leaves time to transfer a large snapshot before it is sent again.
SNAPSHOT_RESEND_HEARTBEATS: Final = 10


def propose(replica: Replica, payload: bytes) -> int | None:
    """Append a command to the leader's log.

    Return its log index, or None when this member is not the leader.
    """
    if replica.role != Role.LEADER:
        return None
    return append_as_leader(replica, EntryKind.COMMAND, payload)


def tick_replication(replica: Replica, now: float) -> None:
    """Send due heartbeats, and new commit indexes with ``push_commit_index``."""
    if replica.role != Role.LEADER:
        return
    for name in replica.peer_names:
        progress = get_progress(replica, name)
        has_unsent_commit_index = progress.sent_commit_index < min(
            replica.commit_index, progress.match_index
        )
        due = now - progress.sent_at >= replica.timing.heartbeat
        if due or (has_unsent_commit_index and replica.timing.push_commit_index):
            _send_append(replica, name, progress, now)
    advance_commit_index(replica)


def replicate(replica: Replica, now: float) -> None:
    """Send every peer the entries that were not sent to it yet."""
    if replica.role != Role.LEADER:
        return
    for name in replica.peer_names:
        progress = get_progress(replica, name)
        is_behind = progress.next_index <= replica.log.last_index
        if is_behind and _has_room(replica, progress):
            _send_append(replica, name, progress, now)
    advance_commit_index(replica)


def get_progress(replica: Replica, name: str) -> PeerProgress:
    """Return the progress of a peer, created on first use for a new member."""
    if name not in replica.peers:
        replica.peers[name] = PeerProgress.begin(replica.log.last_index + 1)
    return replica.peers[name]


def _send_append(
    replica: Replica, name: str, progress: PeerProgress, now: float
) -> None:
    """Send the peer the next entries, or the snapshot if they were compacted.

    While too many bytes are unacknowledged, it is a heartbeat without entries.
    """
    previous_index = progress.next_index - 1
    term = replica.log.term_at(previous_index)
    if term is None:
        _send_snapshot(replica, name, progress, now)
        return
    _record_sent(replica, progress, now)
    limit = MAX_ENTRIES_PER_MESSAGE if _has_room(replica, progress) else 0
    entries = replica.log.entries_from(
        progress.next_index, limit, MAX_BYTES_PER_MESSAGE
    )
    request = AppendRequest(
        replica.hard_state.term,
        previous_index,
        term,
        entries,
        replica.commit_index,
        now,
    )
    # Assume that the peer receives the entries; a rejection resets this index.
    progress.next_index += len(entries)
    queue_message(replica, name, request)


def _record_sent(replica: Replica, progress: PeerProgress, now: float) -> None:
    """Record that a request is sent to a peer now."""
    progress.sent_at = now
    progress.first_sent_at = min(progress.first_sent_at, now)
    progress.sent_commit_index = replica.commit_index


def _has_room(replica: Replica, progress: PeerProgress) -> bool:
    """Return whether a peer may be sent more entries before it acknowledges some."""
    acknowledged = max(progress.match_index, progress.first_sent_index - 1)
    unacknowledged = replica.log.count_bytes(acknowledged, progress.next_index - 1)
    return unacknowledged < MAX_UNACKNOWLEDGED_BYTES


def _send_snapshot(
    replica: Replica, name: str, progress: PeerProgress, now: float
) -> None:
    """Send the snapshot, or due heartbeats if it was sent a short time ago.

    These name the start of the log, which the peer has or has compacted.
    """
    term = replica.hard_state.term
    heartbeat = replica.timing.heartbeat
    if now - progress.snapshot_sent_at >= heartbeat * SNAPSHOT_RESEND_HEARTBEATS:
        progress.snapshot_sent_at = now
        request: Message = SnapshotRequest(term, replica.log.snapshot, now)
    elif now - progress.sent_at >= heartbeat:
        request = AppendRequest(term, 0, 0, (), replica.commit_index, now)
    else:
        return
    _record_sent(replica, progress, now)
    queue_message(replica, name, request)


def on_append_request(
    replica: Replica, sender: Member, request: AppendRequest, now: float
) -> None:
    """Append the leader's entries and acknowledge them, or reject them with a hint."""
    if not _accept_leader(replica, sender, request.term, request.sent_at, now):
        return
    record_leader_commit_index(replica, request.commit_index)
    if replica.log.term_at(request.previous_index) != request.previous_term:
        match_hint = _find_match_hint(replica.log, request, replica.commit_index)
        _send_append_answer(
            replica, sender, request.sent_at, success=False, match_index=match_hint
        )
        return
    _store_entries(replica, request)
    match_index = request.previous_index + len(request.entries)
    replica.commit_index = max(
        replica.commit_index, min(request.commit_index, match_index)
    )
    _send_append_answer(
        replica, sender, request.sent_at, success=True, match_index=match_index
    )


def _find_match_hint(log: Log, request: AppendRequest, commit_index: int) -> int:
    """Return after which index the leader should continue after a rejection.

    All entries of the conflicting term are skipped: one at a time, as many round trips
    as entries would be needed.
    """
    if log.last_index < request.previous_index:
        return max(log.last_index, commit_index)
    conflicting_term = log.term_at(request.previous_index)
    hint = request.previous_index - 1
    while hint > commit_index and log.term_at(hint) == conflicting_term:
        hint -= 1
    return max(hint, commit_index)


def _accept_leader(
    replica: Replica, sender: Member, term: int, sent_at: float, now: float
) -> bool:
    """Follow the sender as the leader; return whether it was accepted.

    A sender is refused if its term is older. Otherwise a quorum has elected it, even if
    the configuration here does not know it: that may be older than the election.
    """
    if term < replica.hard_state.term:
        _send_append_answer(replica, sender, sent_at, success=False, match_index=0)
        return False
    become_follower(replica, term, sender.name, now)
    set_hard_state(replica, term, replica.hard_state.voted_for, sender.name)
    replica.last_contact_at = now
    replica.has_seen_leader = True
    reset_election_timer(replica, now)
    return True


def _send_append_answer(
    replica: Replica, sender: Member, sent_at: float, *, success: bool, match_index: int
) -> None:
    """Send the leader the answer to an append or snapshot request."""
    answer = AppendAnswer(replica.hard_state.term, success, match_index, sent_at)
    queue_answer(replica, sender, answer)


def _store_entries(replica: Replica, request: AppendRequest) -> None:
    """Append the new entries, after truncating the log at the first conflict."""
    for position, entry in enumerate(request.entries):
        term = replica.log.term_at(entry.log_index)
        if term == entry.term or entry.log_index <= replica.log.snapshot.log_index:
            continue
        if term is not None:
            retain_durable_log(replica)
            replica.log.truncate(entry.log_index)
            _truncate_pending_entries(replica, entry.log_index)
        new_entries = request.entries[position:]
        replica.log.append(new_entries)
        replica.output.entries.extend(new_entries)
        return


def _truncate_pending_entries(replica: Replica, index: int) -> None:
    """Drop the entries from ``index`` on from the output that is not written yet."""
    output = replica.output
    output.entries = [entry for entry in output.entries if entry.log_index < index]
    earlier = output.truncate_from or index
    output.truncate_from = min(earlier, index)


def on_append_answer(
    replica: Replica, sender: Member, answer: AppendAnswer, now: float
) -> None:
    """Update a follower's progress, or reset its next index after a rejection.

    Requests that were sent before an earlier reset are rejected too, for the same
    reason: to send the entries again for each of them would multiply their bytes.
    """
    if answer.term > replica.hard_state.term:
        become_follower(replica, answer.term, "", now)
        return
    if replica.role != Role.LEADER or answer.term != replica.hard_state.term:
        return
    if replica.configuration.find(sender.name) != sender:
        return
    progress = get_progress(replica, sender.name)
    progress.acked_sent_at = max(progress.acked_sent_at, answer.sent_at)
    if not answer.success:
        if answer.sent_at >= progress.rewound_at:
            progress.next_index = max(progress.match_index, answer.match_index) + 1
            progress.first_sent_index = progress.next_index
            progress.rewound_at = now
    else:
        progress.match_index = max(progress.match_index, answer.match_index)
        progress.next_index = max(progress.next_index, progress.match_index + 1)
        advance_commit_index(replica)
    lacks_snapshot = replica.log.term_at(progress.next_index - 1) is None
    if lacks_snapshot and answer.sent_at > progress.snapshot_sent_at:
        # Messages to a peer keep their order, so the snapshot was lost.
        progress.snapshot_sent_at = NEVER


def advance_commit_index(replica: Replica) -> None:
    """Advance the commit index to the last entry that a quorum of voters holds.

    The entry must be of this term; entries of earlier terms are committed with it.
    """
    matches = sorted(
        (
            replica.log.last_index
            if voter.name == replica.me.name
            else get_progress(replica, voter.name).match_index
            for voter in replica.configuration.voters
        ),
        reverse=True,
    )
    index = matches[replica.configuration.quorum - 1]
    if (
        index > replica.commit_index
        and replica.log.term_at(index) == replica.hard_state.term
    ):
        replica.commit_index = index


def on_snapshot_request(
    replica: Replica, sender: Member, request: SnapshotRequest, now: float
) -> None:
    """Install the leader's snapshot if it is ahead of the commit index here."""
    if not _accept_leader(replica, sender, request.term, request.sent_at, now):
        return
    snapshot = request.snapshot
    record_leader_commit_index(replica, snapshot.log_index)
    if snapshot.log_index > replica.commit_index:
        retain_durable_log(replica)
        replica.log.compact(snapshot)
        replica.commit_index = snapshot.log_index
        replica.output.snapshot = snapshot
        # The log file is replaced too, so the remaining entries are written again.
        later_entries = replica.log.entries_from(
            snapshot.log_index + 1, replica.log.last_index
        )
        replica.output.entries = list(later_entries)
        replica.output.truncate_from = 0
    _send_append_answer(
        replica, sender, request.sent_at, success=True, match_index=snapshot.log_index
    )
