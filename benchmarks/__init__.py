"""Benchmarks. `python -m benchmarks.NAME` runs one and prints its tables; none of them runs in CI."""
