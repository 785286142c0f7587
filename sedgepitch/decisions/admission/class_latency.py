"""Mean latency of each request class, as an exponentially weighted mean of its answers."""

from __future__ import annotations

LEARNING_RATE = 0.05  # weight of one answer in the mean
INITIAL_S = 0.02  # mean of a class without answers


class ClassLatency:
    """Mean seconds at the endpoint, and mean seconds from admission to the answer, of each request class."""

    __slots__ = ("_at_endpoint", "_since_admission")

    def __init__(self) -> None:
        """Start without answers: each class has the initial latency."""
        self._at_endpoint: dict[str, float] = {}
        self._since_admission: dict[str, float] = {}

    def at_endpoint(self, class_name: str) -> float:
        """Return the mean seconds at an endpoint, which is a request's estimated cost."""
        return self._at_endpoint.get(class_name, INITIAL_S)

    def since_admission(self, class_name: str) -> float:
        """Return the mean seconds from admission to the answer."""
        return self._since_admission.get(class_name, INITIAL_S)

    def record(self, class_name: str, at_endpoint: float, since_admission: float) -> None:
        """Record one served answer, in seconds."""
        mean = self.at_endpoint(class_name)
        self._at_endpoint[class_name] = mean + LEARNING_RATE * (at_endpoint - mean)
        mean = self.since_admission(class_name)
        self._since_admission[class_name] = mean + LEARNING_RATE * (since_admission - mean)
