"""The line protocol adapter, tested with handwritten lines."""

from __future__ import annotations

import json
import subprocess
import sys

import pytest

SETUP = {
    "az": "a",
    "classes": [
        {"name": "r", "objectiveS": 0.2, "deadlineS": 1.0, "effect": "idempotent", "importance": 1.0},
        {"name": "w", "objectiveS": 0.2, "deadlineS": 1.0, "effect": "deduplicated", "keyScope": "cell"},
    ],
    "limits": {"mostTries": 4, "probes": True, "novelty": 3},
    "specifics": {"freshness": ["eventual", "mutate"], "maxAgeS": [0.0, 0.0], "countedFromS": 50.0},
    "tickS": 0.002,
    "unheardOf": {"x": 1},
}
ENTRIES = [
    {"member": 11, "cluster": 3, "state": "U", "leader": 1, "locality": "a", "powerHint": 1},
    {"member": 12, "cluster": 3, "state": "U", "leader": 0, "locality": "a", "powerHint": 1},
]


def run_adapter(*lines: str) -> subprocess.CompletedProcess[str]:
    """Run the adapter with these input lines."""
    return subprocess.run(
        [sys.executable, "-m", "sedgepitch.wirehost"],
        input="".join(line + "\n" for line in lines),
        capture_output=True,
        text=True,
        check=False,
    )


def batch(number: int, now: float, *items: dict) -> str:
    """Return one line of input."""
    return json.dumps({"wallS": now, "batch": number, "items": items})


def start(*names: str, roster: int = 0) -> list[dict]:
    """Return the events that start instances."""
    items: list[dict] = [{"type": "manifest", "rosterId": roster, "lines": ENTRIES}]
    for name in names:
        items.append({"type": "hello", "driver": name, "entropy": 5, "setup": SETUP})
        items.append({"type": "sync", "driver": name, "how": "Persisted", "rosterId": roster, "rev": 1})
    return items


def query(name: str, job: int, qos: str) -> dict:
    """Return the event of a client's request."""
    return {"type": "query", "driver": name, "job": job, "ttlS": 0.9, "qos": qos, "shard": 3, "extra": [1]}


def replies(result: subprocess.CompletedProcess[str]) -> list[dict]:
    """Return the replies of a run, which must have succeeded."""
    assert result.returncode == 0 and result.stderr == ""
    return [json.loads(line) for line in result.stdout.splitlines()]


def test_requests_are_sent_and_answers_processed():
    done = {
        "type": "finished",
        "driver": "d1",
        "job": 7,
        "hop": 0,
        "member": 11,
        "outcome": "delivered",
        "durationS": 0.01,
        "doneFlag": True,
        "stamp": 4 * 1000 + 1,
    }
    outputs = replies(
        run_adapter(
            batch(0, 60.0),
            batch(1, 60.1, *start("d1")),
            batch(2, 60.2, query("d1", 7, "w"), {"type": "novelty", "driver": "d1"}),
            batch(3, 60.3, done, done, query("d1", 8, "r")),
        )
    )
    assert [r["batch"] for r in outputs] == [0, 1, 2, 3]
    assert {"type": "attempt", "driver": "d1", "job": 7, "member": 11, "maxWaitS": 0.0} in outputs[2]["cmds"]
    assert [c["job"] for c in outputs[3]["cmds"] if c["type"] == "attempt"] == [8]


def test_restart_within_one_batch_discards_all_state():
    outputs = replies(
        run_adapter(
            batch(1, 60.1, *start("d1")),
            batch(2, 60.2, query("d1", 7, "w"), {"type": "killed", "driver": "d1"}, *start("d1")),
            batch(3, 60.3, {"type": "killed", "driver": "d1"}, query("d1", 9, "r")),
        )
    )
    assert all(c["type"] != "attempt" for c in outputs[1]["cmds"])
    assert outputs[2]["cmds"] == []


def test_roster_numbers_are_resolved_in_order():
    drained = [dict(e, state="L") for e in ENTRIES]
    outputs = replies(
        run_adapter(
            batch(
                1,
                60.1,
                *start("d1"),
                {"type": "manifest", "rosterId": 0, "lines": drained},
                *start("d2")[1:],
                query("d1", 1, "w"),
                query("d2", 2, "w"),
            )
        )
    )
    assert [c["driver"] for c in outputs[0]["cmds"] if c["type"] == "attempt"] == ["d1"]


def test_instances_share_no_state():
    alone = replies(run_adapter(batch(1, 60.1, *start("d1")), batch(2, 60.2, query("d1", 7, "r"))))
    both = replies(
        run_adapter(
            batch(1, 60.1, *start("d1", "d2")), batch(2, 60.2, query("d2", 6, "r"), query("d1", 7, "r"))
        )
    )
    assert alone[1]["cmds"] == [c for c in both[1]["cmds"] if c["driver"] == "d1"]


def test_a_batch_of_megabytes_is_answered():
    items = [query("d1", n, "r") for n in range(20000)]
    outputs = replies(run_adapter(batch(1, 60.1, *start("d1")), batch(2, 60.2, *items)))
    assert len(outputs) == 2


@pytest.mark.parametrize(
    ("line", "message"),
    [
        ("{", "not JSON"),
        ("[]", "not a JSON object"),
        ('{"batch":1,"items":[]}', "'wallS' is missing"),
        ('{"batch":1,"wallS":1,"items":[3]}', "not an object"),
        (batch(1, 1.0, {"type": "query", "driver": "nobody", "job": 1}), "unknown instance 'nobody'"),
        (batch(1, 1.0, {"type": "hello", "driver": "d1", "entropy": 1}), "'setup' is missing"),
        (
            batch(1, 1.0, {"type": "hello", "driver": "d1", "entropy": 1, "setup": {"classes": []}}),
            "settings.classes",
        ),
        (batch(1, 1.0, *start("d1"), {"type": "query", "driver": "d1", "qos": "r"}), "'job' is missing"),
        (batch(1, 1.0, {"type": "manifest", "rosterId": 0, "lines": [4]}), "manifest: a field has the wrong"),
        (
            batch(1, 1.0, *start("d1"), dict(query("d1", 1, "r"), tokenAgeMs="x")),
            "query: a field has the wrong type",
        ),
        (batch(1, 1.0, *start("d1"), {"type": "sync", "driver": "d1", "how": "Partial", "rosterId": 9}), "9"),
    ],
)
def test_malformed_input_gives_a_one_line_error(line, message):
    result = run_adapter(line)
    assert result.returncode != 0 and result.stdout == ""
    assert message in result.stderr and result.stderr.count("\n") == 1
    assert "Traceback" not in result.stderr
