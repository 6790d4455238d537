"""Tests that memory which was freed goes back to the system."""

import re
import subprocess
import sys

PROGRAM = """
import pathlib, threading
from quetzalgauge.node import allocator

def read_mb(name):
    status = pathlib.Path("/proc/self/status").read_text().splitlines()
    (line,) = [line for line in status if line.startswith(name)]
    return int(line.split()[1]) / 1000

def allocate_in_threads():
    barrier = threading.Barrier(32)

    def allocate():
        block = bytearray(1000)
        barrier.wait(20)

    threads = [threading.Thread(target=allocate) for _ in range(32)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()

def free_large_blocks():
    block = b"x" * 30_000_000
    del block
    blocks = []
    for _ in range(20):
        blocks.append(b"x" * 4_000_000)
        kept.append(bytearray(1000))

kept = []
threading.stack_size(256 * 1024)
allocator.limit_unused_memory()
before = read_mb(NAME)
FUNCTION()
print("grown", read_mb(NAME) - before)
"""


def measure_growth_mb(name, function):
    program = PROGRAM.replace("NAME", repr(name)).replace("FUNCTION", function)
    output = subprocess.run(
        [sys.executable, "-c", program],
        check=True,
        capture_output=True,
        text=True,
        timeout=60,
    ).stdout
    return float(re.search(r"grown (\S+)", output)[1])


def test_threads_share_the_memory_that_they_freed():
    """Guards against a process with many threads that each keep memory.

    An arena of the allocator reserves 64 MB of addresses.
    """
    assert measure_growth_mb("VmSize", "allocate_in_threads") < 300


def test_large_blocks_are_returned_when_they_are_freed():
    """Guards against a process that keeps the memory of large bodies.

    The allocator kept blocks up to the size of the largest that was freed.
    """
    assert measure_growth_mb("VmRSS", "free_large_blocks") < 10
