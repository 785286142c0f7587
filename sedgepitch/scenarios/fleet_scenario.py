"""A scripted day of a fleet on loopback: drivers that know each other, members in zones, troubles between.

The day's clients, stand-ins and audit are those of the bad day. Added are zones, links between the drivers,
troubles that befall a zone or several drivers, and what the records say of how the fleet behaved together:
requests that went on to a zone that was lost, when the first and the last driver left it, and what was served
in time meanwhile.

What befalls members is done by the stand-ins themselves (`cut` takes messages of some drivers and answers
nothing); what befalls peers is done on links, one from each zone to each driver.
"""

from __future__ import annotations

import json
import os
import re
import signal
import subprocess
import sys
import threading
import time
from importlib.resources import files
from pathlib import Path
from typing import Any, Literal

import yaml
from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from sedgepitch.peers.keys import load_keys, new_key_file
from sedgepitch.scenarios.fault_scenario import BadDay, DayError, Kind, day_settings, table
from sedgepitch.scenarios.load_generator import Got, now
from sedgepitch.scenarios.network_links import Link
from sedgepitch.scenarios.peer_processes import processor_time

PATIENCE = 30.0  # s that a step waits at most for what has to be said before it
LOOK = 0.2  # s between looks at what was said
WORTH = {"upload": 6.0, "note": 2.0, "own-read": 3.0, "map-read": 3.0}  # as the example settings say; else 1


class Step(BaseModel):
    """One trouble. `at` and `for` are seconds of the script's own day."""

    model_config = ConfigDict(extra="forbid", frozen=True, populate_by_name=True)

    at: float = Field(ge=0)
    do: Literal[
        "lose", "crash", "slow", "lag", "drain", "cut", "cut_peers", "lossy_peers", "garbage", "burst",
        "kill", "start", "freeze", "leave", "return",
    ]  # fmt: skip
    lasts: float = Field(0.0, ge=0, alias="for")
    zone: str = ""
    part: float = Field(1.0, gt=0, le=1)  # of the zone's members, or of the drivers
    origin: str = Field("", alias="from")
    to: str = ""
    drivers: list[int] = []
    factor: float = Field(10.0, gt=0)
    each: float = Field(0.0, ge=0)  # s between one member and the next
    once: Literal["", "left", "returning"] = ""  # not before most drivers have said so of the zone


class Script(BaseModel):
    """A whole day."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    length: float = Field(60.0, gt=0, le=600)
    drivers: int = Field(12, ge=1, le=64)
    members: int = Field(9, ge=2, le=60)
    zones: list[str] = Field(["north", "middle", "south"], min_length=1, max_length=6)
    rate: float = Field(240.0, gt=0, le=2000)
    settings: dict[str, dict[str, Any]] = {}
    wrong_key: list[int] = []  # drivers whose key file is another
    beside: list[
        str
    ] = []  # Python's arguments for other peers; {name}, {key}, {seed} are put in, routes added
    steps: list[Step] = Field([], max_length=200)

    @model_validator(mode="after")
    def _names(self) -> Script:
        for number, step in enumerate(self.steps, 1):
            for name in (step.zone, step.origin, step.to):
                if name and name not in self.zones:
                    raise ValueError(f"step {number}: there is no zone '{name}'")
            if step.do in ("lose", "crash", "slow", "lag", "drain", "leave", "return") and not step.zone:
                raise ValueError(f"step {number}: '{step.do}' needs a zone")
            if step.once and not step.zone:
                raise ValueError(f"step {number}: 'once' needs a zone")
            if step.do == "cut" and not (step.origin and step.to):
                raise ValueError(f"step {number}: a cut needs 'from' and 'to'")
            if any(not 1 <= d <= self.drivers for d in step.drivers):
                raise ValueError(f"step {number}: drivers are 1 to {self.drivers}")
        return self


def read_script(path: str | None) -> Script:
    """Read a script, or the one that comes with the package. Raises DayError with its place."""
    try:
        if path is None:
            text = files("sedgepitch.scenarios").joinpath("fleet_scenario.yaml").read_text(encoding="utf-8")
        else:
            text = Path(path).read_text(encoding="utf-8")
        return Script.model_validate(yaml.safe_load(text))
    except ValidationError as error:
        first = error.errors()[0]
        place = ".".join(str(p) for p in first["loc"])
        raise DayError(f"{path}: {place}: {first['msg']}") from None
    except (OSError, yaml.YAMLError) as error:
        raise DayError(f"{path}: {str(error).splitlines()[0]}") from None


def _last_address(log: Path, event: str) -> str:
    """Where the last life of a driver said that it listens."""
    lines = [x for x in log.read_text(encoding="utf-8", errors="replace").splitlines() if f'"{event}"' in x]
    if not lines:
        raise DayError(f"{log.name}: nothing said of {event}")
    return str(json.loads(lines[-1])["address"])


class FleetDay(BadDay):
    """One day. `together` is whether drivers act on zones together; else each acts alone."""

    def __init__(
        self,
        script: Script,
        seed: int = 1,
        together: bool = True,
        told: bool = False,
        keep: str | None = None,
        drivers: int | None = None,
        slack: float = 0.25,
    ) -> None:
        self.script, self.together, self.told = script, together, told
        count = drivers or script.drivers
        settings = day_settings()
        zones = script.zones
        settings["members"] = [
            {"id": n + 1, "address": "127.0.0.1:0", "zone": zones[n % len(zones)], "primary": n == 0}
            for n in range(script.members)
        ]
        settings["module"] = {"drivers": count}
        settings.pop("door", None)
        for part, values in script.settings.items():
            settings[part] = {**settings.get(part, {}), **values}
        super().__init__(
            seed, script.length, keep=keep, rate=script.rate, slack=slack, settings=settings, drivers=count
        )
        self.troubles = []
        self.zone_of = {f"driver-{n}": zones[(n - 1) % len(zones)] for n in range(1, count + 1)}
        self.links: dict[tuple[str, str], Link] = {}
        self.metrics: dict[str, str] = {}
        self.outcomes: list[tuple[float, bool, float]] = []  # when it began, in time, worth
        self.key = Path()
        self.frozen: set[str] = set()
        self.used: dict[str, tuple[int, float]] = {}
        self.cores = 0.0
        self.processes: list[subprocess.Popen[bytes]] = []

    # Setting up

    def _play(self, stage: Any, directory: Path, progress: bool) -> dict[str, Any]:
        self.key = directory / "peers.key"
        self.key.unlink(missing_ok=True)
        new_key_file(self.key)
        self.directory = directory
        try:
            if self.together:
                for origin in self.script.zones:
                    for name in self.zone_of:  # they lead nowhere until the driver has a port
                        self.links[origin, name] = Link("127.0.0.1:9", seed=self.seed)
            return super()._play(stage, directory, progress)
        finally:
            for process in self.processes:
                process.kill()
                process.wait()
            for link in self.links.values():
                link.close()

    def driver_changes(self, name: str, number: int) -> dict[str, Any]:
        """Its zone, and how it reaches the other drivers: over the links from its zone."""
        zone = self.zone_of[name]
        changes: dict[str, Any] = {"driver": {"zone": zone, "seed": self.seed * 100 + number}}
        self.stage.settings["metrics"] = "127.0.0.1:0"
        if self.together:
            routes = {n: self.links[zone, n].address for n in self.zone_of if n != name}
            key = self.key
            if number in self.script.wrong_key:
                key = self.key.with_name(f"{name}.key")
                key.unlink(missing_ok=True)
                new_key_file(key)
            changes["peers"] = {
                "listen": "127.0.0.1:0",
                "key_file": str(key),
                "seeds": [address for n, address in routes.items() if n in ("driver-1", "driver-2")],
                "routes": routes,
            }
            changes["zones"] = {}
        return changes

    def started(self, name: str) -> None:
        """Lead its links to the ports of its present life."""
        log = self.directory / f"{name}.log"
        self.metrics[name] = _last_address(log, "metrics.listening")
        for (_, to), link in self.links.items():
            if to == name:
                link.lead(_last_address(log, "peers.listening"))

    def settled(self) -> None:
        """Wait until all know each other, then have the steps."""
        if self.together:
            end = now() + 60.0
            able = [n for n in self.zone_of if int(n.rpartition("-")[2]) not in self.script.wrong_key]
            while not all(len(self._alive(n)) == len(able) for n in able):
                if now() > end:
                    raise DayError("the drivers did not find each other within 60 s")
        for number, command in enumerate(self.script.beside, 1):
            self._beside(f"beside-{number}", command)
        self.used = self._used()
        for step in self.script.steps:
            self.reactor.callLater(step.at, self._due, step, now() + step.at + PATIENCE)

    def _used(self) -> dict[str, tuple[int, float]]:
        """Seconds of processor time by driver, with its process."""
        held = {n: p.process.pid for n, p in self.stage.drivers.items() if p.process.poll() is None}
        return {n: (pid, processor_time(pid)) for n, pid in held.items()}

    def _beside(self, name: str, command: str) -> None:
        """Another process that knows the key, told where the drivers are; it ends with the day."""
        links = [f"{n}={self.links[self.script.zones[0], n].address}" for n in self.zone_of]
        first = links[0].partition("=")[2]
        arguments = [a.format(name=name, key=self.key, seed=first) for a in command.split()]
        log = (self.directory / f"{name}.log").open("ab")
        started = subprocess.Popen([sys.executable, *arguments, *links], stdout=log, stderr=log)
        log.close()
        self.processes.append(started)

    def _alive(self, name: str) -> list[str]:
        from urllib.request import urlopen

        with urlopen(f"http://{self.metrics[name]}/peers", timeout=30) as answer:
            told = json.load(answer)
        return [name, *(p["name"] for p in told["peers"] if p["life"] == "alive")]

    # Steps

    def _members(self, zone: str, part: float) -> list[int]:
        there = [m["id"] for m in self.settings["members"] if m["zone"] == zone]
        return there[: max(1, round(part * len(there)))]

    def _whom(self, step: Step) -> list[str]:
        """The drivers that a step names: by number, or a part of those of a zone, or of all."""
        if step.drivers:
            return [f"driver-{n}" for n in step.drivers if n <= self.drivers]
        able = [n for n, zone in self.zone_of.items() if step.zone in ("", zone)]
        return able[: max(1, round(step.part * len(able)))]

    def _due(self, step: Step, by: float) -> None:
        """Do a step; one that comes once something was said waits for that, and the day fails without it."""
        told = zone_events(self.directory) if step.once else []
        said = {e["driver"] for e in told if (e["state"], e["zone"]) == (step.once, step.zone)}
        if not step.once or 2 * len(said) > self.drivers:
            self._step(step)
        elif now() > by:
            self.errors.append(f"most drivers never were {step.once} with {step.zone}")
        else:
            self.reactor.callLater(LOOK, self._due, step, by)

    def _step(self, step: Step) -> None:
        self.record("step", **step.model_dump(by_alias=True))
        do, lasts = step.do, step.lasts
        if do in ("lose", "crash", "slow", "lag", "drain"):
            members = self._members(step.zone, step.part)
            for index, member in enumerate(members):
                self.reactor.callLater(index * step.each, self._befall, do, member, lasts, step.factor)
            if do == "lose" and self.told:  # the yardstick: discovery says so at that moment
                for member in members:
                    self._do("drain", member=member, **{"for": lasts})
        elif do == "cut":
            for member in self._members(step.to, step.part):
                for name in [n for n, zone in self.zone_of.items() if zone == step.origin]:
                    self._do("cut", member=member, driver=name, **{"for": lasts})
        elif do in ("cut_peers", "lossy_peers", "garbage"):
            self._harm(step, True)
            if lasts:
                self.reactor.callLater(lasts, self._harm, step, False)
        elif do == "burst":
            self.factor = step.factor
            self.reactor.callLater(lasts, setattr, self, "factor", 1.0)
        elif do in ("leave", "return"):
            name = self._whom(step)[0]
            self._later(self._order, name, step)
        elif do == "kill":
            for name in self._whom(step):
                self.record("killed", d=name)
                self.stage.drivers[name].kill()
        elif do == "start":
            for name in self._whom(step):
                self._later(self._start, name)
        elif do == "freeze":
            for name in self._whom(step):
                self.record("frozen", d=name)
                self.stage.drivers[name].process.send_signal(signal.SIGSTOP)
                self.frozen.add(name)
                self.reactor.callLater(lasts, self._wake, name)

    def _wake(self, name: str) -> None:
        if name in self.frozen:
            self.frozen.discard(name)
            self.stage.drivers[name].process.send_signal(signal.SIGCONT)
            self.record("woken", d=name)

    def _befall(self, do: str, member: int, lasts: float, factor: float) -> None:
        if do == "lose":
            self._do("cut", member=member, driver="*", **{"for": lasts})
        else:
            more = {} if do in ("crash", "drain") else {"factor": factor}
            self._do(do, member=member, **more, **{"for": lasts})

    def _harm(self, step: Step, on: bool) -> None:
        """Links from one zone to another, or all of them."""
        for (origin, name), link in self.links.items():
            if step.origin not in ("", origin) or step.to not in ("", self.zone_of[name]):
                continue
            if step.do == "cut_peers" and origin != self.zone_of[name]:
                link.cut = on
                link.cut_streams(on)
            elif step.do == "lossy_peers":
                link.loss, link.doubled, link.delay = (0.2, 0.1, 0.1) if on else (0.0, 0.0, 0.0)
            elif step.do == "garbage" and on:
                threading.Thread(target=self._throw, args=(link, step.lasts), daemon=True).start()

    def _throw(self, link: Link, lasts: float) -> None:
        """Garbage and what was sent before, over and over."""
        end, count = now() + lasts, 0
        while now() < end and not link.closed:
            kept = link.kept[count % max(1, len(link.kept))] if link.kept else b""
            link.send(os.urandom(200) if count % 2 else kept or b"?")
            count += 1
            if count % 20 == 0:
                time.sleep(0.01)

    def _order(self, name: str, step: Step) -> None:
        """What `sedgepitch zone` does, once."""
        from urllib.request import Request, urlopen

        url = f"http://{self.metrics[name]}/zones"
        with urlopen(url, timeout=30) as answer:
            number = json.load(answer)["number"]
        order = {"zone": step.zone, "what": step.do, "within": step.lasts, "number": number}
        data = load_keys(self.key).seal(json.dumps(order).encode())
        with urlopen(Request(url, data=data, method="POST"), timeout=30):
            pass

    def _do(self, do: str, **fields: Any) -> None:
        self._later(self._fault, do, fields)

    def _later(self, call: Any, *args: Any) -> None:
        """Off the reactor's thread; what fails ends the day with its reason."""
        self.defer(call, *args).addErrback(lambda failure: self.errors.append(failure.getErrorMessage()))

    def _close(self) -> None:
        for name in list(self.frozen):
            self._wake(name)
        spent = [
            t - self.used[n][1] for n, (pid, t) in self._used().items() if self.used.get(n, (0,))[0] == pid
        ]
        self.cores = sum(spent) / len(spent) / (now() - self.began) if spent else 0.0
        super()._close()

    # What came of it

    def _count(self, kind: Kind, got: Got, passed: float) -> None:
        super()._count(kind, got, passed)
        good = got.verdict == "served" and passed <= kind.aim
        self.outcomes.append((now() - passed, good, WORTH.get(kind.name, 1.0)))

    def _result(self, directory: Path) -> dict[str, Any]:
        result = super()._result(directory)
        events = zone_events(directory)
        result["zones"] = self._zones(directory, events)
        result["cores"] = round(self.cores, 5)  # of a core, the mean of drivers that lived through the day
        result["events"] = [
            {k: e[k] for k in ("driver", "zone", "state", "share")}
            | {"why": e["reason"], "at": round(e["at"] - self.began, 3), "of": self.zone_of[e["driver"]]}
            for e in events
        ]
        return result

    def worth(self, begin: float, end: float) -> float:
        """The share of the worth of what began between two times that was served in time."""
        there = [(good, worth) for at, good, worth in self.outcomes if begin <= at < end]
        total = sum(w for _, w in there)
        return sum(w for good, w in there if good) / total if total else 0.0

    def _zones(self, directory: Path, events: list[dict[str, Any]]) -> list[dict[str, Any]]:
        """For each trouble of a zone: who left it and came back when, and what went there meanwhile."""
        zone_at = {m["id"]: m["zone"] for m in self.settings["members"]}
        unseen = [
            (r["t"], r["d"], zone_at[r["m"]])
            for r in _records(directory / "members.jsonl")
            if r["e"] == "unseen"
        ]
        rows = []
        steps = [r for r in _records(directory / "clients.jsonl") if r["e"] == "step"]
        for step in steps:
            zone = step["to"] if step["do"] == "cut" else step["zone"]
            if step["do"] not in ("lose", "crash", "cut", "slow", "leave") or not zone:
                continue
            begin, end = step["t"], step["t"] + (step["for"] or 4.0)
            left = [
                e["at"] - begin
                for e in events
                if e["zone"] == zone and e["state"] == "left" and begin <= e["at"] < end
            ]
            back = [
                e["at"] - end
                for e in events
                if e["zone"] == zone and e["state"] == "normal" and e["at"] >= end
            ]
            sent = sorted(t - begin for t, _, where in unseen if where == zone and begin <= t < end)
            rows.append(
                {
                    "do": step["do"],
                    "zone": zone,
                    "at": round(begin - self.began, 2),
                    "left": len(left),
                    "first_left_s": round(min(left), 3) if left else None,
                    "last_left_s": round(max(left), 3) if left else None,
                    "back_last_s": round(max(back[: len(left)]), 3) if back and left else None,
                    "sent_in_vain": len(sent),
                    "in_vain_95_s": round(sent[int(0.95 * (len(sent) - 1))], 3) if sent else None,
                    "worth_during": round(self.worth(begin, end), 4),
                    "worth_before": round(self.worth(begin - 4.0, begin), 4),
                    "worth_after": round(self.worth(end, end + 6.0), 4),
                }
            )
        return rows


def _records(path: Path) -> list[dict[str, Any]]:
    out = []
    for line in path.read_text(encoding="utf-8").splitlines():
        try:
            out.append(json.loads(line))
        except ValueError:
            continue  # the last line of one that was killed
    return out


ZONE_LINE = re.compile(r'"event": "zone\.state_changed"')


def zone_events(directory: Path) -> list[dict[str, Any]]:
    """What the drivers said of zones in their logs, in order; times on the machine's monotonic clock."""
    events = []
    for log in sorted(directory.glob("driver-*.log")):
        for line in log.read_text(encoding="utf-8", errors="replace").splitlines(keepends=True):
            if ZONE_LINE.search(line) and line.endswith("\n"):  # the last may be half written
                told = json.loads(line)
                events.append({**told, "driver": log.stem})
    return sorted(events, key=lambda e: e["at"])


def fleet_table(result: dict[str, Any]) -> str:
    """The result as a person reads it."""
    heads = ("trouble", "zone", "at s", "left by", "first s", "last s", "95% away s", "in vain", "back s")
    widths = (10, 10, 7, 8, 9, 9, 11, 8, 8)
    lines = [
        table(result),
        "",
        "".join(f"{h:>{w}}" for h, w in zip(heads, widths, strict=True))
        + "   worth in time: before, during, after",
    ]
    for row in result["zones"]:
        cells = (
            row["do"], row["zone"], row["at"], row["left"], row["first_left_s"], row["last_left_s"],
            row["in_vain_95_s"], row["sent_in_vain"], row["back_last_s"],
        )  # fmt: skip
        text = "".join(f"{'-' if c is None else c:>{w}}" for c, w in zip(cells, widths, strict=True))
        lines.append(
            f"{text}   {row['worth_before']:.3f}, {row['worth_during']:.3f}, {row['worth_after']:.3f}"
        )
    return "\n".join(lines)
