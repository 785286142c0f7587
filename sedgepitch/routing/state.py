"""State shared by the router's components: settings, current time, records, pending actions and the timer."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from sedgepitch.routing.messages import Action, SetTimer, Settings
from sedgepitch.routing.records import NEVER, Endpoint, ReplicaGroup, RoutedRequest

CHECKS_PER_OBJECTIVE = 4.0  # periodic checks of waiting requests per shortest latency objective
ANSWER_MARGIN_TICKS = 3.0  # clock ticks before its deadline at which a request gets its final answer


@dataclass(slots=True, eq=False)
class RouterState:
    """The records, and the list to which components append their actions."""

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
    """Time of the last response from any endpoint."""
    event_loop_blocked: bool = False
    """Whether the timer fired late, so that latencies include a delay of this process and are not used."""
    timer_at: float = -NEVER
    """Time of the next periodic check, or NEVER; the first event triggers the first check."""
    timer_nonce: int = 0
    """Nonce of the last timer that was set."""
    latency_objective: float = field(init=False)
    """Shortest latency objective of all classes."""
    check_interval: float = field(init=False)
    """Time between two checks of waiting requests."""
    answer_margin: float = field(init=False)
    """Time before a deadline at which the final answer is given."""

    def __post_init__(self) -> None:
        """Derive the values that depend on the settings."""
        tick = self.settings.tick
        self.latency_objective = min(c.latency_objective for c in self.settings.classes)
        self.check_interval = max(tick, self.latency_objective / CHECKS_PER_OBJECTIVE)
        self.answer_margin = ANSWER_MARGIN_TICKS * tick

    def set_timer(self, at: float) -> None:
        """Set a timer for the time `at`, unless an earlier one is set.

        There is no timer while nothing is due, because a deployment has hundreds of mostly idle instances.
        """
        if at < self.timer_at:
            self.timer_at = at
            self.timer_nonce += 1
            self.actions.append(SetTimer(max(self.settings.tick, at - self.now), self.timer_nonce))
