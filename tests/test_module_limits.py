"""Modules stay short enough to read at night, those of the router above all."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parent.parent / "sedgepitch"
MODULES = sorted((PACKAGE / "routing").rglob("*.py"))
ANY_MODULE_LINES_MAX = 400
MODULE_LINES_MAX = 250
FUNCTION_LINES_MAX = 40
COLUMNS_MAX = 110


def test_the_router_s_modules_are_found():
    assert {"router.py", "messages.py", "selection.py"} <= {path.name for path in MODULES}


@pytest.mark.parametrize("path", MODULES, ids=lambda path: path.name)
def test_a_module_stays_short_enough_to_read_at_night(path):
    lines = path.read_text().splitlines()
    assert len(lines) <= MODULE_LINES_MAX
    assert max(map(len, lines)) <= COLUMNS_MAX
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            length = node.end_lineno - node.lineno + 1
            assert length <= FUNCTION_LINES_MAX, f"{node.name}: {length} lines"


def test_no_module_of_the_program_is_longer_than_400_lines():
    lengths = {path: len(path.read_text().splitlines()) for path in PACKAGE.rglob("*.py")}
    assert len(lengths) > len(MODULES)
    assert [str(path) for path, length in lengths.items() if length > ANY_MODULE_LINES_MAX] == []
