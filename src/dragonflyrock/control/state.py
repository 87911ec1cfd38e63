"""The replicated control state: ownership, servers, contracts, quarantines."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple, TypeVar

import msgspec

from ..codec import CodecError
from ..errors import Reason, Refusal, Step
from ..hashing import KEY_SPACE
from ..models import (
    ContractRow,
    Delta,
    DocumentHead,
    HostRecord,
    QuarantineRow,
    RangeRef,
    RangeRow,
    RangeState,
    ServerRow,
)
from ..routes import BookImage, ClientLimits, Route, RouteBook, RoutedService
from ..routes.book import RowChanges
from ..tables import ChangedRow, ChangeJournal, RangeTable
from . import commands as c
from .assignment import assign_ranges, join_ranges
from .const import (
    MAX_REMEMBERED_CHANGES,
    MAX_SUSPECTS,
    QUARANTINE_MS,
    QUARANTINE_STRIKES,
    SUSPECT_MS,
)

__all__ = ["ControlState"]


class ChangeRecord(NamedTuple):
    """The first answer to an operator's change, repeated to a resend."""

    change_id: str
    command: bytes
    accepted: c.Done | None
    refused: Refusal | None


class Image(NamedTuple):
    """The whole control state in a snapshot."""

    revision: int = 0
    ranges: tuple[RangeRow, ...] = ()
    servers: tuple[ServerRow, ...] = ()
    contracts: tuple[ContractRow, ...] = ()
    quarantines: tuple[QuarantineRow, ...] = ()
    changes: tuple[ChangeRecord, ...] = ()
    hosts: tuple[HostRecord, ...] = ()
    book: BookImage = BookImage()


_Item = TypeVar("_Item", Route, RoutedService, ClientLimits)

_IMAGE_DECODER = msgspec.msgpack.Decoder(Image)


class ControlState:
    """The state machine of the control group. Its revision is the log index."""

    def __init__(self) -> None:
        """Start empty."""
        self.revision = 0
        self.ranges = RangeTable()
        self.hosts: dict[str, HostRecord] = {}
        self.servers: dict[str, ServerRow] = {}
        self.contracts: dict[str, ContractRow] = {}
        self.quarantines: dict[str, QuarantineRow] = {}
        self.book = RouteBook()
        self._changes: OrderedDict[str, ChangeRecord] = OrderedDict()
        self._journal = ChangeJournal()

    # State machine

    def apply(self, index: int, payload: bytes) -> c.Result:
        """Carry out the command of the entry at ``index``."""
        command: c.Command = c.COMMANDS.decode(payload)
        self.revision = index
        match command:
            case c.PutContract() | c.PlanStop() | c.CancelStop() | c.LiftQuarantine():
                return self._apply_change(command, payload)
        return self._carry_out(command)

    def dump(self) -> bytes:
        """Return an image of the state."""
        image = Image(
            self.revision,
            tuple(self.ranges),
            tuple(self.servers.values()),
            tuple(self.contracts.values()),
            tuple(self.quarantines.values()),
            tuple(self._changes.values()),
            tuple(self.hosts.values()),
            self.book.dump(),
        )
        return msgspec.msgpack.encode(image)

    def load(self, payload: bytes) -> None:
        """Replace the state by an image."""
        try:
            image = _IMAGE_DECODER.decode(payload) if payload else Image()
        except msgspec.MsgspecError as error:
            raise CodecError(f"image of the control state: {error}") from error
        self.revision = image.revision
        self.ranges.clear()
        for row in image.ranges:
            self.ranges.put(row)
        self.hosts = {host.holder: host for host in image.hosts}
        self.servers = {row.name: row for row in image.servers}
        self.contracts = {row.contract.customer: row for row in image.contracts}
        self.quarantines = {row.fingerprint: row for row in image.quarantines}
        self._changes = OrderedDict((row.change_id, row) for row in image.changes)
        self.book.load(image.book)
        self._journal.restart(image.revision)

    # Reading

    def delta_after(self, revision: int, up_to: int) -> Delta:
        """Return what changed after a revision; ``up_to`` is what was applied.

        ``up_to`` is at least the state's own revision, since some entries of the
        log change no row.
        """
        changes = self._journal.changes_after(revision)
        if changes is None or revision > up_to:
            return self._full_delta(up_to)
        ranges = [
            self.ranges.get(r.key) for r in changes if isinstance(r.key, RangeRef)
        ]
        named = [(r.table, r.key) for r in changes if isinstance(r.key, str)]
        servers = [key for table, key in named if table == "servers"]
        customers = [key for table, key in named if table == "contracts"]
        fingerprints = [key for table, key in named if table == "quarantines"]
        held = self.quarantines
        return Delta(
            revision,
            up_to,
            False,
            tuple(row for row in ranges if row is not None),
            tuple(self.servers[key] for key in servers if key in self.servers),
            tuple(key for key in servers if key not in self.servers),
            tuple(self.contracts[key] for key in customers),
            tuple(held[key] for key in fingerprints if key in held),
            tuple(key for key in fingerprints if key not in held),
            *self._document_delta(named),
        )

    def _document_delta(
        self, named: list[tuple[str, str]]
    ) -> tuple[
        tuple[Route, ...],
        tuple[str, ...],
        tuple[RoutedService, ...],
        tuple[str, ...],
        DocumentHead | None,
    ]:
        """Return the changed parts of the route document, without their sources."""
        names = [key for table, key in named if table == "routes"]
        services = [key for table, key in named if table == "routed-services"]
        if not any(table == "document" for table, _ in named):
            return (), (), (), (), None
        document = self.book.document
        routes = {route.name: route for route in document.routes}
        routed = {service.name: service for service in document.services}
        return (
            tuple(_slim(routes[name]) for name in names if name in routes),
            tuple(name for name in names if name not in routes),
            tuple(_slim(routed[name]) for name in services if name in routed),
            tuple(name for name in services if name not in routed),
            DocumentHead(document.version, _slim(document.limits)),
        )

    def _full_delta(self, up_to: int) -> Delta:
        """Return all rows."""
        return Delta(
            0,
            up_to,
            True,
            tuple(self.ranges),
            tuple(self.servers.values()),
            (),
            tuple(self.contracts.values()),
            tuple(self.quarantines.values()),
            (),
            tuple(_slim(route) for route in self.book.document.routes),
            (),
            tuple(_slim(service) for service in self.book.document.services),
            (),
            DocumentHead(self.book.document.version, _slim(self.book.document.limits)),
        )

    def find_holder(self, holder: str) -> ServerRow | None:
        """Return the server whose current incarnation is the holder."""
        server = self.servers.get(holder.rpartition("@")[0])
        return server if server is not None and server.holder == holder else None

    # Operators' changes

    def _apply_change(
        self,
        command: c.PutContract | c.PlanStop | c.CancelStop | c.LiftQuarantine,
        payload: bytes,
    ) -> c.Result:
        """Carry out a change once; a resend gets the first answer."""
        known = self._changes.get(command.change_id)
        if known is not None:
            if known.command != payload:
                detail = f"change id {command.change_id} was used for another change"
                return Refusal(Reason.NOT_ALLOWED, Step.COMMIT, detail=detail)
            answer = known.accepted or known.refused
            assert answer is not None
            return answer
        result = self._carry_out(command)
        accepted = result if isinstance(result, c.Done) else None
        refused = result if isinstance(result, Refusal) else None
        record = ChangeRecord(command.change_id, payload, accepted, refused)
        self._changes[command.change_id] = record
        if len(self._changes) > MAX_REMEMBERED_CHANGES:
            self._changes.popitem(last=False)
        return result

    def _carry_out(self, command: c.Command) -> c.Result:
        """Carry out any command."""
        match command:
            case c.DeclareService():
                return self._declare_service(command)
            case c.RegisterServer():
                return self._register_server(command.server)
            case c.ForgetServer():
                return self._forget_server(command.holder)
            case c.RegisterHost(host):
                self.hosts[host.holder] = host
                return c.Done(self.revision)
            case c.ForgetHost(holder):
                self.hosts.pop(holder, None)
                return c.Done(self.revision)
            case c.BeginMoves():
                return self._begin_moves(command)
            case c.FinishMoves():
                return self._finish_moves(command)
            case c.CancelMoves():
                return self._cancel_moves(command)
            case c.SplitRange():
                return self._split_range(command)
            case c.MergeRanges():
                return self._merge_ranges(command)
            case c.PutContract():
                return self._put_contract(command)
            case c.PlanStop():
                return self._set_stopping(command.server, stopping=True)
            case c.CancelStop():
                return self._set_stopping(command.server, stopping=False)
            case c.StrikeRequest():
                return self._strike(command)
            case c.AbsolveRequest():
                return self._absolve(command)
            case c.LiftQuarantine():
                return self._lift(command)
            case c.PutRoutes(base, digest, document):
                return self._note_routes(
                    digest, lambda: self.book.put(base, digest, document)
                )
            case c.ChangeRoutes(base, digest, change):
                return self._note_routes(
                    digest, lambda: self.book.change(base, digest, change)
                )
            case c.StopServer(name):
                return self._set_stopping(name, stopping=True)
            case c.DropServer(name):
                return self._drop_server(name)
            case c.AssignRanges():
                for row in assign_ranges(self.ranges, command, self.revision):
                    self._put_range(row)
                return c.Done(self.revision)
            case c.JoinRanges():
                for row in join_ranges(self.ranges, command):
                    self._put_range(row)
                return c.Done(self.revision)

    # Routes

    def _note_routes(
        self, digest: str, accept: Callable[[], RowChanges | Refusal]
    ) -> c.Result:
        """Change the route document once; a resend gets the first answer."""
        version = self.book.find_accepted(digest)
        if version is not None:
            return c.Done(self.revision, version)
        changed = accept()
        if isinstance(changed, Refusal):
            return changed
        for name in changed.routes:
            self._journal.record(self.revision, ChangedRow("routes", name))
        for name in changed.services:
            self._journal.record(self.revision, ChangedRow("routed-services", name))
        self._journal.record(self.revision, ChangedRow("document", ""))
        return c.Done(self.revision, self.book.document.version)

    # Contracts

    def _put_contract(self, command: c.PutContract) -> c.Result:
        """Store the next version of a contract."""
        customer = command.contract.customer
        current = self.contracts.get(customer)
        version = current.version if current else 0
        if command.expected_version != version:
            winner = f", put by {current.operator}" if current else ""
            detail = f"{customer} is at version {version}{winner}"
            return Refusal(Reason.VERSION_CONFLICT, Step.COMMIT, customer, detail)
        shared = self._token_owner(command.contract.token_sha256, customer)
        if shared is not None:
            detail = f"a token of {customer} is also {shared}'s"
            return Refusal(Reason.NOT_ALLOWED, Step.COMMIT, customer, detail)
        row = ContractRow(
            command.contract, version + 1, command.operator, self.revision
        )
        self.contracts[customer] = row
        self._journal.record(self.revision, ChangedRow("contracts", customer))
        return c.Done(self.revision, row.version)

    def _token_owner(self, tokens: tuple[str, ...], customer: str) -> str | None:
        """Return another customer that has one of the tokens."""
        for name, row in self.contracts.items():
            if name != customer and set(tokens) & set(row.contract.token_sha256):
                return name
        return None

    # Servers

    def _register_server(self, server: ServerRow) -> c.Result:
        """Store a server, unless a later incarnation of it is known."""
        current = self.servers.get(server.name)
        if current is not None:
            if server.incarnation < current.incarnation:
                detail = f"incarnation {current.incarnation} is known"
                return Refusal(
                    Reason.OLD_INCARNATION, Step.ANNOUNCE, server.name, detail
                )
            same_run = server.incarnation == current.incarnation
            if same_run and server.address != current.address:
                detail = f"this incarnation is at {current.address}"
                return Refusal(
                    Reason.OLD_INCARNATION, Step.ANNOUNCE, server.name, detail
                )
            server = server._replace(stopping=same_run and current.stopping)
        self._put_server(server)
        return c.Done(self.revision)

    def _put_server(self, server: ServerRow) -> None:
        """Store a server row at this revision."""
        self.servers[server.name] = server._replace(revision=self.revision)
        self._journal.record(self.revision, ChangedRow("servers", server.name))

    def _forget_server(self, holder: str) -> c.Result:
        """Drop a server that owns nothing."""
        server = self.find_holder(holder)
        if server is None or self.ranges.owns_any(holder):
            return Refusal(Reason.NOT_ALLOWED, Step.COMMIT, holder, "still in use")
        del self.servers[server.name]
        self._journal.record(self.revision, ChangedRow("servers", server.name))
        return c.Done(self.revision)

    def _drop_server(self, name: str) -> c.Result:
        """Drop a server that has ended."""
        if self.servers.pop(name, None) is not None:
            self._journal.record(self.revision, ChangedRow("servers", name))
        return c.Done(self.revision)

    def _set_stopping(self, name: str, *, stopping: bool) -> c.Result:
        """Mark whether a server is going to stop."""
        server = self.servers.get(name)
        if server is None:
            return Refusal(Reason.NOT_FOUND, Step.COMMIT, name, "no such server")
        self._put_server(server._replace(stopping=stopping))
        return c.Done(self.revision)

    # Ranges

    def _put_range(self, row: RangeRow) -> None:
        """Store a range row at this revision."""
        self.ranges.put(row._replace(revision=self.revision))
        self._journal.record(self.revision, ChangedRow("ranges", row.ref))

    def _declare_service(self, command: c.DeclareService) -> c.Result:
        """Divide a new service's key space."""
        service, count = command
        if service in self.ranges.services:
            return c.Done(self.revision)
        bounds = [KEY_SPACE * i // count for i in range(count + 1)]
        for low, end in zip(bounds, bounds[1:], strict=False):
            row = RangeRow(service, low, end - 1, "", 0, RangeState.ACTIVE, "", 0)
            self._put_range(row)
        return c.Done(self.revision)

    def _begin_moves(self, command: c.BeginMoves) -> c.Result:
        """Mark ranges as moving where nothing has changed since the decision."""
        for move in command.moves:
            row = self.ranges.get(RangeRef(move.service, move.low))
            if row is None or row.epoch != move.epoch:
                continue
            if self.find_holder(move.target) is None:
                continue
            if row.state != RangeState.ACTIVE and not move.lost:
                continue
            state = RangeState.LOST if move.lost else RangeState.MOVING
            self._put_range(row._replace(state=state, target=move.target))
        return c.Done(self.revision)

    def _finish_moves(self, command: c.FinishMoves) -> c.Result:
        """Give the ranges to their targets."""
        for move in command.moves:
            row = self.ranges.get(move.ref)
            if row is None or row.revision != move.revision or not row.target:
                continue
            self._put_range(
                row._replace(
                    owner=row.target,
                    epoch=self.revision,
                    state=RangeState.ACTIVE,
                    target="",
                )
            )
        return c.Done(self.revision)

    def _cancel_moves(self, command: c.CancelMoves) -> c.Result:
        """Leave the ranges with their owners."""
        for move in command.moves:
            row = self.ranges.get(move.ref)
            if row is None or row.revision != move.revision:
                continue
            if row.state == RangeState.MOVING:
                self._put_range(row._replace(state=RangeState.ACTIVE, target=""))
        return c.Done(self.revision)

    def _split_range(self, command: c.SplitRange) -> c.Result:
        """Split an active range; both parts keep the owner and the epoch."""
        row = self.ranges.get(RangeRef(command.service, command.low))
        if row is None or row.state != RangeState.ACTIVE:
            return Refusal(Reason.NOT_ALLOWED, Step.COMMIT, detail="not active")
        if not row.low < command.middle <= row.high:
            return Refusal(Reason.NOT_ALLOWED, Step.COMMIT, detail="outside the range")
        self._put_range(row._replace(high=command.middle - 1))
        self._put_range(row._replace(low=command.middle))
        return c.Done(self.revision)

    def _merge_ranges(self, command: c.MergeRanges) -> c.Result:
        """Join a range with the next one; the joined epoch is the later one."""
        row = self.ranges.get(RangeRef(command.service, command.low))
        if row is None or row.high == KEY_SPACE - 1:
            return Refusal(Reason.NOT_ALLOWED, Step.COMMIT, detail="no neighbour")
        other = self.ranges.get(RangeRef(command.service, row.high + 1))
        assert other is not None
        active = row.state == other.state == RangeState.ACTIVE
        if not active or row.owner != other.owner:
            return Refusal(Reason.NOT_ALLOWED, Step.COMMIT, detail="not of one owner")
        epoch = max(row.epoch, other.epoch)
        self._put_range(row._replace(high=other.high, epoch=epoch))
        return c.Done(self.revision)

    # Quarantine

    def _put_quarantine(self, row: QuarantineRow) -> None:
        """Store a suspect or a quarantined request at this revision."""
        self.quarantines[row.fingerprint] = row._replace(revision=self.revision)
        changed = ChangedRow("quarantines", row.fingerprint)
        self._journal.record(self.revision, changed)

    def _drop_quarantine(self, fingerprint: str) -> None:
        """Drop a suspect or a quarantined request."""
        del self.quarantines[fingerprint]
        self._journal.record(self.revision, ChangedRow("quarantines", fingerprint))

    def _strike(self, command: c.StrikeRequest) -> c.Result:
        """Count a lost server against a request; the second one quarantines it."""
        self._drop_expired(command.now_ms)
        known = self.quarantines.get(command.fingerprint)
        holders = known.holders if known else ()
        if command.holder not in holders:
            holders = (*holders, command.holder)
        refused = len(holders) >= QUARANTINE_STRIKES
        row = QuarantineRow(
            command.fingerprint,
            command.customer,
            command.method,
            command.target,
            holders,
            refused,
            command.now_ms + (QUARANTINE_MS if refused else SUSPECT_MS),
            self.revision,
        )
        if known is None and len(self.quarantines) >= MAX_SUSPECTS:
            detail = f"{MAX_SUSPECTS} requests are suspect or quarantined"
            return Refusal(Reason.OVERLOADED, Step.COMMIT, detail=detail)
        self._put_quarantine(row)
        if refused:
            self._absolve_neighbours(row)
        return c.Done(self.revision)

    def _absolve_neighbours(self, culprit: QuarantineRow) -> None:
        """Drop suspects that only shared a lost server with the culprit."""
        lost = set(culprit.holders)
        for fingerprint, row in list(self.quarantines.items()):
            if not row.refused and set(row.holders) <= lost:
                self._drop_quarantine(fingerprint)

    def _absolve(self, command: c.AbsolveRequest) -> c.Result:
        """Drop a suspect that has since run without harm."""
        row = self.quarantines.get(command.fingerprint)
        if row is not None and not row.refused:
            self._drop_quarantine(command.fingerprint)
        return c.Done(self.revision)

    def _drop_expired(self, now_ms: int) -> None:
        """Drop suspects and quarantines whose time is over."""
        rows = list(self.quarantines.values())
        for row in rows:
            if row.until_ms <= now_ms:
                self._drop_quarantine(row.fingerprint)

    def _lift(self, command: c.LiftQuarantine) -> c.Result:
        """Drop a quarantine."""
        if command.fingerprint not in self.quarantines:
            return Refusal(Reason.NOT_FOUND, Step.COMMIT, detail="not in quarantine")
        self._drop_quarantine(command.fingerprint)
        return c.Done(self.revision)


def _slim(item: _Item) -> _Item:
    """Return an item without its source, which entry hosts have no use for."""
    return item._replace(source=b"")
