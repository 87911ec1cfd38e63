"""The replicated route document with the changes that were accepted."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from typing import Final, NamedTuple, Protocol

from ..errors import Reason, Refusal, Step
from .document import apply_change, validate_document
from .models import RouteChange, RouteDocument

__all__ = ["RouteStoreImage", "RouteStore", "ChangedNames"]

# Days bring hundreds of changes; a resend comes within minutes.
MAX_REMEMBERED_DIGESTS: Final = 5_000
MAX_FAULTS_TOLD: Final = 3


class RouteStoreImage(NamedTuple):
    """The book in a snapshot; ``accepted`` pairs digests and versions."""

    document: RouteDocument = RouteDocument()
    accepted: tuple[tuple[str, int], ...] = ()


class ChangedNames(NamedTuple):
    """Names of the items that an accepted change touched."""

    routes: tuple[str, ...]
    services: tuple[str, ...]


class RouteStore:
    """Accept each change once, on top of the version that it names."""

    def __init__(self) -> None:
        """Start with the empty document."""
        self.document = RouteDocument()
        self._accepted: OrderedDict[str, int] = OrderedDict()

    def dump(self) -> RouteStoreImage:
        """Return an image of the book."""
        return RouteStoreImage(self.document, tuple(self._accepted.items()))

    def load(self, image: RouteStoreImage) -> None:
        """Replace the book by an image."""
        self.document = image.document
        self._accepted = OrderedDict(image.accepted)

    def find_accepted(self, digest: str) -> int | None:
        """Return the version that an accepted change made."""
        return self._accepted.get(digest)

    def put(
        self, base: int, digest: str, document: RouteDocument
    ) -> ChangedNames | Refusal:
        """Replace the document, or say why not."""
        refusal = self._check(base, document)
        if refusal is not None:
            return refusal
        return self._accept(digest, document)

    def change(
        self, base: int, digest: str, change: RouteChange
    ) -> ChangedNames | Refusal:
        """Change named items, or say why not."""
        return self.put(base, digest, apply_change(self.document, change))

    def _check(self, base: int, document: RouteDocument) -> Refusal | None:
        """Return why a document is refused."""
        current = self.document.version
        if base != current:
            detail = f"base version {base}; the current version is {current}"
            return Refusal(Reason.VERSION_CONFLICT, Step.COMMIT, detail=detail)
        faults = validate_document(document, current)
        if faults:
            detail = "; ".join(faults[:MAX_FAULTS_TOLD])
            return Refusal(Reason.BAD_REQUEST, Step.COMMIT, detail=detail)
        return None

    def _accept(self, digest: str, document: RouteDocument) -> ChangedNames:
        """Store a document, and return what is different in it."""
        changed = ChangedNames(
            _find_changed(self.document.routes, document.routes),
            _find_changed(self.document.services, document.services),
        )
        self.document = document
        self._accepted[digest] = document.version
        if len(self._accepted) > MAX_REMEMBERED_DIGESTS:
            self._accepted.popitem(last=False)
        return changed


class _Named(Protocol):
    """The part of a route or service that tells it apart."""

    @property
    def name(self) -> str:
        """Return the item's name."""


def _find_changed(old: Iterable[_Named], new: Iterable[_Named]) -> tuple[str, ...]:
    """Return the names of items that were added, replaced or removed."""
    before = {item.name: item for item in old}
    after = {item.name: item for item in new}
    names = list(dict.fromkeys((*before, *after)))
    return tuple(name for name in names if before.get(name) != after.get(name))
