"""Translation of settings: an invalid field gives a one-line error that names it, a missing one a default."""

from __future__ import annotations

import copy
import json

import pytest

from sedgepitch.node.config import NodeConfigError, parse
from sedgepitch.routing import messages as api
from sedgepitch.settings import InvalidInputError, translate_settings
from tests.support.platform import SETTINGS

INVALID = [
    (("classes", 0, "deadlineS"), -1, "setup.classes[0]: field 'deadlineS'"),
    (("classes", 1, "objectiveS"), float("nan"), "setup.classes[1]: field 'objectiveS'"),
    (("classes", 1, "windowS"), "long", "setup.classes[1]: field 'windowS'"),
    (("classes", 1, "effect"), "perhaps", "setup.classes[1]: field 'effect'"),
    (("classes", 1), 7, "setup.classes[1]: not an object"),
    (("classes", 1, "name"), "look", "two classes of one name"),
    (("specifics", "freshness"), ["eventual"], "must match the classes"),
    (("specifics", "maxAgeS"), [0, -1], "setup.specifics: field 'maxAgeS'"),
    (("specifics", "maxAgeS"), 3, "must be lists"),
    (("limits", "mostTries"), 0, "setup.limits: field 'mostTries'"),
    (("limits", "probes"), "no", "setup.limits: field 'probes'"),
    (("limits", "connectTimeoutS"), "soon", "limits: field 'connectTimeoutS'"),
    (("limits", "idleCloseS"), float("inf"), "limits: field 'idleCloseS'"),
    (("rules", "drainGraceS"), -0.5, "setup.rules: field 'drainGraceS'"),
    (("rules",), [], "setup.rules: not an object"),
    (("stats", "fields"), 5, "setup.stats: field 'fields'"),
]


def with_settings(settings: dict) -> str:
    """Return the text of a configuration file."""
    config = {"name": "n", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": settings}
    return json.dumps(config)


@pytest.mark.parametrize(("path", "value", "message"), INVALID)
def test_an_invalid_setting_gives_a_one_line_error_with_its_path(path, value, message):
    settings = copy.deepcopy(SETTINGS)
    part = settings
    for step in path[:-1]:
        part = part[step]
    part[path[-1]] = value
    with pytest.raises(NodeConfigError) as raised:
        parse(with_settings(settings), {}, 0.0)
    assert message in str(raised.value) and "\n" not in str(raised.value)


def test_missing_and_null_fields_have_defaults_and_unknown_words_the_strictest_value():
    settings = copy.deepcopy(SETTINGS)
    settings["limits"] = {"mostTries": None, "idleCloseS": 0}
    settings["rules"] = settings["stats"] = None
    settings["specifics"] |= {"behind": "somehow", "sessionMarks": None}
    settings["classes"][1]["keyScope"] = "shelf"
    config = parse(with_settings(settings), {}, 0.0)
    translated = config.settings
    assert (translated.max_attempts, translated.health_checks, translated.retry_after) == (1, False, False)
    assert (
        translated.stale_read_handling is api.StaleReadHandling.SERVE
        and translated.session_tracking is api.SessionTracking.BY_CLIENT
    )
    assert translated.classes[1].deduplication_scope is api.DeduplicationScope.CELL
    assert config.idle_for == 60.0 and config.connect_within == 1.0


def test_effect_and_freshness_are_translated_independently():
    settings = copy.deepcopy(SETTINGS)
    settings["classes"][0]["effect"] = "at_most_once"
    settings["classes"][1]["effect"] = "idempotent"
    read, write = translate_settings(settings).classes
    assert (read.idempotency, read.freshness) == (api.Idempotency.NONE, api.Freshness.ANY)
    assert (write.idempotency, write.freshness) == (api.Idempotency.IDEMPOTENT, api.Freshness.WRITE)


def test_settings_without_classes_are_rejected():
    with pytest.raises((InvalidInputError, ValueError), match="class"):
        translate_settings({"classes": []})
