"""Recognises retries and bounds those without a reservation."""

from __future__ import annotations

from collections import OrderedDict

from sedgepitch.structures.sketch import DecayingSketch

HALF_LIFE_S = 10.0
FREE_RETRIES = 5.0  # per tenant, on top of the share of its first attempts
SKETCH_WIDTH = 4096  # cells per row


class RetryBudget:
    """Counts first attempts and retries of each tenant, in memory that does not grow with tenants.

    A retry is a request with the idempotency key of a request that was recently rejected or failed. At most
    `max_keys` such keys are remembered. A tenant may make FREE_RETRIES retries plus `share` of its first
    attempts.
    """

    def __init__(self, share: float, max_keys: int, seed: int, now: float) -> None:
        """Start with nothing counted; `seed` fixes the sketches' hashes."""
        self.share = share
        self.max_keys = max_keys
        self.rejected_keys: OrderedDict[str, None] = OrderedDict()  # oldest first
        self._first_attempts = DecayingSketch(SKETCH_WIDTH, 1, HALF_LIFE_S, seed, now)
        self._retries = DecayingSketch(SKETCH_WIDTH, 1, HALF_LIFE_S, seed + 1, now)

    def is_retry(self, idempotency_key: str) -> bool:
        """Return whether a request repeats a rejected or failed one; if so, forget the key."""
        if idempotency_key not in self.rejected_keys:
            return False
        del self.rejected_keys[idempotency_key]
        return True

    def count_first_attempt(self, tenant: str, now: float) -> None:
        """Count a request that is not a retry."""
        self._first_attempts.add_batched(tenant, 1.0, now)

    def count_retry(self, tenant: str, now: float) -> bool:
        """Count a retry without a reservation; return whether it is within the budget."""
        retries = self._retries.add(tenant, 1.0, now)
        return retries <= FREE_RETRIES + self.share * self._first_attempts.estimate(tenant, now)

    def remember_rejected(self, idempotency_key: str) -> None:
        """Remember the key of a rejected or failed request, so that its retry is recognised."""
        if not idempotency_key:
            return
        self.rejected_keys[idempotency_key] = None
        self.rejected_keys.move_to_end(idempotency_key)
        if len(self.rejected_keys) > self.max_keys:
            self.rejected_keys.popitem(last=False)

    def most_active_tenant(self, now: float) -> str:
        """Return the tenant with the most recent first attempts, "" if there are none."""
        return next((name for name, _ in self._first_attempts.largest(now)), "")
