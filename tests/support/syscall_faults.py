"""System call faults for one process under test: builds the preload library and writes its rule table.

The library intercepts calls below the interpreter and below uvloop, which makes its own calls in C. The test
and the process both map the file with the rule table, so a test can arm a rule at any time and read how many
calls it has faulted.
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
    """The system calls that can be faulted, in the order of the C source."""

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
    """The kind of descriptor that a rule applies to, in the order of the C source."""

    ANY = 0
    LISTENER = 1
    ACCEPTED = 2
    OPENED = 3


@dataclass(frozen=True, slots=True)
class Rule:
    """One fault: calls fail with errno `error`, or reads and writes are cut to `byte_limit` bytes."""

    call: Call
    kind: Kind = Kind.ANY
    error: int = 0
    byte_limit: int = 0
    spare: int = 0  # matching calls that pass first
    times: int = 1  # calls to fault after those


class SystemCallFaults:
    """The rule table of one process, which must run with the variables in `environment`."""

    def __init__(self, folder: Path) -> None:
        self.library = build(folder)
        self._path = folder / "syscall-faults.table"
        self._path.write_bytes(bytes(RULE.size * RULES))
        with self._path.open("r+b") as file:
            self._table = mmap.mmap(file.fileno(), RULE.size * RULES)
        self._next = 0
        self.replaced_hits = 0  # hits of rules that were replaced

    @property
    def environment(self) -> dict[str, str]:
        """Return the variables that make a process load the library and use this table."""
        return {"LD_PRELOAD": str(self.library), VARIABLE: str(self._path)}

    def arm(self, rule: Rule) -> int:
        """Activate a rule and return its number; if the table is full, the oldest rule is replaced."""
        number = self._next % RULES
        self._next += 1
        self.disarm(number)
        self.replaced_hits += self.hits(number)
        packed = RULE.pack(0, rule.call, rule.kind, rule.error, rule.byte_limit, rule.spare, rule.times, 0)
        start = number * RULE.size
        self._table[start : start + RULE.size] = packed
        self._table[start : start + 4] = struct.pack("@i", 1)  # activated after all other fields are written
        return number

    def disarm(self, number: int) -> None:
        """Deactivate a rule; its hits are kept."""
        start = number * RULE.size
        self._table[start : start + 4] = struct.pack("@i", 0)

    def total_hits(self) -> int:
        """Return the number of calls faulted by all rules."""
        return self.replaced_hits + sum(self.hits(number) for number in range(RULES))

    def hits(self, number: int) -> int:
        """Return the number of calls faulted by a rule."""
        start = number * RULE.size + HITS_OFFSET
        (count,) = struct.unpack("@i", self._table[start : start + 4])
        return int(count)


def build(folder: Path) -> Path:
    """Compile the library into a folder. Raises RuntimeError if there is no C compiler."""
    compiler = shutil.which("gcc") or shutil.which("cc")
    if compiler is None:
        raise RuntimeError("the system call fault tests need a C compiler: neither gcc nor cc is on the PATH")
    library = folder / "syscall_faults.so"
    command = [compiler, "-O1", "-shared", "-fPIC", "-o", str(library), str(SOURCE), "-ldl"]
    subprocess.run(command, check=True, capture_output=True)
    return library


def name_of(error: int) -> str:
    """Return the symbolic name of an errno, for test ids."""
    return errno.errorcode[error]
