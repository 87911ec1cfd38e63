"""The replicated control state: ownership, servers, contracts, quarantines."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from ..codec import CodecError
from ..errors import Reason, Refusal, Step
from ..models import (
    ContractRow,
    Delta,
    EvacuationRow,
    HostRecord,
    QuarantineRow,
    RangeRow,
    ServerRow,
)
from ..routes import RouteStoreSnapshot
from ..routes.store import ChangedNames
from ..tables import ChangedRow
from . import commands as c
from .assignment import assign_ranges, join_ranges
from .const import MAX_CHANGE_RECORDS
from .contract_changes import put_contract
from .deltas import delta_after
from .quarantine_changes import clear_suspect, lift_quarantine, report_crash
from .range_changes import (
    begin_moves,
    cancel_moves,
    declare_service,
    finish_moves,
    merge_ranges,
    split_range,
)
from .rows import Rows
from .server_changes import (
    drop_server,
    forget_server,
    register_server,
    set_stopping,
)
from .zone_changes import evacuate_zone

__all__ = ["ControlState"]


class ChangeRecord(NamedTuple):
    """The result of an operator's change, returned again if it is sent again."""

    change_id: str
    command: bytes
    accepted: c.Done | None
    refused: Refusal | None


class ControlSnapshot(NamedTuple):
    """The contents of a snapshot."""

    revision: int = 0
    ranges: tuple[RangeRow, ...] = ()
    servers: tuple[ServerRow, ...] = ()
    contracts: tuple[ContractRow, ...] = ()
    quarantines: tuple[QuarantineRow, ...] = ()
    changes: tuple[ChangeRecord, ...] = ()
    hosts: tuple[HostRecord, ...] = ()
    route_store: RouteStoreSnapshot = RouteStoreSnapshot()
    evacuations: tuple[EvacuationRow, ...] = ()


_SNAPSHOT_DECODER = msgspec.msgpack.Decoder(ControlSnapshot)


class ControlState(Rows):
    """The state machine of the control group. Its revision is the log index."""

    def __init__(self) -> None:
        """Start empty."""
        super().__init__()
        self._changes: OrderedDict[str, ChangeRecord] = OrderedDict()

    def apply(self, index: int, payload: bytes) -> c.Result:
        """Execute the command of the log entry at ``index``."""
        command: c.Command = c.COMMANDS.decode(payload)
        self.revision = index
        match command:
            case c.PutContract() | c.PlanStop() | c.CancelStop() | c.LiftQuarantine():
                return self._apply_change(command, payload)
        return self._execute(command)

    def dump(self) -> bytes:
        """Return an encoded snapshot of the state."""
        snapshot = ControlSnapshot(
            self.revision,
            tuple(self.ranges),
            tuple(self.servers.values()),
            tuple(self.contracts.values()),
            tuple(self.quarantines.values()),
            tuple(self._changes.values()),
            tuple(self.hosts.values()),
            self.route_store.dump(),
            tuple(self.evacuations.values()),
        )
        if not snapshot.evacuations:
            # Released versions cannot read a snapshot with this field.
            return msgspec.msgpack.encode(tuple(snapshot[:-1]))
        return msgspec.msgpack.encode(snapshot)

    def load(self, payload: bytes) -> None:
        """Replace the state by a snapshot; an empty payload clears it.

        Raise ``CodecError`` if the payload cannot be decoded.
        """
        try:
            snapshot = (
                _SNAPSHOT_DECODER.decode(payload) if payload else ControlSnapshot()
            )
        except msgspec.MsgspecError as error:
            raise CodecError(
                f"cannot decode a snapshot of the control state: {error}"
            ) from error
        self.revision = snapshot.revision
        self.ranges.clear()
        for row in snapshot.ranges:
            self.ranges.put(row)
        self.hosts = {host.holder: host for host in snapshot.hosts}
        self.servers = {row.name: row for row in snapshot.servers}
        self.contracts = {row.contract.customer: row for row in snapshot.contracts}
        self.quarantines = {row.fingerprint: row for row in snapshot.quarantines}
        self._changes = OrderedDict((row.change_id, row) for row in snapshot.changes)
        self.route_store.load(snapshot.route_store)
        self.evacuations = {row.zone: row for row in snapshot.evacuations}
        self.journal.reset(snapshot.revision)

    @property
    def has_known_servers(self) -> bool:
        """Return whether any server may have been registered up to now."""
        changes = self.journal.changes_after(0)
        return changes is None or any(row.table == "servers" for row in changes)

    def delta_after(self, revision: int, up_to: int) -> Delta:
        """Return the rows changed after a revision, up to the applied ``up_to``."""
        return delta_after(self, revision, up_to)

    def _apply_change(
        self,
        command: c.PutContract | c.PlanStop | c.CancelStop | c.LiftQuarantine,
        payload: bytes,
    ) -> c.Result:
        """Execute an operator's change once; if sent again, return the first result."""
        earlier = self._changes.get(command.change_id)
        if earlier is not None:
            if earlier.command != payload:
                detail = f"change id {command.change_id} was used for another change"
                return Refusal(Reason.NOT_ALLOWED, Step.COMMIT, detail=detail)
            answer = earlier.accepted or earlier.refused
            assert answer is not None
            return answer
        result = self._execute(command)
        accepted = result if isinstance(result, c.Done) else None
        refused = result if isinstance(result, Refusal) else None
        record = ChangeRecord(command.change_id, payload, accepted, refused)
        self._changes[command.change_id] = record
        if len(self._changes) > MAX_CHANGE_RECORDS:
            self._changes.popitem(last=False)
        return result

    def _execute(self, command: c.Command) -> c.Result:
        """Execute a command."""
        match command:
            case c.DeclareService():
                return declare_service(self, command)
            case c.RegisterServer():
                return register_server(self, command.server)
            case c.ForgetServer():
                return forget_server(self, command.holder)
            case c.RegisterHost(host):
                self.hosts[host.holder] = host
                return c.Done(self.revision)
            case c.ForgetHost(holder):
                self.hosts.pop(holder, None)
                return c.Done(self.revision)
            case c.BeginMoves():
                return begin_moves(self, command)
            case c.FinishMoves():
                return finish_moves(self, command)
            case c.CancelMoves():
                return cancel_moves(self, command)
            case c.SplitRange():
                return split_range(self, command)
            case c.MergeRanges():
                return merge_ranges(self, command)
            case c.PutContract():
                return put_contract(self, command)
            case c.PlanStop():
                return set_stopping(self, command.server, stopping=True)
            case c.CancelStop():
                return set_stopping(self, command.server, stopping=False)
            case c.ReportCrash():
                return report_crash(self, command)
            case c.ClearSuspect():
                return clear_suspect(self, command)
            case c.LiftQuarantine():
                return lift_quarantine(self, command)
            case c.PutRoutes(base, digest, document):
                return self._apply_route_change(
                    digest, lambda: self.route_store.put(base, digest, document)
                )
            case c.ChangeRoutes(base, digest, change):
                return self._apply_route_change(
                    digest, lambda: self.route_store.change(base, digest, change)
                )
            case c.StopServer(name):
                return set_stopping(self, name, stopping=True)
            case c.DropServer(name):
                return drop_server(self, name)
            case c.AssignRanges():
                for row in assign_ranges(self.ranges, command, self.revision):
                    self.put_range(row)
                return c.Done(self.revision)
            case c.JoinRanges():
                for row in join_ranges(self.ranges, command):
                    self.put_range(row)
                return c.Done(self.revision)
            case c.EvacuateZone():
                return evacuate_zone(self, command)

    def _apply_route_change(
        self, digest: str, apply_change: Callable[[], ChangedNames | Refusal]
    ) -> c.Result:
        """Change the route document once; a repeated change returns its version."""
        version = self.route_store.find_accepted(digest)
        if version is not None:
            return c.Done(self.revision, version)
        changed = apply_change()
        if isinstance(changed, Refusal):
            return changed
        for name in changed.routes:
            self.record(ChangedRow("routes", name))
        for name in changed.services:
            self.record(ChangedRow("routed-services", name))
        self.record(ChangedRow("document", ""))
        return c.Done(self.revision, self.route_store.document.version)
