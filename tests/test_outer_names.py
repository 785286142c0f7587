"""Names and texts that leave the process stay unchanged in the module that writes or reads them.

tests/data/outer_names.txt lists them. A rename that also changes a settings key, a field of a log event or a
text on the wire would pass every test that uses the new name on both sides.
"""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
LIST = Path(__file__).parent / "data" / "outer_names.txt"
LOG_CALLS = {"log_event", "_log_event", "log", "_log", "info", "warning", "error"}
NAMES_MIN = 2000


def listed_names() -> dict[str, list[str]]:
    """Return the listed names by module; the names of a module follow a line `# path: what its names are`."""
    names: dict[str, list[str]] = {}
    for line in LIST.read_text().splitlines():
        if line.startswith("# sedgepitch/"):
            module = line.removeprefix("# ").partition(":")[0]
            names[module] = []
        elif line and not line.startswith("#"):
            names[module].append(line)
    return names


def strings_of(tree: ast.Module) -> set[str]:
    """Return the string and bytes constants of a module, including those in f-strings, without docstrings."""
    docstrings = {
        id(statement.value)
        for node in ast.walk(tree)
        for statement in (node.body if isinstance(getattr(node, "body", None), list) else ())
        if isinstance(statement, ast.Expr)
    }
    found = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and id(node) not in docstrings:
            if isinstance(node.value, str):
                found |= {node.value, node.value.strip()}
            elif isinstance(node.value, bytes):
                text = node.value.decode("latin-1")
                found |= {text, text.strip()}
    return found


def identifiers_of(tree: ast.Module) -> set[str]:
    """Return the identifiers that a module can write out: classes, their fields, keywords and parameters."""
    found = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.ClassDef):
            found.add(node.name)
            for statement in node.body:
                if isinstance(statement, ast.AnnAssign):
                    found.add(ast.unparse(statement.target))
                elif isinstance(statement, ast.Assign):
                    found |= {ast.unparse(target) for target in statement.targets}
        elif isinstance(node, ast.arg):
            found.add(node.arg)
        elif isinstance(node, ast.keyword) and node.arg:
            found.add(node.arg)
    return found


LISTED = listed_names()


@pytest.mark.parametrize("module", LISTED)
def test_each_listed_name_still_occurs_in_its_module(module):
    tree = ast.parse((ROOT / module).read_text())
    assert LISTED[module]
    assert sorted(set(LISTED[module]) - strings_of(tree) - identifiers_of(tree)) == []


def test_the_list_is_complete_and_without_duplicates():
    assert sum(map(len, LISTED.values())) > NAMES_MIN
    assert all(len(names) == len(set(names)) for names in LISTED.values())


def test_each_log_event_is_listed():
    events = set()
    for path in sorted((ROOT / "sedgepitch").rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            called = ast.unparse(node.func).rpartition(".")[2] if isinstance(node, ast.Call) else ""
            first = node.args[0] if called in LOG_CALLS and node.args else None
            if isinstance(first, ast.Constant) and isinstance(first.value, str):
                events.add((str(path.relative_to(ROOT)), first.value))
    assert len(events) > 20
    assert sorted(event for event in events if event[1] not in LISTED.get(event[0], ())) == []
