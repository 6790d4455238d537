"""Tests that callers which are probed read their responses as they are.

What a probe sends must be nothing to several parsers: at each moment, and also
if the response is cut afterwards.
"""

import http.client
import re
import socket
import threading

import h11
import pytest
import served_requests
import urllib3

from quetzalgauge.core import configuration
from quetzalgauge.node import buffer_memory
from quetzalgauge.node import listener
from quetzalgauge.node import overload
from quetzalgauge.node import response_writer

BODY = b"id: 1\n\nid: 2\n\n"
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
RESPONSE = re.compile(
    rb"HTTP/1\.1 200 OK\r\n([A-Za-z-]+: [^\r\n]+\r\n)+\r\n"
    rb"(0*[1-9a-f][0-9a-f]*\r\n(id: \d\n\n)\r\n)+0+\r\n\r\n"
)
# Number of probes before the head, before each chunk and before the last one.
MOMENTS = {
    "none": (0, 0, 0),
    "head": (2, 0, 0),
    "chunk": (0, 2, 0),
    "last": (0, 0, 2),
    "all": (1, 1, 1),
}


@pytest.fixture
def serve():
    """Returns a function that starts a server with a handler of requests."""
    servers = []

    def start(handle_request):
        server = listener.Server(
            ("127.0.0.1", 0),
            configuration.CallerLimits,
            30,
            overload.divide_descriptors(1000, 100),
            handle_request,
            lambda *_: None,
            buffer_memory.make_buffer_memory(300),
            lambda _: None,
        )
        server.prepare()
        servers.append(server)
        threading.Thread(target=server.serve, daemon=True).start()
        return server.bind_addr

    yield start
    for server in servers:
        server.stop()


def read_with_http_client(address):
    connection = http.client.HTTPConnection(*address, timeout=3)
    connection.request("GET", "/")
    try:
        return connection.getresponse().read()
    finally:
        connection.close()


def read_with_urllib3(address):
    with urllib3.PoolManager(retries=False, timeout=3) as pool:
        return pool.request("GET", "http://{}:{}/".format(*address)).data


def read_with_h11(address):
    parser = h11.Connection(h11.CLIENT)
    data = b""
    with socket.create_connection(address, timeout=3) as sock:
        sock.sendall(
            parser.send(
                h11.Request(method="GET", target="/", headers=[("Host", "h")])
            )
            + parser.send(h11.EndOfMessage())
        )
        while not isinstance(event := parser.next_event(), h11.EndOfMessage):
            if event is h11.NEED_DATA:
                parser.receive_data(sock.recv(65536))
            elif isinstance(event, h11.Data):
                data += event.data
    return data


def read_strictly(address):
    received = b""
    with socket.create_connection(address, timeout=3) as sock:
        sock.sendall(REQUEST)
        while not received.endswith(b"0\r\n\r\n"):
            if not (data := sock.recv(65536)):
                raise EOFError
            received += data
    assert RESPONSE.fullmatch(received)
    return b"".join(re.findall(rb"id: \d\n\n", received))


READERS = (
    read_with_http_client,
    read_with_urllib3,
    read_with_h11,
    read_strictly,
)


@pytest.mark.parametrize("is_cut", [False, True], ids=["whole", "cut"])
@pytest.mark.parametrize("moment", MOMENTS)
@pytest.mark.parametrize("read", READERS)
def test_probed_caller_reads_its_response(serve, read, moment, is_cut):
    """Guards against a cut response that a probe makes look complete.

    A parser may take the zero of a probe and the end of the connection for the
    last chunk, and an interim response that it did not ask for as an error.
    """

    def respond(request):
        writer = response_writer.ResponseWriter(
            request, lambda: False, served_requests.make_slow_readers()[0]
        )
        before_head, before_chunk, before_last = MOMENTS[moment]
        for _ in range(before_head):
            assert writer.probe()
        writer.start_stream(200, "OK", [("Content-Type", "text/event-stream")])
        for event in (BODY[:7], BODY[7:]):
            writer.write_data(event)
            for _ in range(before_chunk):
                assert writer.probe()
        for _ in range(before_last):
            assert writer.probe()
        if is_cut:
            writer.abort()
        else:
            writer.end_stream()

    address = serve(respond)
    if is_cut:
        with pytest.raises(
            (OSError, EOFError, http.client.HTTPException)
            + (urllib3.exceptions.HTTPError, h11.RemoteProtocolError)
        ):
            read(address)
    else:
        assert read(address) == BODY


def test_handler_that_fails_after_a_probe_sends_no_second_start(serve):
    """Guards against a response within the one that a probe has begun."""

    def fail(request):
        writer = response_writer.ResponseWriter(
            request, lambda: False, served_requests.make_slow_readers()[0]
        )
        assert writer.probe()
        raise RuntimeError

    received = b""
    with (
        socket.create_connection(serve(fail), timeout=3) as sock,
        pytest.raises(ConnectionResetError),
    ):
        sock.sendall(REQUEST)
        while data := sock.recv(65536):
            received += data
    assert b"HTTP/1.1 ".startswith(received)
