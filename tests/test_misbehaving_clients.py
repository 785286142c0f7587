"""The platform's program beside misbehaving clients: its memory, and what its regular clients get.

Each case runs the released program as a process, at the least memory of the platform's pages and at that of
the incident a29244, with 1,024 descriptors. The process is killed once its private memory is over the limit.
"""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor

import pytest

from sedgepitch.scenarios.soak.misbehaving_clients import MISBEHAVING, CrowdKind
from sedgepitch.scenarios.soak.script import Action, ProcessLimits, SoakScript, Step
from tests.test_soak import run_script, violations_of

MEMORY_LIMITS_MB = (32, 64)
SOCKETS = 1024
LENGTH_S, CROWD_AT_S, CROWD_S = 8.0, 1.5, 4.0
LONGEST_DEADLINE_S = 2.0
SERVED_SHARE_MIN = 0.5  # of the regular requests, in time; the platform's gate for a day
AT_ONCE = 3
CASES = [(kind, memory_mb) for kind in MISBEHAVING for memory_mb in MEMORY_LIMITS_MB]


def crowd_script(kind: CrowdKind, memory_mb: int) -> SoakScript:
    """Return a script of one crowd and nothing else."""
    step = Step(CROWD_AT_S, Action.CROWD, duration=CROWD_S, crowd=kind)
    limits = ProcessLimits(memory_mb, SOCKETS)
    return SoakScript(1, LENGTH_S, LONGEST_DEADLINE_S, True, 0, (step,), limits)


@pytest.fixture(scope="module")
def results(tmp_path_factory) -> dict[tuple[CrowdKind, int], dict]:
    """Run all cases, some of them at once."""
    with ProcessPoolExecutor(AT_ONCE) as pool:
        futures = {
            case: pool.submit(run_script, crowd_script(*case), tmp_path_factory.mktemp("crowd"))
            for case in CASES
        }
        return {case: future.result() for case, future in futures.items()}


@pytest.mark.parametrize("kind, memory_mb", CASES, ids=[f"{kind}-{memory}" for kind, memory in CASES])
def test_process_and_regular_clients_survive(results, kind, memory_mb):
    # Guards against input, output and requests of clients without a common bound (incident a29244).
    result = results[kind, memory_mb]
    assert result["passed"], violations_of(result)
    assert result["peak_memory_mb"] <= memory_mb
    assert result["served_in_crowds"] >= SERVED_SHARE_MIN, result
