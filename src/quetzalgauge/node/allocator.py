"""Settings of the C library's memory allocator."""

import contextlib

# Names of parameters in malloc.h.
_M_MMAP_THRESHOLD = -3
_M_ARENA_MAX = -8
# By default, there are eight for each core, and each keeps what its threads
# have freed.
MAX_ARENAS = 2
# By default, the threshold rises to the size of the largest block that was
# freed, and larger blocks stay in the arenas too. Buffers of a single read are
# below it, since each block above it costs system calls.
MMAP_THRESHOLD_BYTES = 128 * 1024


def limit_unused_memory() -> None:
    """Makes the allocator return freed memory to the system.

    Call this before there are threads. It does nothing where the C library has
    no such settings.
    """
    with contextlib.suppress(ImportError, OSError, AttributeError):
        import ctypes

        mallopt = ctypes.CDLL(None).mallopt
        mallopt(_M_ARENA_MAX, MAX_ARENAS)
        mallopt(_M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
