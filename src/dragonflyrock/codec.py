"""Encoding of typed records for links, log entries and snapshots."""

from __future__ import annotations

import types
from collections.abc import Callable, Iterable
from enum import Enum
from functools import cache
from typing import Any, Final, TypeVar, Union, get_args, get_origin, get_type_hints

import msgspec

__all__ = ["Codec", "CodecError", "Newer", "get_outer_name", "outer_name"]

_OUTER_NAME: Final = "__outer_name__"
_Kind = TypeVar("_Kind", bound=type)


class CodecError(Exception):
    """Bytes that are not a record of the expected types."""


class Newer(Enum):
    """What is done with fields that a newer version has added to a record.

    They are refused where ignoring them would change what a record means to those
    that must agree on it, such as commands of a replicated log.
    """

    REFUSED = 0
    IGNORED_OUTSIDE = 1
    IGNORED = 2


def outer_name(name: str) -> Callable[[_Kind], _Kind]:
    """Give a class the name that it has outside of the code.

    This keeps a record readable by other versions after its class was renamed.
    """

    def mark(kind: _Kind) -> _Kind:
        # By setattr, as the body of a NamedTuple cannot hold it.
        setattr(kind, _OUTER_NAME, name)
        return kind

    return mark


def get_outer_name(kind: type) -> str:
    """Return the name of a class outside of the code; a subclass does not inherit it.

    This keeps a record readable by other versions after its class was renamed.
    """
    name: str = vars(kind).get(_OUTER_NAME, kind.__name__)
    return name


class Codec:
    """Encode and decode a closed family of ``NamedTuple`` types.

    A record is the pair of its type's outer name and its fields as an array. Fields are
    only ever added at the end, with a default; see ``docs/design/evolution.md``.

    >>> from typing import NamedTuple
    >>> class Ping(NamedTuple):
    ...     count: int
    >>> codec = Codec([Ping], Newer.IGNORED)
    >>> codec.decode(codec.encode(Ping(3)))
    Ping(count=3)
    >>> codec.decode(msgspec.msgpack.encode(("Ping", (3, "newer"))))
    Ping(count=3)
    """

    def __init__(self, types: Iterable[type], newer: Newer = Newer.REFUSED) -> None:
        """Take the types; a decoder is made when its type first comes."""
        self._encoder = msgspec.msgpack.Encoder()
        self._frame = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])
        self._newer = newer
        self._types = {get_outer_name(kind): kind for kind in types}
        self._decoders: dict[str, msgspec.msgpack.Decoder[Any]] = {}

    @property
    def types(self) -> tuple[type, ...]:
        """Return the types of the family."""
        return tuple(self._types.values())

    def encode(self, record: object) -> bytes:
        """Return the bytes of a record of one of the codec's types."""
        name = get_outer_name(type(record))
        if name not in self._types:
            raise CodecError(f"{name} is not a type of this codec")
        return self._encoder.encode((name, record))

    def decode(self, data: bytes) -> Any:
        """Return the record in the bytes, or raise ``CodecError``."""
        try:
            name, body = self._frame.decode(data)
            return self._decode_body(name, body)
        except KeyError as error:
            raise CodecError(f"unknown record type {error}") from error
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            raise CodecError(str(error)) from error

    def _decode_body(self, name: str, body: msgspec.Raw) -> Any:
        """Return a record; only one of a newer form takes the longer way."""
        try:
            if name not in self._decoders:
                self._decoders[name] = msgspec.msgpack.Decoder(self._types[name])
            return self._decoders[name].decode(body)
        except msgspec.ValidationError:
            if self._newer == Newer.REFUSED:
                raise
            kind = self._types[name]
            fields = msgspec.msgpack.decode(body)
            known = _drop_newer(fields, kind, nested=self._newer == Newer.IGNORED)
            return msgspec.convert(known, kind)


@cache
def _field_types(kind: Any) -> tuple[Any, ...] | None:
    """Return the types of a ``NamedTuple``'s fields; None for any other type."""
    if not isinstance(kind, type) or not hasattr(kind, "_fields"):
        return None
    return tuple(get_type_hints(kind).values())


def _drop_newer(value: Any, kind: Any, *, nested: bool) -> Any:
    """Return a decoded value without the fields that its type does not have."""
    fields = _field_types(kind)
    if fields is not None and isinstance(value, list):
        known = value[: len(fields)]
        if not nested:
            return known
        pairs = zip(known, fields, strict=False)
        return [_drop_newer(item, field, nested=True) for item, field in pairs]
    args = get_args(kind)
    match get_origin(kind):
        case origin if origin is tuple and isinstance(value, list):
            if args[-1] is Ellipsis:
                return [_drop_newer(item, args[0], nested=True) for item in value]
        case origin if origin in (Union, types.UnionType) and isinstance(value, list):
            for arg in args:
                if _field_types(arg) is not None or get_origin(arg) is tuple:
                    return _drop_newer(value, arg, nested=True)
    return value
