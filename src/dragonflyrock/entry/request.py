"""A caller's request as the router understands it."""

from __future__ import annotations

import hashlib
from typing import NamedTuple

from ..models import ContractRow

__all__ = ["CallerRequest", "make_fingerprint"]


class CallerRequest(NamedTuple):
    """An authenticated and admitted request; ``deadline`` is by our clock."""

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
    contract: ContractRow
    fingerprint: str
    deadline: float


def make_fingerprint(customer: str, method: str, target: str, body: bytes) -> str:
    """Return what a resend of the same request has in common with the first."""
    digest = hashlib.sha256(body).hexdigest()
    text = "\x00".join((customer, method, target, digest))
    return hashlib.sha256(text.encode()).hexdigest()
