"""Settings: an error message is one line that names file, line and key."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from sedgepitch.config.load import SettingsError, parse
from tests.support.mongodb_harness import EXAMPLE

EXAMPLE_LINES = EXAMPLE.split("\n")


def line_of(text: str) -> int:
    return next(n for n, line in enumerate(EXAMPLE_LINES, 1) if text in line)


@pytest.mark.parametrize(
    ("old", "new", "line", "expected_text"),
    [
        ("window: 1.2 s", "window: 1.2", "window: 1.2 s", "unit"),
        ("window: 1.2 s", "window: -1 s", "window: 1.2 s", "unit"),
        ("max_age: 500 ms", "max_old: 500 ms", "max_age", "max_old: Extra inputs"),
        ("freshness: session", "freshness: sometimes", "freshness: session", "freshness"),
        ("listen: 127.0.0.1:27117", "listen: everywhere", "listen:", "address"),
        ("{id: 2, ", "{id: 1, ", "driver:", "stands there twice"),
        ("control: 127.0.0.1:27200\n\n", "control: 127.0.0.1:70000\n\n", "control:", "address"),
        ("drain_grace: 500 ms", "drain_grace: soon", "drain_grace", "unit"),
    ],
)
def test_error_names_file_line_and_key(old, new, line, expected_text):
    assert old in EXAMPLE
    with pytest.raises(SettingsError) as caught:
        parse(EXAMPLE.replace(old, new, 1), "fleet.yaml")
    text = str(caught.value)
    assert "\n" not in text
    assert expected_text in text
    assert text.startswith("fleet.yaml:")
    if "twice" not in expected_text:
        assert text.startswith(f"fleet.yaml:{line_of(line)}:")


@pytest.mark.parametrize("text", ["", "[1, 2]", "a: [", "a: 1\na: 2", "classes: []", "\x00", "&a [*a]"])
def test_input_that_is_not_settings_gives_a_one_line_error(text):
    with pytest.raises(SettingsError) as caught:
        parse(text, "x.yaml")
    assert "\n" not in str(caught.value)


def test_command_line_reports_settings_errors_without_a_traceback(tmp_path):
    path = tmp_path / "bad.yaml"
    path.write_text(EXAMPLE.replace("500 ms", "half a second", 1))
    for arguments in (
        ["config", "check", str(path)],
        ["serve", "--config", str(path)],
        ["emulator", "--config", "no"],
    ):
        completed = subprocess.run(
            [sys.executable, "-m", "sedgepitch", *arguments], capture_output=True, text=True
        )
        assert completed.returncode != 0
        assert len(completed.stderr.strip().splitlines()) == 1, completed.stderr


def test_example_is_valid_and_yields_all_router_settings():
    settings = parse(EXAMPLE, "example")
    router_settings = settings.module_settings()
    assert {"upload", "upload/unsafe", "map-read", "map-read/session", "map-read/fresh"} <= {
        c.name for c in router_settings.classes
    }
    assert router_settings.subscription_required and router_settings.rules.drain_grace == 0.5


def test_every_required_package_is_pinned():
    root = Path(__file__).parent.parent / "requirements"
    required = {x.lower().replace("_", "-") for x in _names(root / "run.in")}
    pinned = {x.lower().replace("_", "-") for x in _names(root / "run.txt")}
    assert required <= pinned


def _names(path: Path) -> list[str]:
    lines = (line.partition("#")[0].strip() for line in path.read_text().splitlines())
    return [line.partition("==")[0] for line in lines if line]
