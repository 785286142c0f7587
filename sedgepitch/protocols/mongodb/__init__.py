"""The MongoDB wire protocol, a subset: see docs/wire.md."""
