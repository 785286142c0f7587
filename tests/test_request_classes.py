"""Request classes and their variants, and the cursor table."""

from __future__ import annotations

import pytest

from sedgepitch.decisions.cursors import CursorTable, may_continue
from sedgepitch.decisions.request_classes import Classifier, ClassRule, CommandFacts, Match, variants
from sedgepitch.routing import messages as api
from sedgepitch.routing.messages import Freshness, Idempotency
from tests.support.router_harness import make_class

CLASSES = (
    make_class("upload", Freshness.WRITE, idempotency=Idempotency.KEYED, deduplication_window=1.2),
    make_class("map", Freshness.BOUNDED, max_staleness=0.5),
    make_class("old", Freshness.ANY),
    make_class("own", Freshness.SESSION),
    make_class("now", Freshness.FRESH),
)
READ = CommandFacts("sky", "readings", "find", False)
WRITE = CommandFacts("sky", "readings", "insert", True)


def facts(**changes) -> CommandFacts:
    fields = {name: getattr(READ, name) for name in CommandFacts.__slots__}
    return CommandFacts(**{**fields, **changes})


@pytest.mark.parametrize(
    ("name", "changes", "age", "variant", "session_age"),
    [
        ("map", {}, None, "map", 0.0),
        ("map", {"read_concern": "linearizable"}, None, "map/fresh", 0.0),
        ("map", {"read_preference": "primary"}, None, "map/fresh", 0.0),
        ("map", {}, 0.05, "map/session", 0.05),
        ("map", {}, 0.9, "map/session", 0.2),  # the bound counts from the latest time of sending
        ("map", {"max_staleness": 90.0}, None, "map", 0.0),
        ("old", {"max_staleness": 90.0}, None, "old/session", 89.7),
        ("old", {"max_staleness": 0.1}, None, "old/fresh", 0.0),
        ("old", {}, 0.4, "old/session", 0.4),
        ("own", {}, None, "own", 0.0),
        ("own", {}, 0.4, "own", 0.4),
        ("now", {}, 0.4, "now", 0.0),
    ],
)
def test_the_strictest_of_class_and_command_determines_the_variant(name, changes, age, variant, session_age):
    classifier = Classifier(CLASSES, [])
    result = classifier.choose_variant(classifier.classes[name], facts(**changes), 0.3, age)
    assert result.class_name == variant
    assert result.session_age == pytest.approx(session_age)
    assert result.class_name in {c.name for c in variants(CLASSES)}


def test_writes_match_only_classes_of_writes_and_reads_only_the_others():
    classifier = Classifier(CLASSES, [ClassRule("map"), ClassRule("upload")])
    assert classifier.find(WRITE).name == "upload"
    assert classifier.find(READ).name == "map"
    assert Classifier(CLASSES, [ClassRule("map")]).find(WRITE) is None


def test_the_first_matching_rule_applies_and_comments_do_not_grow_the_cache():
    classifier = Classifier(
        CLASSES, [ClassRule("old", Match(comment="history*")), ClassRule("map", Match(collection="read*"))]
    )
    assert classifier.find(facts(comment="history of 1998")).name == "old"
    assert classifier.find(facts(collection="other")) is None
    for n in range(10_000):
        classifier.find(facts(comment=str(n)))
    assert len(classifier._cache) <= 4096


def test_an_unknown_class_in_a_rule_raises_an_error():
    with pytest.raises(ValueError, match="'maps'"):
        Classifier(CLASSES, [ClassRule("maps")])


def test_only_keyed_writes_have_an_unsafe_variant_which_is_not_idempotent():
    by_name = {c.name: c for c in variants(CLASSES)}
    assert by_name["upload/unsafe"].idempotency is api.Idempotency.NONE
    assert "map/unsafe" not in by_name


def test_cursors_of_two_endpoints_with_the_same_id_are_distinguished():
    table = CursorTable(10, 60.0, 1)
    first, _ = table.open(1, 1001, "sky.a", 0.0)
    second, _ = table.open(2, 1001, "sky.a", 0.0)
    assert first.id != second.id
    assert table.use(first.id, "sky.a", 1.0).endpoint == 1
    assert table.use(second.id, "sky.a", 1.0).endpoint == 2
    assert table.use(first.id, "sky.b", 1.0) is None
    assert table.use(1001, "sky.a", 1.0) is None


def test_the_cursor_table_is_bounded_and_idle_cursors_expire():
    table = CursorTable(3, 60.0, 1)
    opened = [table.open(1, n, "sky.a", float(n))[0] for n in range(3)]
    table.use(opened[0].id, "sky.a", 5.0)
    _, evicted = table.open(1, 9, "sky.a", 6.0)
    assert [c.endpoint_cursor_id for c in evicted] == [1]
    assert [c.endpoint_cursor_id for c in table.expire(64.0)] == [2]
    assert table.use(opened[0].id, "sky.a", 70.0) is None
    assert len(table.close_where(lambda c: c.endpoint == 1)) == 2
    assert not table.cursors


def test_a_draining_endpoint_gets_no_batch_requests_after_half_of_its_grace():
    assert may_continue(None, 0.5, 10.0)
    assert may_continue(9.9, 0.5, 10.0)
    assert not may_continue(9.7, 0.5, 10.0)
