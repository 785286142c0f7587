"""Length limits that keep modules quick to read; those of `sedgepitch.routing` are stricter."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parent.parent / "sedgepitch"
MODULES = sorted((PACKAGE / "routing").rglob("*.py"))
ANY_MODULE_LINES_MAX = 400
ROUTING_MODULE_LINES_MAX = 250
FUNCTION_LINES_MAX = 40
COLUMNS_MAX = 110


def test_the_routing_modules_are_found():
    assert {"router.py", "messages.py", "selection.py"} <= {path.name for path in MODULES}


@pytest.mark.parametrize("path", MODULES, ids=lambda path: path.name)
def test_a_routing_module_stays_within_the_limits(path):
    lines = path.read_text().splitlines()
    assert len(lines) <= ROUTING_MODULE_LINES_MAX
    assert max(map(len, lines)) <= COLUMNS_MAX
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            length = node.end_lineno - node.lineno + 1
            assert length <= FUNCTION_LINES_MAX, f"{node.name}: {length} lines"


def test_no_module_of_the_program_is_longer_than_400_lines():
    lengths = {path: len(path.read_text().splitlines()) for path in PACKAGE.rglob("*.py")}
    assert len(lengths) > len(MODULES)
    assert [str(path) for path, length in lengths.items() if length > ANY_MODULE_LINES_MAX] == []
