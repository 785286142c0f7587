"""Estimates of the recent usage of a very large number of keys, in a fixed amount of memory.

A count-min sketch (Cormode and Muthukrishnan, 2005) with conservative update (Estan and Varghese, 2002),
whose counts decay with a half-life: instead of ageing all cells, new amounts are scaled up, and everything is
scaled back before the scale grows too large. In addition, the few largest keys are kept by name, as in
Space-Saving (Metwally et al., 2005). An estimate is never below the true decayed amount, and with
probability 1 - e^-DEPTH exceeds it by at most e / width of the total.
"""

from __future__ import annotations

import math
from array import array

import xxhash

DEPTH = 4  # rows
CELL_BYTES = 8
MAX_SCALE = 1e30
MAX_EXPONENT = 700.0  # math.exp overflows above about 709
BITS_PER_ROW = 32  # of the hash; a row uses the lowest of them
BATCH_KEYS = 256  # maximum number of keys in a batch
BATCH_S = 0.25  # maximum delay until an amount starts to decay; it never makes an estimate too small


class DecayingSketch:
    """Amounts by key that halve every `half_life` seconds.

    Memory: DEPTH * width * 8 bytes, plus the names of the `top` largest keys. `width` is a power of two.
    """

    def __init__(self, width: int, top: int, half_life: float, seed: int, now: float) -> None:
        """Create an empty sketch. Raises ValueError if `width` is not a power of two."""
        if width & (width - 1):
            raise ValueError("width must be a power of two")
        self.width = width
        self.top = top
        self.seed = seed
        self.decay_rate = math.log(2.0) / half_life  # per second
        self.scaled_from = now
        self.rows = [array("d", bytes(CELL_BYTES * width)) for _ in range(DEPTH)]
        self.top_keys: dict[str, float] = {}  # scaled amounts
        self.total = 0.0  # scaled
        self._batch: dict[str, float] = {}
        self._batch_began_at = now

    def add_batched(self, key: str, amount: float, now: float) -> None:
        """Add an amount as part of a later batch; with few distinct keys this costs a tenth of `add`."""
        if not self._batch:
            self._batch_began_at = now
        elif len(self._batch) >= BATCH_KEYS or now - self._batch_began_at > BATCH_S:
            self._add_batch(now)
            self._batch_began_at = now
        self._batch[key] = self._batch.get(key, 0.0) + amount

    def _add_batch(self, now: float) -> None:
        batch, self._batch = self._batch, {}
        at = min(now, self._batch_began_at + BATCH_S)
        for key, amount in batch.items():
            self.add(key, amount, at)

    def add(self, key: str, amount: float, now: float) -> float:
        """Add an amount to a key; return the new estimate."""
        scale = self._scale(now)
        cells = self._cells(key)
        estimate = min(row[cell] for row, cell in zip(self.rows, cells, strict=True)) + amount * scale
        for row, cell in zip(self.rows, cells, strict=True):
            if row[cell] < estimate:
                row[cell] = estimate
        self.total += amount * scale
        self._keep_if_large(key, estimate)
        return estimate / scale

    def _keep_if_large(self, key: str, estimate: float) -> None:
        if key in self.top_keys or len(self.top_keys) < self.top:
            self.top_keys[key] = estimate
            return
        smallest = min(self.top_keys, key=self.top_keys.__getitem__)
        if estimate > self.top_keys[smallest]:
            del self.top_keys[smallest]
            self.top_keys[key] = estimate

    def estimate(self, key: str, now: float) -> float:
        """Return the estimated recent usage of a key; never less than the true decayed amount."""
        self._add_batch(now)
        scale = self._scale(now)  # before the cells are read: scaling may change them
        cells = self._cells(key)
        return min(row[cell] for row, cell in zip(self.rows, cells, strict=True)) / scale

    def largest(self, now: float) -> list[tuple[str, float]]:
        """Return the largest keys and their amounts, in descending order."""
        self._add_batch(now)
        scale = self._scale(now)
        amounts = ((key, amount / scale) for key, amount in self.top_keys.items())
        return sorted(amounts, key=lambda entry: -entry[1])

    def _cells(self, key: str) -> tuple[int, ...]:
        digest = xxhash.xxh3_128_intdigest(key.encode("utf-8", "replace"), self.seed)
        mask = self.width - 1
        return tuple((digest >> (BITS_PER_ROW * row)) & mask for row in range(DEPTH))

    def _scale(self, now: float) -> float:
        """Return the scale of amounts added now; scale everything back if it has grown too large."""
        exponent = max(0.0, now - self.scaled_from) * self.decay_rate
        scale = math.exp(min(MAX_EXPONENT, exponent))
        if scale > MAX_SCALE:
            for row in self.rows:
                for cell in range(self.width):
                    row[cell] /= scale
            self.top_keys = {key: amount / scale for key, amount in self.top_keys.items()}
            self.total /= scale
            self.scaled_from = now
            scale = 1.0
        return scale
