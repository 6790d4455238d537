"""Tests the decompression of responses in the HTTP client.

Guards against truncated or oversized gzip bodies, which a faulty server may
send.
"""

import datetime
import gzip

import pytest
import stubs

from quetzalgauge import exceptions
from quetzalgauge.node import http_client

_SECOND = datetime.timedelta(seconds=1)
_TEXT = b"{" + b" " * 1000 + b"}"


def _fetch(data):
    def respond(_method, _path, _body, headers):
        assert "gzip" in headers["Accept-Encoding"]
        return 200, data, {"Content-Encoding": "gzip"}

    with stubs.run_http_server(respond) as address:
        connection = http_client.Connection(f"http://{address}")
        return connection.call("GET", "/", _SECOND * 5)


def test_gzip_response_is_decompressed():
    """Guards against a body that is still compressed when it is parsed."""
    assert _fetch(gzip.compress(_TEXT)).data == _TEXT


@pytest.mark.parametrize(
    "data",
    [
        b"no gzip",
        gzip.compress(_TEXT)[:-3],
        gzip.compress(_TEXT) + b"more",
        gzip.compress(bytes(3000)),
    ],
    ids=["no gzip", "cut", "more", "too long"],
)
def test_invalid_or_oversized_gzip_response_fails(monkeypatch, data):
    """Guards against invalid gzip bodies that are accepted.

    A truncated body must not pass for a complete one, and a small body must
    not exhaust the memory when it is decompressed.
    """
    monkeypatch.setattr(http_client, "MAX_RESPONSE_BYTES", 2000)
    with pytest.raises(exceptions.PlatformError):
        _fetch(data)


@pytest.mark.parametrize("size", [900, 1100])
def test_response_beyond_the_limit_of_its_connection_fails(size):
    """Guards against a target whose report does not end.

    Many reports are read at the same time.
    """
    with stubs.run_http_server(
        lambda method, path, body, headers: (200, bytes(size))
    ) as address:
        connection = http_client.Connection(
            f"http://{address}", max_response_bytes=1000
        )
        if size < 1000:
            response = connection.call(
                "GET", "/", datetime.timedelta(seconds=5)
            )
            assert response.data == bytes(size)
            return
        with pytest.raises(exceptions.InvalidResponseError):
            connection.call("GET", "/", datetime.timedelta(seconds=5))
