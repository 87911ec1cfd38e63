"""Answers to calls of a group's leader, and checks of proposed commands."""

from __future__ import annotations

from typing import Final

from ..codec import Codec, CodecError
from ..consensus import Group, membership
from ..errors import Reason, Refusal, Step
from ..ledger.commands import LEDGER_COMMANDS, LEDGER_RESULTS
from . import calls
from . import commands as c
from .const import CONTROL_GROUP
from .leader import ControlLeader
from .reports import list_contracts, read_status
from .state import ControlState
from .suspect_runs import begin_suspect_run

__all__ = ["answer_call", "check_command", "find_result_codec"]

RESULT_CODECS: Final[dict[str, Codec]] = {CONTROL_GROUP: c.RESULTS}


def find_result_codec(group: str) -> Codec:
    """Return the codec of the results of a group's commands."""
    return RESULT_CODECS.get(group, LEDGER_RESULTS)


def answer_call(
    group: Group,
    state: ControlState,
    leader: ControlLeader | None,
    body: object,
    now: float,
) -> object:
    """Answer a call that changes no state machine; ``leader`` is set while leading."""
    replica = group.replica
    match body:
        case calls.ReadStatus() if leader is not None:
            return read_status(group, state, leader, now)
        case calls.ListContracts(customer) if leader is not None:
            hosts = leader.list_live_hosts(now)
            return list_contracts(state, customer, hosts)
        case calls.ReadRevisions() if leader is not None:
            hosts = leader.list_live_hosts(now)
            return calls.RevisionList(tuple(host.revision for host in hosts))
        case calls.BeginSuspectRun() if leader is not None:
            runs = leader.tables.suspect_runs
            allowed = begin_suspect_run(runs, state.quarantines, body, now)
            return calls.SuspectRunAnswer(allowed)
        case calls.ReadRoutes(known_version):
            document = state.route_store.document
            if known_version and known_version == document.version:
                return calls.RoutesUnchanged()
            return document
        case calls.ListRanges(service):
            return calls.RangeList(tuple(state.ranges.of_service(service)))
        case calls.ListQuarantines():
            return calls.QuarantineList(tuple(state.quarantines.values()))
        case calls.AddMember(name):
            return _make_member_answer(membership.add_learner(replica, name))
        case calls.RemoveMember(name):
            return _make_member_answer(membership.remove_member(replica, name))
        case calls.HandOverLeadership():
            started = membership.hand_over_leadership(replica, now)
            if started:
                return calls.MemberChanged(replica.log.last_index)
            detail = "no other voter is up to date"
            return Refusal(Reason.NOT_ALLOWED, Step.COMMIT, detail=detail)
    return Refusal(Reason.BAD_REQUEST, Step.PARSE, detail="unknown call")


def check_command(group: str, payload: bytes) -> None:
    """Raise ``CodecError`` for a command that is invalid or not open to callers."""
    if group != CONTROL_GROUP:
        LEDGER_COMMANDS.decode(payload)
        return
    match c.COMMANDS.decode(payload):
        case c.PutContract() | c.PlanStop() | c.CancelStop() | c.LiftQuarantine():
            return
        case c.ReportCrash() | c.ClearSuspect():
            return
        case c.PutRoutes() | c.ChangeRoutes() | c.EvacuateZone():
            return
    raise CodecError("only the leader may propose this command")


def _make_member_answer(result: int | Refusal) -> calls.MemberChanged | Refusal:
    """Return the answer for the result of a change of members."""
    return calls.MemberChanged(result) if isinstance(result, int) else result
