"""The replicated store of the route document and of the changes to it."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from typing import Final, NamedTuple, Protocol

from ..errors import Reason, Refusal, Step
from .document import apply_change, validate_document
from .models import RouteChange, RouteDocument

__all__ = ["RouteStoreSnapshot", "RouteStore", "ChangedNames"]

# Operators make hundreds of changes a day, and a change is resent within minutes.
MAX_ACCEPTED_DIGEST_COUNT: Final = 5_000
MAX_REPORTED_ERROR_COUNT: Final = 3


class RouteStoreSnapshot(NamedTuple):
    """The contents of the store in a snapshot.

    ``accepted`` pairs the digests of accepted changes with the versions they made.
    """

    document: RouteDocument = RouteDocument()
    accepted: tuple[tuple[str, int], ...] = ()


class ChangedNames(NamedTuple):
    """Names of the routes and services that a change added, replaced or removed."""

    routes: tuple[str, ...]
    services: tuple[str, ...]


class RouteStore:
    """Store the route document; accept changes based on the current version."""

    def __init__(self) -> None:
        """Create a store with the empty document."""
        self.document = RouteDocument()
        self._accepted: OrderedDict[str, int] = OrderedDict()

    def dump(self) -> RouteStoreSnapshot:
        """Return the contents of the store for a snapshot."""
        return RouteStoreSnapshot(self.document, tuple(self._accepted.items()))

    def load(self, snapshot: RouteStoreSnapshot) -> None:
        """Replace the contents by those in a snapshot."""
        self.document = snapshot.document
        self._accepted = OrderedDict(snapshot.accepted)

    def find_accepted(self, digest: str) -> int | None:
        """Return the version that an accepted change made; None if it is unknown."""
        return self._accepted.get(digest)

    def put(
        self, base: int, digest: str, document: RouteDocument
    ) -> ChangedNames | Refusal:
        """Replace the document, or return why it is refused.

        ``base`` is the version that the operator's change was made for, and ``digest``
        identifies the change when it is resent.
        """
        refusal = self._check(base, document)
        if refusal is not None:
            return refusal
        return self._accept(digest, document)

    def change(
        self, base: int, digest: str, change: RouteChange
    ) -> ChangedNames | Refusal:
        """Change the named routes and services, or return why this is refused."""
        return self.put(base, digest, apply_change(self.document, change))

    def _check(self, base: int, document: RouteDocument) -> Refusal | None:
        """Return why a document is refused; None if it can be accepted."""
        current = self.document.version
        if base != current:
            detail = f"base version {base}; the current version is {current}"
            return Refusal(Reason.VERSION_CONFLICT, Step.COMMIT, detail=detail)
        errors = validate_document(document, current)
        if errors:
            detail = "; ".join(errors[:MAX_REPORTED_ERROR_COUNT])
            return Refusal(Reason.BAD_REQUEST, Step.COMMIT, detail=detail)
        return None

    def _accept(self, digest: str, document: RouteDocument) -> ChangedNames:
        """Store a document; return the names of what has changed."""
        changed = ChangedNames(
            _find_changed(self.document.routes, document.routes),
            _find_changed(self.document.services, document.services),
        )
        self.document = document
        self._accepted[digest] = document.version
        if len(self._accepted) > MAX_ACCEPTED_DIGEST_COUNT:
            self._accepted.popitem(last=False)
        return changed


class _Named(Protocol):
    """A route or a service, identified by its name."""

    @property
    def name(self) -> str:
        """Return the name."""


def _find_changed(old: Iterable[_Named], new: Iterable[_Named]) -> tuple[str, ...]:
    """Return the names of the items that were added, replaced or removed."""
    before = {item.name: item for item in old}
    after = {item.name: item for item in new}
    names = list(dict.fromkeys((*before, *after)))
    return tuple(name for name in names if before.get(name) != after.get(name))
