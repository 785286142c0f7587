"""Operator commands on zones, merged so that the newest wins at all instances.

Each instance publishes the commands that it knows, so they reach whoever can be reached, and cross a
partition when it heals. Of two commands for a zone the one with the higher number counts, and of equal
numbers the one with the later issuer's name, so that two operators at once end with the same command
everywhere. A `return` stays known, since it is what overrides an older `leave` that comes round again.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum

import msgspec
from msgspec import Struct

from sedgepitch.decisions.zones.digests import MAX_DIGEST_BYTES, MAX_ZONE_NAME_LENGTH, MAX_ZONES
from sedgepitch.errors import ConfigurationError

MAX_NUMBER = 1 << 53
MAX_DURATION_S = 3600.0
MAX_ISSUER_LENGTH = 64  # characters


class CommandAction(StrEnum):
    """What a command asks for; values are the wire's."""

    LEAVE = "leave"
    RETURN = "return"


class InvalidCommandError(ConfigurationError, ValueError):
    """A command that is not carried out; the text says why."""


class ZoneCommand(Struct, frozen=True, array_like=True):
    """Leave a zone over `duration` seconds, or give it back to the evidence.

    The order of the fields is the wire format. `issuer` is the instance that took the command. `action` is a
    string, so that a command of a later version makes only itself unusable.
    """

    zone: str
    number: int
    issuer: str
    action: str
    duration: float = 0.0

    def overrides(self, other: ZoneCommand | None) -> bool:
        """Whether this command counts rather than the other."""
        if other is None:
            return True
        return (self.number, self.issuer, self.action) > (other.number, other.issuer, other.action)


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(tuple[ZoneCommand, ...])


class ZoneCommands:
    """The newest command of each zone."""

    def __init__(self) -> None:
        """Begin without commands."""
        self.by_zone: dict[str, ZoneCommand] = {}

    def issue(self, zone: str, action: str, duration: float, issuer: str) -> ZoneCommand:
        """Take an operator's command, which overrides all that are known. Raises InvalidCommandError."""
        if action not in (CommandAction.LEAVE, CommandAction.RETURN):
            raise InvalidCommandError(f"an order is 'leave' or 'return', not '{action}'")
        if not 0 < len(zone) <= MAX_ZONE_NAME_LENGTH:
            raise InvalidCommandError(f"a zone's name has 1 to {MAX_ZONE_NAME_LENGTH} characters")
        if not 0.0 <= duration <= MAX_DURATION_S:
            raise InvalidCommandError(f"within: 0 to {MAX_DURATION_S:g} s")
        if zone not in self.by_zone and len(self.by_zone) >= MAX_ZONES:
            raise InvalidCommandError(f"orders for {MAX_ZONES} zones are held already")
        number = 1 + max((command.number for command in self.by_zone.values()), default=0)
        command = ZoneCommand(zone, number, issuer[:MAX_ISSUER_LENGTH], action, duration)
        self.by_zone[zone] = command
        return command

    def merge(self, received: Iterable[ZoneCommand]) -> bool:
        """Take the commands that another instance knows; returns whether any was new."""
        changed = False
        for command in received:
            room = command.zone in self.by_zone or len(self.by_zone) < MAX_ZONES
            if room and _plausible(command) and command.overrides(self.by_zone.get(command.zone)):
                self.by_zone[command.zone] = command
                changed = True
        return changed

    def leave_commands(self) -> dict[str, ZoneCommand]:
        """Return the commands to leave, by zone."""
        return {z: command for z, command in self.by_zone.items() if command.action == CommandAction.LEAVE}


def _plausible(command: ZoneCommand) -> bool:
    return (
        command.action in (CommandAction.LEAVE, CommandAction.RETURN)
        and 0 < command.number <= MAX_NUMBER
        and 0 < len(command.zone) <= MAX_ZONE_NAME_LENGTH
        and len(command.issuer) <= MAX_ISSUER_LENGTH
        and 0.0 <= command.duration <= MAX_DURATION_S
    )


def encode(commands: ZoneCommands) -> bytes:
    """Return commands as the body of a state entry; the newest stay if not all would fit."""
    kept = sorted(commands.by_zone.values(), key=lambda command: (-command.number, command.zone))
    while len(body := _encoder.encode(tuple(kept))) > MAX_DIGEST_BYTES:
        kept.pop()
    return body


def decode(body: bytes) -> tuple[ZoneCommand, ...]:
    """Return the commands of a state entry; none for bytes that are none."""
    try:
        return _decoder.decode(body)[:MAX_ZONES]
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError, UnicodeDecodeError):
        return ()
