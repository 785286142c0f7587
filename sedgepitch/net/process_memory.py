"""The memory of this process, as the system counts it."""

from __future__ import annotations

import os

_STATM_PATH = "/proc/self/statm"  # proc(5): sizes in pages; the second is resident, the third shared
_CGROUP_LIMIT_PATH = "/sys/fs/cgroup/memory.max"  # a number of bytes, or "max"
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def private_bytes() -> int:
    """Return the resident memory that is not shared with files, in bytes; 0 if the system does not tell."""
    try:
        with open(_STATM_PATH, "rb") as file:
            fields = file.read().split()
        return (int(fields[1]) - int(fields[2])) * _PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return 0


def available_bytes() -> int:
    """Return the memory that this process may use at most: that of its control group or of the machine."""
    machine_bytes = os.sysconf("SC_PHYS_PAGES") * _PAGE_BYTES
    try:
        with open(_CGROUP_LIMIT_PATH, encoding="ascii") as file:
            return min(machine_bytes, int(file.read()))
    except (OSError, ValueError):
        return machine_bytes
