"""The memory of this process, as the system counts it."""

from __future__ import annotations

import os

_STATM_PATH = "/proc/self/statm"  # proc(5): sizes in pages; the second is resident, the third shared
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def private_bytes() -> int:
    """Return the resident memory that is not shared with files, in bytes; 0 if the system does not tell."""
    try:
        with open(_STATM_PATH, "rb") as file:
            fields = file.read().split()
        return (int(fields[1]) - int(fields[2])) * _PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return 0
