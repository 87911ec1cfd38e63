"""Encoding of typed records for links, log entries and snapshots."""

from __future__ import annotations

import types
from collections.abc import Callable, Iterable
from enum import Enum
from functools import cache
from typing import Any, Final, TypeVar, Union, get_args, get_origin, get_type_hints

import msgspec

__all__ = ["Codec", "CodecError", "UnknownFields", "get_outer_name", "outer_name"]

_OUTER_NAME: Final = "__outer_name__"
_RecordType = TypeVar("_RecordType", bound=type)


class CodecError(Exception):
    """A value or bytes that are not a record of the codec's types."""


class UnknownFields(Enum):
    """How to decode a record with fields that a newer version has added.

    ``REJECT`` is for records that all nodes must interpret alike, such as commands
    of a replicated log. ``IGNORE_TOP_LEVEL`` drops unknown fields of the record
    itself and rejects those of records inside it; ``IGNORE`` drops both.
    """

    REJECT = 0
    IGNORE_TOP_LEVEL = 1
    IGNORE = 2


def outer_name(name: str) -> Callable[[_RecordType], _RecordType]:
    """Set the name under which a class is encoded and logged.

    A record whose class was renamed stays readable for other versions.
    """

    def set_outer_name(record_type: _RecordType) -> _RecordType:
        # Set from outside, as the body of a NamedTuple accepts no such attribute.
        setattr(record_type, _OUTER_NAME, name)
        return record_type

    return set_outer_name


def get_outer_name(record_type: type) -> str:
    """Return the name under which a class is encoded and logged.

    This is the class name where no ``outer_name`` is set. A subclass does not inherit
    the outer name of its base class.
    """
    name: str = vars(record_type).get(_OUTER_NAME, record_type.__name__)
    return name


class Codec:
    """Encode and decode records of a fixed set of ``NamedTuple`` types.

    A record is encoded as its type's outer name and an array of its fields. New fields
    may only be added at the end, with a default; see ``docs/design/evolution.md``.

    >>> from typing import NamedTuple
    >>> class Ping(NamedTuple):
    ...     count: int
    >>> codec = Codec([Ping], UnknownFields.IGNORE)
    >>> codec.decode(codec.encode(Ping(3)))
    Ping(count=3)
    >>> codec.decode(msgspec.msgpack.encode(("Ping", (3, "newer"))))
    Ping(count=3)
    """

    def __init__(
        self,
        types: Iterable[type],
        unknown_fields: UnknownFields = UnknownFields.REJECT,
    ) -> None:
        """Set the types; the decoder of a type is created on its first use."""
        self._encoder = msgspec.msgpack.Encoder()
        self._record_decoder = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])
        self._unknown_fields = unknown_fields
        self._types = {get_outer_name(kind): kind for kind in types}
        self._decoders: dict[str, msgspec.msgpack.Decoder[Any]] = {}

    @property
    def types(self) -> tuple[type, ...]:
        """Return the record types of this codec."""
        return tuple(self._types.values())

    def encode(self, record: object) -> bytes:
        """Return the encoded record.

        Raise ``CodecError`` for another type, or for a value that has no encoding.
        """
        name = get_outer_name(type(record))
        if name not in self._types:
            raise CodecError(f"{name} is not a record type of this codec")
        try:
            return self._encoder.encode((name, record))
        except (OverflowError, TypeError, ValueError) as error:
            raise CodecError(f"{name} cannot be encoded: {error}") from error

    def decode(self, data: bytes) -> Any:
        """Return the decoded record, or raise ``CodecError``."""
        try:
            name, body = self._record_decoder.decode(data)
            return self._decode_body(name, body)
        except KeyError as error:
            raise CodecError(f"unknown record type {error}") from error
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            raise CodecError(str(error)) from error

    def _decode_body(self, name: str, body: msgspec.Raw) -> Any:
        """Decode the fields; drop unknown ones only where strict decoding fails."""
        try:
            if name not in self._decoders:
                self._decoders[name] = msgspec.msgpack.Decoder(self._types[name])
            return self._decoders[name].decode(body)
        except msgspec.ValidationError:
            if self._unknown_fields == UnknownFields.REJECT:
                raise
            record_type = self._types[name]
            values = msgspec.msgpack.decode(body)
            known = _drop_unknown_fields(
                values,
                record_type,
                nested=self._unknown_fields == UnknownFields.IGNORE,
            )
            return msgspec.convert(known, record_type)


@cache
def _get_field_types(value_type: Any) -> tuple[Any, ...] | None:
    """Return the types of a ``NamedTuple``'s fields; None for any other type."""
    if not isinstance(value_type, type) or not hasattr(value_type, "_fields"):
        return None
    return tuple(get_type_hints(value_type).values())


def _drop_unknown_fields(value: Any, value_type: Any, *, nested: bool) -> Any:
    """Return a decoded value without the fields that its type does not have.

    ``nested`` says whether records inside a record are treated too.
    """
    field_types = _get_field_types(value_type)
    if field_types is not None and isinstance(value, list):
        known = value[: len(field_types)]
        if not nested:
            return known
        pairs = zip(known, field_types, strict=False)
        return [_drop_unknown_fields(each, kind, nested=True) for each, kind in pairs]
    args = get_args(value_type)
    match get_origin(value_type):
        case origin if origin is tuple and isinstance(value, list):
            if args[-1] is Ellipsis:
                return [
                    _drop_unknown_fields(each, args[0], nested=True) for each in value
                ]
        case origin if origin in (Union, types.UnionType) and isinstance(value, list):
            for arg in args:
                if _get_field_types(arg) is not None or get_origin(arg) is tuple:
                    return _drop_unknown_fields(value, arg, nested=True)
    return value
