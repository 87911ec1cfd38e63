"""Changes of contracts; each names the version that it is based on."""

from __future__ import annotations

from ..errors import Reason, Refusal, Step
from ..models import ContractRow
from ..tables import ChangedRow
from . import commands as c
from .rows import Rows

__all__ = ["put_contract"]


def put_contract(rows: Rows, command: c.PutContract) -> c.Result:
    """Store the next version of a contract."""
    customer = command.contract.customer
    current = rows.contracts.get(customer)
    version = current.version if current else 0
    if command.expected_version != version:
        winner = f", put by {current.operator}" if current else ""
        detail = f"{customer} is at version {version}{winner}"
        return Refusal(Reason.VERSION_CONFLICT, Step.COMMIT, customer, detail)
    shared = _find_token_owner(rows, command.contract.token_sha256, customer)
    if shared is not None:
        detail = f"a token of {customer} is also {shared}'s"
        return Refusal(Reason.NOT_ALLOWED, Step.COMMIT, customer, detail)
    row = ContractRow(command.contract, version + 1, command.operator, rows.revision)
    rows.contracts[customer] = row
    rows.record(ChangedRow("contracts", customer))
    return c.Done(rows.revision, row.version)


def _find_token_owner(rows: Rows, tokens: tuple[str, ...], customer: str) -> str | None:
    """Return another customer that has one of the tokens."""
    for name, row in rows.contracts.items():
        if name != customer and set(tokens) & set(row.contract.token_sha256):
            return name
    return None
