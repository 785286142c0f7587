"""Type aliases for Twisted objects that have no usable static type."""

from __future__ import annotations

from typing import Any, TypeAlias

# The reactors of asyncio, epoll and the tests share no class or interface with all the methods used.
Reactor: TypeAlias = Any
# Twisted declares these as zope interfaces, which type checkers do not relate to the classes.
ProtocolFactory: TypeAlias = Any
# None, or the error that ends the connection; Twisted declares only None.
ReadResult: TypeAlias = Any
