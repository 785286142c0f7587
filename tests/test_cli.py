"""The command line: plain command names, and the former names as hidden aliases that warn."""

from __future__ import annotations

import subprocess
import sys

import pytest

from sedgepitch.cli.main import FORMER_NAMES, main


def run(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Run the command line to its end."""
    return subprocess.run(
        [sys.executable, "-m", "sedgepitch", *arguments], capture_output=True, text=True, check=False
    )


@pytest.mark.parametrize("former_name", sorted(FORMER_NAMES))
def test_a_former_name_takes_the_same_options_and_is_hidden(former_name):
    alias, command = main.commands[former_name], FORMER_NAMES[former_name]
    assert alias.hidden and not command.hidden
    assert alias.params == command.params


def test_a_former_name_warns_in_one_line_and_does_what_the_present_name_does():
    former, present = run("standins", "--config", "no"), run("emulator", "--config", "no")
    warning, _, rest = former.stderr.partition("\n")
    assert warning == "sedgepitch: 'standins' is now 'emulator'"
    assert (former.returncode, rest) == (present.returncode, present.stderr)


def test_the_help_lists_present_names_alone():
    shown = run("--help").stdout
    assert all(command.name in shown for command in FORMER_NAMES.values())
    assert not any(f"  {former_name} " in shown for former_name in FORMER_NAMES)
