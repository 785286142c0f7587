"""Reads settings from YAML and validates them."""
