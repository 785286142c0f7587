"""Names for annotations of Twisted's objects that have no usable static type."""

from __future__ import annotations

from typing import Any, TypeAlias

# The reactors of asyncio, epoll and the tests share no class or interface that has all of what is called.
Reactor: TypeAlias = Any
# Twisted declares these by zope interfaces, which type checkers do not relate to the classes.
ProtocolFactory: TypeAlias = Any
# None, or the error that ends the connection; Twisted declares None alone.
ReadResult: TypeAlias = Any
