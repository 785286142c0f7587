"""A scripted bad day on loopback: drivers, stand-in members and clients, and the audit at its end.

The same seed and script give the same requests at the same planned times and the same troubles; what the
machine makes of them is its own.
"""

from __future__ import annotations

import json
import random
import sys
import tempfile
from dataclasses import dataclass, field
from importlib.resources import files
from pathlib import Path
from typing import Any

import bson
import click
import yaml
from hdrh.histogram import HdrHistogram

from sedgepitch.audit.findings import ClassGuarantees, RuleParameters
from sedgepitch.audit.record_index import RecordIndex, RoleHistory
from sedgepitch.audit.records import read as read_records
from sedgepitch.audit.rules import audit
from sedgepitch.emulator.recorder import Recorder
from sedgepitch.scenarios.load_generator import Ask, Caller, Got, now
from sedgepitch.scenarios.processes import Burners, ProcessError, Stage

DRIVERS = 3
RATE = 240.0  # requests a second over all drivers, on a quiet stretch
SESSIONS = 40  # for each driver
FULL_LENGTH = 40.0  # s; the length that the script's times are written for
RETRY_WAIT = (0.1, 0.3)  # s before a client's own retry where it got no advice


class DayError(Exception):
    """The day could not be played; one line."""


@dataclass(slots=True, frozen=True)
class Kind:
    """One class of the day's requests."""

    name: str
    share: float
    freshness: str
    deadline: float
    aim: float
    max_age: float = 0.0
    effect: str = "safe"
    window: float = 0.0


KINDS = (
    Kind("upload", 0.10, "write", 2.0, 0.2, effect="keyed", window=1.2),
    Kind("note", 0.03, "write", 2.0, 0.2, effect="unsafe"),
    Kind("own-read", 0.22, "session", 0.5, 0.2),
    Kind("current-read", 0.03, "fresh", 0.5, 0.2),
    Kind("history-read", 0.20, "any", 0.6, 0.2),
    Kind("map-read", 0.42, "bounded", 0.8, 0.2, max_age=0.5),
)


def day_settings() -> dict[str, Any]:
    """The settings of drivers and fleet: the example, with times that suit a short day."""
    settings: dict[str, Any] = yaml.safe_load(
        files("sedgepitch.config").joinpath("example.yaml").read_text(encoding="utf-8")
    )
    settings["module"] = {"drivers": DRIVERS}
    settings["log"] = {"level": "info", "format": "json", "lines_per_second": 2000}
    settings["rules"] |= {"warm_within": "5 s"}
    settings["standins"] |= {
        "read_work": {"least": "5 ms", "most": "10 ms"},
        "write_work": {"least": "4 ms", "most": "8 ms"},
        "cores": 2,
        "warm_within": "5 s",
    }
    return settings


@dataclass
class Session:
    """One station's session: its id, its key count, and its last acknowledged write."""

    lsid: bson.Binary
    number: int = 0
    last_write: str | None = None
    after: bson.Timestamp | None = None


@dataclass
class Tally:
    """What became of one class's requests (client retries counted with their first try)."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    other: int = 0
    times: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 60_000_000, 3))

    def as_dict(self) -> dict[str, Any]:
        """Return it for a report; times in milliseconds."""
        out = {n: getattr(self, n) for n in ("asked", "in_time", "late", "refused", "failed", "other")}
        for name, share in (("p50_ms", 50.0), ("p99_ms", 99.0)):
            out[name] = self.times.get_value_at_percentile(share) / 1000.0 if self.times.total_count else None
        return out


class BadDay:
    """One day. `run` plays it and returns the result; it must be the reactor's first use in the process."""

    def __init__(
        self,
        seed: int = 1,
        length: float = FULL_LENGTH,
        script: str | None = None,
        keep: str | None = None,
        driver_module: str = "sedgepitch",
        rate: float = RATE,
        slack: float = 0.25,
        settings: dict[str, Any] | None = None,
        burners: int = 0,
        drivers: int = DRIVERS,
    ) -> None:
        self.drivers = drivers
        self.seed, self.length, self.keep, self.burners = seed, length, keep, burners
        self.random = random.Random(seed)
        self.driver_module, self.rate, self.slack = driver_module, rate, slack
        self.settings = settings or day_settings()
        self.troubles = self._script(script)
        self.tallies = {kind.name: Tally() for kind in KINDS}
        self.callers: dict[str, Caller] = {}
        self.sessions: dict[str, list[Session]] = {}
        self.factor = 1.0
        self.count = 0
        self.planned = 0.0
        self.reactor: Any = None
        self.under_way = 0
        self.drawing = True
        self.errors: list[str] = []
        self.burning = Burners(length + 30.0)

    def _script(self, path: str | None) -> list[dict[str, Any]]:
        try:
            if path is None:
                text = (
                    files("sedgepitch.scenarios").joinpath("fault_scenario.yaml").read_text(encoding="utf-8")
                )
            else:
                text = Path(path).read_text(encoding="utf-8")
            raw = yaml.safe_load(text)
            troubles = [dict(t) for t in raw["troubles"]]
            for part, values in (raw.get("settings") or {}).items():
                self.settings[part] = {**self.settings.get(part, {}), **values}
            self.rate = float(raw.get("rate", self.rate))
            for number, trouble in enumerate(troubles, 1):
                if not (0 <= float(trouble["at"]) <= 1) or not isinstance(trouble["do"], str):
                    raise DayError(f"{path}: trouble {number}: 'at' is a share of the day and 'do' a name")
            return troubles
        except (OSError, yaml.YAMLError, KeyError, TypeError, ValueError) as error:
            raise DayError(f"{path}: {str(error).splitlines()[0]}") from None

    def run(self, progress: bool = False) -> dict[str, Any]:
        """Play the day; raises DayError where its processes do not come up."""
        with tempfile.TemporaryDirectory() as scratch:
            directory = Path(self.keep or scratch)
            directory.mkdir(parents=True, exist_ok=True)
            try:
                stage = Stage(self.settings, directory, self.driver_module)
            except ProcessError as error:
                raise DayError(str(error)) from None
            try:
                return self._play(stage, directory, progress)
            except ProcessError as error:
                raise DayError(str(error)) from None
            finally:
                stage.stop()
                self.burning.stop()

    def _play(self, stage: Stage, directory: Path, progress: bool) -> dict[str, Any]:
        from twisted.internet import reactor
        from twisted.internet.threads import deferToThread

        self.reactor = reactor
        self.stage, self.defer = stage, deferToThread
        record = self.record = Recorder(str(directory / "clients.jsonl"), "clients")
        for number in range(1, self.drivers + 1):
            name = f"driver-{number}"
            address = stage.driver(name, **self.driver_changes(name, number))
            self.started(name)
            self.callers[name] = Caller(reactor, name, address, record)
            if self.burners:
                self.burning.beside(stage.drivers[name].process.pid, number, self.burners)
            self.sessions[name] = [
                Session(bson.Binary(self.random.randbytes(16), 4)) for _ in range(SESSIONS)
            ]
        self.settled()
        self.began = now()
        for trouble in self.troubles:
            self.reactor.callLater(float(trouble["at"]) * self.length, self._trouble, trouble)
        self.reactor.callLater(0.0, self._next_arrival)
        self.reactor.callLater(self.length, self._close)
        bar = (
            click.progressbar(length=round(self.length), label="bad day", file=_terminal())
            if progress
            else None
        )
        if bar is not None:
            with bar:
                self._tick(bar, 0)
                self.reactor.run()
        else:
            self.reactor.run()
        record.close()
        stage.stop()
        if self.errors:
            raise DayError(self.errors[0])
        return self._result(directory)

    def driver_changes(self, name: str, number: int) -> dict[str, dict[str, Any]]:
        """What one driver's settings have beside the day's."""
        return {"driver": {"zone": "north" if number % 2 else "south", "seed": self.seed * 100 + number}}

    def started(self, name: str) -> None:
        """A driver serves, for the first time or anew."""

    def settled(self) -> None:
        """All drivers stand; the day is about to begin."""

    def _tick(self, bar: Any, shown: int) -> None:
        passed = min(round(self.length), int(now() - self.began))
        bar.update(passed - shown)
        if passed < round(self.length):
            self.reactor.callLater(0.5, self._tick, bar, passed)

    # Traffic

    def _next_arrival(self) -> None:
        """Open loop: the next arrival is drawn from the plan's own clock, not from answers."""
        due = now() - self.began
        if due >= self.length or not self.drawing:
            return
        self._arrive()
        self.planned += self.random.expovariate(self.rate * self.factor)
        self.reactor.callLater(max(0.0, self.planned - (now() - self.began)), self._next_arrival)

    def _arrive(self) -> None:
        draw = self.random.random()
        kind = KINDS[-1]
        for candidate in KINDS:
            if draw < candidate.share:
                kind = candidate
                break
            draw -= candidate.share
        driver = self.random.choice(sorted(self.callers))
        session = self.random.choice(self.sessions[driver])
        self.tallies[kind.name].asked += 1
        self._try(kind, driver, session, tries=0, op="", started=now())

    def _try(
        self,
        kind: Kind,
        driver: str,
        session: Session,
        tries: int,
        op: str,
        started: float,
        key: int = 0,
        unsure: bool = False,
    ) -> None:
        self.count += 1
        rid = f"{kind.name}-{self.count}"
        op = op or rid
        writes, keyed = kind.freshness == "write", kind.effect == "keyed"
        station = self.random.randrange(200)
        comment = {"class": kind.name, "rid": rid}
        lsid = {"id": session.lsid}
        if writes:
            document = {"station": station, "op": op}
            command: dict[str, Any] = {"insert": "readings", "documents": [document], "ordered": True}
            if keyed:
                if not key:
                    session.number += 1
                    key = session.number
                command |= {"lsid": lsid, "txnNumber": bson.Int64(key)}
        else:
            command = {"find": "readings", "filter": {"station": station}, "limit": 3, "lsid": lsid}
            if kind.freshness == "session" and session.after is not None:
                command["readConcern"] = {"afterClusterTime": session.after}
        command |= {"$db": "sky", "comment": comment}
        patience = kind.deadline * self.random.uniform(0.4, 1.0)
        if keyed and unsure:  # members forget the key: a try that could run after that is none to make
            patience = max(0.01, min(patience, kind.window - (now() - started)))
        leaves = self.random.random() < 0.02  # half of them before their request can have been read
        ask = Ask(
            rid=rid,
            op=op,
            driver=driver,
            class_name=kind.name,
            command=command,
            patience=patience,
            writes=writes,
            keyed=keyed,
            need=session.last_write if kind.freshness == "session" else None,
            leave_after=max(0.0, self.random.uniform(-0.02, 0.02)) if leaves else None,
        )
        self.under_way += 1

        def done(got: Got) -> None:
            self.under_way -= 1
            if got.verdict == "served" and writes and keyed:
                session.last_write, session.after = rid, got.reply.get("operationTime")
            retry = self.drawing and tries < 1 and self._may_retry(kind, got, now() - started)
            if not retry:
                self._count(kind, got, now() - started)
                return
            wait = got.come_back or self.random.uniform(*RETRY_WAIT)
            other = driver if keyed else self.random.choice(sorted(self.callers))
            self.reactor.callLater(wait, again, other, got.verdict not in ("refused", "unsent"))

        def again(other: str, unsure: bool) -> None:
            if self.drawing:
                self._try(kind, other, session, tries + 1, op, started, key, unsure)
            else:  # the day is over; what came of the first try stands
                self._count(kind, Got(ask, "refused", 0.0), now() - started)

        self.callers[driver].send(ask, done)

    def _may_retry(self, kind: Kind, got: Got, passed: float) -> bool:
        """A refusal and a try that was never made may be tried again; a lost one only where that is safe."""
        if got.verdict in ("refused", "unsent"):
            return True
        if got.verdict == "closed":
            return kind.effect == "safe" or (kind.effect == "keyed" and passed < kind.window / 3)
        return got.verdict == "failed" and kind.effect == "safe"

    def _count(self, kind: Kind, got: Got, passed: float) -> None:
        tally = self.tallies[kind.name]
        if got.verdict == "served":
            tally.times.record_value(max(1, round(passed * 1e6)))
            tally.in_time += passed <= kind.aim
            tally.late += passed > kind.aim
        elif got.verdict in ("refused", "failed"):
            setattr(tally, got.verdict, getattr(tally, got.verdict) + 1)
        else:
            tally.other += 1

    # Troubles

    def _trouble(self, trouble: dict[str, Any]) -> None:
        short = min(1.0, self.length / FULL_LENGTH)
        fields = {k: v for k, v in trouble.items() if k not in ("at", "do")}
        if "for" in fields and fields["for"] >= 1:
            fields["for"] *= short
        if "then" in fields and fields["then"].get("for", 0) >= 1:
            fields["then"] = {**fields["then"], "for": fields["then"]["for"] * short}
        do = trouble["do"]
        if do == "burst":
            self.factor = float(fields.get("factor", 2.0))
            self.reactor.callLater(float(fields.get("for", 2.0)), setattr, self, "factor", 1.0)
            return
        name = f"driver-{fields.get('driver', 1)}"
        if do == "kill":
            self.record("killed", d=name)
            self.stage.drivers[name].kill()
            return
        deferred = self.defer(self._start, name) if do == "start" else self.defer(self._fault, do, fields)
        deferred.addErrback(lambda failure: self.errors.append(failure.getErrorMessage()))

    def _start(self, name: str) -> None:
        self.stage.driver(name)
        self.started(name)
        if self.burners:  # those of its first life still run
            self.burning.beside(self.stage.drivers[name].process.pid, int(name.rpartition("-")[2]), 0)

    def _fault(self, do: str, fields: dict[str, Any]) -> None:
        self.stage.fault(do, **fields)

    def _close(self) -> None:
        """No more arrivals; end when all has been answered, or when nothing more can be."""
        self.drawing = False
        end = now() + 6.0

        def look() -> None:
            if self.under_way and now() < end:
                self.reactor.callLater(0.05, look)
                return
            for caller in self.callers.values():
                caller.close()
            self.reactor.callLater(0.1, self.reactor.stop)

        look()

    # The result

    def _result(self, directory: Path) -> dict[str, Any]:
        records = read_records([directory / "clients.jsonl", directory / "members.jsonl"])
        classes = {k.name: ClassGuarantees(k.freshness, k.max_age, k.effect, k.window) for k in KINDS}
        findings = audit(records, classes, self.figures())
        return {
            "seed": self.seed,
            "length_s": self.length,
            "drivers": self.drivers,
            "members": len(self.settings["members"]),
            "requests": sum(t.asked for t in self.tallies.values()),
            "rules": [f.as_dict() for f in findings],
            "classes": {name: tally.as_dict() for name, tally in self.tallies.items()},
            "reads": _where(records),
            "delays": self._delays(records, directory),
        }

    def _delays(self, records: list[dict[str, Any]], directory: Path) -> dict[str, dict[str, float]]:
        """How late each kind of process was, by its own account, in seconds: longest and mean wait."""
        out = {r["who"]: {"longest": r["longest"], "mean": r["mean"]} for r in records if r["e"] == "delay"}
        told = []
        for log in directory.glob("driver-*.log"):
            for line in log.read_text(encoding="utf-8", errors="replace").splitlines():
                if '"event": "stopped"' in line:
                    told.append(json.loads(line))
        if told:
            longest = max(row["latest_ms"] for row in told) / 1000.0
            mean = sum(row["mean_wait_ms"] for row in told) / len(told) / 1000.0
            out["drivers"] = {"longest": longest, "mean": mean}
            for name in ("too_slow", "hurried", "overdue", "faults"):
                out["drivers"][name] = sum(row[name] for row in told)
        return out

    def figures(self) -> RuleParameters:
        """The figures that the drivers were given, and the audit's slack."""
        from sedgepitch.config.models import RulesModel

        rules = RulesModel.model_validate(self.settings["rules"])
        return RuleParameters(
            rules.drain_grace,
            rules.overload_factor,
            rules.overload_time,
            rules.start_capacity,
            rules.warm_within,
            self.slack,
        )


def _where(records: list[dict[str, Any]]) -> dict[str, dict[str, int]]:
    """Reads served, by class: at the primary of that moment, or at a replica."""
    evidence = RecordIndex(records)
    roles = RoleHistory(evidence)
    out: dict[str, dict[str, int]] = {}
    for rid, ask in evidence.asked.items():
        answer = next((a for a in evidence.answers.get(rid, []) if a["verdict"] == "served"), None)
        if ask["w"] or answer is None or answer.get("m") is None:
            continue
        side = "primary" if roles.primary(0, answer["t"]) == answer["m"] else "replicas"
        row = out.setdefault(ask["cls"], {"primary": 0, "replicas": 0})
        row[side] += 1
    return out


def _terminal() -> Any:
    return sys.stderr


def table(result: dict[str, Any]) -> str:
    """The result as a person reads it."""
    lines = [
        f"{result['requests']} requests in {result['length_s']:g} s, {result['drivers']} drivers, "
        f"{result['members']} members, seed {result['seed']}",
        "",
        f"{'rule':32}{'checked':>9}{'broken':>8}",
    ]
    for rule in result["rules"]:
        name = f"{rule['rule']}. {rule['name']}"
        verdict = "kept" if not rule["broken"] else "BROKEN"
        lines.append(f"{name:32}{rule['checked']:>9}{rule['broken']:>8}  {verdict}")
        lines += [f"     {text}" for text in rule["told"][:5]]
    head = (
        "class",
        "asked",
        "in time",
        "late",
        "refused",
        "failed",
        "left/lost",
        "p50 ms",
        "p99 ms",
        "at replicas",
    )
    columns: list[str] = list(head[1:])
    lines += ["", f"{head[0]:14}" + "".join(f"{name:>12}" for name in columns)]
    for name, row in result["classes"].items():
        where = result["reads"].get(name)
        share = f"{where['replicas'] / max(1, sum(where.values())):.0%}" if where else "-"
        figures = [row[k] for k in ("asked", "in_time", "late", "refused", "failed", "other")]
        times = ["-" if row[k] is None else f"{row[k]:.1f}" for k in ("p50_ms", "p99_ms")]
        lines.append(f"{name:14}" + "".join(f"{value!s:>12}" for value in [*figures, *times, share]))
    lines.append("")
    for who, row in sorted(result["delays"].items()):
        more = ", ".join(
            f"{row[k]:g} {k}" for k in ("too_slow", "hurried", "overdue", "faults") if row.get(k)
        )
        text = (
            f"{who} were at most {row['longest'] * 1000:.0f} ms late, {row['mean'] * 1000:.2f} ms in the mean"
        )
        lines.append(text + (f"; {more}" if more else ""))
    return "\n".join(lines)
