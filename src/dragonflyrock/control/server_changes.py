"""Changes of server rows: registration, planned stops and removal."""

from __future__ import annotations

from ..errors import Reason, Refusal, Step
from ..models import ServerRow
from ..tables import ChangedRow
from . import commands as c
from .rows import Rows

__all__ = ["drop_server", "forget_server", "register_server", "set_stopping"]


def register_server(rows: Rows, server: ServerRow) -> c.Result:
    """Store a server, unless a later incarnation of it is registered."""
    current = rows.servers.get(server.name)
    if current is not None:
        if server.incarnation < current.incarnation:
            detail = f"incarnation {current.incarnation} is already registered"
            return Refusal(Reason.OLD_INCARNATION, Step.ANNOUNCE, server.name, detail)
        same_run = server.incarnation == current.incarnation
        if same_run and server.address != current.address:
            detail = f"this incarnation is registered at {current.address}"
            return Refusal(Reason.OLD_INCARNATION, Step.ANNOUNCE, server.name, detail)
        server = server._replace(stopping=same_run and current.stopping)
    rows.put_server(server)
    return c.Done(rows.revision)


def forget_server(rows: Rows, holder: str) -> c.Result:
    """Drop a server that owns no ranges."""
    server = rows.find_holder(holder)
    if server is None or rows.ranges.owns_any(holder):
        return Refusal(
            Reason.NOT_ALLOWED,
            Step.COMMIT,
            holder,
            "no such server, or it still owns ranges",
        )
    del rows.servers[server.name]
    rows.record(ChangedRow("servers", server.name))
    return c.Done(rows.revision)


def drop_server(rows: Rows, name: str) -> c.Result:
    """Drop a server that has ended."""
    server = rows.servers.pop(name, None)
    if server is not None:
        rows.record(ChangedRow("servers", name))
        if server.stopping:
            rows.record_ended_life(server)
    return c.Done(rows.revision)


def set_stopping(rows: Rows, name: str, *, stopping: bool) -> c.Result:
    """Set whether a server is stopping."""
    server = rows.servers.get(name)
    if server is None:
        return Refusal(Reason.NOT_FOUND, Step.COMMIT, name, "no such server")
    rows.put_server(server._replace(stopping=stopping))
    return c.Done(rows.revision)
