"""Tests how bodies are parsed as they arrive."""

import hypothesis
from hypothesis import strategies
import pytest

from quetzalgauge.core import configuration
from quetzalgauge.node import buffer_memory
from quetzalgauge.node import request_body

LIMITS = configuration.CallerLimits(max_header_bytes=100, max_body_bytes=1000)
CHUNKED = {b"Transfer-Encoding": b"chunked"}


def make_reader(headers, total_bytes=100_000):
    memory = buffer_memory.BufferMemory(total_bytes)
    reservation = buffer_memory.Reservation(memory)
    reader = request_body.make_body_reader(headers, LIMITS, reservation)
    return reader, memory


def feed_all(reader, parts):
    """Feeds what is received in parts; returns what is left at the end."""
    received = bytearray()
    for part in parts:
        received += part
        if not reader.is_done:
            reader.feed(received)
            if not reader.take_memory():
                reader.discard()
    return bytes(received)


def split(data, sizes):
    """Returns data in parts of these sizes, again and again."""
    parts = []
    while data:
        size = sizes[len(parts) % len(sizes)]
        parts.append(data[:size])
        data = data[size:]
    return parts


def encode(chunks, extension=b"", trailers=b""):
    """Returns a body in chunks."""
    data = b"".join(
        b"%x%b\r\n%b\r\n" % (len(chunk), extension, chunk) for chunk in chunks
    )
    return data + b"0\r\n" + trailers + b"\r\n"


@hypothesis.given(
    strategies.lists(strategies.binary(min_size=1, max_size=40), max_size=8),
    strategies.lists(strategies.integers(1, 60), min_size=1, max_size=5),
    strategies.sampled_from([b"", b";a", b' ;b="c"']),
    strategies.sampled_from([b"", b"Sum: 1\r\n", b"A: b\r\nC: d\r\n"]),
    strategies.binary(max_size=20),
)
def test_chunks_are_joined_however_they_arrive(
    chunks, sizes, extension, trailers, behind
):
    """Guards against a body that depends on how it was received."""
    data = encode(chunks, extension, trailers) + behind
    reader, memory = make_reader(CHUNKED)
    assert feed_all(reader, split(data, sizes)) == behind
    assert b"".join(reader.get_body()) == b"".join(chunks)
    assert memory.free_bytes < memory.total_bytes


@pytest.mark.parametrize("size", [1, 7, 1000])
def test_length_is_read_to_its_end(size):
    """Guards against a body that takes what belongs to the next request."""
    body = bytes(range(250)) * 4
    reader, _ = make_reader({b"Content-Length": b"1000"})
    rest = feed_all(reader, [*split(body, [size]), b"GET"])
    assert (b"".join(reader.get_body()), rest) == (body, b"GET")


@pytest.mark.parametrize(
    ("status", "data"),
    [
        (400, b"x\r\n"),
        (400, b"\r\n"),
        (400, b"1\nab"),
        (400, b"1\r\nabc"),
        (400, b"-1\r\n"),
        (400, b"123456789\r\n"),
        (400, b"1" * 5000),
        (400, b"0\r\nA: b\n\r\n"),
        (413, b"3e9\r\n"),
        (413, b"3e8\r\n" + b"x" * 1000 + b"\r\n1\r\n"),
        (431, b"1;" + b"e" * 101 + b"\r\n"),
        (431, encode([b"x"] * 60, b";e")),
        (431, b"0\r\n" + b"A: b\r\n" * 30),
    ],
)
@pytest.mark.parametrize("sizes", [[1], [3, 50], [10_000]])
def test_invalid_chunks_are_refused(status, data, sizes):
    """Guards against bodies that take more than the limits allow."""
    reader, memory = make_reader(CHUNKED)
    feed_all(reader, split(data, sizes))
    assert reader.is_done
    with pytest.raises(request_body.BodyError) as caught:
        reader.get_body()
    assert caught.value.status == status
    assert not caught.value.was_read
    assert memory.free_bytes == memory.total_bytes


def test_a_long_length_is_refused_at_once():
    """Guards against reading a body that is refused in any case."""
    reader, _ = make_reader({b"Content-Length": b"1001"})
    with pytest.raises(request_body.BodyError, match="too long"):
        reader.get_body()


@pytest.mark.parametrize("chunk_size", [1, 2, 17, 500])
def test_memory_is_counted_as_it_is_allocated(chunk_size):
    """Guards against small chunks that take more memory than is counted."""
    body = b"x" * 1000
    reader, memory = make_reader(CHUNKED)
    feed_all(reader, split(encode(split(body, [chunk_size])), [100]))
    assert b"".join(reader.get_body()) == body
    taken = memory.total_bytes - memory.free_bytes
    assert len(body) <= taken <= 2 * len(body)


@pytest.mark.parametrize("chunk_size", [1, 500])
def test_a_body_without_memory_is_read_to_its_end(chunk_size):
    """Guards against a refusal that ends the connection of other requests."""
    reader, memory = make_reader(CHUNKED, total_bytes=300)
    data = encode(split(b"x" * 1000, [chunk_size])) + b"GET"
    assert feed_all(reader, split(data, [100])) == b"GET"
    with pytest.raises(request_body.BodyError) as caught:
        reader.get_body()
    assert caught.value.status == 503
    assert caught.value.was_read
    assert memory.free_bytes == 300
