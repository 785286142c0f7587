"""Failing system calls for one process under test: builds the preload library and writes its rule table.

The library acts below the interpreter and below uvloop, whose own calls are made in C. A rule is armed and
read through a file that the test and the process both map, so a test decides at any moment what fails next,
and sees what was hit.
"""

from __future__ import annotations

import errno
import mmap
import shutil
import struct
import subprocess
from dataclasses import dataclass
from enum import IntEnum
from pathlib import Path

SOURCE = Path(__file__).with_suffix(".c")
VARIABLE = "SEDGEPITCH_SYSCALL_FAULTS"
RULES = 16
RULE = struct.Struct("@8i")
HITS_OFFSET = 7 * 4  # bytes, within a rule
UNBOUNDED = 2**31 - 1


class Call(IntEnum):
    """The system calls that can be faulted; the order is that of the C source."""

    ACCEPT = 0
    SOCKET = 1
    CONNECT = 2
    READ = 3
    WRITE = 4
    SETSOCKOPT = 5
    GETSOCKOPT = 6
    EPOLL_CTL = 7
    IOCTL = 8
    SHUTDOWN = 9
    POLL = 10
    BIND = 11
    LISTEN = 12


class Kind(IntEnum):
    """Which descriptors a rule is for."""

    ANY = 0
    LISTENER = 1
    ACCEPTED = 2
    OPENED = 3


@dataclass(frozen=True, slots=True)
class Rule:
    """What fails: `error` is an errno; with a `byte_limit` instead, reads and writes are cut to that."""

    call: Call
    kind: Kind = Kind.ANY
    error: int = 0
    byte_limit: int = 0
    spare: int = 0  # matching calls that pass before
    times: int = 1  # calls that are faulted then


class SystemCallFaults:
    """The rule table of one process. `environment` goes into the process's environment."""

    def __init__(self, folder: Path) -> None:
        self.library = build(folder)
        self._path = folder / "syscall-faults.table"
        self._path.write_bytes(bytes(RULE.size * RULES))
        with self._path.open("r+b") as file:
            self._table = mmap.mmap(file.fileno(), RULE.size * RULES)
        self._next = 0
        self.replaced_hits = 0  # of rules whose place was taken

    @property
    def environment(self) -> dict[str, str]:
        """What makes a process load the library and follow this table."""
        return {"LD_PRELOAD": str(self.library), VARIABLE: str(self._path)}

    def arm(self, rule: Rule) -> int:
        """Put a rule in force, in place of the oldest where the table is full; returns its number."""
        number = self._next % RULES
        self._next += 1
        self.disarm(number)
        self.replaced_hits += self.hits(number)
        packed = RULE.pack(0, rule.call, rule.kind, rule.error, rule.byte_limit, rule.spare, rule.times, 0)
        start = number * RULE.size
        self._table[start : start + RULE.size] = packed
        self._table[start : start + 4] = struct.pack("@i", 1)  # active, once all else stands
        return number

    def disarm(self, number: int) -> None:
        """Take a rule out of force; its hits stay."""
        start = number * RULE.size
        self._table[start : start + 4] = struct.pack("@i", 0)

    def total_hits(self) -> int:
        """Return how many calls all rules have faulted."""
        return self.replaced_hits + sum(self.hits(number) for number in range(RULES))

    def hits(self, number: int) -> int:
        """Return how many calls a rule has faulted."""
        start = number * RULE.size + HITS_OFFSET
        (count,) = struct.unpack("@i", self._table[start : start + 4])
        return int(count)


def build(folder: Path) -> Path:
    """Compile the library into a folder. Raises RuntimeError with one line where there is no compiler."""
    compiler = shutil.which("gcc") or shutil.which("cc")
    if compiler is None:
        raise RuntimeError("the tests with failing system calls need a C compiler (gcc)")
    library = folder / "syscall_faults.so"
    command = [compiler, "-O1", "-shared", "-fPIC", "-o", str(library), str(SOURCE), "-ldl"]
    subprocess.run(command, check=True, capture_output=True)
    return library


def name_of(error: int) -> str:
    """Return the symbolic name of an errno, for test ids."""
    return errno.errorcode[error]
