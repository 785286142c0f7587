"""Settings: a mistake names file, line and key in one line."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from sedgepitch.config.load import SettingsError, parse
from tests.support.mongodb_harness import EXAMPLE

GOOD = EXAMPLE.split("\n")


def line_of(text: str) -> int:
    return next(n for n, line in enumerate(GOOD, 1) if text in line)


@pytest.mark.parametrize(
    ("old", "new", "line", "said"),
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
def test_mistakes_name_their_place(old, new, line, said):
    assert old in EXAMPLE
    with pytest.raises(SettingsError) as caught:
        parse(EXAMPLE.replace(old, new, 1), "fleet.yaml")
    text = str(caught.value)
    assert "\n" not in text
    assert said in text
    assert text.startswith("fleet.yaml:")
    if "twice" not in said:
        assert text.startswith(f"fleet.yaml:{line_of(line)}:")


@pytest.mark.parametrize("text", ["", "[1, 2]", "a: [", "a: 1\na: 2", "classes: []", "\x00", "&a [*a]"])
def test_what_is_no_settings_at_all_is_told_in_one_line(text):
    with pytest.raises(SettingsError) as caught:
        parse(text, "x.yaml")
    assert "\n" not in str(caught.value)


def test_the_command_line_says_it_without_a_traceback(tmp_path):
    path = tmp_path / "bad.yaml"
    path.write_text(EXAMPLE.replace("500 ms", "half a second", 1))
    for arguments in (
        ["config", "check", str(path)],
        ["serve", "--config", str(path)],
        ["emulator", "--config", "no"],
    ):
        done = subprocess.run(
            [sys.executable, "-m", "sedgepitch", *arguments], capture_output=True, text=True
        )
        assert done.returncode != 0
        assert len(done.stderr.strip().splitlines()) == 1, done.stderr


def test_the_example_is_good_and_tells_the_module_all():
    settings = parse(EXAMPLE, "example")
    told = settings.module_settings()
    assert {"upload", "upload/unsafe", "map-read", "map-read/session", "map-read/fresh"} <= {
        c.name for c in told.classes
    }
    assert told.subscription_required and told.rules.drain_grace == 0.5


def test_every_package_that_the_extra_asks_for_is_pinned():
    root = Path(__file__).parent.parent / "requirements"
    asked = {x.lower().replace("_", "-") for x in _names(root / "run.in")}
    sticky = {x.lower().replace("_", "-") for x in _names(root / "run.txt")}
    assert asked <= sticky


def _names(path: Path) -> list[str]:
    lines = (line.partition("#")[0].strip() for line in path.read_text().splitlines())
    return [line.partition("==")[0] for line in lines if line]
