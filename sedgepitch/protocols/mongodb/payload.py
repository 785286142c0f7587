"""Commands as they are sent to an endpoint: the sections of one OP_MSG."""

from __future__ import annotations

from typing import Protocol


class Payload(Protocol):
    """A command to send: its sections, and whether it may change data."""

    @property
    def writes(self) -> bool:
        """Return whether the command may change data."""

    def sections(self) -> bytes:
        """Return the encoded sections."""


class RawSections:
    """A payload of already encoded sections."""

    __slots__ = ("_sections", "writes")

    def __init__(self, sections: bytes, writes: bool = False) -> None:
        """Take encoded sections; `writes` states whether the command may change data."""
        self._sections = sections
        self.writes = writes

    def sections(self) -> bytes:
        """Return the encoded sections."""
        return self._sections
