"""Client protocols: bytes into commands and responses into bytes. They decide nothing about endpoints."""
