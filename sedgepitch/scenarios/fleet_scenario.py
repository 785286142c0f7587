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
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from sedgepitch.peers.keys import load_keys, new_key_file
from sedgepitch.scenarios.errors import ScenarioError
from sedgepitch.scenarios.fault_scenario import FaultScenario
from sedgepitch.scenarios.fleet_script import Script, Step
from sedgepitch.scenarios.load_generator import ClientOutcome, now
from sedgepitch.scenarios.network_links import Link
from sedgepitch.scenarios.peer_processes import processor_time
from sedgepitch.scenarios.traffic import RequestKind, scenario_settings
from sedgepitch.scenarios.zone_report import WeightedOutcome, zone_events, zone_rows

STEP_WAIT_MAX_S = 30.0  # s that a step waits at most for what has to be said before it
POLL_INTERVAL_S = 0.2  # s between looks at what was said
PRIORITY_WEIGHTS = {
    "upload": 6.0,
    "note": 2.0,
    "own-read": 3.0,
    "map-read": 3.0,
}  # as the example settings say; else 1


def _last_address(log: Path, event: str) -> str:
    """Where the last life of a driver said that it listens."""
    lines = [x for x in log.read_text(encoding="utf-8", errors="replace").splitlines() if f'"{event}"' in x]
    if not lines:
        raise ScenarioError(f"{log.name}: nothing said of {event}")
    return str(json.loads(lines[-1])["address"])


class FleetScenario(FaultScenario):
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
        settings = scenario_settings()
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
        self.faults = []
        self.zone_of = {f"driver-{n}": zones[(n - 1) % len(zones)] for n in range(1, count + 1)}
        self.links: dict[tuple[str, str], Link] = {}
        self.metrics: dict[str, str] = {}
        self.outcomes: list[WeightedOutcome] = []
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
                    raise ScenarioError("the drivers did not find each other within 60 s")
        for number, command in enumerate(self.script.beside, 1):
            self._beside(f"beside-{number}", command)
        self.used = self._used()
        for step in self.script.steps:
            self.reactor.callLater(step.at, self._due, step, now() + step.at + STEP_WAIT_MAX_S)

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

    def _proxies_of(self, step: Step) -> list[str]:
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
            self.reactor.callLater(POLL_INTERVAL_S, self._due, step, by)

    def _step(self, step: Step) -> None:
        """Carry out one step, whose kind has a method of its own."""
        self.record("step", **step.model_dump(by_alias=True))
        handlers: dict[str, Callable[[Step], None]] = {
            "cut": self._partition_endpoints,
            "cut_peers": self._harm_links_for_a_while,
            "lossy_peers": self._harm_links_for_a_while,
            "garbage": self._harm_links_for_a_while,
            "burst": self._burst,
            "leave": self._command_zone,
            "return": self._command_zone,
            "kill": self._kill_proxies,
            "start": self._start_proxies,
            "freeze": self._suspend_proxies,
        }
        handlers.get(step.do, self._fault_zone)(step)

    def _fault_zone(self, step: Step) -> None:
        """Give each endpoint of a part of a zone the same fault, one after another."""
        members = self._members(step.zone, step.part)
        for index, member in enumerate(members):
            self.reactor.callLater(
                index * step.each, self._inject_fault, step.do, member, step.lasts, step.factor
            )
        if step.do == "lose" and self.told:  # the yardstick: discovery says so at that moment
            for member in members:
                self._do("drain", member=member, **{"for": step.lasts})

    def _partition_endpoints(self, step: Step) -> None:
        """Cut the endpoints of one zone off from the proxies of another."""
        proxies = [name for name, zone in self.zone_of.items() if zone == step.origin]
        for member in self._members(step.to, step.part):
            for name in proxies:
                self._do("cut", member=member, driver=name, **{"for": step.lasts})

    def _harm_links_for_a_while(self, step: Step) -> None:
        self._harm_links(step, True)
        if step.lasts:
            self.reactor.callLater(step.lasts, self._harm_links, step, False)

    def _burst(self, step: Step) -> None:
        self.factor = step.factor
        self.reactor.callLater(step.lasts, setattr, self, "factor", 1.0)

    def _command_zone(self, step: Step) -> None:
        self._later(self._send_zone_command, self._proxies_of(step)[0], step)

    def _kill_proxies(self, step: Step) -> None:
        for name in self._proxies_of(step):
            self.record("killed", d=name)
            self.stage.drivers[name].kill()

    def _start_proxies(self, step: Step) -> None:
        for name in self._proxies_of(step):
            self._later(self._start, name)

    def _suspend_proxies(self, step: Step) -> None:
        for name in self._proxies_of(step):
            self.record("frozen", d=name)
            self.stage.drivers[name].process.send_signal(signal.SIGSTOP)
            self.frozen.add(name)
            self.reactor.callLater(step.lasts, self._resume, name)

    def _resume(self, name: str) -> None:
        if name in self.frozen:
            self.frozen.discard(name)
            self.stage.drivers[name].process.send_signal(signal.SIGCONT)
            self.record("woken", d=name)

    def _inject_fault(self, do: str, member: int, lasts: float, factor: float) -> None:
        if do == "lose":
            self._do("cut", member=member, driver="*", **{"for": lasts})
        else:
            more = {} if do in ("crash", "drain") else {"factor": factor}
            self._do(do, member=member, **more, **{"for": lasts})

    def _harm_links(self, step: Step, on: bool) -> None:
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
                threading.Thread(target=self._send_garbage, args=(link, step.lasts), daemon=True).start()

    def _send_garbage(self, link: Link, lasts: float) -> None:
        """Garbage and what was sent before, over and over."""
        end, count = now() + lasts, 0
        while now() < end and not link.closed:
            kept = link.kept[count % max(1, len(link.kept))] if link.kept else b""
            link.send(os.urandom(200) if count % 2 else kept or b"?")
            count += 1
            if count % 20 == 0:
                time.sleep(0.01)

    def _send_zone_command(self, name: str, step: Step) -> None:
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
            self._resume(name)
        spent = [
            t - self.used[n][1] for n, (pid, t) in self._used().items() if self.used.get(n, (0,))[0] == pid
        ]
        self.cores = sum(spent) / len(spent) / (now() - self.began) if spent else 0.0
        super()._close()

    # What came of it

    def _count(self, kind: RequestKind, got: ClientOutcome, passed: float) -> None:
        super()._count(kind, got, passed)
        good = got.verdict == "served" and passed <= kind.aim
        weight = PRIORITY_WEIGHTS.get(kind.name, 1.0)
        self.outcomes.append(WeightedOutcome(now() - passed, good, weight))

    def _result(self, directory: Path) -> dict[str, Any]:
        result = super()._result(directory)
        events = zone_events(directory)
        zone_at = {member["id"]: member["zone"] for member in self.settings["members"]}
        result["zones"] = zone_rows(directory, events, zone_at, self.outcomes, self.began)
        result["cores"] = round(self.cores, 5)  # of a core, the mean of drivers that lived through the day
        result["events"] = [
            {k: e[k] for k in ("driver", "zone", "state", "share")}
            | {"why": e["reason"], "at": round(e["at"] - self.began, 3), "of": self.zone_of[e["driver"]]}
            for e in events
        ]
        return result
