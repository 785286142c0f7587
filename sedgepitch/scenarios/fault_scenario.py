"""A scripted fault scenario on loopback: proxies, emulated servers and clients, with an audit at the end.

The same seed and script give the same requests at the same planned times and the same faults. The timing of
responses still depends on the machine.
"""

from __future__ import annotations

import json
import random
import sys
import tempfile
from importlib.resources import files
from pathlib import Path
from typing import Any

import bson
import click
import yaml

from sedgepitch.audit.findings import ClassGuarantees, RuleParameters
from sedgepitch.audit.records import read as read_records
from sedgepitch.audit.rules import audit
from sedgepitch.emulator.recorder import Recorder
from sedgepitch.scenarios.errors import ScenarioError
from sedgepitch.scenarios.load_generator import ClientAttempt, ClientOutcome, LoadClient, now
from sedgepitch.scenarios.processes import CpuLoad, ProcessError, Stage
from sedgepitch.scenarios.report import reads_by_side
from sedgepitch.scenarios.traffic import KINDS, PROXIES, RequestKind, Session, Tally, scenario_settings

REQUESTS_PER_S = 240.0  # requests per second over all proxies, outside a burst
SESSIONS = 40  # per proxy
STATIONS = 200  # distinct values of the field that reads filter by
DISCONNECT_SHARE = 0.02  # share of attempts whose client disconnects before the response
SCRIPT_LENGTH_S = 40.0  # s; the scenario length that the script's `for` values refer to
RETRY_WAIT_S = (0.1, 0.3)  # s before a client's retry if the response carried no retry-after


class FaultScenario:
    """One fault scenario. `run` may be called once per process: it starts and stops the Twisted reactor."""

    def __init__(  # noqa: PLR0913  # the command's options, passed by keyword
        self,
        seed: int = 1,
        length: float = SCRIPT_LENGTH_S,
        script: str | None = None,
        keep: str | None = None,
        driver_module: str = "sedgepitch",
        rate: float = REQUESTS_PER_S,
        slack: float = 0.25,
        settings: dict[str, Any] | None = None,
        cpu_load_processes: int = 0,
        drivers: int = PROXIES,
    ) -> None:
        self.drivers = drivers
        self.seed, self.length, self.keep, self.cpu_load_processes = seed, length, keep, cpu_load_processes
        self.random = random.Random(seed)
        self.driver_module, self.rate, self.slack = driver_module, rate, slack
        self.settings = settings or scenario_settings()
        self.faults = self._script(script)
        self.tallies = {kind.name: Tally() for kind in KINDS}
        self.clients: dict[str, LoadClient] = {}
        self.sessions: dict[str, list[Session]] = {}
        self.rate_factor = 1.0
        self.count = 0
        self.planned = 0.0
        self.reactor: Any = None
        self.in_flight = 0
        self.accepting = True
        self.errors: list[str] = []
        self.cpu_load = CpuLoad(length + 30.0)

    def _script(self, path: str | None) -> list[dict[str, Any]]:
        try:
            if path is None:
                text = (
                    files("sedgepitch.scenarios").joinpath("fault_scenario.yaml").read_text(encoding="utf-8")
                )
            else:
                text = Path(path).read_text(encoding="utf-8")
            raw = yaml.safe_load(text)
            faults = [dict(t) for t in raw["troubles"]]
            for part, values in (raw.get("settings") or {}).items():
                self.settings[part] = {**self.settings.get(part, {}), **values}
            self.rate = float(raw.get("rate", self.rate))
            for number, fault_step in enumerate(faults, 1):
                if not (0 <= float(fault_step["at"]) <= 1) or not isinstance(fault_step["do"], str):
                    raise ScenarioError(
                        f"{path}: trouble {number}: 'at' must be between 0 and 1 and 'do' a string"
                    )
            return faults
        except (OSError, yaml.YAMLError, KeyError, TypeError, ValueError) as error:
            raise ScenarioError(f"{path}: {str(error).splitlines()[0]}") from None

    def run(self, progress: bool = False) -> dict[str, Any]:
        """Run the scenario; raise ScenarioError if a process does not start."""
        with tempfile.TemporaryDirectory() as scratch:
            directory = Path(self.keep or scratch)
            directory.mkdir(parents=True, exist_ok=True)
            try:
                stage = Stage(self.settings, directory, self.driver_module)
            except ProcessError as error:
                raise ScenarioError(str(error)) from None
            try:
                return self._play(stage, directory, progress)
            except ProcessError as error:
                raise ScenarioError(str(error)) from None
            finally:
                stage.stop()
                self.cpu_load.stop()

    def _play(self, stage: Stage, directory: Path, progress: bool) -> dict[str, Any]:
        from twisted.internet import reactor
        from twisted.internet.threads import deferToThread

        self.reactor = reactor
        self.stage, self.defer = stage, deferToThread
        record = self.record = Recorder(str(directory / "clients.jsonl"), "clients")
        for number in range(1, self.drivers + 1):
            name = f"driver-{number}"
            address = stage.driver(name, **self.proxy_settings(name, number))
            self.on_proxy_started(name)
            self.clients[name] = LoadClient(reactor, name, address, record)
            if self.cpu_load_processes:
                self.cpu_load.beside(stage.drivers[name].process.pid, number, self.cpu_load_processes)
            self.sessions[name] = [
                Session(bson.Binary(self.random.randbytes(16), 4)) for _ in range(SESSIONS)
            ]
        self.on_all_started()
        self.began = now()
        for fault_step in self.faults:
            self.reactor.callLater(float(fault_step["at"]) * self.length, self._start_fault, fault_step)
        self.reactor.callLater(0.0, self._next_arrival)
        self.reactor.callLater(self.length, self._close)
        bar = (
            click.progressbar(length=round(self.length), label="fault scenario", file=sys.stderr)
            if progress
            else None
        )
        if bar is not None:
            with bar:
                self._update_progress(bar, 0)
                self.reactor.run()
        else:
            self.reactor.run()
        record.close()
        stage.stop()
        if self.errors:
            raise ScenarioError(self.errors[0])
        return self._result(directory)

    def proxy_settings(self, name: str, number: int) -> dict[str, dict[str, Any]]:  # noqa: ARG002  # for subclasses
        """Return the settings of one proxy that differ from the scenario's."""
        return {"driver": {"zone": "north" if number % 2 else "south", "seed": self.seed * 100 + number}}

    def on_proxy_started(self, name: str) -> None:
        """Called when a proxy listens, after its first start and after each restart."""

    def on_all_started(self) -> None:
        """Called once when all proxies listen, before the first request."""

    def _update_progress(self, bar: Any, shown: int) -> None:
        passed = min(round(self.length), int(now() - self.began))
        bar.update(passed - shown)
        if passed < round(self.length):
            self.reactor.callLater(0.5, self._update_progress, bar, passed)

    # Traffic

    def _next_arrival(self) -> None:
        """Send a request and schedule the next arrival; an open loop, independent of the responses."""
        due = now() - self.began
        if due >= self.length or not self.accepting:
            return
        self._arrive()
        self.planned += self.random.expovariate(self.rate * self.rate_factor)
        self.reactor.callLater(max(0.0, self.planned - (now() - self.began)), self._next_arrival)

    def _arrive(self) -> None:
        draw = self.random.random()
        kind = KINDS[-1]
        for candidate in KINDS:
            if draw < candidate.share:
                kind = candidate
                break
            draw -= candidate.share
        proxy = self.random.choice(sorted(self.clients))
        session = self.random.choice(self.sessions[proxy])
        self.tallies[kind.name].asked += 1
        self._send_attempt(kind, proxy, session, retries=0, op="", started=now())

    def _send_attempt(
        self,
        kind: RequestKind,
        proxy: str,
        session: Session,
        retries: int,
        op: str,
        started: float,
        key: int = 0,
        may_have_run_before: bool = False,
    ) -> None:
        """Make one attempt of a request; `may_have_run_before` refers to earlier attempts."""
        self.count += 1
        rid = f"{kind.name}-{self.count}"
        op = op or rid
        if kind.keyed and not key:
            session.number += 1
            key = session.number
        command = self._command(kind, session, rid, op, key)
        attempt = self._attempt(kind, proxy, session, rid, op, command, may_have_run_before, started)
        self.in_flight += 1

        def done(outcome: ClientOutcome) -> None:
            self.in_flight -= 1
            if outcome.verdict == "served" and kind.keyed:
                session.last_write = rid
                session.after = outcome.reply.get("operationTime")
            retry = self.accepting and retries < 1 and self._may_retry(kind, outcome, now() - started)
            if not retry:
                self._count(kind, outcome, now() - started)
                return
            wait_s = outcome.retry_after or self.random.uniform(*RETRY_WAIT_S)
            other = proxy if kind.keyed else self.random.choice(sorted(self.clients))
            self.reactor.callLater(wait_s, again, other, outcome.verdict not in ("refused", "unsent"))

        def again(other: str, may_have_run: bool) -> None:
            if self.accepting:
                self._send_attempt(kind, other, session, retries + 1, op, started, key, may_have_run)
            else:  # the scenario has ended: the request counts as refused, without a retry
                self._count(kind, ClientOutcome(attempt, "refused", 0.0), now() - started)

        self.clients[proxy].send(attempt, done)

    def _command(self, kind: RequestKind, session: Session, rid: str, op: str, key: int) -> dict[str, Any]:
        """Return the MongoDB command of one attempt."""
        station = self.random.randrange(STATIONS)
        session_id = {"id": session.lsid}
        if kind.writes:
            document = {"station": station, "op": op}
            command: dict[str, Any] = {"insert": "readings", "documents": [document], "ordered": True}
            if kind.keyed:
                command |= {"lsid": session_id, "txnNumber": bson.Int64(key)}
        else:
            command = {"find": "readings", "filter": {"station": station}, "limit": 3, "lsid": session_id}
            if kind.freshness == "session" and session.after is not None:
                command["readConcern"] = {"afterClusterTime": session.after}
        return command | {"$db": "sky", "comment": {"class": kind.name, "rid": rid}}

    def _attempt(
        self,
        kind: RequestKind,
        proxy: str,
        session: Session,
        rid: str,
        op: str,
        command: dict[str, Any],
        may_have_run_before: bool,
        started: float,
    ) -> ClientAttempt:
        """Return one attempt, with the client's time-out and the time at which it disconnects, if it does."""
        timeout_s = kind.deadline * self.random.uniform(0.4, 1.0)
        if kind.keyed and may_have_run_before:
            # After the deduplication window the servers no longer recognize the key: an attempt that ran
            # then could take effect a second time.
            timeout_s = max(0.01, min(timeout_s, kind.window - (now() - started)))
        # Half of these clients disconnect at once, before the proxy can have read the request.
        disconnects = self.random.random() < DISCONNECT_SHARE
        return ClientAttempt(
            rid=rid,
            op=op,
            driver=proxy,
            class_name=kind.name,
            command=command,
            timeout_s=timeout_s,
            writes=kind.writes,
            keyed=kind.keyed,
            need=session.last_write if kind.freshness == "session" else None,
            leave_after=max(0.0, self.random.uniform(-0.02, 0.02)) if disconnects else None,
        )

    def _may_retry(self, kind: RequestKind, outcome: ClientOutcome, elapsed: float) -> bool:
        """Return whether the client retries: if nothing ran, or if a second run does no harm."""
        if outcome.verdict in ("refused", "unsent"):
            return True
        if outcome.verdict == "closed":
            return kind.effect == "safe" or (kind.effect == "keyed" and elapsed < kind.window / 3)
        return outcome.verdict == "failed" and kind.effect == "safe"

    def _count(self, kind: RequestKind, outcome: ClientOutcome, elapsed: float) -> None:
        tally = self.tallies[kind.name]
        if outcome.verdict == "served":
            tally.times.record_value(max(1, round(elapsed * 1e6)))
            tally.in_time += elapsed <= kind.aim
            tally.late += elapsed > kind.aim
        elif outcome.verdict in ("refused", "failed"):
            setattr(tally, outcome.verdict, getattr(tally, outcome.verdict) + 1)
        else:
            tally.other += 1

    # Faults

    def _start_fault(self, fault_step: dict[str, Any]) -> None:
        time_scale = min(1.0, self.length / SCRIPT_LENGTH_S)
        fields = {k: v for k, v in fault_step.items() if k not in ("at", "do")}
        if "for" in fields and fields["for"] >= 1:
            fields["for"] *= time_scale
        if "then" in fields and fields["then"].get("for", 0) >= 1:
            fields["then"] = {**fields["then"], "for": fields["then"]["for"] * time_scale}
        do = fault_step["do"]
        if do == "burst":
            self.rate_factor = float(fields.get("factor", 2.0))
            self.reactor.callLater(float(fields.get("for", 2.0)), setattr, self, "rate_factor", 1.0)
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
        self.on_proxy_started(name)
        if self.cpu_load_processes:  # the load processes of the previous proxy process still run on that core
            self.cpu_load.beside(self.stage.drivers[name].process.pid, int(name.rpartition("-")[2]), 0)

    def _fault(self, do: str, fields: dict[str, Any]) -> None:
        self.stage.fault(do, **fields)

    def _close(self) -> None:
        """Stop new requests, and stop the reactor when none is in flight, after 6 s at the latest."""
        self.accepting = False
        end = now() + 6.0

        def stop_when_idle() -> None:
            if self.in_flight and now() < end:
                self.reactor.callLater(0.05, stop_when_idle)
                return
            for client in self.clients.values():
                client.close()
            self.reactor.callLater(0.1, self.reactor.stop)

        stop_when_idle()

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
            "reads": reads_by_side(records),
            "delays": self._delays(records, directory),
        }

    def _delays(self, records: list[dict[str, Any]], directory: Path) -> dict[str, dict[str, float]]:
        """Return the delays in seconds, longest and mean, that each kind of process measured of itself."""
        out = {r["who"]: {"longest": r["longest"], "mean": r["mean"]} for r in records if r["e"] == "delay"}
        stopped_events = []
        for log in directory.glob("driver-*.log"):
            for line in log.read_text(encoding="utf-8", errors="replace").splitlines():
                if '"event": "stopped"' in line:
                    stopped_events.append(json.loads(line))
        if stopped_events:
            longest = max(row["max_lag_ms"] for row in stopped_events) / 1000.0
            mean = sum(row["mean_lag_ms"] for row in stopped_events) / len(stopped_events) / 1000.0
            out["drivers"] = {"longest": longest, "mean": mean}
            counters = {
                "too_slow": "rejected_for_lag",
                "hurried": "answered_early",
                "overdue": "overdue",
                "faults": "callback_errors",
            }
            for name, field_name in counters.items():
                out["drivers"][name] = sum(row[field_name] for row in stopped_events)
        return out

    def figures(self) -> RuleParameters:
        """Return the audit's parameters: the proxies' settings and the slack."""
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
