"""Encoding of typed records for links, log entries and snapshots."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import msgspec

__all__ = ["Codec", "CodecError"]


class CodecError(Exception):
    """Bytes that are not a record of the expected types."""


class Codec:
    """Encode and decode a closed family of ``NamedTuple`` types.

    A record is the pair of its type's name and its fields as an array.

    >>> from typing import NamedTuple
    >>> class Ping(NamedTuple):
    ...     count: int
    >>> codec = Codec([Ping])
    >>> codec.decode(codec.encode(Ping(3)))
    Ping(count=3)
    """

    def __init__(self, types: Iterable[type]) -> None:
        """Take the types; a decoder is made when its type first comes."""
        self._encoder = msgspec.msgpack.Encoder()
        self._frame = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])
        self._kinds = {kind.__name__: kind for kind in types}
        self._decoders: dict[str, msgspec.msgpack.Decoder[Any]] = {}

    def encode(self, record: object) -> bytes:
        """Return the bytes of a record of one of the codec's types."""
        name = type(record).__name__
        if name not in self._kinds:
            raise CodecError(f"{name} is not a type of this codec")
        return self._encoder.encode((name, record))

    def decode(self, data: bytes) -> Any:
        """Return the record in the bytes, or raise ``CodecError``."""
        try:
            name, body = self._frame.decode(data)
            if name not in self._decoders:
                self._decoders[name] = msgspec.msgpack.Decoder(self._kinds[name])
            return self._decoders[name].decode(body)
        except KeyError as error:
            raise CodecError(f"unknown record type {error}") from error
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            raise CodecError(str(error)) from error
