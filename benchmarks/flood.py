"""Benchmarks admission control while one tenant floods the proxy: shares, uploads, reservations.

`python -m benchmarks.flood [--seconds S] [--seed N] [--councils R] [--burners N]`. Runs one proxy and six
emulated servers of one core on loopback, with admission control and without. Tenant `public` sends far more
requests than the servers can serve, two councils send about their share, and `stations` uploads. The same
seed gives the same requests. With `--burners`, the proxy shares its core with that many busy processes.
"""

from __future__ import annotations

import gc
import json
import random
import resource
import subprocess
import sys
import tempfile
from pathlib import Path
from statistics import median
from typing import Any

import bson
import click

from sedgepitch.audit.findings import ClassGuarantees
from sedgepitch.audit.records import read as read_records
from sedgepitch.audit.rules import audit
from sedgepitch.emulator.recorder import Recorder
from sedgepitch.scenarios.fault_scenario import FaultScenario
from sedgepitch.scenarios.load_generator import ClientAttempt, ClientOutcome, LoadClient, now
from sedgepitch.scenarios.processes import CpuLoad, Stage
from sedgepitch.scenarios.traffic import scenario_settings

RATES = {"public": 1600.0, "council-a": 160.0, "council-b": 160.0, "stations": 30.0}
READERS = ("public", "council-a", "council-b")
LATENCY_OBJECTIVE_S = 0.2


class Flood:
    """One arm of the benchmark: with or without admission control, with or without the flood."""

    def __init__(
        self,
        seconds: float,
        seed: int,
        admission: bool,
        flooding: bool,
        councils: float = 0.0,
        burners: int = 0,
    ) -> None:
        self.seconds, self.random, self.admission, self.burners = (
            seconds,
            random.Random(seed),
            admission,
            burners,
        )
        self.rates = {t: r for t, r in RATES.items() if flooding or t != "public"}
        if councils:
            self.rates |= {"council-a": councils, "council-b": councils}
        self.counts: dict[str, dict[str, int]] = {t: {} for t in self.rates}
        self.times: dict[str, list[float]] = {t: [] for t in self.rates}
        self.returned = {"told": 0, "served": 0}
        self.requests_sent = 0

    def run(self) -> dict[str, Any]:
        """Run this arm and return its figures."""
        from twisted.internet import reactor

        self.reactor: Any = reactor
        settings = scenario_settings()
        settings["module"] = {"drivers": 1}
        settings["standins"] |= {
            "cores": 1,
            "read_work": {"least": "8 ms", "most": "12 ms"},
            "write_work": {"least": "4 ms", "most": "8 ms"},
        }
        settings["log"]["lines_per_second"] = 200  # the default of the settings
        settings["door"] = {"tenant": ["app_name"], "client": ["session"]}
        if not self.admission:
            del settings["door"]
        with tempfile.TemporaryDirectory() as directory:
            stage = Stage(settings, Path(directory))
            cpu_load = CpuLoad(self.seconds + 30.0)
            try:
                address = stage.driver("one")
                pid = stage.drivers["one"].process.pid
                if self.burners:
                    cpu_load.beside(pid, 1, self.burners)
                recorder = Recorder(f"{directory}/clients.jsonl", "clients")
                self.clients = {
                    t: LoadClient(reactor, "one", address, recorder, app_name=t) for t in self.rates
                }
                self.began = now()
                for tenant in self.rates:
                    self._schedule_next(tenant, 0.0)
                memory: list[int] = []
                self._sample_memory(pid, memory)
                reactor.callLater(self.seconds + 2.5, reactor.stop)
                gc.collect()
                gc.freeze()  # a garbage collection pause in the clients would cause a burst of arrivals
                gc.set_threshold(100_000, 50, 1000)
                reactor.run()
                recorder.close()
            finally:
                stage.stop()
                cpu_load.stop()
            lines = (Path(directory) / "one.log").read_text(errors="replace").splitlines()
            stopped = next((json.loads(x) for x in reversed(lines) if '"event": "stopped"' in x), {})
            records = read_records([Path(directory) / "clients.jsonl", Path(directory) / "members.jsonl"])
        classes = {
            "map-read": ClassGuarantees("bounded", 0.5, "safe", 0.0),
            "upload": ClassGuarantees("write", 0.0, "keyed", 1.2),
        }
        findings = audit(records, classes, FaultScenario().figures())
        third = max(1, len(memory) // 3)
        return {
            "counts": self.counts,
            "p99_ms": {
                t: sorted(v)[int(0.99 * (len(v) - 1))] * 1e3 if v else None for t, v in self.times.items()
            },
            "delays": {"clients": [recorder.longest, recorder.sum / max(1, recorder.waits)]},
            "p50_ms": {t: median(v) * 1e3 if v else None for t, v in self.times.items()},
            "in_time": {t: sum(x <= LATENCY_OBJECTIVE_S for x in v) for t, v in self.times.items()},
            "returned": self.returned,
            "memory_mb": [median(memory[third : 2 * third]) / 1e6, median(memory[2 * third :]) / 1e6],
            "broken": sum(f.broken for f in findings),
            "checked": sum(f.checked for f in findings),
            "told": [text for f in findings for text in f.violations[:3]],
            "driver": stopped,
        }

    def _sample_memory(self, pid: int, memory: list[int]) -> None:
        resident_pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
        memory.append(resident_pages * resource.getpagesize())
        if now() - self.began < self.seconds:
            self.reactor.callLater(0.1, self._sample_memory, pid, memory)

    def _schedule_next(self, tenant: str, planned: float) -> None:
        planned += self.random.expovariate(self.rates[tenant])
        if planned < self.seconds:
            self.reactor.callLater(max(0.0, self.began + planned - now()), self._arrive, tenant, planned)

    def _arrive(self, tenant: str, planned: float) -> None:
        self._schedule_next(tenant, planned)
        self._send(tenant, is_retry=False)

    def _send(self, tenant: str, is_retry: bool, session: bytes = b"") -> None:
        self.requests_sent += 1
        writes = tenant == "stations"
        name = "upload" if writes else "map-read"
        rid = f"{tenant}-{self.requests_sent}"
        if writes:
            command: dict[str, Any] = {"insert": "readings", "documents": [{"_id": rid}]}
            command["txnNumber"] = bson.Int64(1)
        else:
            command = {"find": "readings", "filter": {"_id": 1}}
        session = session or self.random.randbytes(16)
        command |= {"lsid": {"id": bson.Binary(session, 4)}}
        command |= {"$db": "sky", "comment": {"class": name, "rid": rid}}
        attempt = ClientAttempt(rid, rid, "one", name, command, 0.8, writes, writes)
        self.clients[tenant].send(
            attempt, lambda outcome: self._on_outcome(tenant, outcome, is_retry, session)
        )

    def _on_outcome(self, tenant: str, outcome: ClientOutcome, is_retry: bool, session: bytes) -> None:
        if is_retry:
            self.returned["served"] += outcome.verdict == "served"
            return
        counts = self.counts[tenant]
        counts[outcome.verdict] = counts.get(outcome.verdict, 0) + 1
        if outcome.verdict == "served":
            self.times[tenant].append(outcome.elapsed)
        # One in ten of the requests rejected with a reservation is retried at that time, in the same session.
        if outcome.verdict == "refused" and outcome.reply.get("promised") and self.random.random() < 0.1:
            if now() - self.began + outcome.retry_after < self.seconds:
                self.returned["told"] += 1
                self.reactor.callLater(outcome.retry_after, self._send, tenant, True, session)


def jain(values: list[float]) -> float:
    """Return Jain's fairness index of the values; it is 1 if all are equal."""
    return sum(values) ** 2 / (len(values) * sum(v * v for v in values)) if any(values) else 0.0


@click.command()
@click.option("--seconds", default=8.0)
@click.option("--seed", default=1)
@click.option("--councils", default=160.0, help="Requests per second of each council.")
@click.option("--burners", default=0, help="Busy processes that share the proxy's core.")
@click.option("--arm", default="", hidden=True)
def main(seconds: float, seed: int, councils: float, burners: int, arm: str) -> None:
    """Run all arms and print a table for each."""
    if arm:
        print(json.dumps(Flood(seconds, seed, "admission" in arm, "flood" in arm, councils, burners).run()))
        return
    results = {}
    for name in ("calm admission", "flood", "flood admission"):
        arguments = ["--seconds", str(seconds), "--seed", str(seed), "--arm", name]
        arguments += ["--councils", str(councils), "--burners", str(burners)]
        completed = subprocess.run(
            [sys.executable, "-m", "benchmarks.flood", *arguments], capture_output=True, text=True, check=True
        )
        results[name] = json.loads(completed.stdout)
    calm = results["calm admission"]
    for name, result in results.items():
        print(f"\n{name}: {result['checked']} cases checked, {result['broken']} broken")
        for text in result["told"]:
            print(f"  {text}")
        lag_figures = {k: v for k, v in result["driver"].items() if k.endswith("_ms") or k == "too_slow"}
        longest_delay, mean_delay = result["delays"]["clients"]
        print(f"clients: longest delay {longest_delay * 1e3:.0f} ms, mean {mean_delay * 1e3:.2f} ms")
        print("proxy: " + ", ".join(f"{k} {v:g}" for k, v in lag_figures.items()))
        print(
            f"{'tenant':12}{'asked':>8}{'served':>8}{'in time':>9}{'refused':>9}{'failed':>8}"
            f"{'p50 ms':>9}{'p99 ms':>9}"
        )
        for tenant, counts in result["counts"].items():
            p50 = result["p50_ms"][tenant]
            figures = [sum(counts.values()), counts.get("served", 0), result["in_time"][tenant]]
            figures += [counts.get("refused", 0), counts.get("failed", 0)]
            line = "".join(f"{f:>{w}}" for f, w in zip(figures, (8, 8, 9, 9, 8), strict=True))
            p99 = result["p99_ms"][tenant]
            times = "".join(f"{'-' if p is None else f'{p:.1f}':>9}" for p in (p50, p99))
            print(f"{tenant:12}{line}{times}")
        of_calm = [result["in_time"][t] / max(1, calm["in_time"][t]) for t in calm["in_time"]]
        parts = ", ".join(f"{t} {x:.2f}" for t, x in zip(calm["in_time"], of_calm, strict=True))
        print(f"in time, relative to the calm arm: {parts}")
        if "public" in result["counts"]:
            served = [result["counts"][t].get("served", 0) for t in READERS]
            # A tenant's fair share is an equal part, or all that it requested if that is less.
            fair = sum(served) / len(READERS)
            fair_shares = [min(fair, sum(result["counts"][t].values())) for t in READERS]
            shares = [min(1.0, s / max(f, 1.0)) for s, f in zip(served, fair_shares, strict=True)]
            in_time = sum(result["in_time"].values()) / max(
                1, sum(c.get("served", 0) for c in result["counts"].values())
            )
            slower = {
                t: result["p99_ms"][t] / calm["p99_ms"][t] for t in calm["p99_ms"] if result["p99_ms"][t]
            }
            print("p99, relative to the calm arm: " + ", ".join(f"{t} {x:.1f}" for t, x in slower.items()))
            print(f"share of served requests that were in time: {in_time:.2f}")
            print(
                f"served, of its fair share: worst tenant {min(shares):.2f}, Jain's index {jain(shares):.3f}"
            )
        retries = result["returned"]
        if retries["told"]:
            print(
                f"retried at the reserved time: {retries['told']},"
                f" served {retries['served'] / retries['told']:.1%}"
            )
        print("median memory in the middle and last third: {:.1f}, {:.1f} MB".format(*result["memory_mb"]))


if __name__ == "__main__":
    main()
