"""How much each of very many keys has used lately, in a fixed amount of memory.

A count-min sketch (Cormode and Muthukrishnan, 2005) with conservative update (Estan and Varghese, 2002),
whose counts fade with a half-life: instead of ageing all cells, new amounts are scaled up, and all is
scaled back before the scale grows too large. Beside it the few largest keys are kept by name, as in
Space-Saving (Metwally et al., 2005). An estimate is never below the true faded amount, and with probability
1 - e^-DEPTH above it by at most e/width of all that was added.
"""

from __future__ import annotations

import math
from array import array

import xxhash

DEPTH = 4
RESCALE = 1e30
GATHER = 256  # keys whose amounts are gathered before they are added
GATHER_FOR = 0.25  # s; an amount fades from at most so much too late a time, so it is never too small


class FadingSketch:
    """Amounts by key, fading by half each `half_life` s. Memory: DEPTH * width * 8 bytes, `top` names."""

    def __init__(self, width: int, top: int, half_life: float, seed: int, now: float) -> None:
        if width & (width - 1):
            raise ValueError("width must be a power of two")
        self.width, self.top, self.seed = width, top, seed
        self.rate = math.log(2.0) / half_life
        self.since = now
        self.rows = [array("d", bytes(8 * width)) for _ in range(DEPTH)]
        self.names: dict[str, float] = {}
        self.total = 0.0
        self.gathered: dict[str, float] = {}
        self.gathered_from = now

    def gather(self, key: str, amount: float, now: float) -> None:
        """Add an amount a little later, together with others: for few keys a tenth of the cost."""
        if not self.gathered:
            self.gathered_from = now
        elif len(self.gathered) >= GATHER or now - self.gathered_from > GATHER_FOR:
            self._settle(now)
            self.gathered_from = now
        self.gathered[key] = self.gathered.get(key, 0.0) + amount

    def _settle(self, now: float) -> None:
        gathered, self.gathered = self.gathered, {}
        at = min(now, self.gathered_from + GATHER_FOR)
        for key, amount in gathered.items():
            self.add(key, amount, at)

    def add(self, key: str, amount: float, now: float) -> float:
        """Add an amount of a key; returns the estimate with it."""
        scale = self._scale(now)
        cells = self._cells(key)
        estimate = min(row[cell] for row, cell in zip(self.rows, cells, strict=True)) + amount * scale
        for row, cell in zip(self.rows, cells, strict=True):
            if row[cell] < estimate:
                row[cell] = estimate
        self.total += amount * scale
        if key in self.names or len(self.names) < self.top:
            self.names[key] = estimate
        else:
            least = min(self.names, key=self.names.__getitem__)
            if estimate > self.names[least]:
                del self.names[least]
                self.names[key] = estimate
        return estimate / scale

    def estimate(self, key: str, now: float) -> float:
        """Return what the key has used lately: never too little."""
        self._settle(now)
        scale, cells = self._scale(now), self._cells(key)  # in this order: scaling may change the cells
        return min(row[cell] for row, cell in zip(self.rows, cells, strict=True)) / scale

    def largest(self, now: float) -> list[tuple[str, float]]:
        """Return the largest keys and their amounts, the largest first."""
        self._settle(now)
        scale = self._scale(now)
        return sorted(((k, v / scale) for k, v in self.names.items()), key=lambda kv: -kv[1])

    def _cells(self, key: str) -> tuple[int, ...]:
        mixed = xxhash.xxh3_128_intdigest(key.encode("utf-8", "replace"), self.seed)
        mask = self.width - 1
        return tuple((mixed >> (32 * row)) & mask for row in range(DEPTH))

    def _scale(self, now: float) -> float:
        scale = math.exp(min(700.0, max(0.0, now - self.since) * self.rate))
        if scale > RESCALE:
            for row in self.rows:
                for cell in range(self.width):
                    row[cell] /= scale
            self.names = {k: v / scale for k, v in self.names.items()}
            self.total /= scale
            self.since, scale = now, 1.0
        return scale
