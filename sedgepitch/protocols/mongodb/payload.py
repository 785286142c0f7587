"""What an endpoint is sent: the sections of one OP_MSG."""

from __future__ import annotations

from typing import Protocol


class Payload(Protocol):
    """The sections of a command, and whether it may change data."""

    @property
    def writes(self) -> bool:
        """Whether it may change data."""

    def sections(self) -> bytes:
        """Return the encoded sections."""


class RawSections:
    """A payload of sections that are encoded already."""

    __slots__ = ("_sections", "writes")

    def __init__(self, sections: bytes, writes: bool = False) -> None:
        """Take encoded sections; `writes` says whether they may change data."""
        self._sections = sections
        self.writes = writes

    def sections(self) -> bytes:
        """Return the encoded sections."""
        return self._sections
