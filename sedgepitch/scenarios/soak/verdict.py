"""The result of a soak: the audit of its records, and checks of the proxy processes."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from sedgepitch.audit.findings import Finding
from sedgepitch.audit.records import Record
from sedgepitch.audit.rules import audit
from sedgepitch.scenarios.soak.clients import Crossing, SharedState
from sedgepitch.scenarios.soak.misbehaving_clients import CrowdKind
from sedgepitch.scenarios.soak.proxy_processes import ProxyProcess
from sedgepitch.scenarios.soak.script import SoakScript, Step
from sedgepitch.scenarios.soak.traffic import guarantees, rule_parameters

NO_ATTEMPT_AFTER_LEAVING_S = 0.1
# Allowed growth of a process over the first one: the factor, plus the absolute allowance.
LEVEL_FACTOR = 1.5
LEVEL_MEMORY_MB = 8.0
LEVEL_DESCRIPTORS = 60
SERVED_IN_CROWD_MIN = 0.2  # of the regular clients' requests; the platform's gate for a third of a short day
CROWD_MARGIN_S = 1.0  # around a crowd, when the proxy may close connections unread for lack of descriptors


@dataclass(slots=True)
class SoakResult:
    """The result of one soak. Times in seconds."""

    script: SoakScript
    requests: int
    served: int
    restarts: int
    findings: list[Finding]
    violations: list[str]  # all others; `findings` has those of the audit rules
    proxy_delay: float
    own_delay: float
    unread: int = 0  # first requests on connections closed unread while a crowd used the descriptors
    crossed: int = 0  # requests sent on a reused connection as the proxy closed it
    steps_played: list[Step] = field(default_factory=list)
    peak_memory_mb: float = 0.0
    served_in_crowds: float = 1.0  # share of the regular clients' requests answered with success in time
    worst_in_crowds: float = 0.0  # s from a request of those to its answer

    @property
    def passed(self) -> bool:
        """Return whether no rule was broken and there is no other violation."""
        return not self.violations and not any(finding.broken for finding in self.findings)

    def as_dict(self) -> dict[str, Any]:
        """Return the result for a report."""
        return {
            "seed": self.script.seed,
            "crowd": self.script.crowd,
            "busy": self.script.busy_processes,
            "steps": [step.describe() for step in self.steps_played],
            "requests": self.requests,
            "served": self.served,
            "restarts": self.restarts,
            "crossed": self.crossed,
            "unread": self.unread,
            "rules": [finding.as_dict() for finding in self.findings],
            "violations": self.violations,
            "proxy_delay_s": round(self.proxy_delay, 3),
            "own_delay_s": round(self.own_delay, 3),
            "memory_mb": self.script.limits.memory_mb,
            "peak_memory_mb": round(self.peak_memory_mb, 1),
            "served_in_crowds": round(self.served_in_crowds, 3),
            "worst_in_crowds_s": round(self.worst_in_crowds, 3),
            "passed": self.passed,
        }


class Verdict:
    """Evaluates one run. `began` is the start of the load on the clock of the records."""

    def __init__(self, script: SoakScript, records: list[Record], shared: SharedState, began: float) -> None:
        """Index the records of a run."""
        self._script = script
        self._records = sorted(records, key=lambda record: record["t"])
        self._shared = shared
        self._began = began
        self._received = {record["rid"] for record in records if record["e"] == "recv"}

    def judge(
        self, processes: list[ProxyProcess], process_findings: list[str], own_delay: float
    ) -> SoakResult:
        """Return the result."""
        violations = list(process_findings)
        lost, unread = self._closed_connections()
        violations += lost
        violations += self._late_attempts(own_delay)
        violations += self._repeated_effects()
        served_in_crowds, worst_in_crowds = self._answers_in_crowds()
        if served_in_crowds < SERVED_IN_CROWD_MIN:
            violations.append(f"{served_in_crowds:.2f} of the regular requests served in time beside a crowd")
        violations += [f"wrong value: {text}" for text in self._shared.wrong_values]
        for proxy in processes:
            violations += self._process_violations(proxy)
        violations += self._levels(processes)
        findings = audit(self._records, guarantees(), rule_parameters(own_delay))
        answers = [record for record in self._records if record["e"] == "got"]
        return SoakResult(
            self._script,
            requests=sum(record["e"] == "ask" for record in self._records),
            served=sum(record["verdict"] == "served" for record in answers),
            restarts=len(processes) - 1,
            findings=[self._with_steps(finding) for finding in findings],
            violations=violations,
            proxy_delay=max((proxy.longest_lag() for proxy in processes), default=0.0),
            own_delay=own_delay,
            unread=unread,
            crossed=len(self._shared.crossings),
            peak_memory_mb=max((proxy.peak_memory_mb for proxy in processes), default=0.0),
            served_in_crowds=served_in_crowds,
            worst_in_crowds=worst_in_crowds,
        )

    # Connections that the proxy closed

    def _closed_connections(self) -> tuple[list[str], int]:
        """Return requests lost by a close, and the number of connections closed unread during a crowd."""
        lost = [
            self._described("read by the proxy, then its connection closed without an answer", crossing)
            for crossing in self._shared.crossings
            if crossing.rid in self._received
        ]
        unread = 0
        for crossing in self._shared.closed_on_first:
            if crossing.rid not in self._received and self._in_crowd(crossing.ask["t"]):
                unread += 1
            else:
                lost.append(self._described("a new connection closed without an answer", crossing))
        return lost, unread

    def _in_crowd(self, moment: float) -> bool:
        return any(
            begin - CROWD_MARGIN_S <= moment - self._began <= begin + duration + CROWD_MARGIN_S
            for begin, duration in ((s.at, s.duration) for s in self._script.steps if s.action == "crowd")
        )

    def _described(self, what: str, crossing: Crossing) -> str:
        return f"{crossing.rid} ({crossing.ask['cls']}): {what}; {self._step_before(crossing.closed_at)}"

    def _late_attempts(self, own_delay: float) -> list[str]:
        left_at = {record["rid"]: record["t"] for record in self._records if record["e"] == "left"}
        allowed = NO_ATTEMPT_AFTER_LEAVING_S + own_delay
        return [
            f"{record['rid']}: sent on {record['t'] - left_at[record['rid']]:.3f} s after its client left; "
            f"{self._step_before(record['t'])}"
            for record in self._records
            if record["e"] == "recv" and record["t"] - left_at.get(record["rid"], record["t"]) > allowed
        ]

    # Crowds of misbehaving clients

    def _repeated_effects(self) -> list[str]:
        """Return the writes of a crowd that took effect more than once; the audit covers the others."""
        asked = {record["rid"] for record in self._records if record["e"] == "ask"}
        commits = Counter(record["rid"] for record in self._records if record["e"] == "commit")
        return [
            f"{rid}: took effect {count} times"
            for rid, count in commits.items()
            if count > 1 and rid not in asked
        ]

    def _answers_in_crowds(self) -> tuple[float, float]:
        """Return the share of regular requests served in time beside such a crowd, and the longest wait."""
        crowds = [
            (self._began + step.at, self._began + step.at + step.duration)
            for step in self._script.steps
            if step.crowd is not CrowdKind.MIXED
        ]
        answers = {record["rid"]: record for record in self._records if record["e"] == "got"}
        left = {record["rid"] for record in self._records if record["e"] == "left"}
        asks = [
            record
            for record in self._records
            if record["e"] == "ask" and any(begin <= record["t"] <= end for begin, end in crowds)
            if record["rid"] not in left
        ]
        got = [(ask, answers.get(ask["rid"])) for ask in asks]
        served = [
            ask
            for ask, answer in got
            if answer is not None and answer["verdict"] == "served" and answer["t"] <= ask["by"]
        ]
        worst = max((answer["t"] - ask["t"] for ask, answer in got if answer is not None), default=0.0)
        return (len(served) / len(asks) if asks else 1.0), worst

    # Processes

    def _process_violations(self, proxy: ProxyProcess) -> list[str]:
        name = f"process {proxy.number}"
        violations = []
        if proxy.killed:
            violations.append(f"{name} had not exited by the platform's earliest kill")
        elif proxy.process.returncode != 0:
            violations.append(f"{name} ended with exit code {proxy.process.returncode}")
        text = proxy.text()
        if "Traceback" in text:
            violations.append(f"{name} logged a traceback")
        if proxy.ready_at and not proxy.killed and "requests_pending=0" not in text:
            violations.append(f"{name} exited without logging requests_pending=0")
        return violations

    @staticmethod
    def _levels(processes: list[ProxyProcess]) -> list[str]:
        levels = [(proxy.number, proxy.level) for proxy in processes if proxy.level is not None]
        violations = []
        for number, level in levels[1:]:
            first = levels[0][1]
            memory_max = LEVEL_FACTOR * first.memory_mb + LEVEL_MEMORY_MB
            descriptors_max = LEVEL_FACTOR * first.descriptors + LEVEL_DESCRIPTORS
            if level.memory_mb > memory_max or level.descriptors > descriptors_max:
                violations.append(
                    f"process {number} uses {level.memory_mb:.0f} MB and {level.descriptors} descriptors, "
                    f"the first one used {first.memory_mb:.0f} and {first.descriptors}"
                )
        return violations

    # The step before a violation

    def _step_before(self, moment: float) -> str:
        before = [step for step in self._script.steps if step.at <= moment - self._began]
        return f"after {before[-1].describe()}" if before else "before the first step"

    def _with_steps(self, finding: Finding) -> Finding:
        """Add the step before it to each violation that begins with a request's id."""
        asked = {record["rid"]: record["t"] for record in self._records if record["e"] == "ask"}
        finding.violations = [
            f"{text}; {self._step_before(asked[rid])}" if (rid := text.partition(":")[0]) in asked else text
            for text in finding.violations
        ]
        return finding
