"""A scripted fleet scenario on loopback: proxies that gossip, endpoints in zones, and faults of whole zones.

Clients, emulated servers and audit are those of the fault scenario. This module adds zones, links between
the proxies, faults of a zone or of several proxies, and a report on zones: the requests that were sent
to a lost zone, when the first and the last proxy left it, and the share of requests that was served in time.

The emulated servers carry out their faults themselves (`cut` accepts the messages of some proxies and never
answers). Faults between peers are carried out on the links, one from each zone to each proxy.
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

STEP_WAIT_MAX_S = 30.0  # s that a step with `once` waits at most for the zone state
POLL_INTERVAL_S = 0.2  # s between checks of the proxies' logs
# As in the example settings; the other classes have weight 1.
PRIORITY_WEIGHTS = {
    "upload": 6.0,
    "note": 2.0,
    "own-read": 3.0,
    "map-read": 3.0,
}


def _last_address(log: Path, event: str) -> str:
    """Return the address in the last listening event of a proxy's log."""
    lines = [x for x in log.read_text(encoding="utf-8", errors="replace").splitlines() if f'"{event}"' in x]
    if not lines:
        raise ScenarioError(f"{log.name}: no event {event}")
    return str(json.loads(lines[-1])["address"])


class FleetScenario(FaultScenario):
    """One fleet scenario.

    With `together`, the proxies gossip and act on zones together; without it, each acts alone. With `told`,
    discovery reports the endpoints of a lost zone as draining at the moment of the loss: the best case, for
    comparison.
    """

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
        self.processor_times_at_start: dict[str, tuple[int, float]] = {}
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
                    for name in self.zone_of:  # a placeholder address until the proxy listens
                        self.links[origin, name] = Link("127.0.0.1:9", seed=self.seed)
            return super()._play(stage, directory, progress)
        finally:
            for process in self.processes:
                process.kill()
                process.wait()
            for link in self.links.values():
                link.close()

    def proxy_settings(self, name: str, number: int) -> dict[str, Any]:
        """Return a proxy's zone, and its routes to the other proxies over the links from its zone."""
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

    def on_proxy_started(self, name: str) -> None:
        """Point the proxy's links at the ports of its current process."""
        log = self.directory / f"{name}.log"
        self.metrics[name] = _last_address(log, "metrics.listening")
        for (_, to), link in self.links.items():
            if to == name:
                link.redirect(_last_address(log, "peers.listening"))

    def on_all_started(self) -> None:
        """Wait until all proxies see each other alive, then schedule the steps."""
        if self.together:
            end = now() + 60.0
            trusted = [n for n in self.zone_of if int(n.rpartition("-")[2]) not in self.script.wrong_key]
            while not all(len(self._alive_peers(n)) == len(trusted) for n in trusted):
                if now() > end:
                    raise ScenarioError("the proxies did not all see each other alive within 60 s")
        for number, command in enumerate(self.script.beside, 1):
            self._start_extra_peer(f"beside-{number}", command)
        self.processor_times_at_start = self._processor_times()
        for step in self.script.steps:
            self.reactor.callLater(step.at, self._run_step_when_due, step, now() + step.at + STEP_WAIT_MAX_S)

    def _processor_times(self) -> dict[str, tuple[int, float]]:
        """Return the PID of each running proxy and the processor time that it has used, in seconds."""
        pids = {n: p.process.pid for n, p in self.stage.drivers.items() if p.process.poll() is None}
        return {n: (pid, processor_time(pid)) for n, pid in pids.items()}

    def _start_extra_peer(self, name: str, command: str) -> None:
        """Start an extra peer process with the proxies' key and addresses; it is killed at the end."""
        links = [f"{n}={self.links[self.script.zones[0], n].address}" for n in self.zone_of]
        first = links[0].partition("=")[2]
        arguments = [a.format(name=name, key=self.key, seed=first) for a in command.split()]
        log = (self.directory / f"{name}.log").open("ab")
        process = subprocess.Popen([sys.executable, *arguments, *links], stdout=log, stderr=log)
        log.close()
        self.processes.append(process)

    def _alive_peers(self, name: str) -> list[str]:
        from urllib.request import urlopen

        with urlopen(f"http://{self.metrics[name]}/peers", timeout=30) as response:
            status = json.load(response)
        return [name, *(p["name"] for p in status["peers"] if p["life"] == "alive")]

    # Steps

    def _endpoints_of(self, zone: str, part: float) -> list[int]:
        in_zone = [m["id"] for m in self.settings["members"] if m["zone"] == zone]
        return in_zone[: max(1, round(part * len(in_zone)))]

    def _proxies_of(self, step: Step) -> list[str]:
        """Return the proxies of a step: those it numbers, else a share of those of its zone or of all."""
        if step.drivers:
            return [f"driver-{n}" for n in step.drivers if n <= self.drivers]
        candidates = [n for n, zone in self.zone_of.items() if step.zone in ("", zone)]
        return candidates[: max(1, round(step.part * len(candidates)))]

    def _run_step_when_due(self, step: Step, by: float) -> None:
        """Run a step; if it has `once`, wait until most proxies have logged that state, up to `by`."""
        events = zone_events(self.directory) if step.once else []
        reached = {e["driver"] for e in events if (e["state"], e["zone"]) == (step.once, step.zone)}
        if not step.once or 2 * len(reached) > self.drivers:
            self._run_step(step)
        elif now() > by:
            self.errors.append(f"most proxies never logged the state {step.once} of zone {step.zone}")
        else:
            self.reactor.callLater(POLL_INTERVAL_S, self._run_step_when_due, step, by)

    def _run_step(self, step: Step) -> None:
        """Record a step and call the method for its kind."""
        self.record("step", **step.model_dump(by_alias=True))
        handlers: dict[str, Callable[[Step], None]] = {
            "cut": self._partition_endpoints,
            "cut_peers": self._set_link_fault_for_a_while,
            "lossy_peers": self._set_link_fault_for_a_while,
            "garbage": self._set_link_fault_for_a_while,
            "burst": self._burst,
            "leave": self._command_zone,
            "return": self._command_zone,
            "kill": self._kill_proxies,
            "start": self._start_proxies,
            "freeze": self._suspend_proxies,
        }
        handlers.get(step.do, self._fault_zone)(step)

    def _fault_zone(self, step: Step) -> None:
        """Inject the same fault into a share of a zone's endpoints, `each` seconds apart."""
        endpoints = self._endpoints_of(step.zone, step.part)
        for index, endpoint in enumerate(endpoints):
            self.reactor.callLater(
                index * step.each, self._inject_fault, step.do, endpoint, step.lasts, step.factor
            )
        if step.do == "lose" and self.told:  # the best case: discovery reports the loss at once
            for endpoint in endpoints:
                self._fault_in_thread("drain", member=endpoint, **{"for": step.lasts})

    def _partition_endpoints(self, step: Step) -> None:
        """Cut the endpoints of one zone off from the proxies of another."""
        proxies = [name for name, zone in self.zone_of.items() if zone == step.origin]
        for endpoint in self._endpoints_of(step.to, step.part):
            for name in proxies:
                self._fault_in_thread("cut", member=endpoint, driver=name, **{"for": step.lasts})

    def _set_link_fault_for_a_while(self, step: Step) -> None:
        self._set_link_fault(step, True)
        if step.lasts:
            self.reactor.callLater(step.lasts, self._set_link_fault, step, False)

    def _burst(self, step: Step) -> None:
        self.rate_factor = step.factor
        self.reactor.callLater(step.lasts, setattr, self, "rate_factor", 1.0)

    def _command_zone(self, step: Step) -> None:
        self._call_in_thread(self._send_zone_command, self._proxies_of(step)[0], step)

    def _kill_proxies(self, step: Step) -> None:
        for name in self._proxies_of(step):
            self.record("killed", d=name)
            self.stage.drivers[name].kill()

    def _start_proxies(self, step: Step) -> None:
        for name in self._proxies_of(step):
            self._call_in_thread(self._start, name)

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

    def _inject_fault(self, do: str, endpoint: int, lasts: float, factor: float) -> None:
        if do == "lose":
            self._fault_in_thread("cut", member=endpoint, driver="*", **{"for": lasts})
        else:
            more = {} if do in ("crash", "drain") else {"factor": factor}
            self._fault_in_thread(do, member=endpoint, **more, **{"for": lasts})

    def _set_link_fault(self, step: Step, on: bool) -> None:
        """Start or end a fault on the links from one zone to another, or on all links."""
        for (origin, name), link in self.links.items():
            if step.origin not in ("", origin) or step.to not in ("", self.zone_of[name]):
                continue
            if step.do == "cut_peers" and origin != self.zone_of[name]:
                link.cut = on
                link.set_streams_cut(on)
            elif step.do == "lossy_peers":
                link.loss, link.duplication, link.delay = (0.2, 0.1, 0.1) if on else (0.0, 0.0, 0.0)
            elif step.do == "garbage" and on:
                threading.Thread(target=self._send_garbage, args=(link, step.lasts), daemon=True).start()

    def _send_garbage(self, link: Link, lasts: float) -> None:
        """Send random bytes and replays of earlier datagrams in turn for `lasts` seconds."""
        end, count = now() + lasts, 0
        while now() < end and not link.closed:
            replayed = link.kept[count % max(1, len(link.kept))] if link.kept else b""
            link.send(os.urandom(200) if count % 2 else replayed or b"?")
            count += 1
            if count % 20 == 0:
                time.sleep(0.01)

    def _send_zone_command(self, name: str, step: Step) -> None:
        """Send one operator command, as `sedgepitch zone` does."""
        from urllib.request import Request, urlopen

        url = f"http://{self.metrics[name]}/zones"
        with urlopen(url, timeout=30) as response:
            number = json.load(response)["number"]
        command = {"zone": step.zone, "what": step.do, "within": step.lasts, "number": number}
        data = load_keys(self.key).seal(json.dumps(command).encode())
        with urlopen(Request(url, data=data, method="POST"), timeout=30):
            pass

    def _fault_in_thread(self, do: str, **fields: Any) -> None:
        self._call_in_thread(self._fault, do, fields)

    def _call_in_thread(self, call: Any, *args: Any) -> None:
        """Call in a thread pool; an exception fails the run with its message."""
        self.defer(call, *args).addErrback(lambda failure: self.errors.append(failure.getErrorMessage()))

    def _close(self) -> None:
        for name in list(self.frozen):
            self._resume(name)
        seconds_used = [
            t - self.processor_times_at_start[n][1]
            for n, (pid, t) in self._processor_times().items()
            if self.processor_times_at_start.get(n, (0,))[0] == pid
        ]
        self.cores = sum(seconds_used) / len(seconds_used) / (now() - self.began) if seconds_used else 0.0
        super()._close()

    # The result

    def _count(self, kind: RequestKind, outcome: ClientOutcome, elapsed: float) -> None:
        super()._count(kind, outcome, elapsed)
        in_time = outcome.verdict == "served" and elapsed <= kind.aim
        weight = PRIORITY_WEIGHTS.get(kind.name, 1.0)
        self.outcomes.append(WeightedOutcome(now() - elapsed, in_time, weight))

    def _result(self, directory: Path) -> dict[str, Any]:
        result = super()._result(directory)
        events = zone_events(directory)
        zone_at = {member["id"]: member["zone"] for member in self.settings["members"]}
        result["zones"] = zone_rows(directory, events, zone_at, self.outcomes, self.began)
        # Mean number of cores that a proxy used, over the proxies that ran from start to end.
        result["cores"] = round(self.cores, 5)
        result["events"] = [
            {k: e[k] for k in ("driver", "zone", "state", "share")}
            | {"why": e["reason"], "at": round(e["at"] - self.began, 3), "of": self.zone_of[e["driver"]]}
            for e in events
        ]
        return result
