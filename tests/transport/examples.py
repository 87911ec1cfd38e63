"""Examples of every record that is sent or stored, built from its field types.

``python -m tests.transport.examples`` adds the encoded examples of types that
``wire.json`` lacks. Existing entries are what released versions send, and must not be
changed.
"""

from __future__ import annotations

import json
import types
from enum import Enum
from pathlib import Path
from typing import Any, Final, Union, get_args, get_origin, get_type_hints

from dragonflyrock.codec import Codec, get_outer_name
from dragonflyrock.consensus import frames
from dragonflyrock.control.calls import CALLS
from dragonflyrock.control.commands import COMMANDS, RESULTS
from dragonflyrock.ledger.commands import LEDGER_COMMANDS, LEDGER_RESULTS
from dragonflyrock.transport import packing
from dragonflyrock.transport.consensus import CONSENSUS
from dragonflyrock.transport.messages import MESSAGES

CODECS: Final[dict[str, Codec]] = {
    "messages": MESSAGES,
    "consensus": CONSENSUS,
    "calls": CALLS,
    "deltas": packing._DELTAS,
    "commands": COMMANDS,
    "results": RESULTS,
    "ledger-commands": LEDGER_COMMANDS,
    "ledger-results": LEDGER_RESULTS,
    "frames": frames._CODEC,
}
WIRE: Final = Path(__file__).with_name("wire.json")

_EXAMPLES: Final[dict[object, object]] = {
    int: 7,
    float: 1.5,
    str: "text",
    bytes: b"bytes",
    bool: True,
    type(None): None,
}


def make_example(kind: Any) -> Any:
    """Return a value of a type, with every field set."""
    if kind in _EXAMPLES:
        return _EXAMPLES[kind]
    origin = get_origin(kind)
    args = get_args(kind)
    if origin in (Union, types.UnionType):
        return make_example(args[0])
    if origin is tuple:
        items = args[:1] if args[-1] is Ellipsis else args
        return tuple(make_example(item) for item in items)
    if origin is dict:
        return {make_example(args[0]): make_example(args[1])}
    if issubclass(kind, Enum):
        return next(iter(kind))
    fields = get_type_hints(kind)
    return kind(*(make_example(fields[name]) for name in kind._fields))


def load_wire() -> dict[str, dict[str, bytes]]:
    """Return the encoded examples in ``wire.json``, by codec and type."""
    stored = json.loads(WIRE.read_text())
    return {
        codec: {name: bytes.fromhex(data) for name, data in records.items()}
        for codec, records in stored.items()
    }


def main() -> None:
    """Add the examples that ``wire.json`` lacks."""
    stored = json.loads(WIRE.read_text()) if WIRE.exists() else {}
    for name, codec in CODECS.items():
        records = stored.setdefault(name, {})
        for kind in codec.types:
            data = codec.encode(make_example(kind))
            records.setdefault(get_outer_name(kind), data.hex())
    WIRE.write_text(json.dumps(stored, indent=1) + "\n")


if __name__ == "__main__":
    main()
