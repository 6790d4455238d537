"""Tests how much memory workers take for the bodies that they pass on."""

import http.client
import itertools
import json
import tracemalloc

import pytest
import served_requests

from quetzalgauge.standins import faulty_target

BLOCK = bytes(65_536)
BLOCKS = 64
BODY = BLOCK * BLOCKS
# One copy, and the buffers of the sockets.
MAX_PEAK_BYTES = len(BODY) * 3 // 2


@pytest.fixture
def address():
    target = faulty_target.FaultyTarget("t1", "plain", "zone-a")

    def respond(request):
        yield faulty_target.make_head(
            request.request_id, Content_Length=len(BODY)
        )
        yield from itertools.repeat(BLOCK, BLOCKS)

    target.script = respond
    yield json.loads(target.registry_entry)["address"]
    target.close()


def test_response_is_in_memory_once(address):
    """Guards against a process that takes twice the memory that it counts.

    The parts of a response were kept while they were joined.
    """
    with served_requests.run_server(address) as server_address:
        connection = http.client.HTTPConnection(*server_address, timeout=20)
        headers = {"Request-Id": "r1", "Deadline-Ms": "20000"}
        tracemalloc.start()
        try:
            connection.request("GET", "/look/1", headers=headers)
            response = connection.getresponse()
            size = 0
            while data := response.read1(65_536):
                size += len(data)
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        connection.close()
    assert (response.status, size) == (200, len(BODY))
    assert peak < MAX_PEAK_BYTES
