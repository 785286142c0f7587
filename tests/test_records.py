"""Static check that each field of the router's records is changed only by the module that owns it."""

from __future__ import annotations

import ast
import re
from pathlib import Path

import pytest

from sedgepitch.routing import records

ROUTING = Path(records.__file__).parent
MUTATORS = {"add", "append", "clear", "discard", "extend", "pop", "remove", "setdefault", "sort", "update"}
RECORDS = (records.Endpoint, records.ReplicaGroup, records.RoutedRequest)


def owners() -> dict[str, set[str]]:
    """Return the modules that own each field name, read from the comments in records.py.

    Two records can have a field of the same name, so a name may have several owners.
    """
    found: dict[str, set[str]] = {}
    owner = ""
    for line in (ROUTING / "records.py").read_text().splitlines():
        if re.match(r"(@dataclass|class )", line):
            owner = ""
        elif comment := re.match(r"    # (\w+)$", line):
            owner = comment[1]
        elif owner and (name := re.match(r"    (\w+): ", line)):
            found.setdefault(name[1], set()).add(owner)
    return found


def changed_attributes(tree: ast.AST):
    """Yield each attribute that the code assigns, deletes from or modifies by a method, with its line."""
    for node in ast.walk(tree):
        target = None
        if isinstance(node, ast.Attribute) and not isinstance(node.ctx, ast.Load):
            target = node
        elif isinstance(node, ast.Subscript) and not isinstance(node.ctx, ast.Load):
            target = node.value
        elif isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute):
            target = node.func.value if node.func.attr in MUTATORS else None
        if isinstance(target, ast.Attribute):
            base = target.value
            if not (isinstance(base, ast.Name) and base.id == "self"):
                yield target.attr, node.lineno


def test_every_owner_is_a_module_and_every_variable_field_has_an_owner():
    known = owners()
    assert all((ROUTING / f"{module}.py").exists() for modules in known.values() for module in modules)
    constant = {"id", "group_id", "zone"}  # fields of an endpoint that never change
    for record in RECORDS:
        assert set(record.__slots__) - constant <= known.keys()


@pytest.mark.parametrize("path", sorted(ROUTING.glob("*.py")), ids=lambda path: path.name)
def test_module_changes_only_its_own_fields(path):
    known = owners()
    for name, line in changed_attributes(ast.parse(path.read_text())):
        if name in known:
            assert path.stem in known[name], f"{path.name}:{line} changes {name} of {known[name]}"
