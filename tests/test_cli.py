"""The command line: command names, and their former names as hidden aliases with a warning."""

from __future__ import annotations

import subprocess
import sys

import pytest

from sedgepitch.cli.main import FORMER_NAMES, main


def run(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Run the command line and return the completed process."""
    return subprocess.run(
        [sys.executable, "-m", "sedgepitch", *arguments], capture_output=True, text=True, check=False
    )


@pytest.mark.parametrize("former_name", sorted(FORMER_NAMES))
def test_former_name_has_the_same_options_and_is_hidden(former_name):
    alias, command = main.commands[former_name], FORMER_NAMES[former_name]
    assert alias.hidden and not command.hidden
    assert alias.params == command.params


def test_former_name_prints_one_warning_and_runs_the_current_command():
    former, current = run("standins", "--config", "no"), run("emulator", "--config", "no")
    warning, _, rest = former.stderr.partition("\n")
    assert warning == "sedgepitch: 'standins' is now 'emulator'"
    assert (former.returncode, rest) == (current.returncode, current.stderr)


def test_help_lists_only_current_names():
    help_text = run("--help").stdout
    assert all(command.name in help_text for command in FORMER_NAMES.values())
    assert not any(f"  {former_name} " in help_text for former_name in FORMER_NAMES)
