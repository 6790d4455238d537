"""The byte form of folded states: compressed JSON."""

import base64
import binascii
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import hashlib
import itertools
import json
import struct
from typing import Any
from typing import TypeVar
import zlib

from quetzalgauge import exceptions

_COMPRESSION_LEVEL = 6
# A peer's bytes must not fill the memory of a 64 MB process when unpacked. The
# largest state at the target size takes a few megabytes.
_STATE_LIMIT_BYTES = 32 * 1024 * 1024

State = TypeVar("State")


def pack(state: Any) -> bytes:
    """Encodes a JSON value. Equal values give equal bytes."""
    return zlib.compress(_to_text(state), _COMPRESSION_LEVEL)


def digest(state: Any) -> str:
    """Returns a short text that depends only on the JSON value.

    It is taken before compression, since two builds of zlib may differ.
    """
    return hashlib.blake2b(_to_text(state), digest_size=16).hexdigest()


def unpack(data: bytes, build: Callable[[Any], State]) -> State:
    """Decodes a JSON value and builds a state from it.

    Raises:
        exceptions.DecodeError: The bytes are damaged, or `build` failed on
            the value.
    """
    try:
        return build(json.loads(_decompress(data)))
    except (
        ArithmeticError,
        AttributeError,
        LookupError,
        RecursionError,
        TypeError,
        ValueError,
        binascii.Error,
        struct.error,
        zlib.error,
    ) as error:
        raise exceptions.DecodeError(
            f"not a valid snapshot: {error}"
        ) from error


def pack_numbers(numbers: Iterable[int]) -> str:
    """Encodes 64-bit numbers without an order, such as hashes."""
    column = tuple(numbers)
    packed = struct.pack(f"<{len(column)}q", *column)
    return base64.b64encode(packed).decode()


def unpack_numbers(text: str) -> Iterator[int]:
    """Decodes the text of `pack_numbers`."""
    packed = base64.b64decode(text, validate=True)
    return (row[0] for row in struct.iter_unpack("<q", packed))


def to_steps(numbers: Iterable[int]) -> list[int]:
    """Returns the differences of neighbours, which compress better."""
    steps = []
    last = 0
    for number in numbers:
        steps.append(number - last)
        last = number
    return steps


def from_steps(steps: Iterable[int]) -> Iterator[int]:
    """Returns the numbers that `to_steps` was given."""
    return itertools.accumulate(steps)


def _to_text(state: Any) -> bytes:
    return json.dumps(state, separators=(",", ":")).encode()


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    text = decompressor.decompress(data, _STATE_LIMIT_BYTES)
    if not decompressor.eof:
        raise ValueError("the state is cut off or too large")
    return text
