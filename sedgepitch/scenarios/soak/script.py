"""The script of a soak, generated from its seed: the same seed and length give the same steps."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace
from enum import StrEnum
from itertools import pairwise

from sedgepitch.scenarios.errors import ScenarioError
from sedgepitch.scenarios.soak.misbehaving_clients import MISBEHAVING, CrowdKind

LENGTH_MIN_S, LENGTH_MAX_S = 10.0, 3600.0
SERVERS = 4  # server 1 is the first primary
LONGEST_DEADLINES_S = (1.0, 2.0, 3.0)  # longest deadline of the classes of one run
FIRST_RESTART_S = (4.0, 7.0)
RESTART_INTERVAL_S = (7.0, 12.0)  # more than the longest shutdown, so that at most two processes run
LAST_STEP_BEFORE_END_S = 6.0  # so that the last shutdown ends within the run
NEAR_RESTART_S = 1.0  # most faults are at most this far from a restart
FAULTS_BY_RESTART = (2, 4)
CROWD_EVERY = 3  # one seed in three has a crowd
BUSY_EVERY = 4  # one seed in four runs beside busy processes
LATE_DISCOVERY_EVERY = 4  # one seed in four has a discovery that answers late most of the time
BUSY_PROCESSES = 6
SIGNAL_GAP_S = (0.01, 0.2)
SIGNALS_IN_SERIES = (2, 6)
SUSPENSION_S = (0.02, 0.15)  # range of a suspension during a restart
LONG_SUSPENSIONS_S = (1.0, 2.0)
LONG_SUSPENSION_CLEARANCE_S = 4.5  # after a restart: a shutdown delayed by a suspension is a violation
HANG_S = (0.5, 5.0)
OUTAGE_S = (1.0, 4.0)
DRAIN_S = (2.0, 6.0)
LATE_DISCOVERY_S = (10.0, 20.0)
LATE_DISCOVERY_GAP_S = (1.0, 4.0)  # between two such times
CROWD_S = (2.0, 4.0)
MISBEHAVING_CROWDS = 2  # of the runs that have a crowd, beside the mixed ones


class Action(StrEnum):
    """What a step does."""

    RESTART = "restart"  # SIGTERM, then SIGKILL after the grace period; the successor overlaps
    RELOAD_SERIES = "reload_series"  # several SIGHUPs; the configuration alternates between two agents
    SUSPEND = "suspend"
    DRAIN = "drain"
    REMOVE = "remove"
    HANG = "hang"
    RESET = "reset"  # all connections of one server
    CRASH = "crash"  # a server that is down for a while
    PRIMARY_CHANGE = "primary_change"
    DISCOVERY_SILENT = "discovery_silent"
    DISCOVERY_REFUSED = "discovery_refused"
    DISCOVERY_SLOW = "discovery_slow"
    DISCOVERY_LATE = "discovery_late"  # answers begin late; no outage: changes count as notified as usual
    LIST_BURST = "list_burst"
    CROWD = "crowd"


FAULTS = (
    Action.DRAIN,
    Action.REMOVE,
    Action.HANG,
    Action.HANG,
    Action.RESET,
    Action.CRASH,
    Action.PRIMARY_CHANGE,
    Action.DISCOVERY_SILENT,
    Action.DISCOVERY_REFUSED,
    Action.DISCOVERY_SLOW,
    Action.LIST_BURST,
)
OUTAGES = (Action.DISCOVERY_SILENT, Action.DISCOVERY_REFUSED, Action.DISCOVERY_SLOW)


@dataclass(slots=True, frozen=True)
class ProcessLimits:
    """The limits of the proxy process in its settings."""

    memory_mb: int = 192
    sockets: int = 256


DEFAULT_LIMITS = ProcessLimits()
CROWD_LIMITS = (ProcessLimits(32, 1024), ProcessLimits(64, 1024), DEFAULT_LIMITS)


class FileState(StrEnum):
    """State of the configuration file at a SIGHUP."""

    COMPLETE = "complete"
    HALF_WRITTEN = "half_written"
    MISSING = "missing"


@dataclass(slots=True, frozen=True)
class RestartPlan:
    """Signals and timing of one restart. Times in seconds; 0 for none."""

    successor_at_once: bool = True  # else after the old process has exited
    reload_before: float = 0.0  # SIGHUP this long before SIGTERM
    reload_after: float = 0.0  # SIGHUP this long after SIGTERM
    repeat_after: float = 0.0  # a second SIGTERM this long after those
    suspension: float = 0.0  # SIGSTOP just before SIGTERM, SIGCONT this long after it


DEFAULT_RESTART = RestartPlan()


@dataclass(slots=True, frozen=True)
class Reload:
    """One SIGHUP of a series, and the state of the configuration file at that time."""

    gap: float  # s since the SIGHUP before
    file: FileState


@dataclass(slots=True, frozen=True)
class Step:
    """One step. `at` is in seconds since the load began."""

    at: float
    action: Action
    server: int = 0
    duration: float = 0.0
    restart: RestartPlan = DEFAULT_RESTART
    reloads: tuple[Reload, ...] = ()
    crowd: CrowdKind = CrowdKind.MIXED

    def describe(self) -> str:
        """Return a short description of the step."""
        server = f" server {self.server}" if self.server else ""
        duration = f" for {self.duration:.2f} s" if self.duration else ""
        crowd = f" of {self.crowd}" if self.action is Action.CROWD else ""
        return f"{self.action}{crowd}{server}{duration} at {self.at:.2f} s"


@dataclass(slots=True, frozen=True)
class SoakScript:
    """The steps of one soak and the conditions under which they run."""

    seed: int
    length: float  # s of load
    longest_deadline: float  # s
    crowd: bool
    busy_processes: int
    steps: tuple[Step, ...]
    limits: ProcessLimits = DEFAULT_LIMITS

    def until(self, count: int) -> SoakScript:
        """Return the script cut down to its first `count` steps."""
        if count < 1:
            raise ScenarioError("a script needs at least one step")
        return replace(self, steps=self.steps[:count])


def draw_script(seed: int, length: float, force_crowd: bool = False) -> SoakScript:
    """Generate the script of a seed; raise ScenarioError if the length is out of range."""
    if not LENGTH_MIN_S <= length <= LENGTH_MAX_S:
        raise ScenarioError(f"the length of a soak must be {LENGTH_MIN_S:g} to {LENGTH_MAX_S:g} s")
    rng = random.Random(f"soak/{seed}")
    crowd = force_crowd or seed % CROWD_EVERY == 0
    longest_deadline = rng.choice(LONGEST_DEADLINES_S)
    restarts = _restart_times(rng, length)
    steps: list[Step] = []
    for at in restarts:
        steps.append(Step(at, Action.RESTART, restart=_restart_plan(rng)))
        steps += _faults_near(rng, at)
        if crowd:
            steps.append(Step(_near(rng, at), Action.CROWD, duration=rng.uniform(*CROWD_S)))
    for at in restarts:
        steps.append(_reload_series(rng, at + rng.uniform(*RESTART_INTERVAL_S) / 2.0))
    steps += _long_suspensions(rng, restarts)
    limits = DEFAULT_LIMITS
    if crowd:
        crowd_rng = random.Random(f"soak crowd/{seed}")  # its own, so that older seeds keep their steps
        limits = crowd_rng.choice(CROWD_LIMITS)
        steps += _misbehaving_crowds(crowd_rng, length)
    if seed % LATE_DISCOVERY_EVERY == 1:
        steps += _late_discovery(random.Random(f"soak late discovery/{seed}"), length)
    steps = [step for step in steps if 0.0 <= step.at < length - LAST_STEP_BEFORE_END_S]
    steps.sort(key=lambda step: step.at)
    busy = BUSY_PROCESSES if seed % BUSY_EVERY == 0 else 0
    return SoakScript(seed, length, longest_deadline, crowd, busy, tuple(steps), limits)


def _restart_times(rng: random.Random, length: float) -> list[float]:
    times = []
    at = rng.uniform(*FIRST_RESTART_S)
    while at < length - LAST_STEP_BEFORE_END_S:
        times.append(at)
        at += rng.uniform(*RESTART_INTERVAL_S)
    return times


def _near(rng: random.Random, at: float) -> float:
    return max(0.0, at + rng.uniform(-NEAR_RESTART_S, NEAR_RESTART_S))


def _restart_plan(rng: random.Random) -> RestartPlan:
    def sometimes(bounds: tuple[float, float]) -> float:
        return rng.uniform(*bounds) if rng.random() < 1.0 / 3.0 else 0.0

    return RestartPlan(
        successor_at_once=rng.random() < 2.0 / 3.0,
        reload_before=sometimes(SIGNAL_GAP_S),
        reload_after=sometimes(SIGNAL_GAP_S),
        repeat_after=sometimes(SIGNAL_GAP_S),
        suspension=sometimes(SUSPENSION_S),
    )


def _faults_near(rng: random.Random, at: float) -> list[Step]:
    steps = []
    for action in rng.sample(FAULTS, rng.randint(*FAULTS_BY_RESTART)):
        if action in OUTAGES:
            duration = rng.uniform(*OUTAGE_S)
        elif action in (Action.HANG, Action.CRASH):
            duration = rng.uniform(*HANG_S)
        elif action in (Action.DRAIN, Action.REMOVE):
            duration = rng.uniform(*DRAIN_S)
        else:
            duration = 0.0
        steps.append(Step(_near(rng, at), action, rng.randint(2, SERVERS), duration))
    return steps


def _reload_series(rng: random.Random, at: float) -> Step:
    states = (FileState.COMPLETE, FileState.COMPLETE, FileState.HALF_WRITTEN, FileState.MISSING)
    reloads = [
        Reload(rng.uniform(*SIGNAL_GAP_S), rng.choice(states)) for _ in range(rng.randint(*SIGNALS_IN_SERIES))
    ]
    reloads.append(Reload(rng.uniform(*SIGNAL_GAP_S), FileState.COMPLETE))
    return Step(at, Action.RELOAD_SERIES, reloads=tuple(reloads))


def _late_discovery(rng: random.Random, length: float) -> list[Step]:
    steps = []
    at = rng.uniform(*LATE_DISCOVERY_GAP_S)
    while at < length:
        duration = rng.uniform(*LATE_DISCOVERY_S)
        steps.append(Step(at, Action.DISCOVERY_LATE, duration=duration))
        at += duration + rng.uniform(*LATE_DISCOVERY_GAP_S)
    return steps


def _misbehaving_crowds(rng: random.Random, length: float) -> list[Step]:
    kinds = rng.sample(MISBEHAVING, MISBEHAVING_CROWDS)
    return [
        Step(rng.uniform(0.0, length), Action.CROWD, duration=rng.uniform(*CROWD_S), crowd=kind)
        for kind in kinds
    ]


def _long_suspensions(rng: random.Random, restarts: list[float]) -> list[Step]:
    """Return one suspension of 1 or 2 s between two restarts with no shutdown during it, if there is room."""
    for before, after in pairwise(restarts):
        at = before + LONG_SUSPENSION_CLEARANCE_S
        duration = rng.choice(LONG_SUSPENSIONS_S)
        if at + duration + NEAR_RESTART_S < after:
            return [Step(at, Action.SUSPEND, duration=duration)]
    return []
