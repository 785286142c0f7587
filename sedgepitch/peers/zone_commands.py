"""Operator commands on zones: taken from an operator, published to all instances and merged with theirs."""

from __future__ import annotations

import json
import secrets
from collections.abc import Callable
from math import inf

from sedgepitch.core.types import Clock
from sedgepitch.decisions.gossip.node import GossipNode
from sedgepitch.decisions.zones import operator_commands
from sedgepitch.decisions.zones.operator_commands import (
    CommandAction,
    InvalidCommandError,
    ZoneCommand,
    ZoneCommands,
)
from sedgepitch.peers import entry_kinds
from sedgepitch.peers.keys import AuthenticationError
from sedgepitch.peers.service import PeerService

NONCE_BYTES = 16
MAX_NONCES = 16  # given out at a time
NONCE_LIFETIME_S = 30.0
MAX_REASON_CHARACTERS = 200


class CommandExchange:
    """The commands that this instance knows, and the nonces that new ones must carry."""

    def __init__(self, peers: PeerService, clock: Clock, log: Callable[..., None]) -> None:
        """Begin without commands."""
        self.commands = ZoneCommands()
        self.published_at = -inf
        self._peers = peers
        self._clock = clock
        self._log = log
        self._received: dict[str, bytes] = {}  # the last state entry of each peer, so that it is read once
        self._nonces: dict[str, float] = {}  # with the time when each was given out

    def new_nonce(self) -> str:
        """Return a nonce that one command must carry, so that a command overheard cannot be used again."""
        now = self._clock.now()
        self._nonces = {n: at for n, at in self._nonces.items() if now - at <= NONCE_LIFETIME_S}
        while len(self._nonces) >= MAX_NONCES:
            del self._nonces[next(iter(self._nonces))]
        nonce = secrets.token_hex(NONCE_BYTES)
        self._nonces[nonce] = now
        return nonce

    def take(self, sealed: bytes, zones: list[str]) -> ZoneCommand:
        """Take a command of a holder of the key, for one of these zones. Raises InvalidCommandError."""
        zone, action, duration = self._open(sealed)
        if action == CommandAction.LEAVE and zone not in zones:
            names = ", ".join(zones) or "none"
            raise InvalidCommandError(f"no member of a zone '{zone}' is up; there are {names}")
        command = self.commands.issue(zone, action, duration, self._peers.settings.name)
        fields = {"action": action, "duration_s": duration, "number": command.number}
        self._log("zone.command_accepted", zone=zone, **fields)
        self.publish()
        return command

    def merge(self, node: GossipNode, now: float) -> None:
        """Merge the commands that peers have published, and pass new ones on."""
        changed = False
        for name, entry in node.entries_of_kind(entry_kinds.ZONE_COMMANDS, now).items():
            if name != node.name and self._received.get(name) != entry.body:
                self._received[name] = entry.body
                changed = self.commands.merge(operator_commands.decode(entry.body)) or changed
        for name in [name for name in self._received if name not in node.members]:
            del self._received[name]
        if changed:
            known = [f"{command.action} {command.zone}" for command in self.commands.by_zone.values()]
            self._log("zone.commands_merged", commands=known)
            self.publish()

    def publish(self) -> None:
        """Publish all commands that are known."""
        self.published_at = self._clock.now()
        self._peers.publish(entry_kinds.ZONE_COMMANDS, operator_commands.encode(self.commands))

    def _open(self, sealed: bytes) -> tuple[str, str, float]:
        """Return zone, action and duration of an authentic command with a valid nonce."""
        try:
            fields = json.loads(self._peers.authenticator.open(sealed))
            nonce = str(fields["number"])
            self._use_nonce(nonce)
            return str(fields["zone"]), str(fields["what"]), float(fields.get("within", 0.0))
        except AuthenticationError as error:
            raise InvalidCommandError(str(error)) from None
        except InvalidCommandError:
            raise
        except (ValueError, TypeError, KeyError, AttributeError, RecursionError) as error:
            raise InvalidCommandError(f"no order: {error!r}"[:MAX_REASON_CHARACTERS]) from None

    def _use_nonce(self, nonce: str) -> None:
        given_at = self._nonces.pop(nonce, None)
        if given_at is None or self._clock.now() - given_at > NONCE_LIFETIME_S:
            raise InvalidCommandError("the order's number is not one that was given out, or it is too old")
