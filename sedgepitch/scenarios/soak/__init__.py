"""A soak of the platform's program: restarts, signals, crowds and faults drawn from a seed, then an audit."""
