"""What requests of each class usually cost, by an exponentially weighted mean of their answers."""

from __future__ import annotations

LEARNING_RATE = 0.05  # weight of one answer
INITIAL_S = 0.02  # before any answer


class ClassLatency:
    """Usual seconds at endpoints, and usual seconds from admission to the answer, of each request class."""

    __slots__ = ("_at_endpoint", "_since_admission")

    def __init__(self) -> None:
        """Start without answers: every class has the initial latency."""
        self._at_endpoint: dict[str, float] = {}
        self._since_admission: dict[str, float] = {}

    def at_endpoint(self, class_name: str) -> float:
        """Return the usual seconds at an endpoint, which is a request's estimated cost."""
        return self._at_endpoint.get(class_name, INITIAL_S)

    def since_admission(self, class_name: str) -> float:
        """Return the usual seconds from admission to the answer."""
        return self._since_admission.get(class_name, INITIAL_S)

    def record(self, class_name: str, at_endpoint: float, since_admission: float) -> None:
        """Record one served answer, in seconds."""
        usual = self.at_endpoint(class_name)
        self._at_endpoint[class_name] = usual + LEARNING_RATE * (at_endpoint - usual)
        usual = self.since_admission(class_name)
        self._since_admission[class_name] = usual + LEARNING_RATE * (since_admission - usual)
