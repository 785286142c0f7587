"""Measurements. Each module prints one table by `python -m benchmarks.NAME`; none of them runs in CI."""
