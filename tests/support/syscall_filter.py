"""Start a proxy instance under a system call filter like that of the fleet's test bench.

test_syscall_filter runs this module as a program. exec, fork, io_uring and sendfile fail with ENOSYS, splice
with EINVAL, and socket() for any family except IPv4 with EAFNOSUPPORT; socketpair() stays allowed. The filter
applies to this process and needs no privileges.
"""

from __future__ import annotations

import ctypes
import errno
import platform
import runpy
import struct
import sys

NO_NEW_PRIVS, SET_SECCOMP, FILTER = 38, 22, 2
ALLOW, DENY = 0x7FFF0000, 0x00050000
LOAD, JUMP_EQUAL, JUMP_SET, RETURN = 0x20, 0x15, 0x45, 0x06
NUMBER, MACHINE, FIRST, SECOND = 0, 4, 16, 24  # offsets in struct seccomp_data
CLONE_THREAD = 0x00010000
CALLS = {
    "x86_64": {
        "machine": 0xC000003E,
        "refused": (
            40,
            57,
            58,
            59,
            322,
            425,
            426,
            427,
            435,
        ),  # sendfile fork vfork execve(at) io_uring_* clone3
        "splice": (275, 276),
        "socket": 41,
        "clone": 56,
    },
    "aarch64": {
        "machine": 0xC00000B7,
        "refused": (71, 221, 281, 425, 426, 427, 435),
        "splice": (76, 77),
        "socket": 198,
        "clone": 220,
    },
}


def supported() -> bool:
    """Return whether the filter supports this machine."""
    return sys.platform == "linux" and platform.machine() in CALLS


def confine() -> None:
    """Install the filter on this process. Raises OSError if the kernel refuses it."""
    table = CALLS[platform.machine()]
    bpf: list[tuple[int, int, int, int]] = []

    def step(op: int, value: int, yes: int = 0, no: int = 0) -> None:
        bpf.append((op, yes, no, value))

    step(LOAD, MACHINE)
    step(JUMP_EQUAL, table["machine"], 1, 0)
    step(RETURN, DENY | errno.ENOSYS)
    step(LOAD, NUMBER)
    for number in table["refused"]:
        step(JUMP_EQUAL, number, 0, 1)
        step(RETURN, DENY | errno.ENOSYS)
    for number in table["splice"]:
        step(JUMP_EQUAL, number, 0, 1)
        step(RETURN, DENY | errno.EINVAL)
    step(JUMP_EQUAL, table["clone"], 0, 4)
    step(LOAD, FIRST)
    step(JUMP_SET, CLONE_THREAD, 0, 1)
    step(RETURN, ALLOW)
    step(RETURN, DENY | errno.ENOSYS)
    step(JUMP_EQUAL, table["socket"], 0, 3)
    step(LOAD, FIRST)
    step(JUMP_EQUAL, 2, 1, 0)  # AF_INET
    step(RETURN, DENY | errno.EAFNOSUPPORT)
    step(RETURN, ALLOW)
    raw = b"".join(struct.pack("HBBI", *one) for one in bpf)
    buffer = ctypes.create_string_buffer(raw)
    program = ctypes.create_string_buffer(struct.pack("HxxxxxxP", len(bpf), ctypes.addressof(buffer)))
    libc = ctypes.CDLL(None, use_errno=True)
    for call in ((NO_NEW_PRIVS, 1, 0, 0, 0), (SET_SECCOMP, FILTER, ctypes.addressof(program), 0, 0)):
        if libc.prctl(*(ctypes.c_ulong(x) for x in call)):
            raise OSError(ctypes.get_errno(), "cannot install the system call filter")


if __name__ == "__main__":
    confine()
    runpy.run_module("sedgepitch.node", run_name="__main__")
