"""Data structures made for the job: bounded, without clocks, each measured against a plain twin."""
