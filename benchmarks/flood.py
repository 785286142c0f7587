"""A flood of one tenant on loopback, with admission control and without: shares, uploads, reservations.

`python -m benchmarks.flood [--seconds S] [--seed N] [--councils R] [--burners N]`. One driver, six stand-in
members of one core; `public` asks for far more than there is, two councils for about their share, `stations`
upload. Same seed, same requests. With burners the driver shares its core with that many.
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
AIM = 0.2


class Flood:
    """One arm of the measurement."""

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
        self.number = 0

    def run(self) -> dict[str, Any]:
        """Play it."""
        from twisted.internet import reactor

        self.reactor: Any = reactor
        settings = scenario_settings()
        settings["module"] = {"drivers": 1}
        settings["standins"] |= {
            "cores": 1,
            "read_work": {"least": "8 ms", "most": "12 ms"},
            "write_work": {"least": "4 ms", "most": "8 ms"},
        }
        settings["log"]["lines_per_second"] = 200  # an operator's default
        settings["door"] = {"tenant": ["app_name"], "client": ["session"]}
        if not self.admission:
            del settings["door"]
        with tempfile.TemporaryDirectory() as place:
            stage = Stage(settings, Path(place))
            burning = CpuLoad(self.seconds + 30.0)
            try:
                address = stage.driver("one")
                pid = stage.drivers["one"].process.pid
                if self.burners:
                    burning.beside(pid, 1, self.burners)
                record = Recorder(f"{place}/clients.jsonl", "clients")
                self.callers = {
                    t: LoadClient(reactor, "one", address, record, app_name=t) for t in self.rates
                }
                self.began = now()
                for tenant in self.rates:
                    self._next(tenant, 0.0)
                memory: list[int] = []
                self._watch(pid, memory)
                reactor.callLater(self.seconds + 2.5, reactor.stop)
                gc.collect()
                gc.freeze()  # a collector's pause in the clients would be a burst of arrivals
                gc.set_threshold(100_000, 50, 1000)
                reactor.run()
                record.close()
            finally:
                stage.stop()
                burning.stop()
            lines = (Path(place) / "one.log").read_text(errors="replace").splitlines()
            stopped = next((json.loads(x) for x in reversed(lines) if '"event": "stopped"' in x), {})
            records = read_records([Path(place) / "clients.jsonl", Path(place) / "members.jsonl"])
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
            "delays": {"clients": [record.longest, record.sum / max(1, record.waits)]},
            "p50_ms": {t: median(v) * 1e3 if v else None for t, v in self.times.items()},
            "in_time": {t: sum(x <= AIM for x in v) for t, v in self.times.items()},
            "returned": self.returned,
            "memory_mb": [median(memory[third : 2 * third]) / 1e6, median(memory[2 * third :]) / 1e6],
            "broken": sum(f.broken for f in findings),
            "checked": sum(f.checked for f in findings),
            "told": [text for f in findings for text in f.violations[:3]],
            "driver": stopped,
        }

    def _watch(self, pid: int, memory: list[int]) -> None:
        pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
        memory.append(pages * resource.getpagesize())
        if now() - self.began < self.seconds:
            self.reactor.callLater(0.1, self._watch, pid, memory)

    def _next(self, tenant: str, planned: float) -> None:
        planned += self.random.expovariate(self.rates[tenant])
        if planned < self.seconds:
            self.reactor.callLater(max(0.0, self.began + planned - now()), self._arrive, tenant, planned)

    def _arrive(self, tenant: str, planned: float) -> None:
        self._next(tenant, planned)
        self._ask(tenant, returning=False)

    def _ask(self, tenant: str, returning: bool, session: bytes = b"") -> None:
        self.number += 1
        writes = tenant == "stations"
        name = "upload" if writes else "map-read"
        rid = f"{tenant}-{self.number}"
        if writes:
            command: dict[str, Any] = {"insert": "readings", "documents": [{"_id": rid}]}
            command["txnNumber"] = bson.Int64(1)
        else:
            command = {"find": "readings", "filter": {"_id": 1}}
        session = session or self.random.randbytes(16)
        command |= {"lsid": {"id": bson.Binary(session, 4)}}
        command |= {"$db": "sky", "comment": {"class": name, "rid": rid}}
        ask = ClientAttempt(rid, rid, "one", name, command, 0.8, writes, writes)
        self.callers[tenant].send(ask, lambda got: self._got(tenant, got, returning, session))

    def _got(self, tenant: str, got: ClientOutcome, returning: bool, session: bytes) -> None:
        if returning:
            self.returned["served"] += got.verdict == "served"
            return
        counts = self.counts[tenant]
        counts[got.verdict] = counts.get(got.verdict, 0) + 1
        if got.verdict == "served":
            self.times[tenant].append(got.elapsed)
        # One in ten of those promised a time comes back then, in its session.
        if got.verdict == "refused" and got.reply.get("promised") and self.random.random() < 0.1:
            if now() - self.began + got.retry_after < self.seconds:
                self.returned["told"] += 1
                self.reactor.callLater(got.retry_after, self._ask, tenant, True, session)


def jain(values: list[float]) -> float:
    """Jain's index: 1 where all are equal."""
    return sum(values) ** 2 / (len(values) * sum(v * v for v in values)) if any(values) else 0.0


@click.command()
@click.option("--seconds", default=8.0)
@click.option("--seed", default=1)
@click.option("--councils", default=160.0, help="Requests a second of each council.")
@click.option("--burners", default=0, help="Processes that share the driver's core.")
@click.option("--arm", default="", hidden=True)
def main(seconds: float, seed: int, councils: float, burners: int, arm: str) -> None:
    """Print the table."""
    if arm:
        print(json.dumps(Flood(seconds, seed, "admission" in arm, "flood" in arm, councils, burners).run()))
        return
    results = {}
    for name in ("calm admission", "flood", "flood admission"):
        arguments = ["--seconds", str(seconds), "--seed", str(seed), "--arm", name]
        arguments += ["--councils", str(councils), "--burners", str(burners)]
        done = subprocess.run(
            [sys.executable, "-m", "benchmarks.flood", *arguments], capture_output=True, text=True, check=True
        )
        results[name] = json.loads(done.stdout)
    calm = results["calm admission"]
    for name, result in results.items():
        print(f"\n{name}: {result['checked']} cases checked, {result['broken']} broken")
        for text in result["told"]:
            print(f"  {text}")
        late = {k: v for k, v in result["driver"].items() if k.endswith("_ms") or k == "too_slow"}
        latest, mean = result["delays"]["clients"]
        print(f"clients: at most {latest * 1e3:.0f} ms late, {mean * 1e3:.2f} ms in the mean")
        print("driver: " + ", ".join(f"{k} {v:g}" for k, v in late.items()))
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
        print(f"in time, of the calm day: {parts}")
        if "public" in result["counts"]:
            served = [result["counts"][t].get("served", 0) for t in READERS]
            fair = sum(served) / len(READERS)  # each asks for no less than it is owed, or gets all it asks
            owed = [min(fair, sum(result["counts"][t].values())) for t in READERS]
            shares = [min(1.0, s / max(o, 1.0)) for s, o in zip(served, owed, strict=True)]
            in_time = sum(result["in_time"].values()) / max(
                1, sum(c.get("served", 0) for c in result["counts"].values())
            )
            slower = {
                t: result["p99_ms"][t] / calm["p99_ms"][t] for t in calm["p99_ms"] if result["p99_ms"][t]
            }
            print("p99, of the calm day: " + ", ".join(f"{t} {x:.1f}" for t, x in slower.items()))
            print(f"of what was served, in time: {in_time:.2f}")
            print(f"of its fair share: worst tenant {min(shares):.2f}, Jain's index {jain(shares):.3f}")
        told = result["returned"]
        if told["told"]:
            print(f"came back when told: {told['told']}, served {told['served'] / told['told']:.1%}")
        print("memory, middle and last third: {:.1f}, {:.1f} MB".format(*result["memory_mb"]))


if __name__ == "__main__":
    main()
