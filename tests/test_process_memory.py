"""The memory of a process: what is measured, and that freed buffers go back to the system."""

from __future__ import annotations

import subprocess
import sys

from sedgepitch.net.process_memory import available_bytes, private_bytes

FREED_BYTES = 300 * 60_000
BUFFERS_BETWEEN_OBJECTS = f"""
from sedgepitch.net.memory_allocator import return_freed_buffers
from sedgepitch.net.process_memory import available_bytes, private_bytes
return_freed_buffers()
before = private_bytes()
buffers, objects = [], []
for _ in range({FREED_BYTES} // 60_000):
    buffers.append(bytes(60_000))
    objects.append(bytearray(2_000))
del buffers
print(private_bytes() - before)
"""


def test_the_private_memory_of_a_process_is_counted():
    before = private_bytes()
    block = bytearray(b"x") * 20_000_000
    assert before > 0 and private_bytes() - before > len(block) / 2


def test_the_memory_that_a_process_may_use_is_known():
    assert private_bytes() < available_bytes() < 1 << 50


def test_freed_buffers_go_back_to_the_system_although_objects_lie_between_them():
    # Guards against a heap of fragments that outlives a crowd of clients with large messages (a29244).
    completed = subprocess.run(
        [sys.executable, "-c", BUFFERS_BETWEEN_OBJECTS], capture_output=True, text=True, check=True
    )
    assert int(completed.stdout) < FREED_BYTES / 4
