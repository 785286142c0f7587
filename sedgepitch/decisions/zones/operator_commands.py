"""Operator commands on zones, merged so that the newest one wins at every instance.

Each instance publishes all commands that it has, so a command reaches every reachable instance, and crosses a
partition once that heals. Of two commands for a zone the one with the higher number wins; ties are broken by
the greater issuer name, so that concurrent operators converge on the same command everywhere. A `return` is
kept, since it must override an older `leave` that arrives again.
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
    """The action that a command requests; the values are the wire format."""

    LEAVE = "leave"
    RETURN = "return"


class InvalidCommandError(ConfigurationError, ValueError):
    """A command is rejected; the message gives the reason."""


class ZoneCommand(Struct, frozen=True, array_like=True):
    """Leave a zone over `duration` seconds, or return it to control by evidence.

    The field order is the wire format. `issuer` is the instance that accepted the command. `action` is a
    plain string, so that an unknown action of a later version invalidates only its own command.
    """

    zone: str
    number: int
    issuer: str
    action: str
    duration: float = 0.0

    def overrides(self, other: ZoneCommand | None) -> bool:
        """Return whether this command takes precedence over the other."""
        if other is None:
            return True
        return (self.number, self.issuer, self.action) > (other.number, other.issuer, other.action)


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(tuple[ZoneCommand, ...])


class ZoneCommands:
    """The newest command of each zone."""

    def __init__(self) -> None:
        """Start without commands."""
        self.by_zone: dict[str, ZoneCommand] = {}

    def issue(self, zone: str, action: str, duration: float, issuer: str) -> ZoneCommand:
        """Create an operator command that overrides all known ones. Raises InvalidCommandError."""
        if action not in (CommandAction.LEAVE, CommandAction.RETURN):
            raise InvalidCommandError(f"a zone command must be 'leave' or 'return', not '{action}'")
        if not 0 < len(zone) <= MAX_ZONE_NAME_LENGTH:
            raise InvalidCommandError(f"a zone name must have 1 to {MAX_ZONE_NAME_LENGTH} characters")
        if not 0.0 <= duration <= MAX_DURATION_S:
            raise InvalidCommandError(f"within must be 0 to {MAX_DURATION_S:g} s")
        if zone not in self.by_zone and len(self.by_zone) >= MAX_ZONES:
            raise InvalidCommandError(f"commands for {MAX_ZONES} zones, the maximum, exist already")
        number = 1 + max((command.number for command in self.by_zone.values()), default=0)
        command = ZoneCommand(zone, number, issuer[:MAX_ISSUER_LENGTH], action, duration)
        self.by_zone[zone] = command
        return command

    def merge(self, received: Iterable[ZoneCommand]) -> bool:
        """Merge the commands of another instance; return whether any was new."""
        changed = False
        for command in received:
            has_room = command.zone in self.by_zone or len(self.by_zone) < MAX_ZONES
            if has_room and _plausible(command) and command.overrides(self.by_zone.get(command.zone)):
                self.by_zone[command.zone] = command
                changed = True
        return changed

    def leave_commands(self) -> dict[str, ZoneCommand]:
        """Return the `leave` commands by zone."""
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
    """Encode commands as the body of a state entry, dropping the oldest ones to fit."""
    kept = sorted(commands.by_zone.values(), key=lambda command: (-command.number, command.zone))
    while len(body := _encoder.encode(tuple(kept))) > MAX_DIGEST_BYTES:
        kept.pop()
    return body


def decode(body: bytes) -> tuple[ZoneCommand, ...]:
    """Decode the commands of a state entry; return none for malformed bytes."""
    try:
        return _decoder.decode(body)[:MAX_ZONES]
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError, UnicodeDecodeError):
        return ()
