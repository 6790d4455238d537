"""The byte form of folded states: compressed lines of JSON.

A state is a sequence of parts, one line each, so that a process never holds the
JSON form of a whole state beside the state itself.
"""

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
_CHUNK_BYTES = 64 * 1024

State = TypeVar("State")


def pack(parts: Iterable[Any]) -> bytes:
    """Encodes JSON values. Equal values give equal bytes."""
    compressor = zlib.compressobj(_COMPRESSION_LEVEL)
    pieces = [compressor.compress(_to_line(part)) for part in parts]
    pieces.append(compressor.flush())
    return b"".join(pieces)


def digest(parts: Iterable[Any]) -> str:
    """Returns a short text that depends only on the JSON values.

    It is taken before compression, since two builds of zlib may differ.
    """
    state = hashlib.blake2b(digest_size=16)
    for part in parts:
        state.update(_to_line(part))
    return state.hexdigest()


def unpack(data: bytes, build: Callable[[Iterator[Any]], State]) -> State:
    """Decodes JSON values and builds a state from them, part by part.

    Raises:
        exceptions.DecodeError: The bytes are damaged, or `build` failed on
            the values or has left some.
    """
    parts = (json.loads(line) for line in _lines(data))
    try:
        state = build(parts)
        if next(parts, None) is not None:
            raise ValueError("unexpected part")
    except (
        ArithmeticError,
        AttributeError,
        LookupError,
        RecursionError,
        StopIteration,
        TypeError,
        ValueError,
        binascii.Error,
        struct.error,
        zlib.error,
    ) as error:
        raise exceptions.DecodeError(
            f"not a valid snapshot: {error}"
        ) from error
    return state


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


def _to_line(part: Any) -> bytes:
    return json.dumps(part, separators=(",", ":")).encode() + b"\n"


def _lines(data: bytes) -> Iterator[bytes]:
    decompressor = zlib.decompressobj()
    pieces: list[bytes] = []
    size = 0
    while not decompressor.eof:
        piece = decompressor.decompress(data, _CHUNK_BYTES)
        size += len(piece)
        if size > _STATE_LIMIT_BYTES:
            raise ValueError("the state is too large")
        if not piece and not decompressor.unconsumed_tail:
            if decompressor.eof:
                break
            raise ValueError("the state is cut off")
        data = decompressor.unconsumed_tail
        *ends, rest = piece.split(b"\n")
        for end in ends:
            yield b"".join((*pieces, end))
            pieces = []
        pieces.append(rest)
    if any(pieces):
        raise ValueError("the last part is cut off")
