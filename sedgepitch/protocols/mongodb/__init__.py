"""The MongoDB wire protocol, the subset that docs/wire.md describes."""
