"""Tests that bodies without end do not exhaust the memory of an instance.

The load is 40 and 200 requests at once on targets that send as fast as they
can, beside requests whose large responses are sound.
"""

from concurrent import futures
import itertools
import pathlib
import threading

import faulty_site
import pytest

from quetzalgauge.node import buffer_memory
from quetzalgauge.standins import faulty_target

# As in the settings of the instance.
MEMORY_MB = 300
LARGE_BODY = bytes(range(256)) * 16_384
BLOCK = b"a" * 65_536
MAX_BLOCKS = 4096


def send_without_end(status, **headers):
    def script(request):
        yield faulty_target.make_head(request.request_id, status, **headers)
        block = BLOCK
        if "Transfer_Encoding" in headers:
            block = faulty_target.make_chunk(BLOCK)
        yield from itertools.repeat(block, MAX_BLOCKS)

    return script


def send_endless_chunk(request):
    yield faulty_target.make_head(
        request.request_id, Transfer_Encoding="chunked"
    )
    yield b"7fffffff\r\n"
    yield from itertools.repeat(BLOCK, MAX_BLOCKS)


SCRIPTS = {
    "unframed": send_without_end(200),
    "length": send_without_end(200, Content_Length=2**33),
    "chunks": send_without_end(200, Transfer_Encoding="chunked"),
    "one-chunk": send_endless_chunk,
    "error": send_without_end(500),
    "rejection": send_without_end(503, Not_Run=1),
}


@pytest.fixture(scope="module")
def site():
    services = {f"{name}/": name for name in [*SCRIPTS, "sound"]}
    with faulty_site.run_site(services) as site:
        yield site


@pytest.fixture(scope="module")
def targets(site):
    targets = {
        f"{name}-{side}": faulty_target.FaultyTarget(
            f"{name}-{side}", name, "zone-a"
        )
        for name, side in itertools.product([*SCRIPTS, "sound"], "ab")
    }
    for name, target in targets.items():
        service = name[:-2]
        target.script = SCRIPTS.get(
            service, lambda r: faulty_target.make_response(r, LARGE_BODY)
        )
    yield list(targets.values())
    for target in targets.values():
        target.close()


@pytest.fixture
def instance(site, targets, tmp_path):
    with faulty_site.run_instance(site, tmp_path) as instance:
        faulty_site.add_targets(site, instance, targets)
        yield instance


def read_peak_mb(instance):
    status = pathlib.Path(f"/proc/{instance.process.pid}/status").read_text()
    (line,) = [line for line in status.splitlines() if "VmHWM" in line]
    return int(line.split()[1]) / 1000


@pytest.mark.process
@pytest.mark.parametrize("count", [40, 200])
@pytest.mark.parametrize("kind", SCRIPTS)
def test_body_without_end_does_not_exhaust_the_memory(instance, kind, count):
    """Guards against an instance that is killed for the memory that it takes.

    Each response was buffered up to a bound of its own.
    """

    def ask(number):
        path = ("ask", "once")[number % 2]
        return faulty_site.fetch(
            instance,
            f"/{path}/{kind}/1",
            faulty_site.make_request_id(),
            timeout_ms=2000,
        )

    def ask_for_large_body():
        path = f"/{('ask', 'once')[next(numbers) % 2]}/sound/1"
        return faulty_site.fetch(
            instance, path, faulty_site.make_request_id(), timeout_ms=6000
        )

    numbers = itertools.count()
    with futures.ThreadPoolExecutor(count + 10) as executor:
        endless = [executor.submit(ask, number) for number in range(count)]
        sound = [executor.submit(ask_for_large_body) for _ in range(10)]
    assert {future.result()[:2] for future in sound} == {(200, LARGE_BODY)}
    # None of them is a whole response.
    assert not any(
        status == 200 and is_complete
        for status, _, is_complete in (future.result() for future in endless)
    )
    assert read_peak_mb(instance) < MEMORY_MB


FRAMINGS = {
    "length": lambda body: ({"Content_Length": len(body)}, [body]),
    "chunks": lambda body: (
        {"Transfer_Encoding": "chunked"},
        [faulty_target.make_chunk(body), faulty_target.make_chunk(b"")],
    ),
    "unframed": lambda body: ({"Connection": "close"}, [body, None]),
}


@pytest.mark.process
@pytest.mark.parametrize("framing", FRAMINGS)
def test_large_response_is_passed_on_whole(instance, targets, framing):
    """Guards against a sound response that is cut since it is large.

    It is larger than what a single response may take of the memory.
    """
    body = LARGE_BODY * 3
    headers, items = FRAMINGS[framing](body)

    def script(request):
        yield faulty_target.make_head(request.request_id, 200, **headers)
        yield from items

    sound = [target for target in targets if target.name.startswith("sound")]
    original = sound[0].script
    for target in sound:
        target.script = script
    for path in ("ask", "once"):
        request_id = faulty_site.make_request_id()
        response = faulty_site.fetch(instance, f"/{path}/sound/1", request_id)
        assert response == (200, body, True)
    for target in sound:
        target.script = original


def test_memory_is_shared_and_returned():
    """Guards against memory that is taken twice, or never given back."""
    memory = buffer_memory.BufferMemory(8000)
    reservations = [buffer_memory.Reservation(memory) for _ in range(20)]

    def use(reservation):
        while reservation.take_for_response(100):
            pass

    threads = [
        threading.Thread(target=use, args=(reservation,))
        for reservation in reservations
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert memory.free_bytes == 2000
    # What is left is for the bodies of requests.
    assert reservations[0].take_for_request(2000)
    assert not reservations[0].take_for_request(1)
    for reservation in reservations:
        reservation.release()
    assert memory.free_bytes == 8000


def test_a_response_that_is_passed_on_returns_only_its_own_memory():
    """Guards against bodies of requests that do not count while they are sent.

    They are kept until the response has ended, for another attempt.
    """
    memory = buffer_memory.BufferMemory(8000)
    reservation = buffer_memory.Reservation(memory)
    assert reservation.take_for_request(1000)
    assert reservation.take_for_response(500)
    reservation.release_response()
    assert memory.free_bytes == 7000
    reservation.release()
    assert memory.free_bytes == 8000
