"""The soak: script generation, short runs on fixed seeds, and faulty programs that it must detect.

The long run of 50 seeds of 60 s is started by hand: `sedgepitch soak --seeds 1-50 --at-once 5 --keep DIR`.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import subprocess
import sys
from concurrent.futures import ProcessPoolExecutor
from itertools import pairwise
from pathlib import Path

import pytest

from sedgepitch.emulator.discovery_agent import SERVING_MODES, AgentMode, DiscoveryAgent
from sedgepitch.scenarios import port_reservations
from sedgepitch.scenarios.errors import ScenarioError
from sedgepitch.scenarios.port_reservations import PortReservations
from sedgepitch.scenarios.soak.runner import SoakRun
from sedgepitch.scenarios.soak.script import Action, FileState, Reload, SoakScript, Step, draw_script
from tests.support.faulty_nodes import FAULTS
from tests.support.platform import ROOT

SHORT_S = 20.0
CROWD_SEED, SIGNALS_SEED, KILL_SEED = 3, 7, 10
HANG_THROUGH_SHUTDOWN = tuple(Step(3.5, Action.HANG, server, 6.0) for server in range(1, 5))
RESTART = Step(4.0, Action.RESTART)
ONE_RELOAD = Step(2.0, Action.RELOAD_SERIES, reloads=(Reload(0.1, FileState.COMPLETE),))
TWO_RELOADS = Step(2.0, Action.RELOAD_SERIES, reloads=(Reload(0.1, FileState.COMPLETE),) * 2)
LATE_DISCOVERY = Step(1.0, Action.DISCOVERY_LATE, duration=10.0)
DRAIN = Step(7.0, Action.DRAIN, 2, 3.0)
HANG_AT_SIGTERM = tuple(Step(3.5, Action.HANG, server, 1.0) for server in range(1, 5))
FAULT_SCRIPTS = {
    "close_held_connections": (*HANG_AT_SIGTERM, RESTART),
    "forward_until_the_exit": (*HANG_THROUGH_SHUTDOWN, RESTART),
    "lose_the_second_reload": (TWO_RELOADS,),
    "give_up_late_answers": (LATE_DISCOVERY, ONE_RELOAD),
}


def run_script(script: SoakScript, folder: Path, fault: str = "") -> dict:
    """Run one script on the released program, or on one with a fault."""
    command = [sys.executable, "-m", "tests.support.faulty_nodes", fault] if fault else None
    return SoakRun(script, folder, command).run().as_dict()


@pytest.fixture(scope="module")
def results(tmp_path_factory) -> dict[str, dict]:
    """Run all scripts of this file, four at a time."""
    scripts = {str(seed): draw_script(seed, SHORT_S) for seed in (CROWD_SEED, SIGNALS_SEED, KILL_SEED)}
    for name, steps in FAULT_SCRIPTS.items():
        scripts[name] = SoakScript(1, 12.0, 2.0, False, 0, steps)
    scripts["no fault"] = SoakScript(1, 12.0, 2.0, False, 0, (TWO_RELOADS, *HANG_THROUGH_SHUTDOWN, RESTART))
    late_discovery = (LATE_DISCOVERY, ONE_RELOAD, RESTART, DRAIN)
    scripts["late discovery"] = SoakScript(1, 14.0, 2.0, False, 0, late_discovery)
    with ProcessPoolExecutor(4) as pool:
        futures = {
            name: pool.submit(
                run_script, script, tmp_path_factory.mktemp("soak"), name if name in FAULTS else ""
            )
            for name, script in scripts.items()
        }
        return {name: future.result() for name, future in futures.items()}


def violations_of(result: dict) -> list[str]:
    """Return all violations of a run."""
    return [text for rule in result["rules"] for text in rule["told"]] + result["violations"]


@pytest.mark.parametrize("seed", [CROWD_SEED, SIGNALS_SEED, KILL_SEED])
def test_a_short_soak_of_the_program_finds_nothing(results, seed):
    result = results[str(seed)]
    assert result["passed"], violations_of(result)
    assert result["requests"] > 300 and result["restarts"] >= 1


def test_the_short_seeds_include_a_crowd_a_reload_series_and_a_restart():
    assert any(step.action is Action.CROWD for step in draw_script(CROWD_SEED, SHORT_S).steps)
    assert any(step.action is Action.RELOAD_SERIES for step in draw_script(SIGNALS_SEED, SHORT_S).steps)
    assert any(step.action is Action.RESTART for step in draw_script(KILL_SEED, SHORT_S).steps)


@pytest.mark.parametrize(
    "fault, text",
    [
        ("close_held_connections", "connection closed without an answer"),
        ("forward_until_the_exit", "connection closed without an answer"),
        ("lose_the_second_reload", "no watch at its new discovery agent"),
        ("give_up_late_answers", "no watch at its new discovery agent"),
    ],
)
def test_a_faulty_program_is_detected(results, fault, text):
    assert not results[fault]["passed"]
    assert any(text in violation for violation in violations_of(results[fault])), violations_of(
        results[fault]
    )


def test_the_program_without_faults_passes_the_same_scripts(results):
    assert results["no fault"]["passed"], violations_of(results["no fault"])


# Guards against a discovery that answers late and is never heard, after a SIGHUP and a restart (review/10).
def test_the_program_passes_a_script_with_a_late_discovery(results):
    assert results["late discovery"]["passed"], violations_of(results["late discovery"])


def test_a_violation_names_the_step_before_it(results):
    assert any("after restart at 4.00 s" in text for text in violations_of(results["close_held_connections"]))


# Guards against a soak that blames the proxy for a change that the emulated discovery did not send it.
@pytest.mark.parametrize("mode", SERVING_MODES)
def test_a_watch_gets_what_changed_during_an_outage_in_each_mode_that_serves(mode):
    async def changed_during_an_outage() -> bytes:
        agent = DiscoveryAgent(lambda: {"revision": 7})
        await agent.start()
        reader, writer = await asyncio.open_connection("127.0.0.1", agent.port)
        writer.write(b"GET /catalog/members?stream=1&index=0 HTTP/1.1\r\n\r\n")
        await reader.readuntil(b"}\n\r\n")
        while not agent.watch_count:
            await asyncio.sleep(0.01)
        await agent.set_mode(AgentMode.SILENT)
        await agent.set_mode(mode)
        received = await asyncio.wait_for(reader.readuntil(b"}\n\r\n"), 1.0)
        writer.close()
        agent.stop()
        return received

    assert b'"revision": 7' in asyncio.run(changed_during_an_outage())


# The script


def test_scripts_depend_on_the_seed_alone():
    assert draw_script(5, 60.0) == draw_script(5, 60.0)
    assert draw_script(5, 60.0).steps != draw_script(6, 60.0).steps
    assert draw_script(5, 60.0).until(3).steps == draw_script(5, 60.0).steps[:3]


def test_fifty_scripts_have_every_action_and_leave_time_for_each_shutdown():
    scripts = [draw_script(seed, 60.0) for seed in range(1, 51)]
    assert {step.action for script in scripts for step in script.steps} == set(Action)
    assert sum(script.crowd for script in scripts) == 16 and sum(s.busy_processes > 0 for s in scripts) == 12
    for script in scripts:
        restarts = [step.at for step in script.steps if step.action is Action.RESTART]
        assert len(restarts) >= 3
        assert all(later - earlier > 3.7 for earlier, later in pairwise(restarts))


@pytest.mark.parametrize("length", [1.0, 1e9])
def test_a_length_out_of_range_is_rejected(length):
    with pytest.raises(ScenarioError):
        draw_script(1, length)


@pytest.mark.parametrize(
    "arguments", [["--seeds", "x"], ["--seeds", "5-1"], ["--length", "1"], ["--seeds", "1", "--until", "0"]]
)
def test_bad_arguments_exit_with_2_and_a_one_line_message(arguments):
    completed = subprocess.run(
        [sys.executable, "-m", "sedgepitch", "soak", *arguments], capture_output=True, text=True, cwd=ROOT
    )
    assert completed.returncode == 2 and "Traceback" not in completed.stderr
    assert len(completed.stderr.strip().splitlines()) == 1 and completed.stderr.startswith(
        "sedgepitch soak: "
    )


def test_a_process_that_cannot_be_started_is_named_with_the_reason(tmp_path):
    with pytest.raises(ScenarioError, match="proxy process 1: no-such-program"):
        SoakRun(draw_script(1, SHORT_S), tmp_path, ["no-such-program"]).run()


# Guards against a proxy that is given the port of one of its servers, and then never listens.
def test_a_reserved_port_is_given_once_and_can_be_listened_on(monkeypatch):
    first = PortReservations()
    port = first.reserve()
    with contextlib.closing(first), contextlib.closing(PortReservations()) as second:
        monkeypatch.setattr(port_reservations, "PORTS", (port - 3, port + 4))
        other_ports = [second.reserve() for _ in range(2)]
        assert port not in other_ports and len(set(other_ports)) == 2
        for taken in (port, *other_ports):
            with socket.create_server(("127.0.0.1", taken)), pytest.raises(OSError, match="in use"):
                socket.create_server(("127.0.0.1", taken))
