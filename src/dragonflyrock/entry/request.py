"""The parsed request of a caller."""

from __future__ import annotations

import hashlib
from typing import NamedTuple

from ..models import ContractRow

__all__ = ["CallerRequest", "make_fingerprint"]


class CallerRequest(NamedTuple):
    """An authenticated request; ``deadline`` is in seconds of this host's clock.

    ``idempotent`` means that the method may be retried after an unknown outcome.
    """

    request_id: str
    service: str
    key: str
    key_hash: int
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    idempotency_key: str
    idempotent: bool
    contract_row: ContractRow
    fingerprint: str
    deadline: float


def make_fingerprint(customer: str, method: str, target: str, body: bytes) -> str:
    """Return a hash that is the same for each resend of a request."""
    digest = hashlib.sha256(body).hexdigest()
    text = "\x00".join((customer, method, target, digest))
    return hashlib.sha256(text.encode()).hexdigest()
