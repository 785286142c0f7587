"""Settings of the C library's allocator: freed buffers go back to the system.

By default, glibc raises the size from which it maps a block on its own as soon as such a block is freed
(mallopt(3), M_MMAP_THRESHOLD). Buffers of many connections then lie on the heap, whose fragments stay with
the process.
"""

from __future__ import annotations

import ctypes

_M_TRIM_THRESHOLD, _M_TOP_PAD, _M_MMAP_THRESHOLD = -1, -2, -3  # malloc.h
MAPPED_FROM_BYTES = 16 * 1024  # blocks of this size and more are mapped, and unmapped when freed
TRIM_FROM_BYTES = 256 * 1024  # free bytes at the end of the heap, from which they are given back
TOP_PAD_BYTES = 8 * 1024  # by which the heap grows beyond a request; below the size of a mapped block


def return_freed_buffers() -> None:
    """Have large blocks and the free end of the heap returned; does nothing without glibc's `mallopt`."""
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return
    mallopt(_M_MMAP_THRESHOLD, MAPPED_FROM_BYTES)
    mallopt(_M_TRIM_THRESHOLD, TRIM_FROM_BYTES)
    mallopt(_M_TOP_PAD, TOP_PAD_BYTES)
