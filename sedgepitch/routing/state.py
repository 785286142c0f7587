"""What all parts of the router share: settings, the present time, the records, the actions and the timer."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from sedgepitch.routing.messages import Action, SetTimer, Settings
from sedgepitch.routing.records import NEVER, Endpoint, ReplicaGroup, RoutedRequest

CHECKS_PER_OBJECTIVE = 4.0  # periodic checks of waiting requests within the shortest latency objective
ANSWER_MARGIN_TICKS = 3.0  # a request is answered this many clock ticks before its time is up


@dataclass(slots=True, eq=False)
class RouterState:
    """The records, and where parts put the actions that they decide on."""

    settings: Settings
    random: Random
    now: float = 0.0
    actions: list[Action] = field(default_factory=list)
    endpoints: dict[int, Endpoint] = field(default_factory=dict)
    groups: dict[int, ReplicaGroup] = field(default_factory=dict)
    requests: dict[int, RoutedRequest] = field(default_factory=dict)
    endpoints_in_use: dict[int, Endpoint] = field(default_factory=dict)
    """Endpoints with attempts in flight."""
    last_answer_at: float = -NEVER
    """When any endpoint answered last."""
    event_loop_blocked: bool = False
    """The timer came late, so what waited for this process looks late and is not."""
    timer_at: float = -NEVER
    """When the next periodic check is due, NEVER where none is; the first event brings the first one."""
    timer_nonce: int = 0
    """Number of the last timer that was asked for."""
    latency_objective: float = field(init=False)
    """The shortest of all classes."""
    check_interval: float = field(init=False)
    """Time between two looks at waiting requests."""
    answer_margin: float = field(init=False)
    """Time before a deadline at which the final answer is given."""

    def __post_init__(self) -> None:
        """Derive the figures that follow from the settings."""
        tick = self.settings.tick
        self.latency_objective = min(c.latency_objective for c in self.settings.classes)
        self.check_interval = max(tick, self.latency_objective / CHECKS_PER_OBJECTIVE)
        self.answer_margin = ANSWER_MARGIN_TICKS * tick

    def set_timer(self, at: float) -> None:
        """Ask for a timer at `at` unless an earlier one is set.

        None is set while nothing is due: a deployment has hundreds of instances that are mostly idle.
        """
        if at < self.timer_at:
            self.timer_at = at
            self.timer_nonce += 1
            self.actions.append(SetTimer(max(self.settings.tick, at - self.now), self.timer_nonce))
