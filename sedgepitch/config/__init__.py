"""Settings: YAML in, checked models out."""
